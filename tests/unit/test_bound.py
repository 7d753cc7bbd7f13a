"""Tests of the throughput bound, the minimum cut of the layer ranges."""

import pytest
from bench.bound import throughput_bound
from bench.topology import EngineSpec, Topology


def _engine(name, first, end, speed):
    return EngineSpec(name, "a", first, end, speed, iteration_ms=0.0)


def test_bound_is_the_narrowest_stage():
    # Guards against a bound that sums the stages instead of taking the slowest one.
    engines = (
        _engine("a", 0, 2, 100.0),
        _engine("b", 0, 2, 50.0),
        _engine("c", 2, 4, 120.0),
        _engine("d", 4, 6, 500.0),
    )
    assert throughput_bound(Topology((), engines)) == pytest.approx(120.0)


def test_bound_follows_paths_that_skip_a_boundary():
    # Guards against matching stages by number: one engine holds the layers of two.
    engines = (
        _engine("a", 0, 2, 30.0),
        _engine("b", 2, 6, 10.0),
        _engine("c", 0, 6, 25.0),
    )
    assert throughput_bound(Topology((), engines)) == pytest.approx(35.0)

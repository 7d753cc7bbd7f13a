"""Sums of the memory reservations of all routers."""

from hypothesis import given, settings
from hypothesis import strategies as st
from tests.unit.pool_fakes import make_engine

from bulrushdrum._internal.pipelines.memory_reservations import (
    EngineUsage,
    Hop,
    MemoryReservations,
)
from bulrushdrum._internal.world.upstreams import LayerRange

HOPS = (
    Hop(make_engine("x", layers=(0, 20)), LayerRange(0, 20)),
    Hop(make_engine("y", layers=(20, 40)), LayerRange(20, 30)),
)


def test_each_hop_reserves_tokens_times_its_layers():
    reservations = MemoryReservations()
    reservations.reserve(HOPS, 100.0)
    assert reservations.usage("x") == EngineUsage(2000.0, 1, 1)
    assert reservations.usage("y") == EngineUsage(1000.0, 1, 0)


def test_reservations_of_a_peer_count_until_it_is_removed():
    # Guards against two routers that reserve the same memory.
    reservations = MemoryReservations()
    reservations.reserve(HOPS, 100.0)
    reservations.set_peer_usage("other", {"x": EngineUsage(500.0, 2, 1)})
    assert reservations.usage("x") == EngineUsage(2500.0, 3, 2)
    assert reservations.own_usage()["x"] == EngineUsage(2000.0, 1, 1)
    reservations.remove_peer("other")
    assert reservations.usage("x") == EngineUsage(2000.0, 1, 1)


@given(st.lists(st.floats(1, 5000), max_size=20))
@settings(max_examples=50, deadline=None, derandomize=True)
def test_released_reservations_leave_nothing_behind(sizes):
    # Guards against memory that stays reserved after its requests, so that less and
    # less is available.
    reservations = MemoryReservations()
    for reservation in [reservations.reserve(HOPS, size) for size in sizes]:
        reservations.release(reservation)
    assert reservations.own_usage() == {}
    assert reservations.usage("x") == EngineUsage()

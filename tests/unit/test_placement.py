"""Layers that engines are assigned, initially and after the loss of engines."""

import time
from itertools import pairwise

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from tests.unit.pool_fakes import make_engine, make_limits, make_model

from bulrushdrum._internal.pipelines.data_centre_groups import (
    group_data_centres,
    group_members,
)
from bulrushdrum._internal.pipelines.demand import Demand
from bulrushdrum._internal.pipelines.fleet import Fleet
from bulrushdrum._internal.pipelines.memory_reservations import MemoryReservations
from bulrushdrum._internal.pipelines.paths import PathChooser
from bulrushdrum._internal.pipelines.placement import (
    LayerCoverage,
    choose_layers,
    choose_reassignments,
    layers_that_fit,
    placement_order,
    token_capacity,
    token_capacity_by_data_centre,
)

KINDS = ["large", "small", "slow"]


def place_all(model, engines):
    """Assign layers to each engine, as a router does for a fleet without layers."""
    capacities = token_capacity_by_data_centre(model, engines)
    members = group_members(group_data_centres(model, engines, token_capacity))
    held, coverage = [], LayerCoverage(model, members, [])
    for engine in placement_order(model, engines, members):
        layers = choose_layers(model, engine, coverage, capacities[engine.data_centre])
        if layers is not None:
            held.append(engine._replace(layers=layers))
            coverage.add(held[-1])
    return held


def covered_layers(engines, data_centre=None):
    return {
        layer
        for engine in engines
        if engine.layers and data_centre in (None, engine.data_centre)
        for layer in range(engine.layers.first, engine.layers.end)
    }


def make_mixed_fleet(data_centre="a"):
    return [
        make_engine(f"{data_centre}-large", "large", data_centre),
        *[make_engine(f"{data_centre}-small{n}", "small", data_centre) for n in "0123"],
        *[make_engine(f"{data_centre}-slow{n}", "slow", data_centre) for n in "0123"],
    ]


def test_each_data_centre_with_enough_memory_holds_a_copy():
    # Guards against paths that must cross between data centres in normal operation.
    model = make_model()
    held = place_all(model, make_mixed_fleet("a") + make_mixed_fleet("b"))
    assert covered_layers(held, "a") == set(range(model.layers))
    assert covered_layers(held, "b") == set(range(model.layers))


def test_data_centres_share_a_copy_if_separate_ones_leave_too_little_memory():
    # Load pattern: typical load on a fleet that can hold a copy in each data centre but
    # hardly any requests in addition. Guards against refusing nearly all requests.
    model = make_model()
    engines = [
        make_engine(f"{data_centre}{n}", "small", data_centre)
        for data_centre in "ab"
        for n in range(6)
    ]
    for data_centre in "ab":
        local = [engine for engine in engines if engine.data_centre == data_centre]
        assert token_capacity(model, local) < 12 * model.mean_request_tokens
    held = place_all(model, engines)
    assert covered_layers(held) == set(range(model.layers))
    assert (
        min(token_capacity_by_data_centre(model, engines).values())
        > 36 * model.mean_request_tokens
    )
    assert choose_reassignments(model, held) == []
    # Each data centre holds a range of its own, so that paths cross the link once.
    fleet = Fleet()
    fleet.replace_all(held)
    chooser = PathChooser(fleet, MemoryReservations(), make_limits(), "a", seed=1)
    path = chooser.choose("llm", model, Demand(700.0, 200.0))
    data_centres = [hop.upstream.data_centre for hop in path]
    assert sum(a != b for a, b in pairwise(data_centres)) == 1


def test_data_centres_with_a_slow_link_do_not_share_a_copy():
    # Guards against paths over a link that a few requests a second saturate.
    model = make_model(link_bytes_per_second=1e8)
    engines = [
        make_engine(f"{data_centre}{n}", "small", data_centre)
        for data_centre in "ab"
        for n in range(6)
    ]
    held = place_all(model, engines)
    assert (
        covered_layers(held, "a")
        == covered_layers(held, "b")
        == set(range(model.layers))
    )


def test_a_data_centre_without_a_copy_joins_the_one_with_the_least_capacity():
    # Guards against a data centre whose engines serve no requests.
    model = make_model()
    small = [make_engine(f"c{n}", "small", "c") for n in range(2)]
    engines = make_mixed_fleet("a") + make_mixed_fleet("b") + small
    groups = group_data_centres(model, engines, token_capacity)
    assert sorted(sorted(group.data_centres) for group in groups) == [["a", "c"], ["b"]]


def test_a_fleet_with_memory_for_one_copy_spreads_it_over_data_centres():
    # Guards against data centres that hold the same half of the layers in a fleet with
    # memory for a single copy.
    model = make_model()
    engines = [
        make_engine(f"{data_centre}{n}", "small", data_centre)
        for data_centre in "ab"
        for n in range(4)
    ]
    held = place_all(model, engines)
    assert covered_layers(held) == set(range(model.layers))


def test_a_fleet_without_memory_for_a_copy_is_placed_without_error():
    held = place_all(make_model(), [make_engine("x", "small")])
    assert len(covered_layers(held)) == 7


def test_an_engine_of_an_unknown_kind_gets_no_layers():
    engine = make_engine("x", "unknown-kind")
    assert (
        choose_layers(make_model(), engine, LayerCoverage(make_model(), {}, []), 1000.0)
        is None
    )


@given(
    st.lists(st.tuples(st.sampled_from(KINDS), st.sampled_from("abc")), max_size=16),
    st.integers(0, 100),
)
@settings(max_examples=60, deadline=None, derandomize=True)
def test_no_engine_is_assigned_more_layers_than_fit_in_its_memory(fleet, lost):
    # Guards against orders that exceed the memory of an engine and crash it, also after
    # the loss of engines and reassignments.
    model = make_model()
    engines = [
        make_engine(f"e{n}", kind, data_centre)
        for n, (kind, data_centre) in enumerate(fleet)
    ]
    held = place_all(model, engines)
    survivors = [e for n, e in enumerate(held) if n % 7 != lost % 7]
    after = {e.id: e.layers for e in survivors}
    after.update(
        (assignment.engine.id, assignment.layers)
        for assignment in choose_reassignments(model, survivors)
    )
    for engine in held:
        layers = after.get(engine.id, engine.layers)
        max_layers = layers_that_fit(model, model.kinds[engine.kind], 0.0)
        assert 0 < layers.end - layers.first <= max_layers
        assert 0 <= layers.first < layers.end <= model.layers


@given(st.integers(0, 8))
@settings(max_examples=9, deadline=None, derandomize=True)
def test_reassignments_restore_all_layers_after_the_loss_of_any_engine(lost):
    # Guards against a data centre in which some layers stay missing although the
    # remaining engines can hold all of them.
    model = make_model()
    held = place_all(model, make_mixed_fleet())
    survivors = held[:lost] + held[lost + 1 :]
    assignments = {
        assignment.engine.id: assignment.layers
        for assignment in choose_reassignments(model, survivors)
    }
    after = [e._replace(layers=assignments.get(e.id, e.layers)) for e in survivors]
    assert covered_layers(after) == set(range(model.layers))


@pytest.mark.parametrize("other_end", [40, 30])
def test_only_layers_that_the_fleet_lacks_are_ordered_urgently(other_end):
    # Guards against ending the streams that run over engines of a data centre without
    # some layers, although another one holds them and paths cross to it.
    model = make_model()
    engines = [
        make_engine("a1", "large", "a", (0, 20)),
        make_engine("a2", "large", "a", (0, 20)),
        make_engine("b1", "large", "b", (0, 20)),
        make_engine("b2", "large", "b", (20, other_end)),
    ]
    assignments = choose_reassignments(model, engines)
    assert assignments
    assert {a.urgent for a in assignments} == {other_end < 40}


def test_redundant_engines_are_reassigned_before_others():
    model = make_model()
    engines = [
        make_engine("one", "large", layers=(0, 20)),
        make_engine("two", "slow", layers=(0, 7)),
        make_engine("six", "slow", layers=(7, 14)),
        make_engine("three", "small", layers=(20, 25)),
        make_engine("four", "small", layers=(25, 30)),
        make_engine("five", "small", layers=(30, 35)),
    ]
    assignments = choose_reassignments(model, engines)
    assert {assignment.engine.id for assignment in assignments} <= {"two", "six"}
    assert assignments[0].layers.end == 40


def test_an_engine_with_many_layers_keeps_them_in_a_rebalance():
    # Guards against reloading the engine that takes longest to load each time a small
    # engine is lost.
    model = make_model()
    engines = [
        make_engine("large", "large", layers=(10, 30)),
        *[make_engine(f"low{n}", layers=(2 * n, 2 * n + 2)) for n in range(4)],
        *[make_engine(f"top{n}", layers=(30 + 5 * n, 35 + 5 * n)) for n in range(2)],
    ]
    assignments = choose_reassignments(model, engines)
    assert "large" not in {assignment.engine.id for assignment in assignments}
    after = {e.id: e.layers for e in engines}
    after.update(
        (assignment.engine.id, assignment.layers) for assignment in assignments
    )
    held = [e._replace(layers=after[e.id]) for e in engines]
    assert covered_layers(held) == set(range(40))


def test_a_bottleneck_is_rebalanced_only_if_that_is_allowed():
    model = make_model()
    engines = [
        make_engine("large", "large", layers=(0, 25)),
        make_engine("s0", layers=(25, 32)),
        make_engine("s1", layers=(32, 39)),
        make_engine("s2", layers=(33, 40)),
        *[make_engine(f"z{n}", "slow", layers=(0, 5)) for n in range(8)],
    ]
    assert choose_reassignments(model, engines) == []
    assert choose_reassignments(model, engines, may_rebalance=True) != []


def test_a_placement_without_missing_layers_is_unchanged():
    # Guards against reassignments that load layers without any benefit.
    model = make_model()
    assert choose_reassignments(model, place_all(model, make_mixed_fleet())) == []


def test_thousands_of_engines_are_placed_before_the_first_request():
    # Load pattern: a large fleet starts without layers. Guards against a placement
    # whose time grows with the square of the number of engines (600 engines took
    # 0.74 s), so that layers are loaded only after the first request. The limit is well
    # below the 12 s before requests arrive.
    model = make_model()
    engines = [
        make_engine(f"{data_centre}{n}", KINDS[n % 3], data_centre)
        for data_centre in "abc"
        for n in range(1000)
    ]
    began = time.process_time()
    held = place_all(model, engines)
    assert time.process_time() - began < 4.0
    assert len(held) == len(engines)
    for data_centre in "abc":
        assert covered_layers(held, data_centre) == set(range(model.layers))

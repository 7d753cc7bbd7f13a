"""Which layers engines get, first and after losses."""

import time
from itertools import pairwise

from hypothesis import given, settings
from hypothesis import strategies as st
from tests.unit.pool_fakes import make_engine, make_model

from bulrushdrum._internal.pipelines.data_centre_groups import (
    group_data_centres,
    group_members,
)
from bulrushdrum._internal.pipelines.fleet import Fleet
from bulrushdrum._internal.pipelines.memory_reservations import MemoryReservations
from bulrushdrum._internal.pipelines.paths import Demand, PathChooser
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
    """Give each engine its layers, as a router does for a fleet that has none."""
    capacities = token_capacity_by_data_centre(model, engines)
    near = group_members(group_data_centres(model, engines, token_capacity))
    held, coverage = [], LayerCoverage(model, near, [])
    for engine in placement_order(model, engines, near):
        layers = choose_layers(model, engine, coverage, capacities[engine.data_centre])
        if layers is not None:
            held.append(engine._replace(layers=layers))
            coverage.add(held[-1])
    return held


def covered(engines, data_centre=None):
    return {
        layer
        for engine in engines
        if engine.layers and data_centre in (None, engine.data_centre)
        for layer in range(engine.layers.first, engine.layers.end)
    }


def usual_fleet(data_centre="a"):
    return [
        make_engine(f"{data_centre}-large", "large", data_centre),
        *[make_engine(f"{data_centre}-small{n}", "small", data_centre) for n in "0123"],
        *[make_engine(f"{data_centre}-slow{n}", "slow", data_centre) for n in "0123"],
    ]


def test_each_data_centre_that_can_holds_a_whole_copy():
    # Guards against paths that must cross data centres on a calm day.
    model = make_model()
    held = place_all(model, usual_fleet("a") + usual_fleet("b"))
    assert covered(held, "a") == set(range(model.layers))
    assert covered(held, "b") == set(range(model.layers))


def test_data_centres_share_a_copy_that_would_leave_either_no_room():
    # Load pattern: a fleet that just holds a copy in each data centre, and no requests
    # beside them, under the usual load. Guards against refusing nearly all of it.
    model = make_model()
    tight = [
        make_engine(f"{place}{n}", "small", place) for place in "ab" for n in range(6)
    ]
    for place in "ab":
        local = [engine for engine in tight if engine.data_centre == place]
        assert token_capacity(model, local) < 12 * model.mean_request_tokens
    held = place_all(model, tight)
    assert covered(held) == set(range(model.layers))
    assert (
        min(token_capacity_by_data_centre(model, tight).values())
        > 36 * model.mean_request_tokens
    )
    assert choose_reassignments(model, held) == []
    # Each holds a range of its own, so that paths cross the pipe once.
    fleet = Fleet()
    fleet.replace_all(held)
    chooser = PathChooser(fleet, MemoryReservations(), "a", seed=1)
    path = chooser.choose("llm", model, Demand(700.0, 200.0))
    places = [hop.upstream.data_centre for hop in path]
    assert sum(one != other for one, other in pairwise(places)) == 1


def test_data_centres_behind_a_slow_pipe_do_not_share_a_copy():
    # Guards against paths over a pipe that a few requests a second fill.
    model = make_model(link_bytes_per_second=1e8)
    tight = [
        make_engine(f"{place}{n}", "small", place) for place in "ab" for n in range(6)
    ]
    held = place_all(model, tight)
    assert covered(held, "a") == covered(held, "b") == set(range(model.layers))


def test_a_data_centre_without_a_copy_joins_the_one_with_the_least_room():
    # Guards against a data centre whose engines serve nobody.
    model = make_model()
    small = [make_engine(f"c{n}", "small", "c") for n in range(2)]
    engines = usual_fleet("a") + usual_fleet("b") + small
    groups = group_data_centres(model, engines, token_capacity)
    assert sorted(sorted(group.data_centres) for group in groups) == [["a", "c"], ["b"]]


def test_a_fleet_that_holds_only_one_copy_spreads_it_over_data_centres():
    # Guards against two halves of the same layers in a fleet that holds one pipeline.
    model = make_model()
    engines = [
        make_engine(f"{place}{n}", "small", place) for place in "ab" for n in range(4)
    ]
    held = place_all(model, engines)
    assert covered(held) == set(range(model.layers))


def test_a_fleet_that_holds_no_copy_is_placed_without_error():
    held = place_all(make_model(), [make_engine("x", "small")])
    assert len(covered(held)) == 7


def test_an_engine_of_an_unknown_kind_gets_no_layers():
    engine = make_engine("x", "unheard-of")
    assert (
        choose_layers(make_model(), engine, LayerCoverage(make_model(), {}, []), 1000.0)
        is None
    )


@given(
    st.lists(st.tuples(st.sampled_from(KINDS), st.sampled_from("abc")), max_size=16),
    st.integers(0, 100),
)
@settings(max_examples=60, deadline=None, derandomize=True)
def test_no_engine_is_given_more_layers_than_its_memory_holds(fleet, lost):
    # Guards against orders that crash an engine, also after losses and moves.
    model = make_model()
    engines = [
        make_engine(f"e{n}", kind, place) for n, (kind, place) in enumerate(fleet)
    ]
    held = place_all(model, engines)
    survivors = [e for n, e in enumerate(held) if n % 7 != lost % 7]
    changed = {e.id: e.layers for e in survivors}
    changed.update(
        (m.engine.id, m.layers) for m in choose_reassignments(model, survivors)
    )
    for engine in held:
        layers = changed.get(engine.id, engine.layers)
        bare = layers_that_fit(model, model.kinds[engine.kind], 0.0)
        assert 0 < layers.end - layers.first <= bare
        assert 0 <= layers.first < layers.end <= model.layers


@given(st.integers(0, 8))
@settings(max_examples=9, deadline=None, derandomize=True)
def test_the_loss_of_any_engine_leaves_a_whole_copy_after_the_moves(lost):
    # Guards against a data centre that stays without some layers for good: those that
    # are left can hold all of them.
    model = make_model()
    held = place_all(model, usual_fleet())
    survivors = held[:lost] + held[lost + 1 :]
    assignments = {
        assignment.engine.id: assignment.layers
        for assignment in choose_reassignments(model, survivors)
    }
    after = [e._replace(layers=assignments.get(e.id, e.layers)) for e in survivors]
    assert covered(after) == set(range(model.layers))


def test_replicas_move_before_engines_that_others_need():
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


def test_an_engine_with_many_layers_stays_when_others_share_out():
    # Guards against the longest load of all engines each time a small one is lost.
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
    assert covered(held) == set(range(40))


def test_a_narrow_data_centre_is_widened_only_when_that_is_allowed():
    model = make_model()
    engines = [
        make_engine("large", "large", layers=(0, 25)),
        make_engine("s0", layers=(25, 32)),
        make_engine("s1", layers=(32, 39)),
        make_engine("s2", layers=(33, 40)),
        *[make_engine(f"z{n}", "slow", layers=(0, 5)) for n in range(8)],
    ]
    assert choose_reassignments(model, engines) == []
    assert choose_reassignments(model, engines, may_widen=True) != []


def test_a_whole_placement_is_left_alone():
    # Guards against moves that cost loads and bring nothing.
    model = make_model()
    assert choose_reassignments(model, place_all(model, usual_fleet())) == []


def test_thousands_of_engines_choose_within_the_time_before_the_first_request():
    # Load pattern: a large fleet starts empty. Guards against a placement whose time
    # grows with the square of the fleet, so that loads come after the first request:
    # 600 engines took 0.74 s. The bound is well below the 12 s before traffic.
    model = make_model()
    engines = [
        make_engine(f"{place}{n}", KINDS[n % 3], place)
        for place in "abc"
        for n in range(1000)
    ]
    began = time.process_time()
    held = place_all(model, engines)
    assert time.process_time() - began < 4.0
    assert len(held) == len(engines)
    for place in "abc":
        assert covered(held, place) == set(range(model.layers))

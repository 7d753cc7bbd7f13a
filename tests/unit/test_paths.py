"""Paths run every layer once, in order, and go where there is room."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from tests.unit.pool_fakes import make_engine, make_model

from bulrushdrum._internal.pipelines.errors import InsufficientMemory, NoPath
from bulrushdrum._internal.pipelines.fleet import Fleet
from bulrushdrum._internal.pipelines.memory_reservations import MemoryReservations
from bulrushdrum._internal.pipelines.paths import Demand, PathChooser

DEMAND = Demand(700.0, 200.0)


def make_chooser(engines, data_centre="a", clock=lambda: 0.0):
    fleet, reservations = Fleet(), MemoryReservations()
    for engine in engines:
        fleet.put(engine)
    chooser = PathChooser(fleet, reservations, data_centre, seed=1, clock=clock)
    return chooser, fleet, reservations


def layers_of(path):
    return [layer for hop in path for layer in range(hop.layers.first, hop.layers.end)]


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["large", "small", "slow"]),
            st.sampled_from("ab"),
            st.integers(0, 39),
            st.integers(1, 25),
        ),
        max_size=14,
    )
)
@settings(max_examples=200, deadline=None, derandomize=True)
def test_a_path_runs_every_layer_once_in_order_on_engines_that_hold_it(ranges):
    # Guards against tokens that skip a layer or run one twice.
    model = make_model(layer_bytes=5e8)
    engines = [
        make_engine(f"e{n}", kind, place, (first, min(first + length, 40)))
        for n, (kind, place, first, length) in enumerate(ranges)
    ]
    chooser, _, _ = make_chooser(engines)
    try:
        path = chooser.choose("llm", model, DEMAND)
    except (NoPath, InsufficientMemory):
        return
    assert layers_of(path) == list(range(40))
    for hop in path:
        assert hop.upstream.layers.first <= hop.layers.first
        assert hop.layers.end <= hop.upstream.layers.end
    assert len({hop.upstream.id for hop in path}) == len(path)


def two_places():
    return [
        make_engine(f"{place}{n}", "large", place, (20 * n, 20 * n + 20))
        for place in "ab"
        for n in range(2)
    ]


def test_a_path_stays_in_the_data_centre_of_its_router():
    chooser, _, _ = make_chooser(two_places(), "b")
    path = chooser.choose("llm", make_model(), DEMAND)
    assert {hop.upstream.data_centre for hop in path} == {"b"}


def test_missing_layers_are_reported_as_no_path():
    chooser, _, _ = make_chooser(two_places()[:1])
    with pytest.raises(NoPath):
        chooser.choose("llm", make_model(), DEMAND)


def test_a_path_crosses_only_if_no_data_centre_has_all_layers():
    engines = [e for e in two_places() if e.id in ("a0", "b1")]
    chooser, _, _ = make_chooser(engines)
    path = chooser.choose("llm", make_model(), DEMAND)
    assert [hop.upstream.id for hop in path] == ["a0", "b1"]


def test_a_flood_of_crossing_requests_is_bounded_by_the_pipe():
    # Load pattern: all paths must cross, and more come than the pipe between the data
    # centres carries. Guards against all of them stalling there.
    now = [0.0]
    engines = [e for e in two_places() if e.id in ("a0", "b1")]
    model = make_model()
    chooser, _, _ = make_chooser(engines, clock=lambda: now[0])
    sent = 0
    for step in range(1000):
        now[0] = step * 0.01
        try:
            chooser.choose("llm", model, DEMAND)
        except InsufficientMemory:
            continue
        sent += 1
    seconds_on_link = sent * model.transfer_seconds(DEMAND.tokens)
    assert 0 < seconds_on_link <= 10.0 * 0.5 + 0.5


def test_a_burst_fills_every_data_centre_before_it_is_refused():
    # Load pattern: a burst at one router. Guards against refusals while another data
    # centre has room, and against memory that is promised twice.
    model = make_model()
    chooser, _, reservations = make_chooser(two_places())
    used = {"a": 0, "b": 0}
    for _ in range(10_000):
        try:
            path = chooser.choose("llm", model, DEMAND)
        except InsufficientMemory:
            break
        reservations.reserve(path, DEMAND.tokens)
        used[path[0].upstream.data_centre] += 1
    room = model.capacity(model.kinds["large"], 20) / 20 / DEMAND.tokens
    for count in used.values():
        assert min(room, model.max_sequences) * 0.85 <= count <= room
    for engine in two_places():
        capacity = model.capacity(model.kinds["large"], 20)
        assert reservations.usage(engine.id).token_layers <= capacity


def test_slow_engines_are_left_to_themselves_while_fast_ones_have_room():
    engines = [
        make_engine("fast0", "large", "a", (0, 20)),
        make_engine("fast1", "large", "a", (20, 40)),
        *[make_engine(f"s{n}", "slow", "a", (5 * n, 5 * n + 5)) for n in range(8)],
    ]
    chooser, _, _ = make_chooser(engines)
    path = chooser.choose("llm", make_model(), DEMAND)
    assert [hop.upstream.id for hop in path] == ["fast0", "fast1"]


def test_an_engine_that_reports_a_slow_pace_loses_its_share():
    engines = two_places()
    chooser, _, _ = make_chooser(engines, "a")
    chooser.set_slowdown("a0", 12.0)
    path = chooser.choose("llm", make_model(), DEMAND)
    assert {hop.upstream.data_centre for hop in path} == {"b"}

"""Paths run every layer once, in order, on engines with free memory."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from tests.unit.pool_fakes import make_engine, make_limits, make_model

from bulrushdrum._internal.pipelines.demand import Demand
from bulrushdrum._internal.pipelines.errors import InsufficientMemory, NoPath
from bulrushdrum._internal.pipelines.fleet import Fleet
from bulrushdrum._internal.pipelines.memory_reservations import MemoryReservations
from bulrushdrum._internal.pipelines.paths import PathChooser

DEMAND = Demand(700.0, 200.0)


def make_chooser(engines, data_centre="a", clock=lambda: 0.0):
    fleet, reservations = Fleet(), MemoryReservations()
    for engine in engines:
        fleet.put(engine)
    chooser = PathChooser(
        fleet, reservations, make_limits(), data_centre, seed=1, clock=clock
    )
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
    # Guards against paths on which a token skips a layer or runs one twice.
    model = make_model(layer_bytes=5e8)
    engines = [
        make_engine(f"e{n}", kind, data_centre, (first, min(first + length, 40)))
        for n, (kind, data_centre, first, length) in enumerate(ranges)
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


def make_two_data_centres():
    return [
        make_engine(f"{data_centre}{n}", "large", data_centre, (20 * n, 20 * n + 20))
        for data_centre in "ab"
        for n in range(2)
    ]


def test_a_path_stays_in_the_data_centre_of_the_router():
    chooser, _, _ = make_chooser(make_two_data_centres(), "b")
    path = chooser.choose("llm", make_model(), DEMAND)
    assert {hop.upstream.data_centre for hop in path} == {"b"}


def test_missing_layers_raise_no_path():
    chooser, _, _ = make_chooser(make_two_data_centres()[:1])
    with pytest.raises(NoPath):
        chooser.choose("llm", make_model(), DEMAND)


def test_a_path_crosses_if_no_data_centre_has_all_layers():
    engines = [e for e in make_two_data_centres() if e.id in ("a0", "b1")]
    chooser, _, _ = make_chooser(engines)
    path = chooser.choose("llm", make_model(), DEMAND)
    assert [hop.upstream.id for hop in path] == ["a0", "b1"]


def test_paths_between_data_centres_are_limited_by_the_link():
    # Load pattern: all paths must cross, and more requests arrive than the link between
    # the data centres can carry. Guards against stalling all of them on the link.
    now = [0.0]
    engines = [e for e in make_two_data_centres() if e.id in ("a0", "b1")]
    model = make_model()
    chooser, _, _ = make_chooser(engines, clock=lambda: now[0])
    admitted = 0
    for step in range(1000):
        now[0] = step * 0.01
        try:
            chooser.choose("llm", model, DEMAND)
        except InsufficientMemory:
            continue
        admitted += 1
    seconds_on_link = admitted * model.transfer_seconds(DEMAND.tokens)
    assert 0 < seconds_on_link <= 10.0 * 0.5 + 0.5


def test_requests_are_refused_only_when_every_data_centre_is_full():
    # Load pattern: a burst at one router. Guards against refusing requests while
    # another data centre has free memory, and against reserving the same memory twice.
    model = make_model()
    chooser, _, reservations = make_chooser(make_two_data_centres())
    used = {"a": 0, "b": 0}
    for _ in range(10_000):
        try:
            path = chooser.choose("llm", model, DEMAND)
        except InsufficientMemory:
            break
        reservations.reserve(path, DEMAND.tokens)
        used[path[0].upstream.data_centre] += 1
    max_requests = model.capacity(model.kinds["large"], 20) / 20 / DEMAND.tokens
    for count in used.values():
        assert min(max_requests, model.max_sequences) * 0.85 <= count <= max_requests
    for engine in make_two_data_centres():
        capacity = model.capacity(model.kinds["large"], 20)
        assert reservations.usage(engine.id).token_layers <= capacity


def test_slow_engines_are_unused_while_fast_ones_have_free_memory():
    engines = [
        make_engine("fast0", "large", "a", (0, 20)),
        make_engine("fast1", "large", "a", (20, 40)),
        *[make_engine(f"s{n}", "slow", "a", (5 * n, 5 * n + 5)) for n in range(8)],
    ]
    chooser, _, _ = make_chooser(engines)
    path = chooser.choose("llm", make_model(), DEMAND)
    assert [hop.upstream.id for hop in path] == ["fast0", "fast1"]


def test_a_path_avoids_an_engine_with_a_high_slowdown():
    engines = make_two_data_centres()
    chooser, _, _ = make_chooser(engines, "a")
    chooser.set_slowdown("a0", 12.0)
    path = chooser.choose("llm", make_model(), DEMAND)
    assert {hop.upstream.data_centre for hop in path} == {"b"}


def test_a_begun_stream_finds_room_that_new_requests_leave():
    # Guards against closing streams in the middle of their answers for want of memory,
    # while new requests, which can be refused without a loss, fill all of it.
    model = make_model(max_sequences=10_000)
    engines = [
        make_engine(f"e{n}", "large", layers=(n * 20, n * 20 + 20)) for n in (0, 1)
    ]
    chooser, _, reservations = make_chooser(engines)
    with pytest.raises(InsufficientMemory):
        while True:
            path = chooser.choose("llm", model, DEMAND)
            reservations.reserve(path, DEMAND.tokens)
    begun = DEMAND._replace(has_begun=True)
    path = chooser.choose("llm", model, begun)
    assert layers_of(path) == list(range(40))
    with pytest.raises(InsufficientMemory):
        while True:
            path = chooser.choose("llm", model, begun)
            reservations.reserve(path, begun.tokens)
    used = [chooser.memory_utilization(model, engine) for engine in engines]
    assert max(used) <= 1.0

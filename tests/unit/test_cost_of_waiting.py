"""What a router computes for requests that wait grows slowly with their number."""

import time

import gevent
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from tests.unit.pool_fakes import make_engine, make_limits, make_model

from bulrushdrum._internal.gateway.turns import Turn, TurnWaiter
from bulrushdrum._internal.limits.wait_queue import Ticket, WaitQueue
from bulrushdrum._internal.pipelines.demand import Demand
from bulrushdrum._internal.pipelines.errors import InsufficientMemory, PipelineError
from bulrushdrum._internal.pipelines.fleet import Fleet
from bulrushdrum._internal.pipelines.memory_reservations import MemoryReservations
from bulrushdrum._internal.pipelines.paths import PathChooser

MODEL = make_model(layer_bytes=1e9, max_sequences=10_000)
DEMAND = Demand(700.0, 200.0)


class CountingFleet(Fleet):
    """Counts the searches for a path."""

    searches = 0

    def available(self, service):
        self.searches += 1
        return super().available(service)


def make_pool(clock=lambda: 0.0):
    fleet, reservations = CountingFleet(), MemoryReservations()
    for number in range(4):
        layers = (10 * number, 10 * number + 10)
        fleet.put(make_engine(f"e{number}", "large", layers=layers))

    def make_chooser():
        limits = make_limits()
        return PathChooser(fleet, reservations, limits, "a", seed=1, clock=clock)

    return fleet, reservations, make_chooser


def fill(chooser, reservations, demand):
    """Reserve paths until there is no memory for `demand`; return the reservations."""
    made = []
    while True:
        try:
            path = chooser.choose("llm", MODEL, demand)
        except InsufficientMemory:
            return made
        made.append(reservations.reserve(path, demand.tokens))


def test_requests_that_wait_for_memory_do_not_each_search_when_one_ends():
    # Guards against an event loop that is late because each of many waiting requests
    # searches a path whenever a request ends.
    fleet, reservations, make_chooser = make_pool(time.monotonic)
    chooser = make_chooser()
    fill(chooser, reservations, DEMAND)
    small = fill(chooser, reservations, Demand(10.0, 10.0))[-1]
    turns = TurnWaiter(make_limits())

    def wait():
        turn = Turn(
            "llm",
            time.monotonic(),
            None,
            time.monotonic() + 0.15,
            object(),
            (InsufficientMemory,),
        )
        with pytest.raises(InsufficientMemory):
            turns.wait(turn, lambda: chooser.choose("llm", MODEL, DEMAND))

    waiting = [gevent.spawn(wait) for _ in range(100)]
    gevent.sleep(0.05)
    fleet.searches = 0
    reservations.release(small)
    turns.notify()
    gevent.sleep(0)
    gevent.sleep(0)
    assert 1 <= fleet.searches <= 10
    gevent.joinall(waiting, raise_error=True)


def test_a_waiting_request_gets_memory_as_soon_as_it_is_freed():
    # Guards against a shortage that is remembered after memory has been freed.
    _, reservations, make_chooser = make_pool()
    chooser = make_chooser()
    made = fill(chooser, reservations, DEMAND)
    with pytest.raises(InsufficientMemory):
        chooser.choose("llm", MODEL, DEMAND)
    reservations.release(made[-1])
    assert chooser.choose("llm", MODEL, DEMAND)


def test_a_shortage_is_forgotten_although_this_router_frees_nothing():
    # Guards against requests that go on waiting after a peer has freed memory.
    now = [0.0]
    _, reservations, make_chooser = make_pool(lambda: now[0])
    chooser = make_chooser()
    peer_chooser = make_chooser()
    made = fill(peer_chooser, reservations, DEMAND)
    usage = dict(reservations.own_usage())
    for reservation in made:
        reservations.release(reservation)
    reservations.set_peer_usage("peer", usage)
    with pytest.raises(InsufficientMemory):
        chooser.choose("llm", MODEL, DEMAND)
    reservations.set_peer_usage("peer", {})
    now[0] += 0.02
    assert chooser.choose("llm", MODEL, DEMAND)


@given(st.lists(st.tuples(st.booleans(), st.integers(1, 60)), max_size=60))
@settings(max_examples=50, deadline=None, derandomize=True)
def test_a_remembered_shortage_refuses_only_what_a_search_refuses(steps):
    # Guards against requests that are refused although there is memory for them.
    _, reservations, make_chooser = make_pool()
    chooser, made = make_chooser(), []
    for is_release, size in steps:
        if is_release and made:
            reservations.release(made.pop(size % len(made)))
            continue
        demand = Demand(size * 10_000.0, 200.0)
        try:
            path = chooser.choose("llm", MODEL, demand)
        except PipelineError:
            with pytest.raises(InsufficientMemory):
                make_chooser().choose("llm", MODEL, demand)
        else:
            made.append(reservations.reserve(path, demand.tokens))


class CountingRank(float):
    """A rank that counts how often it is compared."""

    comparisons = 0

    def __lt__(self, other):
        CountingRank.comparisons += 1
        return float.__lt__(self, other)


@pytest.mark.parametrize("length", [100, 1600])
def test_the_place_in_the_queue_is_found_without_a_look_at_each_request(length):
    # Guards against an event loop that is late because each of many waiting requests
    # counts the whole queue.
    queue = WaitQueue()
    tickets = [Ticket("s", CountingRank(rank)) for rank in range(length)]
    for ticket in tickets:
        queue.set_waiting(ticket, True)
    CountingRank.comparisons = 0
    assert [queue.waiting_ahead(ticket) for ticket in tickets] == list(range(length))
    assert CountingRank.comparisons <= length * 12


def test_a_request_that_has_stopped_waiting_is_not_counted():
    # Guards against requests that wait behind one that has left.
    queue = WaitQueue()
    first, second = (queue.join("s", at, None) for at in (1.0, 2.0))
    assert queue.waiting_ahead(second) == 0
    queue.set_waiting(first, True)
    queue.set_waiting(first, True)
    assert (queue.waiting_ahead(second), len(queue)) == (1, 1)
    queue.set_waiting(first, False)
    assert (queue.waiting_ahead(second), len(queue)) == (0, 0)

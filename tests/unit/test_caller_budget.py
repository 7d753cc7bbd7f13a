"""Which caller connections are shed; load: callers that hold memory or connections."""

from bulrushdrum._internal.gateway.caller_budget import (
    CONNECTION_BYTES,
    CallerBudget,
    Holding,
    Phase,
)

MB = 1_000_000


class FakeConnection:
    """Records what the budget does with it; `name` identifies it in `shed`."""

    def __init__(self, shed, name, is_busy=False):
        self._shed = shed
        self._name = name
        self._is_busy = is_busy

    def close_idle(self):
        if not self._is_busy:
            self._shed.append(f"idle {self._name}")
        return not self._is_busy

    def refuse_request(self):
        self._shed.append(self._name)


class Connections:
    """A budget with one group, whose clock moves by 1 s with each connection."""

    def __init__(self, max_bytes=10 * MB, max_connections=100):
        self.now = 0.0
        self.shed = []
        self.budget = CallerBudget(max_bytes, clock=lambda: self.now)
        self.group = self.budget.add_group(max_connections)

    def add(self, name, held_bytes=0, phase=Phase.IDLE, is_busy=False):
        self.now += 1.0
        holding = Holding(FakeConnection(self.shed, name, is_busy))
        if not self.group.add(holding):
            return None
        self.group.enter(holding, phase)
        self.budget.hold(holding, held_bytes)
        return holding


def test_idle_connections_are_shed_before_requests_and_the_oldest_first():
    # Guards against refusing a request for memory that idle connections take.
    connections = Connections(max_bytes=MB)
    connections.add("a")
    connections.add("b")
    connections.add("c", MB - 3 * CONNECTION_BYTES + 1, Phase.RECEIVING)
    assert connections.shed[:2] == ["idle a", "idle b"]


def test_the_largest_request_is_shed_and_the_oldest_of_equal_ones():
    # Guards against refusing small requests while a large one holds the memory.
    connections = Connections()
    connections.add("small", 10_000, Phase.RECEIVING)
    connections.add("old", 4 * MB, Phase.RECEIVING)
    connections.add("new", 4 * MB, Phase.RECEIVING)
    connections.add("last", 3 * MB, Phase.RECEIVING)
    assert connections.shed == ["old"]
    assert connections.budget.held_bytes < 10 * MB
    assert connections.budget.requests_shed == 1


def test_a_request_that_has_arrived_is_never_shed():
    # Guards against a refusal as not run of a request that may be running.
    connections = Connections()
    for number in range(4):
        connections.add(str(number), 4 * MB, Phase.HANDLING)
    assert connections.shed == []
    connections.add("new", 100_000, Phase.RECEIVING)
    assert connections.shed == ["new"]


def test_a_large_body_needs_room_and_small_requests_do_not():
    # Guards against accepting bodies of which all have to be dropped half way.
    connections = Connections()
    assert connections.budget.accepts_large_body(4 * MB)
    assert connections.budget.accepts_large_body(None)
    connections.add("a", 8 * MB, Phase.HANDLING)
    assert not connections.budget.accepts_large_body(4 * MB)
    assert not connections.budget.accepts_large_body(None)
    assert connections.budget.bodies_refused == 2
    connections.add("b", 16_384, Phase.RECEIVING)
    assert connections.shed == []


def test_what_ended_connections_held_is_free_again():
    # Guards against a budget that fills up with what nothing holds any more.
    connections = Connections(max_connections=3)
    for number in range(50):
        phase = list(Phase)[number % 3]
        holding = connections.add(str(number), 1000 * number, phase)
        connections.group.enter(holding, Phase.HANDLING)
        connections.group.remove(holding)
        connections.group.remove(holding)
        connections.budget.hold(holding, 5000)
    assert connections.budget.held_bytes == 0


def test_a_new_connection_takes_the_place_of_the_one_idle_for_longest():
    # Guards against idle connections that keep all others out.
    connections = Connections(max_connections=3)
    connections.add("a", phase=Phase.HANDLING)
    connections.add("b", is_busy=True)
    connections.add("c")
    assert connections.add("d") is not None
    assert connections.shed == ["idle c"]
    assert connections.group.closed_idle == 1


def test_a_new_connection_is_closed_if_no_other_is_idle():
    # Guards against connections in excess of the descriptors.
    connections = Connections(max_connections=2)
    connections.add("a", phase=Phase.HANDLING)
    connections.add("b", phase=Phase.RECEIVING)
    assert connections.add("c") is None
    assert connections.shed == []
    assert connections.budget.closed_new == 1


def test_groups_share_the_memory_and_not_the_connections():
    # Guards against callers that keep health checks out.
    connections = Connections(max_connections=1)
    connections.add("a", phase=Phase.HANDLING)
    other = connections.budget.add_group(1)
    assert other.add(Holding(FakeConnection(connections.shed, "check")))
    connections.budget.hold(Holding(None), 0)
    connections.now += 1
    holding = next(iter(other._idle))
    other.enter(holding, Phase.RECEIVING)
    connections.budget.hold(holding, 11 * MB)
    assert connections.shed == ["check"]


def test_accepting_a_connection_tries_few_idle_ones():
    # Guards against a look at all connections for each new one while many of them have
    # requests that are not read yet.
    connections = Connections(max_connections=200)
    for number in range(199):
        connections.add(str(number), is_busy=True)
    connections.add("free")
    assert connections.add("new") is None
    assert connections.group.closed_new == 1

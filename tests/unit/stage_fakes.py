"""A stage in one process, with a fake engine, fake peers and a fake next stage."""

import time
from types import SimpleNamespace

import gevent

from bulrushdrum._internal.peering.errors import ConnectionLost
from bulrushdrum._internal.peering.handshake import PeerIdentity
from bulrushdrum._internal.peering.request_messages import ChainStage, Open, Step, Steps
from bulrushdrum._internal.settings.sidecar import SidecarSettings
from bulrushdrum._internal.sidecar.bindings import BindingTable
from bulrushdrum._internal.sidecar.engine_client import EngineState
from bulrushdrum._internal.sidecar.stages import StageExecutor
from bulrushdrum._internal.sidecar.status import UpstreamStatus

LOCAL = PeerIdentity("sidecar", "s1", "s1.x", "dc", "127.0.0.1:20001")
ENTRY = PeerIdentity("entry", "e1", "e1.x", "dc", "127.0.0.1:20002")
LAST_STAGE = PeerIdentity("sidecar", "s2", "s2.x", "dc", "127.0.0.1:20003")
ENGINE_STATE = EngineState("m", "1", 0, 4, 8, "a", 0.0, 8, True, "", ())


def make_settings(**changes) -> SidecarSettings:
    values = {
        "node": "s1",
        "data_centre": "dc",
        "listen": LOCAL.address,
        "upstream_url": "http://127.0.0.1:20004",
        "keys": {"k1": "0123456789abcdef"},
        "current_key": "k1",
        **changes,
    }
    return SidecarSettings(**values)


class FakeConnection:
    """A peer connection that records the messages sent on it."""

    def __init__(self, identity):
        self.peer = identity
        self.closed = False
        self.sent = []

    def send(self, message):
        if self.closed:
            raise ConnectionLost("closed")
        self.sent.append(message)

    def messages(self, message_type):
        """Return the sent messages of one type."""
        return [message for message in self.sent if isinstance(message, message_type)]


class FakeHub:
    """Holds fake connections and passes messages to the registered handlers."""

    def __init__(self, *connections):
        self.local_identity = LOCAL
        self.handlers = {}
        self.connections_by_incarnation = {
            connection.peer.incarnation: connection for connection in connections
        }

    def register(self, message_type, handler):
        self.handlers[message_type] = handler

    def connection_to(self, incarnation):
        return self.connections_by_incarnation.get(incarnation)

    def receive(self, connection, message):
        self.handlers[type(message)](connection, message)


class FakeEngine:
    """Records every step; the hook `before_result(steps)` may block or raise.

    `overlaps` lists the sequences that were in two concurrent calls.
    """

    def __init__(self):
        self.steps = []
        self.calls = 0
        self.released = []
        self.loaded_model = ENGINE_STATE.loaded_model
        self.overlaps = []
        self._running = []
        self.before_result = lambda steps: None

    def run_steps(self, steps):
        self.calls += 1
        self.steps += steps
        sequences = [(step["request"], step["attempt"]) for step in steps]
        self.overlaps += [key for key in sequences if key in self._running]
        self._running += sequences
        try:
            self.before_result(steps)
            for _ in range(4):  # lets another call start in the meantime
                gevent.sleep(0)
        finally:
            self._running = [key for key in self._running if key not in sequences]
        results = [
            {
                **{name: step[name] for name in ("request", "attempt", "position")},
                "count": step["count"],
                "activation": "ab" * step["count"],
                "token": step["position"] + step["count"],
                "text": "w ",
                "stop": False,
            }
            for step in steps
        ]
        return self.loaded_model, {
            (result["request"], result["attempt"]): result for result in results
        }

    def release(self, sequences):
        self.released += sequences


class StageUnderTest:
    """Stage 0 of a chain of one or two stages.

    `next_hop` is the connection dialled to the last stage, and `last_stage` the one
    that the last stage has dialled.
    """

    def __init__(self, stages=2, state=None, **settings):
        self.entry, self.last_stage, self.next_hop = (
            FakeConnection(ENTRY),
            FakeConnection(LAST_STAGE),
            FakeConnection(LAST_STAGE),
        )
        self.hub = FakeHub(self.entry, self.last_stage)
        self.engine = FakeEngine()
        self.settings = make_settings(**settings)
        self.status = UpstreamStatus(self.settings)
        self.status.update(
            engine=state or ENGINE_STATE._replace(model_layers=4 * stages)
        )
        self.bindings = BindingTable(LOCAL.incarnation, time.monotonic)
        next_hops = SimpleNamespace(find_connection=lambda stage: self.next_hop)
        self.stages = StageExecutor(
            self.hub,
            self.settings,
            self.engine,
            self.status,
            self.bindings,
            next_hops,
        )
        self.stages.step_loop.set_engine_capacity(8, 0.0)
        self.stages.step_loop.start()
        self.chain = (
            ChainStage("s1", LOCAL.incarnation, LOCAL.address, 0, 4),
            ChainStage("s2", LAST_STAGE.incarnation, LAST_STAGE.address, 4, 8),
        )[:stages]

    def make_open(self, request="r", attempt=1, **changes):
        values = {
            "request": request,
            "attempt": attempt,
            "chain": self.chain,
            "customer": "warwick",
            "weight": 1.0,
            "priority": 4,
            "max_tokens": 5,
            "prompt_tokens": 3,
            "model": "m",
            "model_version": "1",
            "fingerprint": f"f-{request}",
            **changes,
        }
        return Open(**values)

    def open(self, *args, **changes):
        """Deliver an `Open` to the stage and return the `Opened` that it sends."""
        self.hub.receive(self.entry, self.make_open(*args, **changes))
        return self.entry.sent[-1]

    def step(self, position, tokens, request="r", attempt=1, connection=None):
        """Deliver a step to the stage, by default from the entry."""
        step = Step(request, attempt, position, len(tokens), tuple(tokens))
        self.hub.receive(connection or self.entry, Steps((step,)))

    def settle(self, seconds=0.0):
        """Switch to other greenlets 100 times, then sleep for `seconds`."""
        for _ in range(100):
            gevent.sleep(0)
        gevent.sleep(seconds)

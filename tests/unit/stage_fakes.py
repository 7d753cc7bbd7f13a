"""A stage without processes: its engine, its peers and its next stage are fakes."""

import time
from types import SimpleNamespace

import gevent

from bulrushdrum._internal.peering.errors import ConnectionLost
from bulrushdrum._internal.peering.handshake import PeerIdentity
from bulrushdrum._internal.peering.messages import ChainStage, Open, Step, Steps
from bulrushdrum._internal.settings.sidecar import SidecarSettings
from bulrushdrum._internal.sidecar.bindings import BindingTable
from bulrushdrum._internal.sidecar.engine_client import EngineState
from bulrushdrum._internal.sidecar.stages import Stages
from bulrushdrum._internal.sidecar.status import UpstreamStatus

LOCAL = PeerIdentity("sidecar", "s1", "s1.x", "dc", "127.0.0.1:20001")
ENTRY = PeerIdentity("entry", "e1", "e1.x", "dc", "127.0.0.1:20002")
LAST = PeerIdentity("sidecar", "s2", "s2.x", "dc", "127.0.0.1:20003")
STATE = EngineState("m", "1", 0, 4, 8, "a", 0.0, 8, True, "", ())


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


class Peer:
    """A connection that keeps what is sent on it."""

    def __init__(self, identity):
        self.peer = identity
        self.closed = False
        self.sent = []

    def send(self, message):
        if self.closed:
            raise ConnectionLost("closed")
        self.sent.append(message)

    def of(self, kind):
        return [message for message in self.sent if isinstance(message, kind)]


class Hub:
    def __init__(self, *peers):
        self.local_identity = LOCAL
        self.handlers = {}
        self.peers = {peer.peer.incarnation: peer for peer in peers}

    def register(self, kind, handler):
        self.handlers[kind] = handler

    def connection_to(self, incarnation):
        return self.peers.get(incarnation)

    def receive(self, peer, message):
        self.handlers[type(message)](peer, message)


class Engine:
    """Keeps every step it is given; `fail(steps)` may block or raise.

    `overlaps` has the sequences that were in two calls at once.
    """

    def __init__(self):
        self.steps = []
        self.calls = 0
        self.released = []
        self.loaded_model = STATE.loaded_model
        self.overlaps = []
        self._running = []
        self.fail = lambda steps: None

    def run_steps(self, steps):
        self.calls += 1
        self.steps += steps
        sequences = [(step["request"], step["attempt"]) for step in steps]
        self.overlaps += [one for one in sequences if one in self._running]
        self._running += sequences
        try:
            self.fail(steps)
            for _ in range(4):  # long enough for another call to begin meanwhile
                gevent.sleep(0)
        finally:
            self._running = [one for one in self._running if one not in sequences]
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
            (one["request"], one["attempt"]): one for one in results
        }

    def release(self, sequences):
        self.released += sequences


class StageUnderTest:
    """Stage 0 of two, or the only one; the next stage is the peer `last`."""

    def __init__(self, stages=2, state=None, **settings):
        self.entry, self.last, self.next = Peer(ENTRY), Peer(LAST), Peer(LAST)
        self.hub = Hub(self.entry, self.last)
        self.engine = Engine()
        self.settings = make_settings(**settings)
        self.status = UpstreamStatus(self.settings)
        self.status.update(engine=state or STATE._replace(model_layers=4 * stages))
        self.bindings = BindingTable(LOCAL.incarnation, time.monotonic)
        next_hops = SimpleNamespace(connected=lambda stage: self.next)
        self.stages = Stages(
            self.hub,
            self.settings,
            self.engine,
            self.status,
            self.bindings,
            next_hops,
        )
        self.stages.loop.set_engine(8, 0.0)
        self.stages.loop.start()
        self.chain = (
            ChainStage("s1", LOCAL.incarnation, LOCAL.address, 0, 4),
            ChainStage("s2", LAST.incarnation, LAST.address, 4, 8),
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
        """Let the stage receive an `Open` and return its answer."""
        self.hub.receive(self.entry, self.make_open(*args, **changes))
        return self.entry.sent[-1]

    def step(self, position, tokens, request="r", attempt=1, peer=None):
        step = Step(request, attempt, position, len(tokens), tuple(tokens))
        self.hub.receive(peer or self.entry, Steps((step,)))

    def settle(self, seconds=0.0):
        for _ in range(100):
            gevent.sleep(0)
        gevent.sleep(seconds)

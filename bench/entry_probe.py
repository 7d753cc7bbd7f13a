"""A minimal entry for tests and measurements of sidecars.

It opens attempts, sends steps and collects tokens, without any check or retry. Also
starts engines, services and sidecars as child processes.
"""

import itertools
import json
import os
import time
from pathlib import Path
from typing import NamedTuple

import gevent
import urllib3
from gevent.event import AsyncResult
from gevent.queue import Queue

from bench.processes import Process
from bulrushdrum._internal.peering.connections import dial
from bulrushdrum._internal.peering.handshake import PeerIdentity, PeeringKeys
from bulrushdrum._internal.peering.hub import PeerHub
from bulrushdrum._internal.peering.process_messages import (
    Beat,
    CacheEvents,
    Describe,
    Dump,
    DumpQuery,
)
from bulrushdrum._internal.peering.request_messages import (
    AttemptFailed,
    Call,
    CallResult,
    ChainStage,
    Close,
    Open,
    Opened,
    Resolved,
    Step,
    Tokens,
)
from bulrushdrum._internal.peering.shared_state_messages import (
    OrderLease,
    OrderLeaseRequest,
)

SECRET = "a-shared-secret-for-tests"
KEYS = PeeringKeys("k1", {"k1": SECRET.encode()})


def start_engine(directory, port, name, **options) -> Process:
    """Start an engine stand-in; `options` are its flags with underscores."""
    arguments = ["-m", "bench.standins.engine", "--address", f"127.0.0.1:{port}"]
    for flag, value in {"engine": name, **options}.items():
        arguments += [f"--{flag.replace('_', '-')}", str(value)]
    process = Process(f"engine-{name}", arguments, directory)
    process.start()
    wait_for_http(f"http://127.0.0.1:{port}/v1/engine")
    return process


def start_service(directory, port, name) -> Process:
    arguments = ["-m", "bench.standins.plain_service", "--address", f"127.0.0.1:{port}"]
    process = Process(f"service-{name}", arguments, directory)
    process.start()
    process.wait_listening(f"127.0.0.1:{port}")
    return process


def start_sidecar(directory, port, name, upstream_port, **settings) -> Process:
    """Start a sidecar; `settings` extend or override those of its settings file."""
    values = {
        "node": name,
        "data_centre": "dc1",
        "listen": f"127.0.0.1:{port}",
        "upstream_url": f"http://127.0.0.1:{upstream_port}",
        "keys": {"k1": SECRET},
        "current_key": "k1",
        **settings,
    }
    path = directory / f"{name}.json5"
    path.write_text(json.dumps(values), encoding="utf-8")
    arguments = ["-m", "bulrushdrum._internal.sidecar.process", "--settings", str(path)]
    process = Process(f"sidecar-{name}", arguments, directory)
    process.start()
    process.wait_listening(values["listen"])
    return process


def processor_seconds(process: Process) -> float:
    """Return the processor time that `process` has used, user and system."""
    text = Path(f"/proc/{process.pid}/stat").read_text()
    fields = text.rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def memory_kb(process: Process) -> dict[str, int]:
    """Return the resident, anonymous resident and peak resident memory in KB."""
    lines = Path(f"/proc/{process.pid}/status").read_text().splitlines()
    values = dict(line.split(":", 1) for line in lines)
    names = ("VmRSS", "RssAnon", "VmHWM")
    return {name: int(values[name].split()[0]) for name in names}


def wait_for_http(url: str, timeout: float = 10.0):
    deadline = time.monotonic() + timeout
    while True:
        try:
            return urllib3.request("GET", url, retries=False, timeout=1.0)
        except urllib3.exceptions.HTTPError:
            if time.monotonic() > deadline:
                raise
            gevent.sleep(0.05)


def set_faults(port: int, **faults):
    """Set the faults of the stand-in on `port`."""
    urllib3.request(
        "POST", f"http://127.0.0.1:{port}/v1/faults", json=faults, retries=False
    )


def read_journal(port: int) -> list[dict]:
    data = wait_for_http(f"http://127.0.0.1:{port}/v1/journal").data
    return [json.loads(line) for line in data.splitlines()]


class AttemptResult(NamedTuple):
    """The result of one attempt: its tokens, and the failure if there was one."""

    tokens: tuple
    failure: AttemptFailed | Opened | None
    seconds: float


class EntryProbe:
    """Connects to sidecars as an entry does, over the peering protocol."""

    def __init__(
        self,
        name: str = "entry-1",
        desired: dict | None = None,
        beat_interval: float = 0.1,
    ):
        self.hub = PeerHub(PeerIdentity("entry", name, f"{name}.x", "dc1", ""))
        self.described: dict[str, Describe] = {}
        self.beats: dict[str, Beat] = {}
        self.events: list = []
        self.desired = desired or {}
        self.leases_granted = 0
        self._beat_interval = beat_interval
        self._queues: dict[str, Queue] = {}
        self._replies: dict[str, AsyncResult] = {}
        self._ids = itertools.count(1)
        register = self.hub.register
        register(Describe, self._on_describe)
        register(Beat, self._on_beat)
        register(Opened, self._dispatch_to_request)
        register(AttemptFailed, self._dispatch_to_request)
        register(Tokens, self._on_tokens)
        register(CallResult, self._on_call_result)
        register(Resolved, self._on_call_result)
        register(CacheEvents, lambda _, message: self.events.append(message))
        register(OrderLeaseRequest, self._on_lease_request)
        register(Dump, self._on_dump)
        self._beater = gevent.spawn(self._send_heartbeats)

    def connect(self, port: int, timeout: float = 10.0):
        """Connect to the sidecar on `port` and wait until it reports `serving`."""
        deadline = time.monotonic() + timeout
        while True:
            try:
                connection = dial(f"127.0.0.1:{port}", self.hub.local_identity, KEYS)
                break
            except Exception:
                if time.monotonic() > deadline:
                    raise
                gevent.sleep(0.05)
        gevent.spawn(self.hub.serve, connection)
        node = connection.peer.node
        while (
            node not in self.described or self.described[node].state != "serving"
        ) and time.monotonic() < deadline:
            gevent.sleep(0.02)
        return connection

    def close(self):
        self._beater.kill()
        for connection in self.hub.connections():
            connection.close()

    def chain(self, connections) -> tuple[ChainStage, ...]:
        stages = []
        for connection in connections:
            peer, description = connection.peer, self.described[connection.peer.node]
            stages.append(
                ChainStage(
                    description.upstream,
                    peer.incarnation,
                    peer.address,
                    description.first_layer,
                    description.end_layer,
                )
            )
        return tuple(stages)

    def make_open(self, connections, request, prompt, max_tokens, **changes) -> Open:
        description = self.described[connections[0].peer.node]
        values = {
            "request": request,
            "attempt": 1,
            "chain": self.chain(connections),
            "customer": "warwick",
            "weight": 1.0,
            "priority": 4,
            "seed": 7,
            "max_tokens": max_tokens,
            "prompt_tokens": len(prompt),
            "model": description.model,
            "model_version": description.model_version,
            "fingerprint": f"f-{request}",
            **changes,
        }
        return Open(**values)

    def open(self, connections, open_message: Open, timeout=5.0):
        """Send `open_message` to all stages and return the first refusal, or None."""
        queue = self._queues.setdefault(open_message.request, Queue())
        for stage, connection in enumerate(connections):
            connection.send(open_message._replace(stage=stage))
        for _ in connections:
            reply = queue.get(timeout=timeout)
            if not isinstance(reply, Opened) or not reply.accepted:
                return reply
        return None

    def request(
        self, connections, prompt, max_tokens, request="", timeout=30.0, **changes
    ) -> AttemptResult:
        """Run one attempt, from opening to closing it."""
        started = time.monotonic()
        request = request or f"r{next(self._ids)}"
        open_message = self.make_open(
            connections, request, prompt, max_tokens, **changes
        )
        refusal = self.open(connections, open_message)
        if refusal is not None:
            self.close_attempt(connections, open_message, "refused")
            return AttemptResult((), refusal, time.monotonic() - started)
        step = Step(request, open_message.attempt, 0, len(prompt), tuple(prompt))
        connections[0].send(step)
        tokens, failure = self.collect(request, timeout)
        self.close_attempt(connections, open_message, "finished")
        return AttemptResult(tuple(tokens), failure, time.monotonic() - started)

    def collect(self, request: str, timeout: float):
        """Return the tokens of an attempt up to the final one, and its failure."""
        tokens, queue = [], self._queues[request]
        while True:
            message = queue.get(timeout=timeout)
            if isinstance(message, (AttemptFailed, Opened)):
                return tokens, message
            tokens.append(message)
            if message.final:
                return tokens, None

    def close_attempt(self, connections, open_message: Open, reason: str):
        self._queues.pop(open_message.request, None)
        for connection in connections:
            if not connection.closed:
                connection.send(
                    Close(open_message.request, open_message.attempt, reason)
                )

    def call(self, connection, timeout: float = 10.0, **values) -> CallResult:
        values = {"customer": "warwick", "timeout_ms": 5000, "weight": 1.0, **values}
        call = f"c{next(self._ids)}"
        return self.ask(connection, Call(call=call, **values), timeout)

    def ask(self, connection, message, timeout: float = 10.0):
        """Send a `Call` or `Resolve` and return the message that replies to it."""
        reply = self._replies[message.call] = AsyncResult()
        connection.send(message)
        return reply.get(timeout=timeout)

    def dump(self, connection, timeout: float = 5.0) -> dict:
        reply = self._replies["dump"] = AsyncResult()
        connection.send(DumpQuery("dump"))
        return json.loads(reply.get(timeout=timeout).state)

    def _send_heartbeats(self):
        while True:
            for connection in self.hub.connections():
                connection.send(Beat())
            gevent.sleep(self._beat_interval)

    def _on_describe(self, connection, message):
        self.described[connection.peer.node] = message

    def _on_beat(self, connection, message):
        self.beats[connection.peer.node] = message

    def _dispatch_to_request(self, connection, message):
        queue = self._queues.get(message.request)
        if queue is not None:
            queue.put(message)

    def _on_tokens(self, connection, message):
        for token in message.tokens:
            self._dispatch_to_request(connection, token)

    def _on_call_result(self, connection, message):
        self._replies[message.call].set(message)

    def _on_dump(self, connection, message):
        self._replies["dump"].set(message)

    def _on_lease_request(self, connection, message):
        self.leases_granted += 1
        desired = self.desired.get(message.upstream, (0, None))
        connection.send(
            OrderLease(
                message.token,
                True,
                message.epoch or 1,
                desired[0],
                json.dumps(desired[1]) if desired[1] is not None else "",
            )
        )

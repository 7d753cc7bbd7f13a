"""The engine stand-in without its HTTP interface: batching, KV cache, faults, journal.

One greenlet runs iterations. Each takes up to `slots` pending steps, lasts a base time
plus a time per token, and then folds every layer of every position into the digests of
the sequence (see `model_digest`).
"""

import hashlib
import os
import time
from collections import OrderedDict, deque
from dataclasses import dataclass, field
from typing import NamedTuple

import gevent
from gevent.event import AsyncResult, Event

from bench.standins.model_digest import (
    POSITION_BYTES,
    embed,
    layer_constant,
    pack_activations,
    run_layer,
    sample,
    unpack_activations,
)
from bench.standins.web import JournalFile

CRASH_STATUS = 70
# Tokens per block of the prefix cache. Only the first step of a sequence is looked up.
PREFIX_BLOCK = 64
_ACTIVATION_BLOCK = 2 * POSITION_BYTES * PREFIX_BLOCK  # hexadecimal digits
_LOAD_HISTORY_SIZE = 400


@dataclass
class EngineOptions:
    """Identity, speed and limits of an engine; each field is a command-line flag."""

    engine: str = "engine"
    model: str = "warwick-7b"
    model_version: str = "1"
    first_layer: int = 0
    end_layer: int = 8
    model_layers: int = 8
    accelerator: str = "a"
    tokens_per_second: float = 0.0  # 0: tokens take no time
    iteration_ms: float = 0.0
    slots: int = 64
    checks_fencing: bool = True
    journal: str = ""
    prefix_blocks: int = 0  # 0: no prefix cache
    cache_event_delay_ms: float = 300.0
    cache_event_loss: float = 0.05
    load_lag_ms: float = 250.0
    fault_seed: int = 1


class Run(NamedTuple):
    """One executed step; `layers` are in the order of execution."""

    request: str
    attempt: int
    position: int
    count: int
    layers: tuple[int, ...]
    order: int
    cached: int

    def lines(self):
        """Yield a journal line per layer and position, in the order of execution."""
        for layer in self.layers:
            for position in range(self.position, self.position + self.count):
                yield {
                    "request": self.request,
                    "attempt": self.attempt,
                    "position": position,
                    "layer": layer,
                    "order": self.order,
                }


@dataclass
class Faults:
    """Faults to inject, set by `POST /v1/faults`; each field is one fault."""

    double_layer: int = -1  # layer to run twice
    skip_layer: int = -1  # layer to leave out
    crash_on_token: int = -1  # crash on a step with this input token
    crash_at_step: int = 0  # crash at the n-th step from now
    crash_before_run: bool = False  # crash before the step runs, not after it
    delay_seconds: float = 0.0  # added to each iteration
    stall_seconds: float = 0.0  # added to the next iteration only
    lose_answers: int = 0  # run the next n calls, then close the connection
    delay_order_seconds: float = 0.0  # delay before an order takes effect
    lose_order_answers: int = 0  # apply the next n orders without a response


@dataclass
class _Sequence:
    caches: list[int]
    next_position: int = 0
    prefix: int = 0


@dataclass
class _PendingStep:
    step: dict
    result: AsyncResult = field(default_factory=AsyncResult)


def prefix_hashes(step: dict) -> list[str]:
    """Return the hashes of the prefixes of 1, 2, 3... full blocks of a step's input.

    A hash is the first 16 hexadecimal digits of a SHA-256: at layer 0 of the token ids
    joined with commas, at later layers of the encoded activations.
    """
    if "tokens" in step:
        tokens = step["tokens"]
        inputs = [
            ",".join(map(str, tokens[:end]))
            for end in range(PREFIX_BLOCK, len(tokens) + 1, PREFIX_BLOCK)
        ]
    else:
        text = step["activation"]
        ends = range(_ACTIVATION_BLOCK, len(text) + 1, _ACTIVATION_BLOCK)
        inputs = [text[:end] for end in ends]
    return [hashlib.sha256(text.encode()).hexdigest()[:16] for text in inputs]


class PrefixCache:
    """LRU cache of prefixes whose events are delayed and sometimes lost."""

    def __init__(self, options: EngineOptions, random):
        self._options = options
        self._random = random
        self._blocks = OrderedDict()
        self._events = deque(maxlen=10_000)
        self._sequence = 0

    def lookup(self, prefixes: list[str]) -> int:
        """Return how many leading blocks were cached, and cache all of them."""
        cached = 0
        for prefix in prefixes:
            if prefix not in self._blocks:
                break
            cached += 1
        for prefix in prefixes:
            if prefix not in self._blocks:
                self._record(prefix, True)
            self._blocks[prefix] = True
            self._blocks.move_to_end(prefix)
        while len(self._blocks) > self._options.prefix_blocks:
            evicted, _ = self._blocks.popitem(last=False)
            self._record(evicted, False)
        return cached

    def _record(self, prefix, stored):
        self._sequence += 1
        if self._random.random() < self._options.cache_event_loss:
            return
        due_at = time.monotonic() + self._options.cache_event_delay_ms / 1000
        event = {
            "sequence": self._sequence,
            "prefix": prefix,
            "stored": stored,
        }
        self._events.append((due_at, event))

    def events(self, after: int) -> list[dict]:
        now = time.monotonic()
        return [
            e for due_at, e in self._events if due_at <= now and e["sequence"] > after
        ]


class BatchingEngine:
    """A model engine that holds the layers of `options` and batches continuously."""

    def __init__(self, options: EngineOptions, random):
        self.options = options
        self.faults = Faults()
        self.runs: list[Run] = []
        self.prefix_cache = PrefixCache(options, random)
        self._journal = JournalFile(options.journal)
        self._sequences: dict[tuple[str, int], _Sequence] = {}
        self._pending: list[_PendingStep] = []
        self._arrived = Event()
        self._order = 0
        self._loads = deque([(time.monotonic(), 0, 0)], maxlen=_LOAD_HISTORY_SIZE)
        self._load_constants()

    def _load_constants(self):
        options = self.options
        self._layers = tuple(range(options.first_layer, options.end_layer))
        self._constants = {
            layer: layer_constant(options.model, options.model_version, layer)
            for layer in self._layers
        }

    def start(self):
        gevent.spawn(self._iterate)

    def submit(self, steps: list[dict]) -> list[dict]:
        """Run `steps`, batched with other pending steps, and return their results."""
        pending = [_PendingStep(step) for step in steps]
        self._pending += pending
        self._arrived.set()
        return [item.result.get() for item in pending]

    def release(self, sequences: list[dict]):
        for item in sequences:
            self._sequences.pop((item["request"], item["attempt"]), None)

    def apply_order(self, order: dict):
        """Load the model of `order`.

        A change of model or version discards the KV caches, which it invalidates.
        """
        model = order.get("model") or self.options.model
        version = order.get("model_version") or self.options.model_version
        if (model, version) != (self.options.model, self.options.model_version):
            self.options.model, self.options.model_version = model, version
            self._sequences.clear()
            self._load_constants()

    def load(self) -> dict:
        """Return the load of `load_lag_ms` ago, as a late report would."""
        now = time.monotonic()
        limit = now - self.options.load_lag_ms / 1000
        at, running, queued = self._loads[0]
        for entry in self._loads:
            if entry[0] > limit:
                break
            at, running, queued = entry
        return {"running": running, "queued_tokens": queued, "age_seconds": now - at}

    def _iterate(self):
        while True:
            self._arrived.wait()
            self._pending.sort(key=lambda item: -item.step.get("priority", 0))
            batch = self._pending[: self.options.slots]
            del self._pending[: self.options.slots]
            if not self._pending:
                self._arrived.clear()
            queued = sum(item.step["count"] for item in self._pending)
            self._loads.append((time.monotonic(), len(batch), queued))
            tokens = sum(self._count_uncached(item.step) for item in batch)
            gevent.sleep(self._iteration_seconds(tokens))
            for item in batch:
                item.result.set(self._run(item.step))
            if not self._pending:
                self._loads.append((time.monotonic(), 0, 0))

    def _iteration_seconds(self, tokens):
        seconds = self.options.iteration_ms / 1000 + self.faults.delay_seconds
        seconds += self.faults.stall_seconds
        self.faults.stall_seconds = 0.0
        if self.options.tokens_per_second:
            seconds += tokens / self.options.tokens_per_second
        return seconds

    def _count_uncached(self, step):
        """Return how many positions of `step` have to be computed.

        Sets `cached` in `step` to the positions that the prefix cache covers.
        """
        step["cached"] = 0
        if not self.options.prefix_blocks or step["position"]:
            return step["count"]
        cached = self.prefix_cache.lookup(prefix_hashes(step)) * PREFIX_BLOCK
        step["cached"] = min(cached, step["count"] - 1)
        return step["count"] - step["cached"]

    def _run(self, step):
        key = step["request"], step["attempt"]
        answer = {
            "request": step["request"],
            "attempt": step["attempt"],
            "position": step["position"],
            "count": step["count"],
        }
        sequence = self._sequences.get(key)
        if sequence is None and step["position"] != 0:
            return {**answer, "error": "no_kv_cache"}
        if sequence is None:
            sequence = self._sequences[key] = _Sequence([0] * len(self._layers))
        try:
            activations = (
                embed(step["tokens"])
                if self.options.first_layer == 0
                else unpack_activations(bytes.fromhex(step["activation"]))
            )
        except (KeyError, ValueError) as error:
            return {**answer, "error": f"bad_input: {error}"}
        if len(activations) != step["count"]:
            return {**answer, "error": f"bad_input: {len(activations)} positions"}
        crash = self._should_crash(step)
        if crash and self.faults.crash_before_run:
            os._exit(CRASH_STATUS)
        layers = self._run_layers(sequence, activations)
        sequence.next_position = step["position"] + step["count"]
        self._record(step, layers)
        if crash:
            os._exit(CRASH_STATUS)
        if self.options.end_layer < self.options.model_layers:
            return {**answer, "activation": pack_activations(activations).hex()}
        token = sample(activations[-1], step["seed"], sequence.next_position)
        return {**answer, "token": token.token, "text": token.text, "stop": token.stop}

    def _run_layers(self, sequence, activations):
        executed = []
        for index, layer in enumerate(self._layers):
            if layer == self.faults.skip_layer:
                continue
            for _ in range(2 if layer == self.faults.double_layer else 1):
                sequence.caches[index] = run_layer(
                    self._constants[layer], sequence.caches[index], activations
                )
                executed.append(layer)
        return tuple(executed)

    def _should_crash(self, step):
        if self.faults.crash_at_step:
            self.faults.crash_at_step -= 1
            if not self.faults.crash_at_step:
                return True
        return self.faults.crash_on_token in step.get("tokens", ())

    def _record(self, step, layers):
        # All processes of a machine share the monotonic clock, so `order` is comparable
        # between engines.
        self._order = max(self._order + 1, time.monotonic_ns())
        run = Run(
            step["request"],
            step["attempt"],
            step["position"],
            step["count"],
            layers,
            self._order,
            step.get("cached", 0),
        )
        self.runs.append(run)
        self._journal.append(run.lines())

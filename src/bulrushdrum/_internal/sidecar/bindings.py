"""Idempotency keys bound to one sidecar incarnation; each key runs at most once.

A non-idempotent request carries its key and the window and generation of its binding.
`BindingTable` decides whether the request runs, joins the run of the same key, or is
refused:

>>> table = BindingTable("sidecar-7.1", clock=lambda: 0.0)
>>> table.admit("warwick", "k1", window=0, generation=0, fingerprint="f")
Run()
>>> table.finish("warwick", "k1", CallResult(outcome="answered", status=201))
>>> table.admit("warwick", "k1", 0, 0, "f").wait(timeout=1).status
201

Windows are numbered by the monotonic clock of this process. A key is retained until its
window is more than `RETAINED_WINDOWS` older than the current one, regardless of its
state. A call with an older window is refused, because its key may have expired.

A refusal with `Outcome.NOT_RUN` is final: nothing has run under that generation of the
key on this incarnation and nothing will, so the entry may move the binding. When the
table is full, the current window and all earlier ones are closed to keys that are not
in the table. This cancels those keys without storing each of them.
"""

import dataclasses
from collections.abc import Callable
from enum import StrEnum

import gevent
from gevent.event import AsyncResult

from bulrushdrum._internal.peering.request_messages import CallResult, Resolved
from bulrushdrum._internal.world.requests import MAX_KEY_CHARACTERS, Outcome

WINDOW_SECONDS = 60.0
RETAINED_WINDOWS = 2
# A key of 40 characters takes 700 bytes (tracemalloc), so 10,000 keys take 7 MB of a
# sidecar's 32 MB. That allows 41 new keys per second, retained for up to four windows.
MAX_KEYS = 10_000
# A quarter of a sidecar's 32 MB; results of bound calls are small (receipts).
MAX_RESULT_BYTES = 8 * 1024 * 1024


class RefusalReason(StrEnum):
    """Why a bound call is refused; the value is sent as `CallResult.reason`."""

    CANCELLED = "binding_cancelled"
    WINDOW_CLOSED = "window_closed"
    WINDOW_EXPIRED = "window_expired"
    WINDOW_IN_FUTURE = "window_in_future"
    KEY_REUSED = "key_reused"
    KEY_TOO_LONG = "key_too_long"
    RESULT_NOT_KEPT = "result_not_kept"


@dataclasses.dataclass(frozen=True)
class Run:
    """The caller must run the request and then call `finish`, even after an error."""


@dataclasses.dataclass(frozen=True)
class Join:
    """The key is already running or done; `wait` returns the result of that run."""

    _result: AsyncResult

    @property
    def done(self) -> bool:
        return self._result.ready()

    def wait(self, timeout: float) -> CallResult | None:
        """Return the result, or None if there is none after `timeout` seconds."""
        try:
            return self._result.get(timeout=timeout)
        except gevent.Timeout:
            return None


@dataclasses.dataclass(frozen=True)
class Refuse:
    """The request is not run; `outcome` is NOT_RUN (final) or UNKNOWN."""

    reason: str
    outcome: Outcome


class _KeyState(StrEnum):
    RUNNING = "running"
    DONE = "done"
    CANCELLED = "cancelled"


@dataclasses.dataclass(slots=True)
class _BoundKey:
    state: _KeyState
    window: int
    generation: int
    fingerprint: str
    result: AsyncResult | None = None
    result_bytes: int = 0


def _result_size(result: CallResult) -> int:
    headers = sum(len(header.name) + len(header.value) for header in result.headers)
    return len(result.body) + headers


class BindingTable:
    """State and result of each (customer, key) bound to this incarnation.

    `clock` returns monotonic seconds. The table holds at most `max_keys` keys and
    `max_result_bytes` of results. A result beyond that is returned to the callers that
    wait for it but not stored, and later calls are refused with `RESULT_NOT_KEPT`.
    """

    def __init__(
        self,
        incarnation: str,
        clock: Callable[[], float],
        max_keys: int = MAX_KEYS,
        max_result_bytes: int = MAX_RESULT_BYTES,
    ):
        self._incarnation = incarnation
        self._clock = clock
        self._started = clock()
        self._max_keys = max_keys
        self._max_result_bytes = max_result_bytes
        self._keys: dict[tuple[str, str], _BoundKey] = {}
        self._result_bytes = 0
        self._last_expiry_window = 0
        self._closed_through_window = -1

    @property
    def incarnation(self) -> str:
        return self._incarnation

    @property
    def window(self) -> int:
        """The current window, which the sidecar announces in its heartbeats."""
        return int((self._clock() - self._started) // WINDOW_SECONDS)

    @property
    def running(self) -> int:
        return sum(key.state is _KeyState.RUNNING for key in self._keys.values())

    def admit(
        self,
        customer: str,
        key: str,
        window: int,
        generation: int,
        fingerprint: str,
        refuse_new: str = "",
    ) -> Run | Join | Refuse:
        """Decide whether a request bound to this incarnation runs.

        `refuse_new` is a reason to refuse new work, for example while draining: a key
        that is neither running nor done is then cancelled and refused with it.
        """
        current = self._expire_keys()
        if len(key) > MAX_KEY_CHARACTERS:
            return Refuse(RefusalReason.KEY_TOO_LONG, Outcome.NOT_RUN)
        record = self._keys.get((customer, key))
        if record is not None:
            decision = self._decide_existing_key(
                record, window, generation, fingerprint, current
            )
            if decision is not None:
                return decision
        if window > current:
            return Refuse(RefusalReason.WINDOW_IN_FUTURE, Outcome.UNKNOWN)
        if window < current - RETAINED_WINDOWS:
            return Refuse(RefusalReason.WINDOW_EXPIRED, Outcome.UNKNOWN)
        if window <= self._closed_through_window:
            return Refuse(RefusalReason.WINDOW_CLOSED, Outcome.NOT_RUN)
        if refuse_new:
            self._cancel(customer, key, window, generation, fingerprint, current)
            return Refuse(refuse_new, Outcome.NOT_RUN)
        if record is None and len(self._keys) >= self._max_keys:
            self._closed_through_window = current
            return Refuse(RefusalReason.WINDOW_CLOSED, Outcome.NOT_RUN)
        if record is not None:
            # An entry may propose an older window than the cancelled one. The key is
            # retained for the later of the two. Otherwise it could expire and a delayed
            # call of the cancelled generation would run.
            window = max(window, record.window)
        self._keys[customer, key] = _BoundKey(
            _KeyState.RUNNING, window, generation, fingerprint, AsyncResult()
        )
        return Run()

    def finish(self, customer: str, key: str, result: CallResult):
        """End the run of a key and return `result` to all callers that joined it.

        A result with the outcome `not_run` cancels the key. The caller guarantees that
        nothing was sent to the upstream and that nothing will be.
        """
        record = self._keys[customer, key]
        if record.state is not _KeyState.RUNNING:
            raise ValueError(f"key {key!r} of {customer!r} is {record.state}")
        size = _result_size(result)
        record.result.set(result)
        if result.outcome == Outcome.NOT_RUN:
            record.state = _KeyState.CANCELLED
            record.result = None
            return
        record.state = _KeyState.DONE
        if self._result_bytes + size > self._max_result_bytes:
            record.result = None
            return
        record.result_bytes = size
        self._result_bytes += size

    def resolve(
        self, customer: str, key: str, window: int, generation: int
    ) -> Resolved:
        """Return the state of a key, and cancel the key if it has not run."""
        current = self._expire_keys()
        record = self._keys.get((customer, key))
        if record is not None and record.state is _KeyState.RUNNING:
            return Resolved(state="running")
        if record is not None and record.state is _KeyState.DONE:
            if record.result is None:
                return Resolved(state="unknown")
            return Resolved(state="done", result=record.result.get())
        if record is None and not current - RETAINED_WINDOWS <= window <= current:
            return Resolved(state="unknown")
        self._cancel(customer, key, window, generation, "", current)
        return Resolved(state="cancelled")

    def dump(self) -> dict:
        """Return counts for the state dump, without keys or results."""
        states = [key.state for key in self._keys.values()]
        return {
            "window": self.window,
            "closed_through": self._closed_through_window,
            "result_bytes": self._result_bytes,
            **{state.value: states.count(state) for state in _KeyState},
        }

    def _decide_existing_key(self, record, window, generation, fingerprint, current):
        """Return the decision for a key in the table, or None if it may run again."""
        if record.fingerprint and record.fingerprint != fingerprint:
            return Refuse(RefusalReason.KEY_REUSED, Outcome.NOT_RUN)
        if window <= current:
            record.window = max(record.window, window)
        if record.state is _KeyState.CANCELLED:
            if generation > record.generation:
                return None
            return Refuse(RefusalReason.CANCELLED, Outcome.NOT_RUN)
        if record.result is None:
            return Refuse(RefusalReason.RESULT_NOT_KEPT, Outcome.UNKNOWN)
        return Join(record.result)

    def _cancel(self, customer, key, window, generation, fingerprint, current):
        record = self._keys.get((customer, key))
        if record is not None:
            record.generation = max(record.generation, generation)
            record.window = max(record.window, min(window, current))
        elif len(self._keys) < self._max_keys:
            self._keys[customer, key] = _BoundKey(
                _KeyState.CANCELLED, window, generation, fingerprint
            )
        else:
            self._closed_through_window = current

    def _expire_keys(self) -> int:
        """Remove expired keys, at most once per window; return the current window.

        A running key never expires, because its callers still wait for the result.
        """
        current = self.window
        if current > self._last_expiry_window:
            self._last_expiry_window = current
            for name, record in list(self._keys.items()):
                expired = record.window < current - RETAINED_WINDOWS
                if expired and record.state is not _KeyState.RUNNING:
                    self._result_bytes -= record.result_bytes
                    del self._keys[name]
        return current

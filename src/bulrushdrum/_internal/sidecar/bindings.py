"""Bound keys of one sidecar incarnation: each runs at most once.

A non-idempotent request names its key, the window and the generation of its binding.
`BindingTable` decides whether it runs, joins the run of the same key, or is refused:

>>> table = BindingTable("sidecar-7.1", clock=lambda: 0.0)
>>> table.admit("warwick", "k1", window=0, generation=0, fingerprint="f")
Run()
>>> table.finish("warwick", "k1", CallResult(outcome="answered", status=201))
>>> table.admit("warwick", "k1", 0, 0, "f").wait(timeout=1).status
201

Windows are numbered by this process's own monotonic clock. A key is kept until its
window is older than the current one by more than `KEPT_WINDOWS`, whatever happens to
it; a call with an older window is refused, because the key may have been forgotten.

A refusal with `Outcome.NOT_RUN` is final: nothing ran under that generation of the key
on this incarnation and nothing will, so that the entry may move the binding. When the
table is full, the current window and all before it are closed to keys that are not in
the table, which cancels them without an entry for each.
"""

import dataclasses
from collections.abc import Callable
from enum import StrEnum

import gevent
from gevent.event import AsyncResult

from bulrushdrum._internal.peering.messages import CallResult, Resolved
from bulrushdrum._internal.world.requests import MAX_KEY_CHARACTERS, Outcome

WINDOW_SECONDS = 60.0
KEPT_WINDOWS = 2
# A key measured 700 bytes (tracemalloc, 40 character key), so 10,000 keys are 7 MB of a
# sidecar's 32 MB. They allow 41 new keys a second, kept for up to four windows.
MAX_KEYS = 10_000
# Results of bound calls are small (receipts); a quarter of a sidecar's 32 MB.
MAX_RESULT_BYTES = 8 * 1024 * 1024


class RefusalReason(StrEnum):
    """Why a bound call is refused; the text goes into `CallResult.reason`."""

    CANCELLED = "binding_cancelled"
    WINDOW_CLOSED = "window_closed"
    WINDOW_EXPIRED = "window_expired"
    WINDOW_IN_FUTURE = "window_in_future"
    KEY_REUSED = "key_reused"
    KEY_TOO_LONG = "key_too_long"
    RESULT_NOT_KEPT = "result_not_kept"


@dataclasses.dataclass(frozen=True)
class Run:
    """The caller must run the request and then call `finish`, on errors also."""


@dataclasses.dataclass(frozen=True)
class Join:
    """The same key is running or done; `wait` returns the result of that run."""

    _result: AsyncResult

    @property
    def done(self) -> bool:
        return self._result.ready()

    def wait(self, timeout: float) -> CallResult | None:
        """Return the result, or None if it is not there after `timeout` seconds."""
        try:
            return self._result.get(timeout=timeout)
        except gevent.Timeout:
            return None


@dataclasses.dataclass(frozen=True)
class Refuse:
    """The request does not run now. `outcome` is NOT_RUN or UNKNOWN, see the module."""

    reason: str
    outcome: Outcome


class _State(StrEnum):
    RUNNING = "running"
    DONE = "done"
    CANCELLED = "cancelled"


@dataclasses.dataclass(slots=True)
class _Key:
    state: _State
    window: int
    generation: int
    fingerprint: str
    result: AsyncResult | None = None
    result_bytes: int = 0


def _size_of(result: CallResult) -> int:
    headers = sum(len(header.name) + len(header.value) for header in result.headers)
    return len(result.body) + headers


class BindingTable:
    """What this incarnation knows about each (customer, key) bound to it.

    `clock` returns monotonic seconds. The table holds at most `max_keys` keys and
    `max_result_bytes` of results; a result beyond that is given to the callers that
    wait for it and not kept, so that later ones get `RESULT_NOT_KEPT`.
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
        self._keys: dict[tuple[str, str], _Key] = {}
        self._result_bytes = 0
        self._swept_window = 0
        self._closed_through = -1

    @property
    def incarnation(self) -> str:
        return self._incarnation

    @property
    def window(self) -> int:
        """The current window, which the sidecar announces in its heartbeats."""
        return int((self._clock() - self._started) // WINDOW_SECONDS)

    @property
    def running(self) -> int:
        return sum(key.state is _State.RUNNING for key in self._keys.values())

    def admit(
        self,
        customer: str,
        key: str,
        window: int,
        generation: int,
        fingerprint: str,
        refuse_new: str = "",
    ) -> Run | Join | Refuse:
        """Decide what happens with a request that is bound to this incarnation.

        With `refuse_new`, for example while draining, a key that is not running or
        done is cancelled and refused for that reason.
        """
        current = self._sweep()
        if len(key) > MAX_KEY_CHARACTERS:
            return Refuse(RefusalReason.KEY_TOO_LONG, Outcome.NOT_RUN)
        known = self._keys.get((customer, key))
        if known is not None:
            refused = self._answer_known(
                known, window, generation, fingerprint, current
            )
            if refused is not None:
                return refused
        if window > current:
            return Refuse(RefusalReason.WINDOW_IN_FUTURE, Outcome.UNKNOWN)
        if window < current - KEPT_WINDOWS:
            return Refuse(RefusalReason.WINDOW_EXPIRED, Outcome.UNKNOWN)
        if window <= self._closed_through:
            return Refuse(RefusalReason.WINDOW_CLOSED, Outcome.NOT_RUN)
        if refuse_new:
            self._cancel(customer, key, window, generation, fingerprint, current)
            return Refuse(refuse_new, Outcome.NOT_RUN)
        if known is None and len(self._keys) >= self._max_keys:
            self._closed_through = current
            return Refuse(RefusalReason.WINDOW_CLOSED, Outcome.NOT_RUN)
        if known is not None:
            # An entry may propose a window it heard of before the cancelled one. The
            # key is remembered for the later of the two, or a delayed call of the
            # cancelled generation would find it forgotten and run.
            window = max(window, known.window)
        self._keys[customer, key] = _Key(
            _State.RUNNING, window, generation, fingerprint, AsyncResult()
        )
        return Run()

    def finish(self, customer: str, key: str, result: CallResult):
        """End the run of a key and give `result` to all that joined it.

        A result with the outcome `not_run` cancels the key: the caller vouches that
        nothing was passed to the upstream and that nothing will be.
        """
        known = self._keys[customer, key]
        if known.state is not _State.RUNNING:
            raise ValueError(f"key {key!r} of {customer!r} is {known.state}")
        size = _size_of(result)
        known.result.set(result)
        if result.outcome == Outcome.NOT_RUN:
            known.state = _State.CANCELLED
            known.result = None
            return
        known.state = _State.DONE
        if self._result_bytes + size > self._max_result_bytes:
            known.result = None
            return
        known.result_bytes = size
        self._result_bytes += size

    def resolve(
        self, customer: str, key: str, window: int, generation: int
    ) -> Resolved:
        """Say what became of a key, and cancel it if it has not run."""
        current = self._sweep()
        known = self._keys.get((customer, key))
        if known is not None and known.state is _State.RUNNING:
            return Resolved(state="running")
        if known is not None and known.state is _State.DONE:
            if known.result is None:
                return Resolved(state="unknown")
            return Resolved(state="done", result=known.result.get())
        if known is None and not current - KEPT_WINDOWS <= window <= current:
            return Resolved(state="unknown")
        self._cancel(customer, key, window, generation, "", current)
        return Resolved(state="cancelled")

    def dump(self) -> dict:
        """Return counts for the state dump; keys and results stay private."""
        states = [key.state for key in self._keys.values()]
        return {
            "window": self.window,
            "closed_through": self._closed_through,
            "result_bytes": self._result_bytes,
            **{state.value: states.count(state) for state in _State},
        }

    def _answer_known(self, known, window, generation, fingerprint, current):
        """Return the answer for a key in the table, or None if it may run again."""
        if known.fingerprint and known.fingerprint != fingerprint:
            return Refuse(RefusalReason.KEY_REUSED, Outcome.NOT_RUN)
        if window <= current:
            known.window = max(known.window, window)
        if known.state is _State.CANCELLED:
            if generation > known.generation:
                return None
            return Refuse(RefusalReason.CANCELLED, Outcome.NOT_RUN)
        if known.result is None:
            return Refuse(RefusalReason.RESULT_NOT_KEPT, Outcome.UNKNOWN)
        return Join(known.result)

    def _cancel(self, customer, key, window, generation, fingerprint, current):
        known = self._keys.get((customer, key))
        if known is not None:
            known.generation = max(known.generation, generation)
            known.window = max(known.window, min(window, current))
        elif len(self._keys) < self._max_keys:
            self._keys[customer, key] = _Key(
                _State.CANCELLED, window, generation, fingerprint
            )
        else:
            self._closed_through = current

    def _sweep(self) -> int:
        """Forget expired keys when a new window has begun; return the current one.

        A running key stays, whatever its window: its callers still wait for it.
        """
        current = self.window
        if current > self._swept_window:
            self._swept_window = current
            for name, known in list(self._keys.items()):
                expired = known.window < current - KEPT_WINDOWS
                if expired and known.state is not _State.RUNNING:
                    self._result_bytes -= known.result_bytes
                    del self._keys[name]
        return current

"""Quarantine for requests that repeatedly crash the upstreams that run them.

Callers retry such a request at any router. A failed attempt counts as a crash if an
upstream of its path then terminated unexpectedly: its registration disappeared, or
shows a different start time. A request with several crashes is refused until it
succeeds at any router or its last crash is long enough ago. Routers announce their
crash counts to each other.

>>> quarantine = CrashQuarantine(has_terminated=lambda upstream_id, born: True)
>>> for attempt in range(3):
...     quarantine.record_failure("f1", (("u1", attempt),))
>>> quarantine.is_quarantined("f1")
True
>>> quarantine.record_success("f1")
>>> quarantine.is_quarantined("f1")
False
"""

import time
from collections import OrderedDict, deque
from collections.abc import Callable
from hashlib import blake2b
from typing import NamedTuple

from bulrushdrum._internal.observability.events import Event, log_event

# One crash is usually a coincidence, and so may be a second one when several upstreams
# are lost together.
_CRASH_THRESHOLD = 3
# A registration expires after three missed heartbeats; an upstream that terminates
# later than this after the failure has done so for another reason.
_CONFIRMATION_WINDOW_SECONDS = 8.0
# How long a request is refused after its last crash. A retry in the meantime would
# crash another upstream.
QUARANTINE_SECONDS = 60.0
# Limits on memory use, and on the size of an announcement, which is one datagram.
_MAX_UNCONFIRMED_FINGERPRINTS = 2000
_MAX_ANNOUNCED_FINGERPRINTS = 40
_FINGERPRINT_BYTES = 9


def request_fingerprint(path: str, api_key: str | None, body: bytes) -> str:
    """Return a digest that is the same for every retry of a request by its caller."""
    digest = blake2b(digest_size=_FINGERPRINT_BYTES)
    for part in (path.encode(), (api_key or "").encode(), body):
        digest.update(len(part).to_bytes(8))
        digest.update(part)
    return digest.hexdigest()


class _Failure(NamedTuple):
    """A failed attempt, and the incarnations that it may have crashed."""

    incarnations: tuple[tuple[str, int], ...]
    failed_at: float


class CrashQuarantine:
    """Crash counts by request fingerprint.

    `has_terminated(upstream_id, born)` tells whether an incarnation is known to have
    terminated.
    """

    def __init__(
        self, has_terminated: Callable[[str, int], bool], clock=time.monotonic
    ) -> None:
        self._has_terminated = has_terminated
        self._clock = clock
        self._unconfirmed: OrderedDict[str, list[_Failure]] = OrderedDict()
        self._own_crashes: OrderedDict[str, deque[float]] = OrderedDict()
        self._peer_crashes: dict[tuple[str, str], tuple[float, dict[str, int]]] = {}
        self._recently_cleared: deque[str] = deque(maxlen=_MAX_ANNOUNCED_FINGERPRINTS)

    def record_failure(
        self, fingerprint: str, incarnations: tuple[tuple[str, int], ...]
    ) -> None:
        """Record a failed attempt that may have run on `incarnations`."""
        failure = _Failure(incarnations, self._clock())
        self._unconfirmed.setdefault(fingerprint, []).append(failure)
        if len(self._unconfirmed) > _MAX_UNCONFIRMED_FINGERPRINTS:
            self._unconfirmed.popitem(last=False)

    def record_success(self, fingerprint: str) -> None:
        """Clear a request that succeeded: its crashes had another cause."""
        self._unconfirmed.pop(fingerprint, None)
        if self._crash_count(fingerprint):
            self._recently_cleared.append(fingerprint)
            self._clear(fingerprint)

    def is_quarantined(self, fingerprint: str) -> bool:
        if not self._unconfirmed and not self._own_crashes and not self._peer_crashes:
            return False
        self._update()
        return self._crash_count(fingerprint) >= _CRASH_THRESHOLD

    def announcement(self) -> dict:
        """Return the crash counts and cleared requests to send to other routers."""
        self._update()
        latest = list(self._own_crashes.items())[-_MAX_ANNOUNCED_FINGERPRINTS:]
        return {
            "crashes": {
                fingerprint: len(crash_times) for fingerprint, crash_times in latest
            },
            "served": list(self._recently_cleared),
        }

    def apply_announcement(
        self, router: str, incarnation: str, announcement: dict
    ) -> None:
        """Apply another router's announcement.

        Raises whatever `int` and `dict` operations raise if it is malformed.
        """
        crashes = {str(n): int(count) for n, count in announcement["crashes"].items()}
        served = [str(name) for name in announcement["served"]]
        key = (router, incarnation)
        if crashes:
            self._peer_crashes[key] = (self._clock(), crashes)
        else:
            self._peer_crashes.pop(key, None)
        for fingerprint in served:
            self._clear(fingerprint)

    def dump(self) -> dict:
        self._update()
        known = {
            *self._own_crashes,
            *(n for _, peer in self._peer_crashes.values() for n in peer),
        }
        return {
            fingerprint: self._crash_count(fingerprint) for fingerprint in sorted(known)
        }

    def _clear(self, fingerprint):
        self._own_crashes.pop(fingerprint, None)
        for _, crashes in self._peer_crashes.values():
            crashes.pop(fingerprint, None)

    def _crash_count(self, fingerprint):
        own = len(self._own_crashes.get(fingerprint, ()))
        return own + sum(
            crashes.get(fingerprint, 0) for _, crashes in self._peer_crashes.values()
        )

    def _update(self):
        """Count failures with terminated upstreams as crashes; drop expired entries."""
        now = self._clock()
        for fingerprint, failures in list(self._unconfirmed.items()):
            unconfirmed = []
            for failure in failures:
                if now - failure.failed_at > _CONFIRMATION_WINDOW_SECONDS:
                    continue
                if any(
                    self._has_terminated(*incarnation)
                    for incarnation in failure.incarnations
                ):
                    self._record_crash(fingerprint, failure)
                else:
                    unconfirmed.append(failure)
            if unconfirmed:
                self._unconfirmed[fingerprint] = unconfirmed
            else:
                del self._unconfirmed[fingerprint]
        self._remove_expired(now - QUARANTINE_SECONDS)

    def _record_crash(self, fingerprint, failure):
        crash_times = self._own_crashes.setdefault(fingerprint, deque())
        crash_times.append(failure.failed_at)
        self._own_crashes.move_to_end(fingerprint)
        if self._crash_count(fingerprint) == _CRASH_THRESHOLD:
            log_event(
                Event.CRASHING_REQUEST_FOUND,
                fingerprint=fingerprint,
                crashes=_CRASH_THRESHOLD,
                upstreams=[upstream_id for upstream_id, _ in failure.incarnations],
            )

    def _remove_expired(self, oldest):
        while self._own_crashes:
            fingerprint, crash_times = next(iter(self._own_crashes.items()))
            if crash_times[-1] >= oldest:
                break
            del self._own_crashes[fingerprint]
        for key, (received_at, _) in list(self._peer_crashes.items()):
            if received_at < oldest:
                del self._peer_crashes[key]

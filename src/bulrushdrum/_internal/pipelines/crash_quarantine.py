"""Requests that crash each upstream that runs them.

Such a request comes again, at any router. An attempt counts as a crash if it failed and
an upstream of its path then ended without being told to: its registration went, or
shows another start. A request that lost its upstreams several times is refused, until
it is served somewhere or its last crash is long past. Routers announce their counts to
each other.

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

# One crash is most often chance, and one more can be, when several upstreams are lost
# together.
_QUARANTINE_CRASHES = 3
# A registration goes after three silent heartbeats; an end later than this after the
# failure, in seconds, has another cause.
_CONFIRMED_WITHIN_SECONDS = 8.0
# A request is refused for this long after its last crash, in seconds: the caller that
# sends it again meanwhile would crash another upstream.
QUARANTINE_SECONDS = 60.0
# Bounds of the memory, and of what is announced in one datagram.
_MOST_FAILURES = 2000
_MOST_ANNOUNCED = 40
_FINGERPRINT_BYTES = 9


def request_fingerprint(path: str, api_key: str | None, body: bytes) -> str:
    """Return what stays the same when a caller sends a request again."""
    digest = blake2b(digest_size=_FINGERPRINT_BYTES)
    for part in (path.encode(), (api_key or "").encode(), body):
        digest.update(len(part).to_bytes(8))
        digest.update(part)
    return digest.hexdigest()


class _Failure(NamedTuple):
    """A failed attempt, and the incarnations that it may have crashed."""

    incarnations: tuple[tuple[str, int], ...]
    at: float


class CrashQuarantine:
    """Crashes by the fingerprint of the request.

    `has_terminated(upstream_id, born)` tells whether an incarnation is known to have
    ended.
    """

    def __init__(
        self, has_terminated: Callable[[str, int], bool], clock=time.monotonic
    ) -> None:
        self._has_terminated = has_terminated
        self._clock = clock
        self._failures: OrderedDict[str, list[_Failure]] = OrderedDict()
        self._own: OrderedDict[str, deque[float]] = OrderedDict()
        self._peers: dict[tuple[str, str], tuple[float, dict[str, int]]] = {}
        self._served: deque[str] = deque(maxlen=_MOST_ANNOUNCED)

    def record_failure(
        self, fingerprint: str, incarnations: tuple[tuple[str, int], ...]
    ) -> None:
        """Take over an attempt that failed and may have run on `incarnations`."""
        failure = _Failure(incarnations, self._clock())
        self._failures.setdefault(fingerprint, []).append(failure)
        if len(self._failures) > _MOST_FAILURES:
            self._failures.popitem(last=False)

    def record_success(self, fingerprint: str) -> None:
        """Clear a request that was served: what caused its losses was not itself."""
        self._failures.pop(fingerprint, None)
        if self._count(fingerprint):
            self._served.append(fingerprint)
            self._clear(fingerprint)

    def is_quarantined(self, fingerprint: str) -> bool:
        if not self._failures and not self._own and not self._peers:
            return False
        self._confirm()
        return self._count(fingerprint) >= _QUARANTINE_CRASHES

    def announcement(self) -> dict:
        """Return what other routers are told."""
        self._confirm()
        latest = list(self._own.items())[-_MOST_ANNOUNCED:]
        return {
            "crashes": {name: len(times) for name, times in latest},
            "served": list(self._served),
        }

    def apply_announcement(
        self, router: str, incarnation: str, announcement: dict
    ) -> None:
        """Take over what another router announced; raises like `int` and `dict`."""
        crashes = {str(n): int(count) for n, count in announcement["crashes"].items()}
        served = [str(name) for name in announcement["served"]]
        key = (router, incarnation)
        if crashes:
            self._peers[key] = (self._clock(), crashes)
        else:
            self._peers.pop(key, None)
        for fingerprint in served:
            self._clear(fingerprint)

    def dump(self) -> dict:
        self._confirm()
        known = {*self._own, *(n for _, peer in self._peers.values() for n in peer)}
        return {name: self._count(name) for name in sorted(known)}

    def _clear(self, fingerprint):
        self._own.pop(fingerprint, None)
        for _, crashes in self._peers.values():
            crashes.pop(fingerprint, None)

    def _count(self, fingerprint):
        own = len(self._own.get(fingerprint, ()))
        return own + sum(
            crashes.get(fingerprint, 0) for _, crashes in self._peers.values()
        )

    def _confirm(self):
        """Count the failures whose upstreams have ended since; forget what is old."""
        now = self._clock()
        for fingerprint, failures in list(self._failures.items()):
            waiting = []
            for failure in failures:
                if now - failure.at > _CONFIRMED_WITHIN_SECONDS:
                    continue
                if any(self._has_terminated(*one) for one in failure.incarnations):
                    self._count_crash(fingerprint, failure)
                else:
                    waiting.append(failure)
            if waiting:
                self._failures[fingerprint] = waiting
            else:
                del self._failures[fingerprint]
        self._forget(now - QUARANTINE_SECONDS)

    def _count_crash(self, fingerprint, failure):
        times = self._own.setdefault(fingerprint, deque())
        times.append(failure.at)
        self._own.move_to_end(fingerprint)
        if self._count(fingerprint) == _QUARANTINE_CRASHES:
            log_event(
                Event.CRASHING_REQUEST_FOUND,
                fingerprint=fingerprint,
                crashes=_QUARANTINE_CRASHES,
                upstreams=[upstream_id for upstream_id, _ in failure.incarnations],
            )

    def _forget(self, oldest):
        while self._own:
            fingerprint, times = next(iter(self._own.items()))
            if times[-1] >= oldest:
                break
            del self._own[fingerprint]
        for key, (heard_at, _) in list(self._peers.items()):
            if heard_at < oldest:
                del self._peers[key]

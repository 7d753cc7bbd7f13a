"""Quarantine for prompt parts that crash the upstreams that begin to answer them.

Requests share prompt parts. A crash is evidence against the parts of the requests whose
answers were about to begin at that upstream; streams that had already delivered events
are innocent. Several requests may have been about to begin, each with several parts, so
each crash is attributed to the part that explains it best:

- a part whose answer was written after the crash is cleared;
- a part that is suspected in several crashes and was not written recently explains it
  best;
- a part that was written recently needs to be suspected in more crashes.

A part that was written recently is refused only if some answer has been written after
the last crash: if all engines are lost, nothing can be cleared. Nothing is refused as
long as no answer has been seen, as nothing is known about any part then.

Parts that only ever occurred together explain the same crashes and are quarantined as a
group: a request is refused only if it has all of them. Whoever sends a part without the
others shows which of them is to blame.

A quarantine lasts until some time after the last crash, and then needs only one more
crash to return. It ends when no upstream runs a software version that has crashed.
Routers announce crashes and cleared parts to each other.

>>> quarantine = PartQuarantine(
...     has_terminated=lambda upstream_id, born: True, versions=lambda: {"1"}
... )
>>> for number in range(3):
...     incarnation = Incarnation("u1", number, "1")
...     quarantine.record_failure(incarnation, ("bad", "good"), time.monotonic())
...     quarantine.record_written(("good",))
>>> quarantine.find_group(("bad", "other"))
('bad',)
>>> quarantine.find_group(("good", "other"))
()
"""

import math
import time
from collections import OrderedDict
from collections.abc import Callable, Iterable
from typing import NamedTuple

from bulrushdrum._internal.observability.events import Event, log_event

# Upstreams are lost for other reasons too, and a request may be about to begin at one
# or two of them by coincidence.
_CRASH_THRESHOLD = 3
# Of upstreams that are lost together, with a rack or a data centre, only one counts.
# Their connections close within some milliseconds, and the requests at them were sent
# before.
_BURST_SECONDS = 0.02
# Moments that other routers announce are exact to the delay of a datagram.
_CLOCK_TOLERANCE_SECONDS = 0.005
# The threshold for parts that were written recently: most likely they only accompany
# the cause, and will be cleared by the next request that has them.
_RECENTLY_WRITTEN_THRESHOLD = 6
_RECENT_SECONDS = 30.0
# An upstream that is lost later than this after a failure has been lost for another
# reason: a registration expires after three missed heartbeats.
_CONFIRMATION_WINDOW_SECONDS = 8.0
# How long a group is refused after its last crash.
QUARANTINE_SECONDS = 60.0
# How long crashes are remembered.
_CRASH_LIFETIME_SECONDS = 600.0
# Limits on memory use and on the size of an announcement, which is one datagram.
_MAX_CRASHES = 64
_MAX_PENDING = 256
_MAX_SUSPECTS_PER_CRASH = 24
_MAX_WRITTEN_PARTS = 4096
_MAX_ANNOUNCED_CRASHES = 24
_MAX_ANNOUNCED_PARTS = 160
_MAX_ANNOUNCED_PARTS_OF_CRASH = 40


class _Attempt(NamedTuple):
    """When a request was sent to an upstream, and when that upstream crashed."""

    sent_at: float
    failed_at: float


def _count_independent(attempts: Iterable[_Attempt]) -> int:
    """Count the attempts whose crashes do not belong to the one counted before."""
    count, last, previous = 0, -math.inf, -math.inf
    for attempt in sorted(attempts, key=lambda attempt: attempt.failed_at):
        is_later = attempt.failed_at - previous > _BURST_SECONDS
        previous = attempt.failed_at
        if is_later or attempt.sent_at >= last - _CLOCK_TOLERANCE_SECONDS:
            count, last = count + 1, attempt.failed_at
    return count


def _parse_age(raw) -> float:
    age = float(raw)
    if not 0.0 <= age <= _CRASH_LIFETIME_SECONDS:
        raise ValueError(f"age {raw!r} is not between 0 and {_CRASH_LIFETIME_SECONDS}")
    return age


class Incarnation(NamedTuple):
    """An upstream from one start to the next, and the software version it runs."""

    upstream_id: str
    born: int
    version: str


class _Suspects:
    """The prompts that were about to be answered at an incarnation when it failed."""

    def __init__(self, incarnation: Incarnation, failed_at: float):
        self.incarnation = incarnation
        self.failed_at = failed_at
        # The prompts, each with the time at which the last request with it was sent.
        self.prompts: dict[frozenset[str], float] = {}

    def add(self, parts: Iterable[str], sent_at: float):
        prompt = frozenset(parts)
        if len(self.prompts) < _MAX_SUSPECTS_PER_CRASH or prompt in self.prompts:
            self.prompts[prompt] = max(sent_at, self.prompts.get(prompt, -math.inf))

    def parts(self) -> frozenset[str]:
        return frozenset().union(*self.prompts)

    def attempt(self, parts: frozenset[str]) -> _Attempt:
        """Return the last attempt of a request with any of `parts`."""
        sent_at = max(
            sent_at for prompt, sent_at in self.prompts.items() if prompt & parts
        )
        return _Attempt(sent_at, self.failed_at)


class PartQuarantine:
    """Crashes, the parts suspected in them, and the groups that are refused.

    `has_terminated(upstream_id, born)` tells whether an incarnation is known to have
    terminated, and `versions()` returns the software versions that upstreams run.
    `on_crash()` is called when this router has seen a crash.
    """

    def __init__(
        self,
        has_terminated: Callable[[str, int], bool],
        versions: Callable[[], set[str]],
        clock=time.monotonic,
        on_crash: Callable[[], None] = lambda: None,
    ) -> None:
        self._has_terminated = has_terminated
        self._versions = versions
        self._on_crash = on_crash
        self._clock = clock
        self._pending: OrderedDict[Incarnation, _Suspects] = OrderedDict()
        self._crashes: OrderedDict[Incarnation, _Suspects] = OrderedDict()
        # When an answer to a prompt with the part was last seen to be written.
        self._written: OrderedDict[str, float] = OrderedDict()
        self._last_written_at = -math.inf
        self._groups: dict[frozenset[str], list[_Suspects]] = {}
        # Whether crashes or answers were recorded since the groups were computed.
        self._is_outdated = False
        self._logged: set[frozenset[str]] = set()

    def record_failure(
        self, incarnation: Incarnation, parts: tuple[str, ...], sent_at: float
    ) -> None:
        """Record that `incarnation` failed before the first event of an answer.

        The request was sent to it at `sent_at`, a time of the clock.
        """
        if not parts:
            return
        suspects = self._pending.get(incarnation)
        if suspects is None:
            suspects = _Suspects(incarnation, self._clock())
            self._pending[incarnation] = suspects
        suspects.add(parts, sent_at)
        while len(self._pending) > _MAX_PENDING:
            self._pending.popitem(last=False)

    def record_written(self, parts: tuple[str, ...]) -> None:
        """Record that an answer to a prompt with `parts` is being written."""
        now = self._last_written_at = self._clock()
        for part in parts:
            self._set_written(part, now)

    def find_group(self, parts: tuple[str, ...]) -> tuple[str, ...]:
        """Return the quarantined group that a prompt has, or nothing."""
        if not parts or not (self._pending or self._crashes):
            return ()
        self._update()
        present = frozenset(parts)
        for group, crashes in self._groups.items():
            if group <= present and self._is_quarantined(group, crashes):
                return tuple(sorted(group))
        return ()

    def announcement(self) -> dict:
        """Return the crashes and the parts that are written, for other routers."""
        self._update()
        now, crashes, left = self._clock(), [], _MAX_ANNOUNCED_PARTS
        for crash in reversed(self._crashes.values()):
            prompts = self._announced_prompts(crash)
            count = sum(len(parts) for _, parts in prompts)
            if count > left or len(crashes) >= _MAX_ANNOUNCED_CRASHES:
                continue
            left -= count
            age = round(now - crash.failed_at, 4)
            crashes.append([*crash.incarnation, age, prompts])
        suspected = {
            part for crash in crashes for _, prompt in crash[4] for part in prompt
        }
        written = {
            part: round(now - self._written[part], 3)
            for part in sorted(suspected)
            if now - self._written.get(part, -math.inf) < _CRASH_LIFETIME_SECONDS
        }
        message = {"crashes": crashes, "written": written}
        last_age = round(now - self._last_written_at, 3)
        if crashes and last_age < _CRASH_LIFETIME_SECONDS:
            message["last_written"] = last_age
        return message

    def apply_announcement(self, announcement: dict) -> None:
        """Apply another router's announcement.

        Raises whatever `int`, `float` and `dict` operations raise if it is malformed.
        """
        now = self._clock()
        for upstream_id, born, version, age, prompts in announcement["crashes"]:
            incarnation = Incarnation(str(upstream_id), int(born), str(version))
            failed_at = now - _parse_age(age)
            for prompt in prompts:
                lead, parts = _parse_age(prompt[0]), map(str, prompt[1])
                self._add_crash(incarnation, failed_at, parts, failed_at - lead)
        for part, age in announcement["written"].items():
            self._set_written(str(part), now - _parse_age(age))
        if "last_written" in announcement:
            written_at = now - _parse_age(announcement["last_written"])
            self._last_written_at = max(self._last_written_at, written_at)

    def dump(self) -> dict:
        self._update()
        return {
            "crashes": len(self._crashes),
            "suspects": len(self._pending),
            "groups": [
                {
                    "parts": sorted(group),
                    "crashes": len(crashes),
                    "quarantined": self._is_quarantined(group, crashes),
                }
                for group, crashes in self._groups.items()
            ],
        }

    def _announced_prompts(self, crash):
        """Return the prompts of a crash, cut to the parts that may explain it."""
        suspected = self._not_recently_written(crash.parts(), crash.failed_at)
        kept = suspected or crash.parts()
        sent: dict[frozenset[str], float] = {}
        for prompt, sent_at in crash.prompts.items():
            sent[prompt & kept] = max(sent_at, sent.get(prompt & kept, -math.inf))
        prompts, left = [], _MAX_ANNOUNCED_PARTS_OF_CRASH
        for prompt in sorted(sent, key=len):
            left -= len(prompt)
            if prompt and left >= 0:
                lead = max(crash.failed_at - sent[prompt], 0.0)
                prompts.append([round(lead, 4), sorted(prompt)])
        return prompts

    def _set_written(self, part, written_at):
        before = self._written.get(part, -math.inf)
        if written_at <= before:
            return
        self._written[part] = written_at
        self._written.move_to_end(part)
        if len(self._written) > _MAX_WRITTEN_PARTS:
            self._written.popitem(last=False)
        self._is_outdated |= any(
            before < crash.failed_at and part in crash.parts()
            for crash in self._crashes.values()
        )

    def _add_crash(self, incarnation, failed_at, parts, sent_at):
        """Add a prompt to a crash."""
        crash = self._crashes.get(incarnation)
        if crash is None:
            crash = self._crashes[incarnation] = _Suspects(incarnation, failed_at)
        known = len(crash.prompts)
        crash.add(parts, sent_at)
        while len(self._crashes) > _MAX_CRASHES:
            self._crashes.popitem(last=False)
        self._is_outdated |= len(crash.prompts) > known

    def _update(self):
        """Count failures at terminated upstreams as crashes; drop expired entries."""
        now = self._clock()
        for incarnation, suspects in list(self._pending.items()):
            if now - suspects.failed_at > _CONFIRMATION_WINDOW_SECONDS:
                del self._pending[incarnation]
            elif self._has_terminated(incarnation.upstream_id, incarnation.born):
                del self._pending[incarnation]
                self._log_crash(suspects)
                self._on_crash()
                for prompt, sent_at in suspects.prompts.items():
                    self._add_crash(incarnation, suspects.failed_at, prompt, sent_at)
        expired = [
            incarnation
            for incarnation, crash in self._crashes.items()
            if now - crash.failed_at > _CRASH_LIFETIME_SECONDS
        ]
        for incarnation in expired:
            del self._crashes[incarnation]
        if expired or self._is_outdated:
            self._is_outdated = False
            self._regroup()

    def _regroup(self):
        """Attribute each crash to the group that explains it best."""
        candidates = {
            incarnation: frozenset(
                part
                for part in crash.parts()
                if self._written.get(part, -math.inf) < crash.failed_at
            )
            for incarnation, crash in self._crashes.items()
        }
        attempts: dict[str, list[_Attempt]] = {}
        for incarnation, parts in candidates.items():
            crash = self._crashes[incarnation]
            for part in parts:
                attempt = crash.attempt(frozenset((part,)))
                attempts.setdefault(part, []).append(attempt)
        counts = {part: _count_independent(known) for part, known in attempts.items()}
        self._groups = {}
        for incarnation, parts in candidates.items():
            crash = self._crashes[incarnation]
            group = self._explain(crash, parts, counts)
            if group:
                self._groups.setdefault(group, []).append(crash)
        self._log_groups()

    def _explain(self, crash, parts, counts):
        """Return the parts that explain a crash best; `counts` are crashes by part."""
        unproven = self._not_recently_written(parts, crash.failed_at)
        choices = (
            [part for part in unproven if counts[part] >= _CRASH_THRESHOLD],
            [part for part in parts if counts[part] >= _RECENTLY_WRITTEN_THRESHOLD],
            unproven or parts,
        )
        best = next((choice for choice in choices if choice), ())
        most = max((counts[part] for part in best), default=0)
        return frozenset(part for part in best if counts[part] == most)

    def _not_recently_written(self, parts, failed_at):
        oldest = failed_at - _RECENT_SECONDS
        return frozenset(
            part for part in parts if self._written.get(part, -math.inf) < oldest
        )

    def _is_quarantined(self, group, crashes):
        last = max(crash.failed_at for crash in crashes)
        threshold = self._threshold(group, crashes)
        if _count_independent(crash.attempt(group) for crash in crashes) < threshold:
            return False
        # The time since which some answer must have been written.
        oldest = last - _RECENT_SECONDS if threshold == _CRASH_THRESHOLD else last
        if self._last_written_at < oldest:
            return False
        if self._clock() - last > QUARANTINE_SECONDS:
            return False
        return any(crash.incarnation.version in self._versions() for crash in crashes)

    def _threshold(self, group, crashes):
        first = min(crash.failed_at for crash in crashes)
        if self._not_recently_written(group, first):
            return _CRASH_THRESHOLD
        return _RECENTLY_WRITTEN_THRESHOLD

    def _log_crash(self, suspects):
        log_event(
            Event.UPSTREAM_CRASHED,
            upstream=suspects.incarnation.upstream_id,
            version=suspects.incarnation.version,
            parts=sorted(suspects.parts())[:_MAX_SUSPECTS_PER_CRASH],
            requests=len(suspects.prompts),
        )

    def _log_groups(self):
        found = {
            group
            for group, crashes in self._groups.items()
            if _count_independent(crash.attempt(group) for crash in crashes)
            >= self._threshold(group, crashes)
        }
        for group in found - self._logged:
            log_event(
                Event.CRASHING_PARTS_FOUND,
                parts=sorted(group),
                upstreams=[c.incarnation.upstream_id for c in self._groups[group]],
            )
        for group in self._logged - found:
            log_event(Event.CRASHING_PARTS_CLEARED, parts=sorted(group))
        self._logged = found

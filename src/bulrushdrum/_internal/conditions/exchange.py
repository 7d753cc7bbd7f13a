"""Shares with the other routers what this one learns of an upstream, at once.

Claims are sent in small messages as they are made, and repeated in announcements while
they are in force. Ages are sent, not times, because clocks differ.
"""

import time
from collections.abc import Callable, Iterable
from typing import NamedTuple

import gevent

from bulrushdrum._internal.conditions.claim_set import MEMORY_SECONDS, ClaimSet
from bulrushdrum._internal.conditions.claims import MAX_FAILURES, Claim, Matter
from bulrushdrum._internal.conditions.silence_reports import SilenceReports
from bulrushdrum._internal.coordination.peer_messages import PeerMessages
from bulrushdrum._internal.observability.events import Event, log_event
from bulrushdrum._internal.pipelines.fleet import Fleet
from bulrushdrum._internal.pipelines.memory_reservations import Hop
from bulrushdrum._internal.pipelines.silent_upstreams import Silence
from bulrushdrum._internal.world.engines import PoolUpstream

CONDITIONS_KIND = "conditions"
SILENCE_KIND = "silence"
# What gathers in this time is sent together.
_SEND_INTERVAL_SECONDS = 0.02
# About 80 bytes each, so that a message usually stays within its limit.
_MAX_ENTRIES_PER_MESSAGE = 12
_MAX_ANNOUNCED = 64
# No claim lasts longer, whatever another router says.
_MAX_CLAIM_SECONDS = 5.0
# A message can be this late without a success counting as one from after a claim.
_DELAY_MARGIN_SECONDS = 0.02
# An upstream whose reserved memory is used up to this fraction may refuse a request for
# lack of memory, which says nothing of the next one.
_MAX_MEMORY_UTILIZATION = 0.75
# How long upstreams that may be silent are used only if there are no others: about the
# time until the reports of engines tell which one it is.
_SUSPECT_SECONDS = 0.6
# The longest path that engines accept.
_MAX_CANDIDATES = 32
# What a success says of an upstream: of any hop, and of the first one of a path.
_WORKS = "works"
_WORKS_FIRST = "works first"
_MATTERS = frozenset(matter.value for matter in Matter)


class _Withdrawal(NamedTuple):
    """A request sent at `sent_at` was served; others would hold the claim `until`."""

    upstream_id: str
    born: int
    sent_at: float
    until: float
    word: str


class ConditionExchange:
    """Makes, sends and receives claims; `fleet` has the resulting conditions.

    `memory_utilization(upstream)` returns the reserved fraction of its memory, and
    `working_upstreams()` those that have just delivered to this router.
    """

    def __init__(
        self,
        fleet: Fleet,
        messages: PeerMessages,
        memory_utilization: Callable[[PoolUpstream], float],
        working_upstreams: Callable[[], frozenset[str]],
        clock=time.monotonic,
        call_later=gevent.spawn_later,
    ):
        self._fleet = fleet
        self._claims: ClaimSet = fleet.claims
        self._first_hop_claims: ClaimSet = fleet.first_hop_claims
        self._messages = messages
        self._memory_utilization = memory_utilization
        self._working_upstreams = working_upstreams
        self._clock = clock
        self._call_later = call_later
        self._silence_reports = SilenceReports(clock)
        self._last_number = 0
        # The latest entry on each upstream that this router has sent, of those that
        # concern only the first hop of a path and of the others.
        self._own: dict[tuple[bool, str], tuple[int, Claim | _Withdrawal]] = {}
        self._pending: list[list] = []
        self._is_send_due = False
        self._sent_at = float("-inf")
        # The latest entry that was applied, by router incarnation and upstream, and
        # when.
        self._applied: dict[tuple[str, bool, str], tuple[int, float]] = {}
        messages.register(CONDITIONS_KIND, self._on_conditions)
        messages.register(SILENCE_KIND, self._on_silence)

    def report_refusal(self, upstream: PoolUpstream):
        """Avoid an upstream that refused a request, at all routers if it will again."""
        if self._memory_utilization(upstream) >= _MAX_MEMORY_UTILIZATION:
            self._fleet.record_failure(upstream.id, reason="refused a request")
            return
        self._make(upstream, Matter.REFUSING)

    def report_terminated(self, upstream: PoolUpstream):
        """Avoid an upstream at whose address nothing listens."""
        self._make(upstream, Matter.TERMINATED)

    def report_unresponsive(self, upstream: PoolUpstream):
        """Avoid an upstream that does not answer, at all routers if others do."""
        if self._working_upstreams():
            self._make(upstream, Matter.UNRESPONSIVE)

    def report_error(self, upstream: PoolUpstream):
        """Begin no path at an upstream that has answered with errors in a row.

        It may still run layers for paths that begin elsewhere.
        """
        self._make(upstream, Matter.FAILING)

    def record_events(self, path: tuple[Hop, ...], sent_at: float):
        """Record that a request sent at `sent_at` got events over `path`."""
        for hop in path:
            self._record_success(self._claims, _WORKS, hop.upstream, sent_at)
        first = path[0].upstream
        self._record_success(self._first_hop_claims, _WORKS_FIRST, first, sent_at)

    def _record_success(self, claims, word, upstream, sent_at):
        claim = claims.record_success(upstream.id, upstream.born, sent_at)
        if claim is not None:
            log_event(Event.CLAIM_WITHDRAWN, upstream=upstream.id)
            until = claim.until + claims.longest_hold
            self._send(_Withdrawal(upstream.id, upstream.born, sent_at, until, word))

    def report_silence(self, path: Iterable[Hop], silence: Silence):
        """Report the upstreams of a path of which one has silenced its stream."""
        candidates = sorted(
            (hop.upstream.id, hop.upstream.born)
            for hop in path
            if hop.upstream.id in silence.candidates
        )
        self._add_silence_report(self._claims.node, candidates, silence.delivers)
        body = {"candidates": candidates, "delivers": silence.delivers}
        try:
            self._messages.broadcast(SILENCE_KIND, body)
        except ValueError:
            # One that is cut to the size of a message could name only upstreams that
            # work, so the peers get none.
            pass

    def announcement(self) -> list[list]:
        """Return what this router has claimed or withdrawn and is still of use."""
        now = self._clock()
        for key, (_, entry) in list(self._own.items()):
            is_settled = isinstance(entry, Claim) and self._claims_for(
                entry.matter
            ).is_settled(entry)
            if entry.until <= now or is_settled:
                del self._own[key]
        latest = sorted(self._own.values(), reverse=True)[:_MAX_ANNOUNCED]
        return [[number, *self._encode(entry)] for number, entry in latest]

    def apply_announcement(self, name: str, incarnation: str, raw):
        """Apply the claims of another router; raises `DECODING_ERRORS`."""
        entries = [_decode(entry) for entry in raw[:_MAX_ANNOUNCED]]
        for number, upstream_id, born, matter, age, seconds, failures in entries:
            now = self._clock()
            key = (incarnation, _concerns_first_hop(matter), upstream_id)
            if number <= self._applied.get(key, (0, 0.0))[0]:
                continue
            self._applied[key] = (number, now)
            if matter in (_WORKS, _WORKS_FIRST):
                claims = self._claims if matter == _WORKS else self._first_hop_claims
                sent_at = now - age - _DELAY_MARGIN_SECONDS
                claims.record_success(upstream_id, born, sent_at)
                continue
            if matter not in _MATTERS:
                continue
            until = now + min(seconds, _MAX_CLAIM_SECONDS)
            claim = Claim(
                upstream_id, born, Matter(matter), name, now - age, until, failures
            )
            if self._claims_for(claim.matter).receive(claim):
                self._log(Event.CLAIM_RECEIVED, claim)

    def run_maintenance(self, routers: int):
        """Forget what has ended; `routers` is the number of routers."""
        for claims in (self._claims, self._first_hop_claims):
            claims.routers = routers
            claims.forget_old()
        # Later than a copy of an entry can arrive: none is announced for so long.
        oldest = self._clock() - MEMORY_SECONDS
        self._applied = {
            key: (number, applied_at)
            for key, (number, applied_at) in self._applied.items()
            if applied_at >= oldest
        }

    def _make(self, upstream, matter):
        claims = self._claims_for(matter)
        claim = claims.make(upstream.id, upstream.born, matter)
        if claim is not None:
            self._log(Event.CLAIM_MADE, claim)
            self._send(claim)

    def _claims_for(self, matter):
        match matter:
            case Matter.FAILING:
                return self._first_hop_claims
            case _:
                return self._claims

    def _log(self, event, claim):
        log_event(
            event,
            upstream=claim.upstream_id,
            matter=claim.matter.value,
            reporter=claim.reporter,
            failures=claim.failures,
            seconds=round(claim.until - self._clock(), 3),
        )

    def _encode(self, entry):
        now = self._clock()
        match entry:
            case Claim():
                matter, since, failures = (
                    entry.matter.value,
                    entry.made_at,
                    entry.failures,
                )
            case _Withdrawal():
                matter, since, failures = entry.word, entry.sent_at, 0
        seconds = max(entry.until - now, 0.0)
        return [
            entry.upstream_id,
            entry.born,
            matter,
            round(now - since, 3),
            round(seconds, 3),
            failures,
        ]

    def _send(self, entry):
        self._last_number += 1
        encoded = self._encode(entry)
        key = (_concerns_first_hop(encoded[2]), entry.upstream_id)
        self._own[key] = (self._last_number, entry)
        self._pending.append([self._last_number, *encoded])
        if not self._is_send_due:
            self._is_send_due = True
            due_at = self._sent_at + _SEND_INTERVAL_SECONDS
            self._call_later(max(due_at - self._clock(), 0.0), self._send_pending)

    def _send_pending(self):
        self._is_send_due, self._sent_at = False, self._clock()
        pending, self._pending = self._pending, []
        for first in range(0, len(pending), _MAX_ENTRIES_PER_MESSAGE):
            self._broadcast(pending[first : first + _MAX_ENTRIES_PER_MESSAGE])

    def _broadcast(self, entries):
        """Send entries in as many messages as they need.

        One that exceeds a message alone is left to the announcements.
        """
        try:
            self._messages.broadcast(CONDITIONS_KIND, entries)
        except ValueError:
            if len(entries) > 1:
                middle = len(entries) // 2
                self._broadcast(entries[:middle])
                self._broadcast(entries[middle:])

    def _on_conditions(self, name, incarnation, body):
        self.apply_announcement(name, incarnation, body)

    def _on_silence(self, name, _incarnation, body):
        candidates = [
            (str(upstream_id), int(born)) for upstream_id, born in body["candidates"]
        ]
        if len(candidates) > _MAX_CANDIDATES:
            raise ValueError(f"{len(candidates)} candidates are more than a path has")
        self._add_silence_report(name, candidates, bool(body["delivers"]))

    def _add_silence_report(self, name, candidates, delivers):
        working = self._working_incarnations()
        self._silence_reports.add(name, frozenset(candidates), delivers, working)
        accusation = self._silence_reports.accuse()
        self._fleet.suspect(
            [
                upstream_id
                for upstream_id, born in accusation.suspects - working
                if not self._has_ended(upstream_id, born)
            ],
            _SUSPECT_SECONDS,
        )
        for (upstream_id, born), accused in accusation.silent.items():
            if (upstream_id, born) in working or self._has_ended(upstream_id, born):
                continue
            # All routers come to the same conclusion, so nothing is sent.
            claim = self._claims.make(
                upstream_id,
                born,
                Matter.UNRESPONSIVE,
                accused.reporter,
                accused.reported_at,
            )
            if claim is not None:
                self._log(Event.CLAIM_MADE, claim)

    def _working_incarnations(self):
        known = map(self._fleet.get, self._working_upstreams())
        return frozenset((u.id, u.born) for u in known if u is not None)

    def _has_ended(self, upstream_id, born):
        known = self._fleet.get(upstream_id)
        return known is None or known.born != born


def _concerns_first_hop(matter: str) -> bool:
    return matter in (Matter.FAILING, _WORKS_FIRST)


def _decode(raw):
    """Decode an entry of a message; raises `DECODING_ERRORS`.

    A newer release may add fields and matters.
    """
    number, upstream_id, born, matter, age, seconds, failures, *_ = raw
    age, seconds = float(age), float(seconds)
    if not (0.0 <= age and 0.0 <= seconds):
        raise ValueError(f"{raw!r} has a negative or undefined time")
    if not isinstance(matter, str):
        raise ValueError(f"{matter!r} is not a string")
    return (
        int(number),
        str(upstream_id),
        int(born),
        matter,
        age,
        seconds,
        min(max(int(failures), 1), MAX_FAILURES),
    )

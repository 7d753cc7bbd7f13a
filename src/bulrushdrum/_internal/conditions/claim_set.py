"""The claims that one router knows, by upstream."""

import math
import random
import time

from bulrushdrum._internal.conditions.claims import (
    Claim,
    Condition,
    Matter,
    answered_until,
    is_in_force,
    merge_claim,
    merge_success,
    next_claim,
)

# A claim is remembered for this long after its end, so that the next one lasts longer;
# a success, so that a claim from before it changes nothing when it arrives.
MEMORY_SECONDS = 10.0
# The router that made a claim has this long to try the upstream again.
_HOLD_SECONDS = 0.2
# The others follow one after another, in a random order, until one of them tells how it
# went: each of them sends a request over a given upstream only now and then.
_HOLD_SECONDS_PER_ROUTER = 0.06


class ClaimSet:
    """Conditions of upstreams by id, and how long this router holds each claim.

    `node` is the name of this router.
    """

    def __init__(self, node: str = "", clock=time.monotonic, seed=None):
        self.node = node
        self.routers = 1
        # Counted for the metrics.
        self.made = self.received = self.withdrawn = 0
        # Changes with what is claimed.
        self.version = 0
        self._clock = clock
        self._random = random.Random(seed)
        self._conditions: dict[str, Condition] = {}
        self._holds: dict[str, float] = {}

    @property
    def longest_hold(self) -> float:
        """How long a router may hold a claim of another one after it has ended."""
        return _HOLD_SECONDS + _HOLD_SECONDS_PER_ROUTER * self.routers

    def condition(self, upstream_id: str) -> Condition:
        return self._conditions.get(upstream_id, Condition())

    def is_avoided(self, upstream_id: str, born: int) -> bool:
        condition = self._conditions.get(upstream_id)
        if condition is None:
            return False
        hold = self._holds.get(upstream_id, 0.0)
        return is_in_force(condition, born, self._clock(), hold)

    def failures(self, upstream_id: str, born: int) -> int:
        """Return the claims in a row on an incarnation that is avoided now."""
        if not self.is_avoided(upstream_id, born):
            return 0
        return self._conditions[upstream_id].claim.failures

    def make(
        self,
        upstream_id: str,
        born: int,
        matter: Matter,
        reporter: str = "",
        found_at: float = math.inf,
    ) -> Claim | None:
        """Make a claim, unless one is in force already; return it.

        `reporter` is the router that tries the upstream again, by default this one.
        What was found before the last claim ended or a success was sent counts no more.
        """
        condition = self.condition(upstream_id)
        now = self._clock()
        if born < condition.born or is_in_force(condition, born, now):
            return None
        if born == condition.born and found_at <= answered_until(condition):
            return None
        claim = next_claim(
            condition, upstream_id, born, matter, reporter or self.node, now
        )
        self._merge(claim)
        self.made += 1
        return claim

    def receive(self, claim: Claim) -> bool:
        """Merge the claim of another router; return whether it changed anything."""
        changed = self._merge(claim)
        self.received += changed
        return changed

    def record_success(
        self, upstream_id: str, born: int, sent_at: float
    ) -> Claim | None:
        """Record that a request sent at `sent_at` succeeded; return a claim that ends.

        A success also counts if the claim that it settles arrives later.
        """
        condition = self.condition(upstream_id)
        merged = merge_success(condition, born, sent_at)
        self._conditions[upstream_id] = merged
        if condition.is_settled or not merged.is_settled:
            return None
        self.version += 1
        self.withdrawn += 1
        return condition.claim

    def is_settled(self, claim: Claim) -> bool:
        """Whether a claim was withdrawn, or concerns an incarnation that has ended."""
        condition = self.condition(claim.upstream_id)
        return condition.born > claim.born or condition.works_since > claim.made_at

    def in_force(self) -> list[Claim]:
        """Return the claims that are in force."""
        return [
            condition.claim
            for upstream_id, condition in self._conditions.items()
            if self.is_avoided(upstream_id, condition.born)
        ]

    def forget_old(self):
        """Forget the claims and successes of long ago."""
        oldest = self._clock() - MEMORY_SECONDS
        for upstream_id, condition in list(self._conditions.items()):
            until = -math.inf if condition.claim is None else condition.claim.until
            if max(until, condition.works_since) < oldest:
                del self._conditions[upstream_id]
                self._holds.pop(upstream_id, None)

    def dump(self) -> list[dict]:
        now = self._clock()
        return [
            {
                "upstream": claim.upstream_id,
                "matter": claim.matter.value,
                "reporter": claim.reporter,
                "failures": claim.failures,
                "seconds_left": round(claim.until - now, 3),
            }
            for claim in self.in_force()
        ]

    def _merge(self, claim):
        condition = self.condition(claim.upstream_id)
        merged = merge_claim(condition, claim)
        if merged == condition:
            return False
        self._conditions[claim.upstream_id] = merged
        self._holds[claim.upstream_id] = self._hold(claim)
        self.version += 1
        return True

    def _hold(self, claim):
        if claim.reporter == self.node:
            return 0.0
        spread = _HOLD_SECONDS_PER_ROUTER * self.routers
        return _HOLD_SECONDS + spread * self._random.random()

"""Claims that an upstream cannot be used, and how those of several routers merge.

Load: an upstream refuses requests or falls silent while the store, which would say so,
is silent as well. Each router would find out by failed requests of its own.

A claim concerns one incarnation and ends by itself. A request that was sent after the
claim and succeeds ends it earlier. Merging depends neither on the order of claims and
successes nor on how often each one arrives.
"""

import math
from enum import StrEnum
from typing import NamedTuple

# An upstream is avoided for this time after the first claim. Each further claim before
# a success doubles it.
_INITIAL_SECONDS = 0.5
_MAX_SECONDS = 4.0
# More are not counted: the time no longer doubles, and a large power is no float.
MAX_FAILURES = 100


class Matter(StrEnum):
    """What is wrong with an upstream."""

    REFUSING = "refusing"
    TERMINATED = "terminated"
    UNRESPONSIVE = "unresponsive"
    # It answers requests with errors, although its health checks are good.
    FAILING = "failing"


class Claim(NamedTuple):
    """An incarnation is not to be used until a time of the clock.

    `failures` counts the claims in a row without a success between them.
    """

    upstream_id: str
    born: int
    matter: Matter
    reporter: str
    made_at: float
    until: float
    failures: int


class Condition(NamedTuple):
    """What is claimed of an upstream; the merge of all claims and successes."""

    born: int = 0
    claim: Claim | None = None
    # When the latest request was sent that this incarnation has served.
    works_since: float = -math.inf

    @property
    def is_settled(self) -> bool:
        """Whether a request that was sent after the claim has succeeded."""
        return self.claim is None or self.works_since > self.claim.made_at


def next_claim(
    condition: Condition,
    upstream_id: str,
    born: int,
    matter: Matter,
    reporter: str,
    now: float,
) -> Claim:
    """Return the claim of a router that has found an upstream unusable."""
    failures = 1
    if condition.born == born and not condition.is_settled:
        failures = min(condition.claim.failures + 1, MAX_FAILURES)
    seconds = min(_INITIAL_SECONDS * 2 ** (failures - 1), _MAX_SECONDS)
    if matter is Matter.FAILING and failures == 1:
        # One error is more often chance than a broken upstream.
        seconds = 0.0
    return Claim(upstream_id, born, matter, reporter, now, now + seconds, failures)


def merge_claim(condition: Condition, claim: Claim) -> Condition:
    """Return a condition with one more claim; older incarnations do not count."""
    if claim.born < condition.born:
        return condition
    if claim.born > condition.born:
        return Condition(claim.born, claim)
    known = condition.claim
    if known is not None and _rank(known) >= _rank(claim):
        return condition
    return condition._replace(claim=claim)


def merge_success(condition: Condition, born: int, sent_at: float) -> Condition:
    """Return a condition with a success of a request that was sent at `sent_at`."""
    if born < condition.born:
        return condition
    if born > condition.born:
        return Condition(born, None, sent_at)
    return condition._replace(works_since=max(condition.works_since, sent_at))


def answered_until(condition: Condition) -> float:
    """Return until when faults that were found are no reason for another claim."""
    if condition.is_settled:
        return condition.works_since
    return condition.claim.until


def _rank(claim):
    return (claim.made_at, claim.until, claim.failures, claim.reporter, claim.matter)


def is_in_force(
    condition: Condition, born: int, now: float, hold_seconds: float = 0.0
) -> bool:
    """Whether an incarnation is to be avoided now.

    A router that did not make the claim holds it for `hold_seconds` longer, so that one
    router tries the upstream again for all.
    """
    claim = condition.claim
    if claim is None or condition.born != born or condition.is_settled:
        return False
    return now < claim.until + hold_seconds

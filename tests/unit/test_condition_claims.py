"""How claims and successes merge, and how long a router holds a claim.

Load: messages on an upstream that refuses arrive late, repeated and reordered.
"""

from functools import reduce

from hypothesis import given
from hypothesis import strategies as st

from bulrushdrum._internal.conditions.claim_set import ClaimSet
from bulrushdrum._internal.conditions.claims import (
    Claim,
    Condition,
    Matter,
    is_in_force,
    merge_claim,
    merge_success,
    next_claim,
)

TIMES = st.integers(0, 5).map(float)
BORN = st.integers(1, 3)
CLAIMS = st.builds(
    lambda born, matter, reporter, at, seconds, failures: Claim(
        "u", born, matter, reporter, at, at + seconds, failures
    ),
    BORN,
    st.sampled_from(Matter),
    st.sampled_from(["r1", "r2"]),
    TIMES,
    TIMES,
    st.integers(1, 3),
)
SUCCESSES = st.tuples(BORN, TIMES)
UPDATES = st.lists(st.one_of(CLAIMS, SUCCESSES), max_size=8)


def merge(condition, update):
    if isinstance(update, Claim):
        return merge_claim(condition, update)
    return merge_success(condition, *update)


def merge_all(updates):
    return reduce(merge, updates, Condition())


@given(UPDATES, st.randoms(use_true_random=False))
def test_neither_order_nor_repetition_matters(updates, draw):
    # Guards against routers that disagree because messages arrived in another order.
    others = [*updates, *draw.sample(updates, draw.randint(0, len(updates)))]
    draw.shuffle(others)
    assert merge_all(others) == merge_all(updates)


@given(UPDATES, TIMES)
def test_updates_on_an_old_incarnation_change_nothing(updates, now):
    # Guards against a claim that keeps a restarted upstream unused, or a success of the
    # old one that clears it.
    latest = max((u.born if isinstance(u, Claim) else u[0] for u in updates), default=0)
    current = [
        u for u in updates if (u.born if isinstance(u, Claim) else u[0]) == latest
    ]
    assert merge_all(updates) == merge_all(current)
    assert not is_in_force(merge_all(updates), latest + 1, now)


@given(UPDATES, CLAIMS)
def test_only_a_success_sent_after_all_claims_ends_them_early(updates, claim):
    # Guards against old streams of a draining upstream that clear it.
    latest = claim._replace(born=3, made_at=6.0)
    known = merge_success(merge_all([*updates, latest]), 3, 6.0)
    assert not known.is_settled
    assert merge_success(known, 3, 6.1).is_settled


@given(st.lists(st.floats(0.0, 30.0), min_size=1, max_size=30))
def test_a_claim_lasts_longer_each_time_within_bounds(gaps):
    # Guards against an upstream that is asked too often, or never again.
    condition, now, last = Condition(), 0.0, 0.0
    for gap in gaps:
        now += gap
        claim = next_claim(condition, "u", 1, Matter.REFUSING, "r1", now)
        seconds = claim.until - now
        assert 0.49 <= seconds <= 4.01 and seconds >= last - 1e-6
        condition, last = merge_claim(condition, claim), seconds


@given(st.lists(st.tuples(st.floats(0.0, 3.0), st.booleans()), max_size=20))
def test_one_router_may_use_an_upstream_before_the_others(steps):
    # Guards against all routers trying an upstream at once when a claim ends.
    now = [0.0]
    names = ("r1", "r2", "r3")
    sets = {name: ClaimSet(name, lambda: now[0], seed=name) for name in names}
    for seconds, is_refused in steps:
        now[0] += seconds
        if is_refused:
            claim = sets["r1"].make("u", 1, Matter.REFUSING)
            for other in ("r2", "r3"):
                if claim is not None:
                    sets[other].receive(claim)
        if sets["r1"].is_avoided("u", 1):
            assert sets["r2"].is_avoided("u", 1) and sets["r3"].is_avoided("u", 1)
    now[0] += 10.0
    assert not any(known.is_avoided("u", 1) for known in sets.values())


@given(st.lists(st.tuples(st.sampled_from("abc"), st.one_of(CLAIMS, SUCCESSES))))
def test_a_set_merges_each_upstream_and_forgets_it(updates):
    # Guards against memory of upstreams that have left.
    now = [0.0]
    claims = ClaimSet("r1", lambda: now[0])
    for upstream_id, update in updates:
        if isinstance(update, Claim):
            claims.receive(update._replace(upstream_id=upstream_id))
        else:
            claims.record_success(upstream_id, *update)
    for upstream_id in "abc":
        own = [update for name, update in updates if name == upstream_id]
        own = [
            u._replace(upstream_id=upstream_id) if isinstance(u, Claim) else u
            for u in own
        ]
        assert claims.condition(upstream_id) == merge_all(own)
    now[0] = 30.0
    claims.forget_old()
    assert claims.condition("a") == Condition() and not claims.dump()

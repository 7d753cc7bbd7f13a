"""Model of conditions: routers that use one upstream, which refuses and may restart.

The merge is that of the code (`conditions/claims.py`). A claim may arrive late, and
again; the times of a received one are late by its delay. A withdrawal that arrives
after more than the margin is not in the model: it may end a newer claim early.
"""

from typing import NamedTuple

from bulrushdrum._internal.conditions.claims import (
    Claim,
    Condition,
    Matter,
    is_in_force,
    merge_claim,
    merge_success,
    next_claim,
)

TICK = 0.25
# Of a message with a claim, and of one with a withdrawal.
MAX_DELAY, MARGIN = 0.5, 0.25
HOLD = 0.25


class Message(NamedTuple):
    sender: int
    number: int
    sent: float
    # A claim, or the incarnation and sending time of a request that was served.
    content: tuple


class Router(NamedTuple):
    condition: Condition = Condition()
    born: int = 1  # the incarnation that is registered here
    request: tuple | None = None  # (incarnation, sending time)
    requests: int = 0
    number: int = 0
    applied: tuple = ()  # the latest number of each sender
    withdrawn: tuple = ()  # the latest withdrawal of each sender
    latest: tuple | None = None  # what is announced


class Scenario(NamedTuple):
    requests: tuple[int, ...]  # of each router, at most
    refusals: int  # at most
    ticks: int
    announces: bool = False
    restarts: bool = False


class State(NamedTuple):
    now: float = 0.0
    born: int = 1
    refuses_since: float | None = None
    accepts_again: bool = False
    refusals: int = 0
    refused_at: float = -1.0
    # When the latest request was sent that the first incarnation has served.
    served: float = -1.0
    routers: tuple[Router, ...] = ()
    messages: frozenset = frozenset()
    revived: bool = False
    tried_early: bool = False


class ConditionsModel:
    """Routers and an upstream in a scenario; `mutation` leaves a rule out."""

    MUTATIONS = (
        "applies claims to any incarnation",
        "lets any success end a claim",
        "forgets which entries were applied",
        "passes received claims on",
        "lets all routers try when a claim ends",
        "takes withdrawals as sent without delay",
    )

    def __init__(self, scenario, mutation=""):
        assert mutation in ("", *self.MUTATIONS)
        self._scenario, self._mutation = scenario, mutation
        self._count, self._refusals = len(scenario.requests), scenario.refusals

    def initial(self):
        none = (0,) * self._count
        router = Router(applied=none, withdrawn=none)
        return State(routers=(router,) * self._count)

    def steps(self, state):
        if state.now < self._scenario.ticks * TICK:
            yield "time passes", state._replace(now=state.now + TICK)
        if state.born == 1:
            if state.refuses_since is None:
                yield "refuses from now on", state._replace(refuses_since=state.now)
            elif not state.accepts_again:
                yield "accepts requests again", state._replace(accepts_again=True)
            if self._scenario.restarts:
                yield "restarts", state._replace(born=2)
        for index, router in enumerate(state.routers):
            if router.born < state.born:
                new = router._replace(born=state.born)
                yield f"{index} reads of the restart", _put(state, index, new)
            yield from self._use(state, index, router)
            is_told = router.latest is not None and state.now < router.latest[-1]
            if is_told and self._scenario.announces:
                number, content, _ = router.latest
                message = Message(index, number, state.now, content)
                yield (
                    f"{index} announces",
                    state._replace(messages=state.messages | {message}),
                )
        for message in state.messages:
            for index, router in enumerate(state.routers):
                if index != message.sender:
                    yield from self._receive(state, index, router, message)

    def is_avoided(self, state, index):
        router = state.routers[index]
        claim, born = router.condition.claim, router.born
        hold = HOLD
        if claim is not None and claim.reporter == str(index):
            hold = 0.0
        if self._mutation == "lets all routers try when a claim ends":
            hold = 0.0
        if self._mutation == "applies claims to any incarnation":
            born = router.condition.born
        return is_in_force(router.condition, born, state.now, hold)

    def _use(self, state, index, router):
        may_send = router.requests < self._scenario.requests[index]
        may_send = may_send and router.request is None
        if may_send and not self.is_avoided(state, index):
            claim = router.condition.claim
            early = (
                claim is not None
                and not router.condition.is_settled
                and claim.born == router.born
                and claim.reporter != str(index)
                and state.now < claim.until + HOLD
            )
            sent = router._replace(
                request=(router.born, state.now), requests=router.requests + 1
            )
            changed = _put(state, index, sent)
            yield (
                f"{index} sends a request",
                changed._replace(tried_early=state.tried_early or early),
            )
        if router.request is None:
            return
        born, sent_at = router.request
        ended = router._replace(request=None)
        if born != state.born:
            yield f"{index} loses a request", _put(state, index, ended)
            return
        since = state.refuses_since
        is_refusing = since is not None and not state.accepts_again
        if born == 1 and is_refusing and sent_at >= since:
            if state.refusals < self._refusals:
                yield f"{index} is refused", self._refuse(state, index, ended, born)
        else:
            if self._mutation == "lets any success end a claim":
                sent_at = state.now
            served = self._serve(state, index, ended, born, sent_at)
            yield f"{index} is served", served

    def _refuse(self, state, index, router, born):
        state = state._replace(refusals=state.refusals + 1, refused_at=state.now)
        condition = router.condition
        if is_in_force(condition, born, state.now):
            return _put(state, index, router)
        claim = next_claim(condition, "u", born, Matter.REFUSING, str(index), state.now)
        router = router._replace(condition=merge_claim(condition, claim))
        return self._send(state, index, router, claim, claim.until)

    def _serve(self, state, index, router, born, sent_at):
        if born == 1:
            true_sent_at = state.routers[index].request[1]
            state = state._replace(served=max(state.served, true_sent_at))
        known = router.condition
        condition = merge_success(known, born, sent_at)
        router = router._replace(condition=condition)
        if known.is_settled or not condition.is_settled:
            return _put(state, index, router)
        return self._send(state, index, router, (born, sent_at), known.claim.until)

    def _send(self, state, index, router, content, until):
        number = router.number + 1
        router = router._replace(number=number, latest=(number, content, until))
        message = Message(index, number, state.now, content)
        changed = _put(state, index, router)
        return changed._replace(messages=changed.messages | {message})

    def _receive(self, state, index, router, message):
        sender, number, sent, content = message
        delay = state.now - sent
        if number <= router.applied[sender]:
            if self._mutation != "forgets which entries were applied":
                return
        router = router._replace(applied=_set(router.applied, sender, number))
        match content:
            case Claim():
                if delay > MAX_DELAY:
                    return
                claim = content._replace(
                    made_at=content.made_at + delay, until=content.until + delay
                )
                merged = merge_claim(router.condition, claim)
                revived = number < router.withdrawn[sender]
                changed = router._replace(condition=merged)
                state = state._replace(revived=state.revived or revived)
                if self._mutation == "passes received claims on":
                    received = self._send(state, index, changed, claim, claim.until)
                else:
                    received = _put(state, index, changed)
                yield f"{index} receives claim {number} of {sender}", received
            case (born, sent_at):
                if delay > MARGIN:
                    return
                if self._mutation != "takes withdrawals as sent without delay":
                    sent_at -= MARGIN
                merged = merge_success(router.condition, born, sent_at + delay)
                withdrawn = _set(router.withdrawn, sender, number)
                changed = router._replace(condition=merged, withdrawn=withdrawn)
                yield (
                    f"{index} receives withdrawal {number} of {sender}",
                    _put(state, index, changed),
                )

    def invariants(self):
        return {
            "a claim spares the next incarnation": lambda state: (
                not any(
                    router.born == 2 and self.is_avoided(state, index)
                    for index, router in enumerate(state.routers)
                )
            ),
            "only a request that was sent later ends a claim early": lambda state: all(
                _ended_by_later_request(state, index, router)
                for index, router in enumerate(state.routers)
            ),
            "a withdrawn claim stays withdrawn": lambda state: not state.revived,
            "the reporter tries first": lambda state: not state.tried_early,
            "a claim ends": lambda state: (
                not any(
                    self.is_avoided(state, index)
                    and state.now >= state.refused_at + self._longest()
                    for index in range(self._count)
                )
            ),
        }

    def _longest(self):
        return 0.5 * 2 ** (self._refusals - 1) + HOLD + MAX_DELAY


def _ended_by_later_request(state, index, router):
    claim = router.condition.claim
    if claim is None or claim.reporter != str(index):
        return True
    return not router.condition.is_settled or state.served > claim.made_at


def _set(items, index, value):
    return items[:index] + (value,) + items[index + 1 :]


def _put(state, index, router):
    return state._replace(routers=_set(state.routers, index, router))

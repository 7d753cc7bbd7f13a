"""Model of the lending of retries: a lender, a borrower and a few units of time.

The limit of each router is its share of the fixed part and one retry for each request
in the window; the lender has had one request, at time 0. The share of the lender may
shrink, because routers join, and one router may restart. All loans are of one retry.
"""

from typing import NamedTuple

WINDOW, LIFETIME, END = 2, 1, 5
LENDER_SHARE, SHRUNK_SHARE, BORROWER_SHARE = 1, 0, 1


class Lender(NamedTuple):
    share: int = LENDER_SHARE
    requests: tuple = (0,)
    retries: tuple = ()
    lent: tuple = ()  # until when each loan counts


class Borrower(NamedTuple):
    incarnation: int = 0
    retries: tuple = ()
    asked: tuple = ()  # (number, time) of the requests without an answer
    numbers: int = 0
    usable: tuple = ()  # until when each loan may be used


class State(NamedTuple):
    time: int = 0
    lender: Lender = Lender()
    borrower: Borrower = Borrower()
    messages: frozenset = frozenset()
    used: tuple = ()  # when each retry in the last window was sent
    forgotten: int = 0  # the share of a router that has restarted


def _recent(times, now):
    return tuple(time for time in times if time >= now - WINDOW)


class RetryLoansModel:
    """The rules of `limits/retry_loans.py`; `mutation` leaves one out."""

    MUTATIONS = (
        "counts no loans",
        "counts loans for the window only",
        "lends from the requests",
        "uses a loan again when it is repeated",
        "uses a loan for its lifetime after it arrives",
        "ignores the incarnation of the borrower",
    )

    def __init__(self, mutation=""):
        assert mutation in ("", *self.MUTATIONS)
        self._mutation = mutation

    def steps(self, state):
        yield from self._tick(state)
        yield from self._spend(state)
        yield from self._ask(state)
        for message in state.messages:
            yield from self._receive(state, message)
        yield from self._disturb(state)

    def _tick(self, state):
        now = state.time + 1
        if now > END:
            return
        lender = state.lender._replace(
            retries=_recent(state.lender.retries, now),
            requests=_recent(state.lender.requests, now),
            lent=tuple(until for until in state.lender.lent if until >= now),
        )
        borrower = state.borrower._replace(
            retries=_recent(state.borrower.retries, now),
            usable=tuple(until for until in state.borrower.usable if until >= now),
        )
        yield (
            f"it is {now}",
            state._replace(
                time=now,
                lender=lender,
                borrower=borrower,
                used=_recent(state.used, now),
            ),
        )

    def _spend(self, state):
        now, lender, borrower = state.time, state.lender, state.borrower
        used = (*state.used, now)
        if self._left(lender) > 0:
            spent = lender._replace(retries=(*lender.retries, now))
            yield "the lender sends a retry", state._replace(lender=spent, used=used)
        if len(borrower.retries) < BORROWER_SHARE:
            spent = borrower._replace(retries=(*borrower.retries, now))
            yield (
                "the borrower sends a retry",
                state._replace(borrower=spent, used=used),
            )
        if borrower.usable:
            spent = borrower._replace(usable=borrower.usable[1:])
            yield "the borrower uses a loan", state._replace(borrower=spent, used=used)

    @staticmethod
    def _left(lender):
        limit = lender.share + len(lender.requests)
        return limit - len(lender.retries) - len(lender.lent)

    def _ask(self, state):
        borrower = state.borrower
        if borrower.numbers == 2:
            return
        number = borrower.numbers
        asking = borrower._replace(
            asked=(*borrower.asked, (number, state.time)), numbers=number + 1
        )
        message = ("ask", borrower.incarnation, number)
        yield (
            f"the borrower asks for loan {number}",
            state._replace(borrower=asking, messages=state.messages | {message}),
        )

    def _receive(self, state, message):
        kind, incarnation, number = message
        if kind == "ask":
            yield from self._lend(state, incarnation, number)
            return
        borrower = state.borrower
        asked = dict(borrower.asked)
        known = incarnation == borrower.incarnation
        if self._mutation == "ignores the incarnation of the borrower":
            known = True
        if number not in asked or not known:
            return
        until = asked[number] + LIFETIME
        if self._mutation == "uses a loan for its lifetime after it arrives":
            until = state.time + LIFETIME
        if self._mutation != "uses a loan again when it is repeated":
            del asked[number]
        usable = borrower.usable
        if until >= state.time:
            usable = tuple(sorted((*usable, until)))
        accepted = borrower._replace(asked=tuple(sorted(asked.items())), usable=usable)
        yield (
            f"the borrower gets loan {number}",
            state._replace(borrower=accepted),
        )

    def _lend(self, state, incarnation, number):
        lender = state.lender
        lendable = min(self._left(lender), lender.share - len(lender.lent))
        if self._mutation == "lends from the requests":
            lendable = self._left(lender)
        # A request that is repeated is granted again here, which the code avoids.
        if lendable <= 0 or len(lender.lent) > 2:
            return
        until = state.time + WINDOW + LIFETIME
        if self._mutation == "counts loans for the window only":
            until = state.time + WINDOW
        if self._mutation != "counts no loans":
            lender = lender._replace(lent=(*lender.lent, until))
        yield (
            f"the lender grants loan {number}",
            state._replace(
                lender=lender,
                messages=state.messages | {("loan", incarnation, number)},
            ),
        )

    def _disturb(self, state):
        lender, borrower = state.lender, state.borrower
        if lender.share == LENDER_SHARE:
            shrunk = lender._replace(share=SHRUNK_SHARE)
            yield "the lender's share shrinks", state._replace(lender=shrunk)
        if state.forgotten:
            return
        restarted = Borrower(incarnation=borrower.incarnation + 1)
        yield (
            "the borrower restarts",
            state._replace(borrower=restarted, forgotten=BORROWER_SHARE),
        )
        yield (
            "the lender restarts",
            state._replace(
                lender=Lender(share=lender.share, requests=()), forgotten=lender.share
            ),
        )


def _is_within_limit(state):
    # The limit may count requests of the window and of the one before it.
    requests = 1 if state.time <= 2 * WINDOW else 0
    limit = LENDER_SHARE + BORROWER_SHARE + requests + state.forgotten
    return len(state.used) <= limit


INVARIANTS = {"retries stay within the limit": _is_within_limit}

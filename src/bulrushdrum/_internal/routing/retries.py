"""Retry budget: limits repeated work to a small fraction of all work.

Without a limit, retries of requests that fail under overload increase the overload.
Work is counted in tokens, because repeating a long prefix costs more than repeating a
short one.
"""


class RetryBudget:
    """A token bucket that repeated tokens are taken from.

    It starts with `reserve` tokens, gains the fraction `ratio` of all tokens run, and
    holds at most ten times `reserve`.

    >>> budget = RetryBudget(ratio=0.1, reserve=50)
    >>> budget.record_tokens(100)
    >>> budget.try_spend(60), budget.try_spend(1)
    (True, False)
    """

    def __init__(self, ratio: float, reserve: int):
        self._ratio = ratio
        self._capacity = max(reserve, 1) * 10
        self._balance = float(reserve)
        self._repeated = 0
        self._total = 0

    @property
    def repeated_tokens(self) -> int:
        return self._repeated

    @property
    def total_tokens(self) -> int:
        return self._total

    def record_tokens(self, count: int):
        self._total += count
        self._balance = min(self._balance + count * self._ratio, self._capacity)

    def try_spend(self, count: int) -> bool:
        """Take `count` tokens from the budget, or return False and take nothing."""
        if count > self._balance:
            return False
        self._balance -= count
        self._repeated += count
        return True

    def dump(self) -> dict:
        return {
            "balance_tokens": round(self._balance),
            "repeated_tokens": self._repeated,
            "total_tokens": self._total,
        }

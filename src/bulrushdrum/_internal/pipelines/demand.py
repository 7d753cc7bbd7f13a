"""What a request needs of the engines of its path."""

from typing import NamedTuple

# Fraction of its answer that a request holds in memory, averaged over its life, plus a
# small margin.
_MEAN_ANSWER_OCCUPANCY = 0.65
# New requests may fill the memory of an engine only up to this fraction: answers may
# become longer than their callers expect.
_MAX_MEMORY_UTILIZATION = 0.92
# Streams that have begun and lost their path may fill it up to this one. New requests
# take what becomes free within milliseconds, and can be refused without a loss.
_MAX_MEMORY_UTILIZATION_OF_BEGUN = 1.0


class Demand(NamedTuple):
    """Tokens of the prompt and of the expected answer of a request.

    `has_begun` tells that its caller has received a part of the answer.
    """

    prompt: float
    answer: float
    has_begun: bool = False

    @property
    def tokens(self) -> float:
        """Approximate memory that the request occupies, averaged over its life.

        The requests in progress are at all stages of their life, so the sum of their
        memory is close to the sum of these averages.
        """
        return self.prompt + _MEAN_ANSWER_OCCUPANCY * self.answer

    @property
    def max_utilization(self) -> float:
        """The fraction of an engine's memory up to which the request may fill it."""
        if self.has_begun:
            return _MAX_MEMORY_UTILIZATION_OF_BEGUN
        return _MAX_MEMORY_UTILIZATION

"""Estimates how long a request may take, for a router that is about to exit.

A generation takes the time until its first event and then its number of events times
the time per event. The time per event depends on the load and is taken from the last
seconds. The number of events depends on what the request asks for: it is estimated from
the answer that the caller expects, by a regression over earlier generations, and is at
most the maximum that the request states.

Completed generations alone would be a biased sample: shortly after a start, only short
ones have completed. Those in progress count as observations of which only a lower bound
is known.

What all estimates have in common is computed once for many of them. A router that
stops needs one for each request in progress, while it has the most to do.
"""

import math
import time
from collections import deque
from collections.abc import Sequence
from statistics import NormalDist
from typing import NamedTuple

from bulrushdrum._internal.gateway.messages import Generation
from bulrushdrum._internal.gateway.request_trace import RequestTrace

# Generations that are remembered; more do not make the estimates more certain.
_MAX_SAMPLES = 300
# Estimates of lengths need this many generations.
_MIN_SAMPLES = 20
# The time per event is taken from generations that ended within this time.
_PACE_WINDOW_SECONDS = 10.0
# A generation in progress has a time per event after this many events.
_MIN_EVENTS_FOR_PACE = 4
# A generation waits for its first event as long as this fraction of the others at most.
_FIRST_EVENT_QUANTILE = 0.99
# Events that arrive together are taken to be this far apart.
_MIN_EVENT_SECONDS = 1e-4
# Assumed durations while nothing is known.
_DEFAULT_GENERATION_SECONDS = 4.0
_DEFAULT_CALL_SECONDS = 1.0
# While few generations have ended, others may be longer by this factor.
_LENGTH_MARGIN_FACTOR = 2.0
# A generation that must end in time may be slower than all others by this factor.
_PACE_MARGIN_FACTOR = 2.0
# The longest call of those remembered may be exceeded by this factor.
_CALL_MARGIN_FACTOR = 2.0
# Lower bound of the standard deviation of the logarithms of lengths and of times per
# event: few samples may be alike by chance.
_MIN_LOG_DEVIATION = 0.1
# Statistics are used for this time, and for a multiple of the time that they took to
# compute, so that they take a small part of the time of a busy process.
_STATISTICS_LIFETIME_SECONDS = 0.2
_STATISTICS_LIFETIME_FACTOR = 20.0
# A process that is paused while it computes them must not keep them for minutes.
_MAX_STATISTICS_LIFETIME_SECONDS = 1.0
_FIT_ITERATIONS = 5
# Callers that nearly expect the same tell nothing about those that expect another
# length.
_MIN_EXPECTED_LOG_DEVIATION = 0.01
# Below this, the mean above a bound is the bound.
_MIN_PROBABILITY = 1e-6
_STANDARD_NORMAL = NormalDist()


class _Sample(NamedTuple):
    """One generation; `ended_at` is None while it is in progress.

    `is_censored` tells that more events would have followed: it is in progress, or has
    reached the maximum that the request states. `expected_events` is what its caller
    expects, and `event_seconds` the mean time between two events; both are None if
    unknown. `recovery_seconds` is how long it has waited for another path.
    """

    ended_at: float | None
    is_censored: bool
    expected_events: float | None
    events: int
    first_event_seconds: float
    event_seconds: float | None
    recovery_seconds: float


class _LengthFit(NamedTuple):
    """A regression of the logarithm of the number of events on the expected one."""

    slope: float
    intercept: float
    deviation: float

    def predict(self, expected_events: float) -> NormalDist:
        mean = self.intercept + self.slope * math.log(expected_events)
        return NormalDist(mean, self.deviation)


class _Statistics(NamedTuple):
    """What is common to the estimates of all requests; times in seconds.

    `paced` is the number of generations whose pace is known. `longest` is the largest
    number of events of a generation whose maximum is unknown.
    `pace` is the distribution of the logarithm of the time per event.
    `recovery_seconds` is the longest wait for another path of a recent generation.
    """

    paced: int
    slowest_event_seconds: float
    first_event_seconds: float
    longest: int | float
    lengths: "_LengthFit"
    pace: NormalDist
    recovery_seconds: float


# Callers' estimates are right at the median, and often off by a factor of two.
_PRIOR_FIT = _LengthFit(slope=1.0, intercept=0.0, deviation=math.log(2.0))


class GenerationDurations:
    """Durations of the generations that a router has proxied."""

    def __init__(self, clock=time.monotonic):
        self._clock = clock
        self._ended: deque[_Sample] = deque(maxlen=_MAX_SAMPLES)
        self._in_progress: dict[RequestTrace, tuple[Generation | None, int]] = {}
        self._statistics: _Statistics | None = None
        self._statistics_expire_at = -math.inf

    @property
    def samples(self) -> int:
        return len(self._ended) + len(self._in_progress)

    def begin(self, trace: RequestTrace, size: Generation | None, steps_per_event: int):
        self._in_progress[trace] = (size, steps_per_event)

    def end(self, trace: RequestTrace, complete: bool):
        """Record the end of a generation; only a complete one shows its length."""
        asked = self._in_progress.pop(trace)
        if complete and trace.events:
            self._ended.append(_make_sample(trace, *asked, self._clock()))

    def seconds(
        self,
        size: Generation | None,
        steps_per_event: int,
        probability: float,
    ) -> float:
        """Return a duration that a generation does not exceed with `probability`."""
        statistics = self._current_statistics()
        if statistics is None:
            return _DEFAULT_GENERATION_SECONDS
        slowest = statistics.slowest_event_seconds
        events = statistics.longest
        if size is not None and size.max_output:
            events = math.ceil(size.max_output / steps_per_event)
        seconds = events * slowest
        if size is not None and size.expected_output:
            length = statistics.lengths.predict(size.expected_output / steps_per_event)
            seconds = min(
                seconds,
                _exp(length.inv_cdf(probability)) * slowest,
                # Length and pace are independent, so their product varies less than
                # the product of their extremes.
                _exp((length + statistics.pace).inv_cdf(probability)),
            )
        return statistics.first_event_seconds + seconds

    def longest_seconds(self, size: Generation | None, steps_per_event: int) -> float:
        """Return how long a generation takes that reaches its stated maximum.

        What its caller expects does not count. It may be slower than the slowest of the
        last seconds, lose its path, and wait for another one as long as another
        generation has waited. Infinite if no maximum is stated, or the pace is unknown.
        """
        statistics = self._current_statistics()
        if statistics is None or statistics.paced < _MIN_SAMPLES:
            return math.inf
        if size is None or not size.max_output:
            return math.inf
        events = math.ceil(size.max_output / steps_per_event)
        return (
            statistics.first_event_seconds
            + events * statistics.slowest_event_seconds * _PACE_MARGIN_FACTOR
            + statistics.recovery_seconds
        )

    def in_progress(self) -> list[tuple[Generation | None, int]]:
        """Return the size and the steps per event of each generation in progress."""
        return list(self._in_progress.values())

    def _current_statistics(self):
        """Return the statistics, or None if no generation shows a time per event."""
        began_at = self._clock()
        if began_at >= self._statistics_expire_at:
            self._statistics = self._compute_statistics(began_at)
            now = self._clock()
            lifetime = max(
                _STATISTICS_LIFETIME_SECONDS,
                (now - began_at) * _STATISTICS_LIFETIME_FACTOR,
            )
            self._statistics_expire_at = now + min(
                lifetime, _MAX_STATISTICS_LIFETIME_SECONDS
            )
        return self._statistics

    def _compute_statistics(self, now):
        samples = [*self._ended, *self._running()]
        paced = [sample for sample in samples if sample.event_seconds is not None]
        if not paced:
            return None
        # Without generations in the last seconds, the earlier ones must do.
        oldest = now - _PACE_WINDOW_SECONDS
        recent = [
            sample
            for sample in paced
            if sample.ended_at is None or sample.ended_at > oldest
        ] or paced
        first_events = sorted(sample.first_event_seconds for sample in recent)
        index = min(int(len(first_events) * _FIRST_EVENT_QUANTILE), len(recent) - 1)
        return _Statistics(
            len(paced),
            max(sample.event_seconds for sample in recent),
            first_events[index],
            _longest(samples),
            _fit_lengths(samples),
            _fit_pace(recent),
            max(sample.recovery_seconds for sample in recent),
        )

    def _running(self):
        return [
            _make_sample(trace, *asked, None)
            for trace, asked in self._in_progress.items()
            if trace.events
        ]


def _make_sample(trace, size, steps_per_event, ended_at):
    expected, is_censored = None, ended_at is None
    if size is not None:
        if size.expected_output:
            expected = size.expected_output / steps_per_event
        if size.max_output:
            is_censored |= trace.events >= size.max_output / steps_per_event
    pace = None
    if trace.events >= _MIN_EVENTS_FOR_PACE:
        pace = max(trace.event_seconds, _MIN_EVENT_SECONDS)
    return _Sample(
        ended_at,
        is_censored,
        expected,
        trace.events,
        trace.first_event_seconds,
        pace,
        trace.recovery_seconds,
    )


def _fit_pace(samples):
    """Return the distribution of the logarithm of the time per event.

    The mean is that of all events: in short generations, events may arrive together.
    """
    seconds = math.fsum(sample.events * sample.event_seconds for sample in samples)
    events = sum(sample.events for sample in samples)
    logarithms = [math.log(sample.event_seconds) for sample in samples]
    center = math.fsum(logarithms) / len(logarithms)
    deviation = math.sqrt(_mean_square([value - center for value in logarithms]))
    return NormalDist(math.log(seconds / events), max(deviation, _MIN_LOG_DEVIATION))


def _longest(samples):
    """Return the largest number of events that a generation may have."""
    ended = [sample.events for sample in samples if sample.ended_at is not None]
    if len(ended) >= _MIN_SAMPLES:
        return max(ended)
    # Those in progress may become longer.
    return _LENGTH_MARGIN_FACTOR * max(sample.events for sample in samples)


def _fit_lengths(samples):
    """Fit lengths; censored generations are lower bounds.

    Expectation maximization: each censored value is replaced by its mean under the
    current fit, given that it exceeds what was observed.
    """
    known = [sample for sample in samples if sample.expected_events]
    if sum(not sample.is_censored for sample in known) < _MIN_SAMPLES:
        return _PRIOR_FIT
    expected = [math.log(sample.expected_events) for sample in known]
    observed = [math.log(sample.events) for sample in known]
    censored = [sample.is_censored for sample in known]
    fit, values, extra_variance = None, observed, 0.0
    for _ in range(_FIT_ITERATIONS):
        fit = _regress(expected, values, extra_variance / len(known))
        values, extra_variance = [], 0.0
        for x, y, is_lower_bound in zip(expected, observed, censored, strict=True):
            if is_lower_bound:
                y, variance = _mean_above(
                    NormalDist(fit.slope * x + fit.intercept, fit.deviation), y
                )
                extra_variance += variance
            values.append(y)
    return fit


def _regress(expected, values, extra_variance):
    count = len(values)
    x_mean, y_mean = math.fsum(expected) / count, math.fsum(values) / count
    x_variance = _mean_square([x - x_mean for x in expected])
    slope = 0.0
    if math.sqrt(x_variance) > _MIN_EXPECTED_LOG_DEVIATION:
        products = zip(expected, values, strict=True)
        covariance = math.fsum((x - x_mean) * (y - y_mean) for x, y in products) / count
        slope = covariance / x_variance
    intercept = y_mean - slope * x_mean
    residuals = [
        y - intercept - slope * x for x, y in zip(expected, values, strict=True)
    ]
    variance = _mean_square(residuals) + extra_variance
    return _LengthFit(slope, intercept, max(math.sqrt(variance), _MIN_LOG_DEVIATION))


# The functions of `statistics` compute with fractions, which takes ten times as long.
def _mean_square(values: Sequence[float]) -> float:
    return math.fsum(value * value for value in values) / len(values)


def _exp(logarithm):
    try:
        return math.exp(logarithm)
    except OverflowError:
        return math.inf


def _mean_above(distribution, bound):
    """Return the mean and the variance of the part of `distribution` above `bound`."""
    z = (bound - distribution.mean) / distribution.stdev
    above = 1.0 - _STANDARD_NORMAL.cdf(z)
    if above < _MIN_PROBABILITY:
        return bound, 0.0
    ratio = _STANDARD_NORMAL.pdf(z) / above
    variance = distribution.variance * max(1.0 + z * ratio - ratio**2, 0.0)
    return distribution.mean + distribution.stdev * ratio, variance


class CallDurations:
    """Durations of the latest calls of plain services."""

    def __init__(self):
        self._durations: deque[float] = deque(maxlen=_MAX_SAMPLES)

    @property
    def samples(self) -> int:
        return len(self._durations)

    def record(self, seconds: float):
        self._durations.append(seconds)

    def seconds(self) -> float:
        """Return a duration that a call is not expected to exceed."""
        if len(self._durations) < _MIN_SAMPLES:
            return _DEFAULT_CALL_SECONDS
        return max(self._durations) * _CALL_MARGIN_FACTOR

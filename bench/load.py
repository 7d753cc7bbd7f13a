"""Load for measurements: callers that keep a system busy, and what they saw."""

import random
import time
from dataclasses import dataclass, field

import gevent
from gevent.pool import Group
from hdrh.histogram import HdrHistogram

from bench.cluster import Cluster

_HIGHEST_MICROSECONDS = 600_000_000
# The shared beginning of every kiosk prompt; the engines can cache it.
_KIOSK_PREFIX = (
    "You answer stall holders at Warwick market in isiZulu or English, briefly and "
    "politely, about rent that is due. "
)


@dataclass(frozen=True)
class Kiosk:
    """Short turns with a shared prompt prefix."""

    answer_tokens: int = 12

    def prompt(self, number: int) -> str:
        return f"{_KIOSK_PREFIX}Stall {number}: how much do I owe?"


@dataclass(frozen=True)
class Notices:
    """Batches of notices with prompts that share nothing."""

    answer_tokens: int = 40

    def prompt(self, number: int) -> str:
        return f"{number}: draft the notice of an appointment in department {number}."


Workload = Kiosk | Notices


def _histogram():
    return HdrHistogram(1, _HIGHEST_MICROSECONDS, 3)


@dataclass
class Observed:
    """What the callers saw inside the measured time."""

    seconds: float = 0.0
    tokens: int = 0
    answered: int = 0
    refused: int = 0
    failed: int = 0
    retried: int = 0
    first: HdrHistogram = field(default_factory=_histogram)
    between: HdrHistogram = field(default_factory=_histogram)
    by_customer: dict[str, int] = field(default_factory=dict)

    @property
    def rate(self) -> float:
        """Prompt and answer tokens a second."""
        return self.tokens / self.seconds if self.seconds else 0.0

    def note(self, customer, answer, started, window):
        """Count what arrived inside the window, of an unfinished answer too."""
        begin, end = window
        arrivals = [started + seconds for seconds in answer.times]
        inside = sum(begin <= at <= end for at in arrivals)
        if arrivals and begin <= arrivals[0] <= end:
            inside += answer.prompt_tokens
            self.first.record_value(int(answer.times[0] * 1e6))
        for one, other in zip(arrivals, arrivals[1:], strict=False):
            if begin <= other <= end:
                self.between.record_value(max(1, int((other - one) * 1e6)))
        self.tokens += inside
        self.by_customer[customer] = self.by_customer.get(customer, 0) + inside
        self.retried += answer.attempts > 1
        match answer.outcome:
            case "answered":
                self.answered += begin <= arrivals[-1] <= end
            case "not_run":
                self.refused += 1
            case "unknown":
                self.failed += 1

    def percentiles(self, name: str) -> tuple[float, float, float]:
        """Return the 50th, 95th and 99th percentile in seconds."""
        histogram = getattr(self, name)
        return tuple(histogram.get_value_at_percentile(p) / 1e6 for p in (50, 95, 99))


def closed_loop(
    cluster: Cluster,
    customers: dict[str, int],
    workload: Workload,
    warm_up: float,
    seconds: float,
    seed: int,
) -> Observed:
    """Keep `customers[name]` requests of each customer in progress, and measure.

    The first `warm_up` seconds are not counted.
    """
    return _run(cluster, customers, workload, warm_up, seconds, seed, None)


def open_loop(
    cluster: Cluster,
    customer: str,
    rate: float,
    workload: Workload,
    warm_up: float,
    seconds: float,
    seed: int,
) -> Observed:
    """Send `rate` requests a second at random times (Poisson), and measure."""
    return _run(cluster, {customer: 1}, workload, warm_up, seconds, seed, rate)


def _run(cluster, customers, workload, warm_up, seconds, seed, rate):
    observed = Observed(seconds=seconds)
    begin = time.monotonic() + warm_up
    window = (begin, begin + seconds)
    numbers = random.Random(seed)

    def one(caller, customer):
        entry = numbers.choice(cluster.entries)
        number = numbers.randrange(10**6)
        started = time.monotonic()
        latest = []
        try:
            answer = caller.chat(
                cluster.http(entry),
                workload.prompt(number),
                seed=number,
                max_tokens=workload.answer_tokens,
                on_token=lambda answer: latest or latest.append(answer),
            )
        except gevent.GreenletExit:
            # The window has closed amid the answer.
            for answer in latest:
                observed.note(customer, answer, started, window)
            raise
        observed.note(customer, answer, started, window)
        if answer.outcome != "answered":
            gevent.sleep(0.05)

    def keep_busy(caller, customer):
        while True:
            one(caller, customer)

    def arrive(caller, customer):
        jobs = Group()
        try:
            while True:
                gevent.sleep(numbers.expovariate(rate))
                jobs.spawn(one, caller, customer)
        finally:
            jobs.kill()

    jobs = Group()
    for customer, count in customers.items():
        caller = cluster.caller(customer)
        for _ in range(count):
            jobs.spawn(arrive if rate else keep_busy, caller, customer)
    gevent.sleep(window[1] - time.monotonic())
    jobs.kill()
    return observed

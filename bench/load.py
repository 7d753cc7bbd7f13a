"""Load generators for measurements, and the latencies and counts they observe."""

import random
import time
from dataclasses import dataclass, field

import gevent
from gevent.pool import Group
from hdrh.histogram import HdrHistogram

from bench.cluster import Cluster

_HIGHEST_MICROSECONDS = 600_000_000
# Common prefix of all kiosk prompts, which the engines can cache.
_KIOSK_PREFIX = (
    "You answer stall holders at Warwick market in isiZulu or English, briefly and "
    "politely, about rent that is due. "
)


@dataclass(frozen=True)
class Kiosk:
    """Short requests whose prompts share a prefix."""

    answer_tokens: int = 12

    def prompt(self, number: int) -> str:
        return f"{_KIOSK_PREFIX}Stall {number}: how much do I owe?"


@dataclass(frozen=True)
class Notices:
    """Longer answers to prompts without a common prefix."""

    answer_tokens: int = 40

    def prompt(self, number: int) -> str:
        return f"{number}: draft the notice of an appointment in department {number}."


Workload = Kiosk | Notices


def _histogram():
    return HdrHistogram(1, _HIGHEST_MICROSECONDS, 3)


@dataclass
class Observed:
    """Counts and latencies that the callers observed in the measured window."""

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
        """Prompt and answer tokens per second."""
        return self.tokens / self.seconds if self.seconds else 0.0

    def record(self, customer, answer, started, window):
        """Count the part of a complete or incomplete answer inside the window."""
        begin, end = window
        arrivals = [started + seconds for seconds in answer.times]
        counted = sum(begin <= at <= end for at in arrivals)
        if arrivals and begin <= arrivals[0] <= end:
            counted += answer.prompt_tokens
            self.first.record_value(int(answer.times[0] * 1e6))
        for earlier, later in zip(arrivals, arrivals[1:], strict=False):
            if begin <= later <= end:
                self.between.record_value(max(1, int((later - earlier) * 1e6)))
        self.tokens += counted
        self.by_customer[customer] = self.by_customer.get(customer, 0) + counted
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
    """Keep `customers[name]` requests of each customer in flight, and measure.

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
    """Send `rate` requests per second as a Poisson process, and measure."""
    return _run(cluster, {customer: 1}, workload, warm_up, seconds, seed, rate)


def _run(cluster, customers, workload, warm_up, seconds, seed, rate):
    observed = Observed(seconds=seconds)
    begin = time.monotonic() + warm_up
    window = (begin, begin + seconds)
    source = random.Random(seed)

    def send_request(caller, customer):
        entry = source.choice(cluster.entries)
        number = source.randrange(10**6)
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
            # The window ended during the answer, so count its tokens up to now.
            for answer in latest:
                observed.record(customer, answer, started, window)
            raise
        observed.record(customer, answer, started, window)
        if answer.outcome != "answered":
            gevent.sleep(0.05)

    def keep_busy(caller, customer):
        while True:
            send_request(caller, customer)

    def send_at_random_times(caller, customer):
        greenlets = Group()
        try:
            while True:
                gevent.sleep(source.expovariate(rate))
                greenlets.spawn(send_request, caller, customer)
        finally:
            greenlets.kill()

    greenlets = Group()
    for customer, count in customers.items():
        caller = cluster.caller(customer)
        for _ in range(count):
            greenlets.spawn(
                send_at_random_times if rate else keep_busy, caller, customer
            )
    gevent.sleep(window[1] - time.monotonic())
    greenlets.kill()
    return observed

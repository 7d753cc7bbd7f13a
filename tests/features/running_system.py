"""The system under test, and the context of a scenario."""

from dataclasses import replace

import gevent
from bench.cluster import Cluster
from bench.history import History
from bench.journal import RetryBudget
from bench.processes import wait_for
from bench.topology import three_stages

# The first engine of each stage is much faster, so a fault-free request runs on these.
PREFERRED_CHAIN = ("s0-0", "s1-0", "s2-0")


# Shorter than the defaults, so that scenarios with lost links finish quickly.
ENTRY_SETTINGS = {
    "token_timeout": 1.2,
    "queue_timeout": 1.5,
    "open_timeout": 1.0,
    "request_timeout": 15.0,
    "retry_reserve": 2_000,
}


def standard_system(entries=2, services=0, replicas=2, **options):
    settings = {**ENTRY_SETTINGS, **options.pop("entry_settings", {})}
    topology = three_stages(
        entries=entries,
        replicas=replicas,
        services=services,
        proxied=True,
        entry_settings=settings,
        **options,
    )
    engines = tuple(
        replace(
            engine,
            tokens_per_second=40_000.0 if engine.name in PREFERRED_CHAIN else 4_000.0,
        )
        for engine in topology.engines
    )
    return replace(topology, engines=engines)


# Enough for 24 tokens with two rebuilt attempts on a busy machine.
ANSWER_SECONDS = 60


class SystemCache:
    """Keeps one system running for consecutive scenarios with the same topology."""

    def __init__(self):
        self._cluster = None

    def running(self, topology) -> Cluster:
        if self._cluster is not None and self._cluster.topology == topology:
            self._cluster.repair()
            return self._cluster
        self.close()
        self._cluster = Cluster(topology)
        self._cluster.start()
        return self._cluster

    def close(self):
        if self._cluster is not None:
            self._cluster.close()
            self._cluster = None


class ScenarioContext:
    """The system, requests and answers of one scenario."""

    def __init__(self, system_cache, name):
        self._system_cache = system_cache
        self._name = name
        self.cluster = None
        self.answers = []
        self.tasks = []

    def use(self, topology):
        self.cluster = self._system_cache.running(topology)

    def check(self):
        """Check the run journals against the answers that the callers received."""
        settings = self.cluster.topology.entry_settings
        reserve = settings["retry_reserve"] * len(self.cluster.entries)
        return self.history.check(self.answers, budget=RetryBudget(reserve=reserve))

    @property
    def history(self) -> History:
        return History(self.cluster)

    def prompt(self, number=0) -> str:
        """Return a prompt that no other scenario sends."""
        return f"{self._name} {number}"

    def caller(self, customer="warwick"):
        if customer == "warwick":
            self.cluster.ensure_customer(customer, concurrency=200)
        return self.cluster.caller(customer)

    def send(self, entry="entry0", customer="warwick", number=0, **options):
        """Send a request, stream its answer and record it.

        The default seed is the first whose answer does not stop before `max_tokens`.
        """
        prompt = self.prompt(number)
        options.setdefault(
            "seed", self.seed_without_early_stop(prompt, options["max_tokens"])
        )
        answer = self.caller(customer).chat(self.cluster.http(entry), prompt, **options)
        answer.customer = customer
        self.answers.append(answer)
        return answer

    def seed_without_early_stop(self, prompt, max_tokens):
        seeds = range(1, 100)
        texts = (self.history.expected_texts(prompt, s, max_tokens) for s in seeds)
        return next(
            seed
            for seed, answer in zip(seeds, texts, strict=True)
            if len(answer) == max_tokens and "" not in answer
        )

    def send_in_background(self, **options):
        self.caller(options.get("customer", "warwick"))
        self.tasks.append(gevent.spawn(self.send, **options))
        return self.tasks[-1]

    def send_continuously(
        self, entries, until, customer="warwick", first=1000, **options
    ):
        """Send requests one by one through each of `entries` until `until()` holds."""
        self.caller(customer)

        def send(entry, number):
            while not until():
                self.send(entry=entry, customer=customer, number=number, **options)
                number += 1

        for index, entry in enumerate(entries):
            self.tasks.append(gevent.spawn(send, entry, first + 1000 * index))

    def join(self, tasks=None, seconds=ANSWER_SECONDS):
        """Wait for the background requests `tasks`, by default for all of them."""
        tasks = self.tasks if tasks is None else tasks
        done = gevent.joinall(tasks, timeout=seconds)
        assert len(done) == len(tasks), "a request did not finish in time"
        for task in tasks:
            task.get()

    def expected(self, answer):
        return self.history.expected_texts(
            answer.prompt, answer.seed, answer.max_tokens
        )


def wait_until(condition, what, seconds=10.0):
    return wait_for(condition, what, seconds)


def peak_concurrency(context):
    """Return the peak number of concurrent requests of the limited customer."""
    return len(peak_concurrent_requests(context))


def peak_concurrent_requests(context) -> list[str]:
    """Return the ids of the limited customer's requests at its peak concurrency.

    A request runs from its first to its last layer run.
    """
    spans = {}
    for run in context.history.runs():
        first, last = spans.get(run.request, (run.order, run.order))
        spans[run.request] = (min(first, run.order), max(last, run.order))
    ids = {
        answer.request_id
        for answer in context.answers
        if answer.customer == context.limited
    }
    assert ids
    changes = []
    for request, (first, last) in spans.items():
        if request in ids:
            changes += [(first, True, request), (last, False, request)]
    running, most = [], []
    for _, begins, request in sorted(changes):
        if begins:
            running.append(request)
        else:
            running.remove(request)
        if len(running) > len(most):
            most = list(running)
    return most

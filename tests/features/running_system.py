"""The system that the features run against, and what a scenario works with."""

from dataclasses import replace

import gevent
from bench.cluster import Cluster
from bench.history import History
from bench.journal import RetryBudget
from bench.processes import wait_for
from bench.topology import three_stages

# The first engine of each stage is much faster, so that an undisturbed chain is known.
PREFERRED_CHAIN = ("s0-0", "s1-0", "s2-0")


# Shorter than the defaults, so that scenarios with lost links end soon.
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


# Long enough for an answer of 24 tokens through two rebuilt attempts on a busy machine.
ANSWER_SECONDS = 60


class Systems:
    """The one running system, kept between scenarios that ask for the same one."""

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


class World:
    """What one scenario works with."""

    def __init__(self, systems, name):
        self._systems = systems
        self._name = name
        self.cluster = None
        self.answers = []
        self.tasks = []

    def use(self, topology):
        self.cluster = self._systems.running(topology)

    def check(self):
        """Check the journals with what this scenario's callers received."""
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

    def ask(self, entry="entry0", customer="warwick", number=0, **options):
        """Stream one answer and keep it.

        The seed is the first whose answer does not stop before `max_tokens`.
        """
        prompt = self.prompt(number)
        options.setdefault("seed", self.long_seed(prompt, options["max_tokens"]))
        answer = self.caller(customer).chat(self.cluster.http(entry), prompt, **options)
        answer.customer = customer
        self.answers.append(answer)
        return answer

    def long_seed(self, prompt, max_tokens):
        seeds = range(1, 100)
        texts = (self.history.expected_texts(prompt, s, max_tokens) for s in seeds)
        return next(
            seed
            for seed, answer in zip(seeds, texts, strict=True)
            if len(answer) == max_tokens and "" not in answer
        )

    def ask_in_background(self, **options):
        self.caller(options.get("customer", "warwick"))
        self.tasks.append(gevent.spawn(self.ask, **options))
        return self.tasks[-1]

    def keep_asking(self, entries, until, customer="warwick", first=1000, **options):
        """Ask through each of `entries`, one request after another, until `until()`."""
        self.caller(customer)

        def ask(entry, number):
            while not until():
                self.ask(entry=entry, customer=customer, number=number, **options)
                number += 1

        for index, entry in enumerate(entries):
            self.tasks.append(gevent.spawn(ask, entry, first + 1000 * index))

    def join(self, seconds=ANSWER_SECONDS):
        """Wait for all background requests."""
        done = gevent.joinall(self.tasks, timeout=seconds)
        assert len(done) == len(self.tasks), "a request got no end in time"
        for task in self.tasks:
            task.get()

    def expected(self, answer):
        return self.history.expected_texts(
            answer.prompt, answer.seed, answer.max_tokens
        )


def wait_until(condition, what, seconds=10.0):
    return wait_for(condition, what, seconds)


def most_at_once(world):
    """Return the largest number of requests of limited that ran at the same time.

    A request runs from its first to its last layer run.
    """
    spans = {}
    for run in world.history.runs():
        first, last = spans.get(run.request, (run.order, run.order))
        spans[run.request] = (min(first, run.order), max(last, run.order))
    ids = {
        answer.request_id
        for answer in world.answers
        if answer.customer == world.limited
    }
    assert ids
    changes = []
    for request, (first, last) in spans.items():
        if request in ids:
            changes += [(first, 1), (last, -1)]
    running = most = 0
    for _, change in sorted(changes):
        running += change
        most = max(most, running)
    return most

"""Tests of at-most-once execution with real binding tables and random faults."""

import itertools
import random

import gevent
import pytest
from gevent.pool import Group
from tests.unit.memory_table import MemoryTable

from bulrushdrum._internal.peering.errors import ConnectionLost
from bulrushdrum._internal.peering.request_messages import CallResult
from bulrushdrum._internal.routing import claims
from bulrushdrum._internal.routing.at_most_once import AtMostOnceExecutor
from bulrushdrum._internal.routing.claim_rows import Binding, BindingProposal
from bulrushdrum._internal.routing.claims import ClaimStore
from bulrushdrum._internal.routing.errors import CallTimeout, NotSent
from bulrushdrum._internal.sidecar.bindings import BindingTable, Join, Refuse
from bulrushdrum._internal.world.requests import Outcome

ANSWERED, NOT_RUN, UNKNOWN = Outcome


class Cluster:
    """Sidecars in this process; messages to them are lost, delayed or duplicated.

    `runs` holds the customer and key of each run.
    """

    def __init__(self, seed=0, fault_rate=0.0, sidecars=2):
        self.random = random.Random(seed)
        self.fault_rate = fault_rate
        self.table = MemoryTable(fault_rate / 4, seed)
        self.now = 0.0
        self.delayed_messages = Group()
        self.runs = []
        self.incarnations = itertools.count()
        self.sidecars = {}
        for _ in range(sidecars):
            self.start_sidecar()

    def start_sidecar(self):
        name = f"s{next(self.incarnations)}"
        self.sidecars[name] = BindingTable(name, lambda: self.now)

    def sleep(self, seconds=0.01):
        self.now += seconds
        gevent.sleep(0)

    def fault(self):
        return self.random.random() < self.fault_rate

    def choose(self, excluded):
        names = [name for name in self.sidecars if name not in excluded]
        if not names:
            return None
        name = self.random.choice(names)
        return BindingProposal(name, name, self.sidecars[name].window)

    def finish(self, greenlets):
        """Wait for paused requests and for messages that are delayed only briefly."""
        gevent.joinall(greenlets, timeout=30, raise_error=True)
        self.delayed_messages.join(timeout=0.002)

    def executor(self):
        return AtMostOnceExecutor(
            ClaimStore(self.table), self, self.choose, lambda: self.now, self.sleep
        )

    def deliver(self, binding):
        """Process one call message as its sidecar would."""
        table = self.sidecars.get(binding.incarnation)
        if table is None:
            return None
        name = (binding.customer, binding.key)
        refuse_new = "draining" if self.fault() else ""
        answer = table.admit(
            *name, binding.window, binding.generation, binding.fingerprint, refuse_new
        )
        if isinstance(answer, Refuse):
            return CallResult(outcome=answer.outcome, reason=answer.reason)
        if isinstance(answer, Join):
            return answer.wait(timeout=1) or CallResult(outcome="unknown")
        if self.fault():
            result = CallResult(outcome="not_run", reason="connect_refused")
        else:
            self.runs.append(name)
            self.sleep()
            result = CallResult(outcome="answered", body=b"receipt 1")
        table.finish(*name, result)
        return result

    def send(self, binding: Binding, timeout):
        self.sleep()
        if binding.incarnation not in self.sidecars:
            raise NotSent("no connection")
        if self.fault():
            # The message may still be delivered after its connection is lost.
            delay = self.random.choice([0.0, 0.1, 5.0, 400.0])
            self.delayed_messages.spawn(self._deliver_late, binding, self.now + delay)
            raise ConnectionLost("reset")
        result = self.deliver(binding)
        if self.fault() and self.random.random() < 0.2:
            self.sidecars.pop(binding.incarnation, None)
            self.start_sidecar()
        if result is None or self.fault():
            raise ConnectionLost("reset before the answer")
        if self.fault():
            self.now += timeout
            raise CallTimeout("no answer")
        return result

    def _deliver_late(self, binding, due):
        while self.now < due:
            gevent.sleep(0.0005)
        self.deliver(binding)

    def resolve(self, binding, timeout):
        self.sleep()
        if binding.incarnation not in self.sidecars or self.fault():
            raise ConnectionLost("reset")
        return self.sidecars[binding.incarnation].resolve(
            binding.customer, binding.key, binding.window, binding.generation
        )


def repeat_request(cluster, key, issued=None, requests=3):
    """Act as a caller that repeats a request with one key, also after its own timeout.

    `issued` is the binding of an issued key. Returns the outcomes that the caller
    received; `None` stands for a request that it abandoned.
    """
    outcomes, greenlets = [], []
    for _ in range(requests):
        connected, executor = [True], cluster.executor()

        def send(connected=connected, executor=executor):
            if cluster.fault():
                gevent.sleep(0.002)  # paused before it reads the row
            if cluster.fault():
                return executor.refuse("c", key, "f", "busy", issued)
            return executor.run("c", key, "f", 30, issued, lambda: connected[0])

        greenlets.append(gevent.spawn(send))
        caller_timeout = cluster.random.choice([0.0, 0.0005, 0.002, 5])
        greenlets[-1].join(timeout=caller_timeout)
        connected[0] = False
        result = greenlets[-1].value
        outcomes.append(result and result.outcome)
        run_count = cluster.runs.count(("c", key))
        if result and result.outcome is ANSWERED:
            assert run_count == 1 and result.result.body == b"receipt 1"
        if result and result.outcome is NOT_RUN:
            cluster.finish(greenlets)
            assert ("c", key) not in cluster.runs, f"{result}, and the key ran"
    cluster.finish(greenlets)
    assert cluster.runs.count(("c", key)) <= 1
    return outcomes


@pytest.fixture(autouse=True)
def no_batch_delay(monkeypatch):
    monkeypatch.setattr(claims, "BATCH_DELAY_SECONDS", 0.0)


@pytest.mark.parametrize("seed", range(150))
def test_keys_run_at_most_once_and_outcomes_are_correct_under_faults(seed):
    # Guards against a second run of a key, and a NOT_RUN that is wrong or becomes wrong
    # later, when messages are lost, delayed or refused, or processes are paused or
    # restarted.
    cluster = Cluster(seed, fault_rate=0.25, sidecars=3)
    for number in range(6):
        key, issued = f"k{number}", None
        if number % 3 == 0:
            proposal = cluster.choose(frozenset())
            issued = Binding("c", key, *proposal, 0, "", "")
        repeat_request(cluster, key, issued)
        cluster.now += cluster.random.choice([0, 70, 400])
    cluster.now += 500
    cluster.finish([])
    assert all(cluster.runs.count(name) == 1 for name in cluster.runs)


def test_faults_reach_every_outcome():
    # Guards against a simulation that produces only answers, and so checks nothing.
    outcomes = []
    for seed in range(20):
        outcomes += repeat_request(Cluster(seed, fault_rate=0.25), "k")
    assert set(outcomes) == {ANSWERED, NOT_RUN, UNKNOWN, None}


def test_stored_result_is_returned_after_the_sidecar_is_lost():
    # Guards against UNKNOWN for a key whose claim row holds its result.
    cluster = Cluster()
    executor = cluster.executor()
    assert executor.run("c", "k", "f", timeout=5).outcome is ANSWERED
    executor._claims.write_results()
    cluster.sidecars.clear()
    again = cluster.executor().run("c", "k", "f", timeout=5)
    assert (again.outcome, again.result.body) == (ANSWERED, b"receipt 1")
    other = cluster.executor().run("c", "k", "g", timeout=5)
    assert (other.outcome, other.reason) == (NOT_RUN, "key_reused")


def test_store_outage_refuses_opaque_keys_and_runs_issued_ones():
    # Guards against NOT_RUN for a repeated request whose row could not be read.
    cluster = Cluster(sidecars=1)
    issued = Binding("c", "bd1.x", "s0", "s0", 0, 0, "", "")
    cluster.table.down = True
    result = cluster.executor().run("c", "k", "f", timeout=5)
    assert result[:2] == (UNKNOWN, "store_unavailable") and not result.sent
    assert cluster.executor().refuse("c", "k", "f", "busy").outcome is UNKNOWN
    result = cluster.executor().run("c", "bd1.x", "f", timeout=5, issued=issued)
    assert result.outcome is ANSWERED
    cluster.table.down = False
    assert cluster.executor().refuse("c", "k", "f", "busy").outcome is NOT_RUN
    assert cluster.executor().run("c", "k", "f", timeout=5).outcome is ANSWERED
    assert cluster.executor().refuse("c", "k", "f", "busy").outcome is UNKNOWN
    refused = cluster.executor().refuse("c", "bd1.x", "f", "busy", issued=issued)
    assert refused.outcome is ANSWERED
    fresh = issued._replace(key="bd1.y")
    refused = cluster.executor().refuse("c", "bd1.y", "f", "busy", issued=fresh)
    assert refused[:2] == (NOT_RUN, "busy")
    result = cluster.executor().run("c", "bd1.y", "f", timeout=5, issued=fresh)
    assert result.outcome is NOT_RUN


def test_refused_key_is_rebound_or_released_if_every_sidecar_refuses_it():
    # Guards against keys that cannot run because their upstream is draining, and a
    # paused entry that runs a key after the caller has received NOT_RUN.
    cluster = Cluster(sidecars=2)
    paused = ClaimStore(cluster.table).bind(
        "c", "k", "f", BindingProposal("s0", "s0", 0)
    )
    cluster.sidecars["s0"].admit("c", "k", 0, 0, "f", refuse_new="draining")
    assert cluster.executor().run("c", "k", "f", timeout=5).outcome is ANSWERED
    resumed = cluster.executor()._run_bound(paused, 5.0, lambda: True)
    assert resumed.outcome is ANSWERED and len(cluster.runs) == 1
    for table in cluster.sidecars.values():
        table.resolve("c", "k2", 0, 9)
    paused = ClaimStore(cluster.table).bind(
        "c", "k2", "f", BindingProposal("s0", "s0", 0)
    )
    assert cluster.executor().run("c", "k2", "f", timeout=5).outcome is NOT_RUN
    cluster.start_sidecar()
    assert cluster.executor()._run_bound(paused, 5.0, lambda: True).outcome is NOT_RUN
    released = cluster.executor().run(
        "c", "k2", "f", timeout=5, caller_waits=lambda: False
    )
    assert released.outcome is NOT_RUN
    assert cluster.executor().run("c", "k2", "f", timeout=5).outcome is ANSWERED


def test_not_run_requires_a_write_by_the_entry_that_returns_it():
    # Guards against a NOT_RUN that becomes wrong when a paused entry resumes its write.
    cluster = Cluster(sidecars=2)
    paused = ClaimStore(cluster.table)
    released = paused.bind("c", "k", "f", None)
    assert cluster.executor().refuse("c", "k", "f", "busy").outcome is NOT_RUN
    assert paused.rebind(released, BindingProposal("s0", "s0", 0)).released
    bound = paused.bind("c", "k2", "f", BindingProposal("s0", "s0", 0))
    cluster.sidecars["s0"].resolve("c", "k2", 0, 0)
    paused.rebind(bound, BindingProposal("s1", "s1", 0))
    executor = cluster.executor()
    executor._choose = lambda excluded: None
    result = executor._run_bound(bound, 5.0, lambda: True)
    assert result[:2] == (UNKNOWN, "running_elsewhere")

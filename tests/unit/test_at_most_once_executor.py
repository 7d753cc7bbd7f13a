"""The entry's procedure with real binding tables, under random faults."""

import itertools
import random

import gevent
import pytest
from gevent.pool import Group
from tests.unit.memory_table import MemoryTable

from bulrushdrum._internal.peering.errors import ConnectionLost
from bulrushdrum._internal.peering.messages import CallResult
from bulrushdrum._internal.routing import claims
from bulrushdrum._internal.routing.at_most_once import AtMostOnceExecutor
from bulrushdrum._internal.routing.claim_rows import Binding, BindingProposal
from bulrushdrum._internal.routing.claims import ClaimStore
from bulrushdrum._internal.routing.errors import CallTimeout, NotSent
from bulrushdrum._internal.sidecar.bindings import BindingTable, Join, Refuse
from bulrushdrum._internal.world.requests import Outcome

ANSWERED, NOT_RUN, UNKNOWN = Outcome


class World:
    """Sidecars in this process; messages to them are lost, late or sent twice."""

    def __init__(self, seed=0, fault_rate=0.0, sidecars=2):
        self.random = random.Random(seed)
        self.fault_rate = fault_rate
        self.table = MemoryTable(fault_rate / 4, seed)
        self.now = 0.0
        self.late = Group()
        self.journal = []
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
        """Let paused requests end, and messages that are not delayed for long."""
        gevent.joinall(greenlets, timeout=30, raise_error=True)
        self.late.join(timeout=0.002)

    def executor(self):
        return AtMostOnceExecutor(
            ClaimStore(self.table), self, self.choose, lambda: self.now, self.sleep
        )

    def deliver(self, binding):
        """What the sidecar does with one call frame."""
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
            self.journal.append(name)
            self.sleep()
            result = CallResult(outcome="answered", body=b"receipt 1")
        table.finish(*name, result)
        return result

    def send(self, binding: Binding, timeout):
        self.sleep()
        if binding.incarnation not in self.sidecars:
            raise NotSent("no connection")
        if self.fault():
            # The frame is still in the network when its connection is lost.
            delay = self.random.choice([0.0, 0.1, 5.0, 400.0])
            self.late.spawn(self._deliver_late, binding, self.now + delay)
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


def send_until_answered(world, key, issued=None, sendings=3):
    """Play one caller, who sends a key again after giving up on an earlier sending.

    `issued` is the binding of an issued key. Return the outcomes that the caller heard;
    `None` stands for a sending given up on.
    """
    heard, greenlets = [], []
    for _ in range(sendings):
        waits, executor = [True], world.executor()

        def send(waits=waits, executor=executor):
            if world.fault():
                gevent.sleep(0.002)  # paused before it has read the row
            if world.fault():
                return executor.refuse("c", key, "f", "busy", issued)
            return executor.run("c", key, "f", 30, issued, lambda: waits[0])

        greenlets.append(gevent.spawn(send))
        patience = world.random.choice([0.0, 0.0005, 0.002, 5])
        greenlets[-1].join(timeout=patience)
        waits[0] = False
        ended = greenlets[-1].value
        heard.append(ended and ended.outcome)
        runs = world.journal.count(("c", key))
        if ended and ended.outcome is ANSWERED:
            assert runs == 1 and ended.result.body == b"receipt 1"
        if ended and ended.outcome is NOT_RUN:
            world.finish(greenlets)
            assert ("c", key) not in world.journal, f"{ended}, and the key ran"
    world.finish(greenlets)
    assert world.journal.count(("c", key)) <= 1
    return heard


@pytest.fixture(autouse=True)
def no_grouping_delay(monkeypatch):
    monkeypatch.setattr(claims, "GROUP_SECONDS", 0.0)


@pytest.mark.parametrize("seed", range(150))
def test_at_most_one_run_and_truthful_outcomes_under_faults(seed):
    # Guards against a double payment, and a "not run" that is false or becomes false,
    # whatever is lost, late, refused, paused or restarted on the way.
    world = World(seed, fault_rate=0.25, sidecars=3)
    for number in range(6):
        key, issued = f"k{number}", None
        if number % 3 == 0:
            proposal = world.choose(frozenset())
            issued = Binding("c", key, *proposal, 0, "", "")
        send_until_answered(world, key, issued)
        world.now += world.random.choice([0, 70, 400])
    world.now += 500
    world.finish([])
    assert all(world.journal.count(name) == 1 for name in world.journal)


def test_faults_reach_every_outcome():
    # Guards against a simulation that only ever answers, and so checks nothing.
    heard = []
    for seed in range(20):
        heard += send_until_answered(World(seed, fault_rate=0.25), "k")
    assert set(heard) == {ANSWERED, NOT_RUN, UNKNOWN, None}


def test_result_is_answered_from_the_row_after_the_sidecar_is_gone():
    # Guards against an `unknown` for a key whose result is durable.
    world = World()
    executor = world.executor()
    assert executor.run("c", "k", "f", timeout=5).outcome is ANSWERED
    executor._claims.write_results()
    world.sidecars.clear()
    again = world.executor().run("c", "k", "f", timeout=5)
    assert (again.outcome, again.result.body) == (ANSWERED, b"receipt 1")
    other = world.executor().run("c", "k", "g", timeout=5)
    assert (other.outcome, other.reason) == (NOT_RUN, "key_reused")


def test_store_outage_refuses_opaque_keys_and_runs_issued_ones():
    # Guards against "not run" for a resend that could not be looked up.
    world = World(sidecars=1)
    issued = Binding("c", "bd1.x", "s0", "s0", 0, 0, "", "")
    world.table.down = True
    result = world.executor().run("c", "k", "f", timeout=5)
    assert result[:2] == (UNKNOWN, "store_unavailable") and not result.sent
    assert world.executor().refuse("c", "k", "f", "busy").outcome is UNKNOWN
    result = world.executor().run("c", "bd1.x", "f", timeout=5, issued=issued)
    assert result.outcome is ANSWERED
    world.table.down = False
    assert world.executor().refuse("c", "k", "f", "busy").outcome is NOT_RUN
    assert world.executor().run("c", "k", "f", timeout=5).outcome is ANSWERED
    assert world.executor().refuse("c", "k", "f", "busy").outcome is UNKNOWN
    refused = world.executor().refuse("c", "bd1.x", "f", "busy", issued=issued)
    assert refused.outcome is ANSWERED
    fresh = issued._replace(key="bd1.y")
    refused = world.executor().refuse("c", "bd1.y", "f", "busy", issued=fresh)
    assert refused[:2] == (NOT_RUN, "busy")
    result = world.executor().run("c", "bd1.y", "f", timeout=5, issued=fresh)
    assert result.outcome is NOT_RUN


def test_refused_key_moves_and_is_released_when_nobody_takes_it():
    # Guards against an upstream that leaves and takes its keys with it, and against a
    # paused entry that runs a key after the caller was told that it did not run.
    world = World(sidecars=2)
    paused = ClaimStore(world.table).bind("c", "k", "f", BindingProposal("s0", "s0", 0))
    world.sidecars["s0"].admit("c", "k", 0, 0, "f", refuse_new="draining")
    assert world.executor().run("c", "k", "f", timeout=5).outcome is ANSWERED
    late = world.executor()._run_bound(paused, 5.0, lambda: True)
    assert late.outcome is ANSWERED and len(world.journal) == 1
    for table in world.sidecars.values():
        table.resolve("c", "k2", 0, 9)
    paused = ClaimStore(world.table).bind(
        "c", "k2", "f", BindingProposal("s0", "s0", 0)
    )
    assert world.executor().run("c", "k2", "f", timeout=5).outcome is NOT_RUN
    world.start_sidecar()
    assert world.executor()._run_bound(paused, 5.0, lambda: True).outcome is NOT_RUN
    released = world.executor().run(
        "c", "k2", "f", timeout=5, caller_waits=lambda: False
    )
    assert released.outcome is NOT_RUN
    assert world.executor().run("c", "k2", "f", timeout=5).outcome is ANSWERED


def test_not_run_needs_a_write_of_the_entry_that_says_it():
    # Guards against a "not run" that a write prepared by a paused entry makes false.
    world = World(sidecars=2)
    paused = ClaimStore(world.table)
    released = paused.bind("c", "k", "f", None)
    assert world.executor().refuse("c", "k", "f", "busy").outcome is NOT_RUN
    assert paused.rebind(released, BindingProposal("s0", "s0", 0)).released
    bound = paused.bind("c", "k2", "f", BindingProposal("s0", "s0", 0))
    world.sidecars["s0"].resolve("c", "k2", 0, 0)
    paused.rebind(bound, BindingProposal("s1", "s1", 0))
    full = world.executor()
    full._choose = lambda excluded: None
    ended = full._run_bound(bound, 5.0, lambda: True)
    assert ended[:2] == (UNKNOWN, "running_elsewhere")

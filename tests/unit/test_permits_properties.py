"""Tests that no permit is in use twice under random faults.

Each case simulates a cluster of entries in one process, driven by a seeded generator.
Requests and releases are interleaved with lost and delayed messages, disconnections,
paused and dead entries, changes of the entry set and of contracts, and faults of the
table. After each step, every (customer, number) must have at most one user among the
running entries. At the end all faults are removed, and one entry must be able to use
every permit.
"""

import os
import random

import pytest
from bench.simulated_peers import Entry, Network, Replica, SimulatedTable

from bulrushdrum._internal.limits.entry_set import EntrySet
from bulrushdrum._internal.limits.permits import Permits
from bulrushdrum._internal.limits.settings import LimitSettings

SETTINGS = LimitSettings(borrow_timeout=1.0, loan_check_age=5.0)
CUSTOMERS = ("warwick", "alcester")
REGIONS = ("north", "south")
CASE_COUNT = int(os.environ.get("PERMIT_CASES", "300"))
FIRST_CASE = int(os.environ.get("PERMIT_FIRST_CASE", "0"))
STEPS_PER_CASE = 250


class Member:
    def __init__(self, cluster, name):
        self.name, self.known_dead = name, set()
        self.paused = False
        self.leaving = False
        settings = LimitSettings(
            borrow_timeout=1.0,
            loan_check_age=5.0,
            region=cluster.random.choice(REGIONS),
        )
        hub = cluster.network.hub(name)
        self.set = EntrySet(hub, cluster.table, settings, self.is_known_dead)
        self.replica = Replica(cluster.log)
        self.permits = Permits(
            hub, self.set, self.replica, settings, clock=lambda: cluster.now
        )
        self.waiters, self.used = [], []

    def is_known_dead(self, member):
        return member.incarnation in self.known_dead

    def collect_granted(self):
        for waiter in [*self.waiters]:
            if waiter.permit is not None:
                self.waiters.remove(waiter)
                self.used.append(waiter.permit)


class Cluster:
    def __init__(self, seed):
        self.random = random.Random(seed)
        self.network, self.table, self.now = Network(), SimulatedTable(), 1.0
        self.home_regions = {c: self.random.choice(["", *REGIONS]) for c in CUSTOMERS}
        self.log = [
            Entry(n + 1, c, 4, self.home_regions[c]) for n, c in enumerate(CUSTOMERS)
        ]
        self.members, self.dead, self.started = {}, set(), 0
        # A single customer with few permits makes conflicts more likely.
        self.customers = CUSTOMERS[: self.random.randint(1, 2)]
        for _ in range(self.random.randint(1, 5)):
            self.start()
        self.weights = {
            action: self.random.choice([0, 1, 1, 3, 10]) * weight
            for action, weight in ACTIONS.items()
        }

    def start(self):
        if len(self.members) < 7:
            self.started += 1
            name = f"e{self.started}"
            self.members[name] = Member(self, name)
            self.members[name].set.poll()

    def random_running(self):
        running = [m for m in self.members.values() if not m.paused]
        return self.random.choice(running) if running else None

    def random_pair(self):
        names = sorted(self.members)
        return self.random.sample(names, 2) if len(names) > 1 else None

    def step(self):
        self.now += self.random.choice([0.0, 0.01, 0.6])
        (action,) = self.random.choices([*self.weights], [*self.weights.values()])
        action(self)
        self.check()

    def check(self):
        users = {}
        for member in self.members.values():
            member.collect_granted()
            for permit in member.used:
                key = permit.customer, permit.number
                assert key not in users, f"{key}: {users[key]} and {member.name}"
                users[key] = member.name


def request(cluster):
    member = cluster.random_running()
    if member and not member.leaving and len(member.waiters) < 6:
        customer = cluster.random.choice(cluster.customers)
        member.waiters.append(member.permits.enqueue(customer, "r"))


def borrow(cluster):
    member = cluster.random_running()
    if member and member.waiters:
        waiter = cluster.random.choice(member.waiters)
        lenders = member.permits.lenders(member.permits.customer(waiter.customer))
        if lenders and waiter.permit is None:
            member.permits.borrow(cluster.random.choice(lenders), waiter.customer)


def release(cluster):
    member = cluster.random_running()
    if member and member.used:
        member.permits.release(
            member.used.pop(cluster.random.randrange(len(member.used)))
        )


def cancel(cluster):
    member = cluster.random_running()
    if member and member.waiters:
        waiter = member.waiters.pop(cluster.random.randrange(len(member.waiters)))
        member.permits.cancel(waiter)


def deliver(cluster):
    ready = [
        pair
        for pair, queue in cluster.network.queues.items()
        if queue and (m := cluster.members.get(pair[1])) and not m.paused
    ]
    for _ in range(cluster.random.choice([1, 1, 4, 30])):
        ready = [pair for pair in ready if cluster.network.queues.get(pair)]
        if ready:
            cluster.network.deliver(*cluster.random.choice(ready))


def connect(cluster):
    if pair := cluster.random_pair():
        cluster.network.connect(*pair)


def cut(cluster):
    if pair := cluster.random_pair():
        cluster.network.cut(*pair)


def replace_connection(cluster):
    if pair := cluster.random_pair():
        cluster.network.replace(*pair)


def pause(cluster):
    if member := cluster.random_running():
        member.paused = True


def resume(cluster):
    for member in cluster.members.values():
        member.paused = member.paused and cluster.random.random() < 0.5


def kill(cluster):
    # Messages sent by a dead entry may still arrive.
    if len(cluster.members) > 1:
        name = cluster.random.choice(sorted(cluster.members))
        del cluster.members[name]
        cluster.dead.add(name)


def learn_of_deaths(cluster):
    for member in cluster.members.values():
        for name in sorted(cluster.dead):
            if cluster.random.random() < 0.3:
                member.known_dead.add(name)
                if cluster.random.random() < 0.5:
                    cluster.network.cut(name, member.name)


def leave(cluster):
    member = cluster.random_running()
    if member is None or len(cluster.members) < 2:
        return
    member.leaving = True
    for waiter in member.waiters:
        member.permits.cancel(waiter)
    member.waiters.clear()
    member.permits.drain()
    if not member.used and member.set.leave():
        finish_leaving(cluster, member)


def finish_leaving(cluster, member):
    for other in [*cluster.members]:
        if other != member.name:
            cluster.network.cut(member.name, other)
    del cluster.members[member.name]
    cluster.dead.add(member.name)


def poll(cluster):
    if member := cluster.random_running():
        member.set.poll()


def run_maintenance(cluster):
    if member := cluster.random_running():
        member.permits.run_maintenance()


def table_fault(cluster):
    cluster.table.fault = cluster.random.choice(["", "", "down", "lost", "refused"])


def edit_contract(cluster):
    customer = cluster.random.choice(cluster.customers)
    concurrency = cluster.random.randint(1, 8)
    home_region = cluster.home_regions[customer]
    cluster.log.append(Entry(len(cluster.log) + 1, customer, concurrency, home_region))


def apply_configuration(cluster):
    if member := cluster.random_running():
        member.replica.apply(cluster.random.choice([1, 1, 1, 5]))


ACTIONS = {
    request: 8,
    borrow: 8,
    release: 4,
    cancel: 1,
    deliver: 10,
    connect: 4,
    cut: 1,
    replace_connection: 0.5,
    pause: 1,
    resume: 1,
    kill: 0.5,
    learn_of_deaths: 0.5,
    leave: 0.3,
    poll: 4,
    run_maintenance: 3,
    table_fault: 0.7,
    edit_contract: 0.7,
    apply_configuration: 2,
    Cluster.start: 0.6,
}


def remove_faults(cluster):
    """Remove all faults, let the entries agree and end all requests."""
    cluster.table.fault = ""
    for member in cluster.members.values():
        member.paused = False
        member.known_dead = set(cluster.dead)
        member.replica.apply(len(cluster.log))
        for name in cluster.dead:
            cluster.network.cut(member.name, name)
    for _ in range(6):
        for pair in [(a, b) for a in cluster.members for b in cluster.members if a < b]:
            cluster.network.connect(*pair)
        for member in cluster.members.values():
            cluster.now += 6.0
            member.set.poll()
            member.permits.run_maintenance()
            cluster.check()
        cluster.network.deliver_all()
        cluster.check()
    for member in cluster.members.values():
        for waiter in member.waiters:
            member.permits.cancel(waiter)
        member.waiters.clear()
        while member.used:
            member.permits.release(member.used.pop())
    cluster.network.deliver_all()
    for member in [*cluster.members.values()]:
        if member.set.leaving:
            assert member.set.leave()
            finish_leaving(cluster, member)
    for _ in range(3):
        for member in cluster.members.values():
            member.known_dead = set(cluster.dead)
            cluster.now += 6.0
            member.set.poll()
            member.permits.run_maintenance()
        cluster.network.deliver_all()


def use_all(cluster, member, customer):
    state = member.permits.customer(customer)
    for _ in range(state.concurrency + 1):
        waiter = member.permits.enqueue(customer, "all")
        member.waiters.append(waiter)
        cluster.network.deliver_all()
        for lender in member.permits.lenders(state):
            if waiter.permit is None:
                member.permits.borrow(lender, customer)
                cluster.network.deliver_all()
        cluster.check()
    numbers = sorted(p.number for p in member.used if p.customer == customer)
    assert numbers == list(range(state.concurrency)), cluster.dump(member)


def dump(cluster, member):
    return {m.name: m.permits.dump() for m in cluster.members.values()}


Cluster.dump = dump


@pytest.mark.parametrize("block", range(10))
def test_no_permit_is_in_use_twice_and_none_is_lost(block):
    # Guards against a permit granted by its old and its new owner at the same time, and
    # against a permit that stays unusable after the faults have ended.
    for case in range(block * CASE_COUNT // 10, (block + 1) * CASE_COUNT // 10):
        seed = FIRST_CASE + case
        cluster = Cluster(seed)
        try:
            for _ in range(STEPS_PER_CASE):
                cluster.step()
            remove_faults(cluster)
            user = cluster.random.choice(
                [m for m in cluster.members.values() if not m.leaving] or [None]
            )
            if user is not None:
                use_all(cluster, user, cluster.random.choice(cluster.customers))
        except Exception as error:
            raise AssertionError(f"seed {seed}: {error}") from error

"""Permits of one entry, and loans between two entries, step by step."""

import gevent
import pytest
from simulated_peers import Entry, Network, Replica, SimulatedTable

from bulrushdrum._internal.limits.entry_set import EntrySet
from bulrushdrum._internal.limits.errors import ConcurrencyExceeded, UnknownCustomer
from bulrushdrum._internal.limits.permits import Permits
from bulrushdrum._internal.limits.settings import LimitSettings

SETTINGS = LimitSettings(borrow_timeout=0.2, borrow_pause=0.005)


class World:
    def __init__(self, names, concurrency=2):
        self.network, self.table = Network(), SimulatedTable()
        self.log = [Entry(1, "warwick", concurrency, "")]
        self.permits, self.sets, self.dead = {}, {}, set()
        for name in names:
            hub = self.network.hub(name)
            self.sets[name] = EntrySet(
                hub,
                self.table,
                SETTINGS,
                lambda member: member.incarnation in self.dead,
            )
            self.permits[name] = Permits(
                hub, self.sets[name], Replica(self.log), SETTINGS
            )
            for other in list(self.sets)[:-1]:
                self.network.connect(name, other)
        self.settle()

    def settle(self):
        for _ in range(3):
            for entry_set in self.sets.values():
                entry_set.poll()
            self.network.deliver_all()
        for permits in self.permits.values():
            permits.tick()
        self.network.deliver_all()

    def run(self):
        while True:
            self.network.deliver_all()
            gevent.sleep(0.001)


def test_single_entry_grants_exactly_the_concurrency():
    # Guards against a limit that is off by one, and a permit lost on release.
    permits = World(["a"]).permits["a"]
    first = permits.acquire("warwick", "r1", 0.0)
    second = permits.acquire("warwick", "r2", 0.0)
    assert {first.number, second.number} == {0, 1}
    with pytest.raises(ConcurrencyExceeded):
        permits.acquire("warwick", "r3", 0.02)
    permits.release(first)
    permits.release(first)  # has no effect
    assert permits.acquire("warwick", "r4", 0.0).number == first.number
    assert permits.in_use == 2


def test_unknown_customer_is_refused():
    with pytest.raises(UnknownCustomer, match="nobody"):
        World(["a"]).permits["a"].acquire("nobody", "r", 0.0)


def test_release_wakes_waiting_requests_in_order():
    # Guards against a later request that overtakes an earlier one at the same entry.
    permits = World(["a"], concurrency=1).permits["a"]
    held = permits.acquire("warwick", "r0", 0.0)
    order = []

    def request(name):
        permit = permits.acquire("warwick", name, 2.0)
        order.append(name)
        permits.release(permit)

    greenlets = [gevent.spawn(request, f"r{index}") for index in range(1, 6)]
    gevent.sleep(0.01)
    permits.release(held)
    gevent.joinall(greenlets, timeout=2.0, raise_error=True)
    assert order == ["r1", "r2", "r3", "r4", "r5"]


def test_one_entry_can_use_the_permits_of_all():
    # Guards against permits that stay idle at an owner while others have requests.
    world = World(["a", "b", "c"], concurrency=12)
    carrier = gevent.spawn(world.run)
    try:
        permits = [
            world.permits["a"].acquire("warwick", f"r{index}", 2.0)
            for index in range(12)
        ]
        assert sorted(permit.number for permit in permits) == list(range(12))
        with pytest.raises(ConcurrencyExceeded):
            world.permits["b"].acquire("warwick", "r", 0.05)
        for permit in permits:
            world.permits["a"].release(permit)
        gevent.sleep(0.02)
        assert world.permits["b"].acquire("warwick", "r", 1.0).number in range(12)
    finally:
        carrier.kill()

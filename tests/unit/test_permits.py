"""Permits of one entry, and loans between two entries, step by step."""

import dataclasses

import gevent
import pytest
from bench.simulated_peers import Entry, Network, Replica, SimulatedTable

from bulrushdrum._internal.limits.entry_set import EntrySet
from bulrushdrum._internal.limits.errors import ConcurrencyExceeded, UnknownCustomer
from bulrushdrum._internal.limits.ownership import EntrySetVersion, Ownership
from bulrushdrum._internal.limits.permits import Permits
from bulrushdrum._internal.limits.settings import LimitSettings
from bulrushdrum._internal.peering.messages import EntryMember
from bulrushdrum._internal.platform.table import Row

SETTINGS = LimitSettings(borrow_timeout=0.2, borrow_pause=0.005, loan_check_age=0.0)


def customer_owned_by(*owners_by_members):
    """Return a customer whose permit 0 has the given owner for each list of members."""
    for number in range(1000):
        customer = f"c{number}"
        if all(
            Ownership(
                EntrySetVersion(1, tuple(EntryMember(m, m) for m in members))
            ).owner(customer, 0, "")
            == owner
            for owner, members in owners_by_members
        ):
            return customer
    raise AssertionError("no such customer")


class World:
    def __init__(self, names, concurrency=2, customer="warwick"):
        self.network, self.table = Network(), SimulatedTable()
        self.log = [Entry(1, customer, concurrency, "")]
        self.permits, self.sets, self.replicas, self.dead = {}, {}, {}, set()
        for name in names:
            self.start(name)
        self.settle()

    def start(self, name, region="", revision=1):
        hub = self.network.hub(name)
        settings = dataclasses.replace(SETTINGS, region=region)
        self.replicas[name] = Replica(self.log)
        self.replicas[name].revision = revision
        self.sets[name] = EntrySet(
            hub,
            self.table,
            settings,
            lambda member: member.incarnation in self.dead,
        )
        self.permits[name] = Permits(
            hub, self.sets[name], self.replicas[name], settings
        )
        for other in list(self.sets)[:-1]:
            self.network.connect(name, other)

    def lend(self, lender, borrower, customer):
        """Ask for a loan and let the lender grant it; the answer is on its way."""
        waiter = self.permits[borrower].enqueue(customer, "r")
        assert waiter.permit is None
        assert self.permits[borrower].borrow(lender, customer)
        while self.network.queues[borrower, lender]:
            self.network.deliver(borrower, lender)
        return waiter

    def kill(self, name):
        self.dead.add(name)
        del self.sets[name], self.permits[name]

    def adopt(self, *names):
        """Let `names` adopt the newest version and exchange all acknowledgements."""
        for name in names:
            self.sets[name].poll()
        for source in names:
            for target in names:
                while self.network.queues.get((source, target)):
                    self.network.deliver(source, target)

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


def test_loan_of_a_dead_lender_that_arrives_late_is_not_used():
    # Guards against a permit used by its new owner and by a borrower whose loan was on
    # the way when the lender died.
    customer = customer_owned_by(("a", "abc"), ("c", "bc"))
    world = World(["a", "b", "c"], concurrency=1, customer=customer)
    waiter = world.lend("a", "b", customer)
    world.kill("a")
    world.adopt("b", "c")
    world.network.deliver("a", "b")
    assert waiter.permit is None
    assert world.permits["c"].enqueue(customer, "r").permit is not None


def test_loan_of_a_dead_lender_blocks_the_permit_until_it_is_returned():
    # Guards against forgetting what a removed lender had listed as busy before the
    # borrower has acknowledged the version without it.
    customer = customer_owned_by(("a", "abc"), ("c", "bc"))
    world = World(["a", "b", "c"], concurrency=1, customer=customer)
    waiter = world.lend("a", "b", customer)
    world.network.deliver("a", "b")
    assert waiter.permit is not None
    world.kill("a")
    world.sets["b"].poll()
    world.sets["c"].poll()
    waiting = world.permits["c"].enqueue(customer, "r")
    assert waiting.permit is None
    world.adopt("b", "c")
    assert waiting.permit is None
    world.permits["b"].release(waiter.permit)
    world.permits["b"].tick()
    world.adopt("b", "c")
    assert waiting.permit is not None


def test_list_of_a_dead_former_owner_counts_until_the_borrower_has_acknowledged():
    # Guards against dropping what a removed entry had listed as soon as it is removed.
    customer = customer_owned_by(("a", "ab"), ("c", "abc"), ("c", "bc"))
    world = World(["a", "b"], concurrency=1, customer=customer)
    waiter = world.lend("a", "b", customer)
    world.start("c")
    answer = world.network.queues["a", "b"].popleft()
    world.adopt("c", "a", "b", "c")
    world.adopt("c", "a", "b", "c")
    world.network.queues["a", "b"].appendleft(answer)
    world.network.deliver("a", "b")
    assert waiter.permit is not None
    waiting = world.permits["c"].enqueue(customer, "r")
    assert waiting.permit is None
    world.kill("a")
    for _ in range(5):  # after some polls it removes what others are to remove
        world.sets["c"].poll()
    assert world.sets["c"].version == 4 and waiting.permit is None
    world.adopt("b", "c")
    assert waiting.permit is None
    world.permits["b"].release(waiter.permit)
    world.permits["b"].tick()
    world.adopt("b", "c")
    assert waiting.permit is not None


def test_loan_held_by_a_guest_blocks_the_new_owner():
    # Guards against an entry that started while the table was down, so that no version
    # lists it, and whose loan the new owner of the permit would not hear of.
    customer = customer_owned_by(("a", "ac"), ("c", "cg"))
    world = World(["a", "c"], concurrency=1, customer=customer)
    world.table.fault = "down"
    world.start("g")
    world.sets["g"].poll()
    world.network.deliver("g", "a")  # the query for the set
    world.network.deliver("a", "g")  # an acknowledgement
    world.network.deliver("a", "g")  # the set
    waiter = world.permits["g"].enqueue(customer, "r")
    # Only one member knows the guest, so it must not borrow yet.
    while world.network.queues["g", "a"]:
        world.network.deliver("g", "a")
    while world.network.queues["a", "g"]:
        world.network.deliver("a", "g")
    assert world.permits["g"].borrow("a", customer) is None
    world.network.deliver_all()
    assert world.permits["g"].borrow("a", customer)
    world.network.deliver_all()
    assert waiter.permit is not None
    world.kill("a")
    world.table.fault = ""
    world.sets["c"].poll()
    waiting = world.permits["c"].enqueue(customer, "r")
    assert world.sets["c"].version == 3 and waiting.permit is None
    world.adopt("c", "g")
    assert waiting.permit is None
    world.permits["g"].release(waiter.permit)
    world.permits["g"].tick()
    world.adopt("c", "g")
    assert waiting.permit is not None


@pytest.mark.parametrize("lost", ["answer", "return"])
def test_loan_with_a_lost_answer_or_return_is_recovered(lost):
    # Guards against a permit that stays lent for ever after a broken connection.
    customer = customer_owned_by(("a", "ab"))
    world = World(["a", "b"], concurrency=1, customer=customer)
    waiter = world.lend("a", "b", customer)
    if lost == "return":
        world.network.deliver("a", "b")
        world.permits["b"].release(waiter.permit)
    else:
        world.permits["b"].cancel(waiter)
    world.network.cut("a", "b")
    assert world.permits["a"].enqueue(customer, "r").permit is None
    world.network.connect("a", "b")
    world.network.deliver_all()
    assert world.permits["a"].in_use == 1


def test_returned_loan_is_not_taken_for_an_own_permit():
    # Guards against a borrower that will own the permit, but may not use it yet, and
    # keeps it after it has returned it.
    customer = customer_owned_by(("a", "a"), ("b", "ab"))
    world = World(["a"], concurrency=1, customer=customer)
    world.start("b")
    world.sets["b"].poll()
    waiter = world.lend("a", "b", customer)
    while waiter.permit is None:
        world.network.deliver("a", "b")
    world.permits["b"].release(waiter.permit)
    assert world.permits["b"].enqueue(customer, "r").permit is None
    while world.network.queues["b", "a"]:
        world.network.deliver("b", "a")
    assert world.permits["a"].enqueue(customer, "r").permit is not None


def test_lost_return_on_a_lasting_connection_is_recovered():
    # Guards against a permit that stays lent while the connection never breaks.
    customer = customer_owned_by(("a", "ab"))
    world = World(["a", "b"], concurrency=1, customer=customer)
    waiter = world.lend("a", "b", customer)
    world.network.deliver("a", "b")
    world.permits["a"].tick()
    world.network.deliver_all()
    assert world.permits["a"].enqueue(customer, "r").permit is None  # still held
    world.permits["b"].release(waiter.permit)
    world.network.queues["b", "a"].clear()
    world.permits["a"].tick()
    world.network.deliver_all()
    assert world.permits["a"].in_use == 1


def test_lender_keeps_a_loan_of_a_lost_borrower_until_it_is_known_dead():
    customer = customer_owned_by(("a", "ab"))
    world = World(["a", "b"], concurrency=1, customer=customer)
    world.lend("a", "b", customer)
    world.network.cut("a", "b")
    waiting = world.permits["a"].enqueue(customer, "r")
    world.permits["a"].tick()
    assert waiting.permit is None
    world.kill("b")
    world.permits["a"].tick()
    assert waiting.permit is not None


def test_permits_spread_evenly_over_entries():
    # Guards against a hash that gives some entries many more permits than others.
    members = tuple(EntryMember(f"e{n}", f"e{n}-{n * 7919:x}") for n in range(12))
    ownership = Ownership(EntrySetVersion(1, members))
    counts = dict.fromkeys((m.incarnation for m in members), 0)
    for number in range(200):
        for permit in range(30):
            counts[ownership.owner(f"customer-{number}", permit, "")] += 1
    # 6,000 permits, 500 expected, standard deviation 21: five of them on each side.
    assert 395 < min(counts.values()) and max(counts.values()) < 605


def test_requests_of_all_entries_are_served_in_the_order_in_which_they_came():
    # Guards against an owner whose own requests keep those of other entries waiting.
    customer = customer_owned_by(("a", "ab"))
    world = World(["a", "b"], concurrency=1, customer=customer)
    held = world.permits["a"].enqueue(customer, "r").permit
    first = world.permits["b"].enqueue(customer, "r")
    gone = world.permits["b"].enqueue(customer, "r")
    for _ in range(2):
        assert world.permits["b"].borrow("a", customer)
    world.network.deliver_all()
    assert world.permits["b"].borrow("a", customer) is None  # a place for each request
    second = world.permits["a"].enqueue(customer, "r")
    world.permits["a"].release(held)
    world.network.deliver_all()
    assert first.permit is not None and second.permit is None
    world.permits["b"].cancel(gone)
    world.network.deliver_all()
    assert world.permits["a"].dump()["loans"]["queued"] == 0
    world.permits["b"].release(first.permit)
    world.network.deliver_all()
    assert second.permit is not None


def test_entry_does_not_leave_the_set_while_a_permit_is_in_use():
    # Guards against a new owner that uses a permit which the leaving entry still uses.
    world = World(["a", "b"])
    permit = world.permits["a"].acquire("warwick", "r", 0.0)
    world.permits["a"].drain()
    assert not world.sets["a"].leave()
    world.permits["a"].release(permit)
    assert world.sets["a"].leave()
    world.sets["b"].poll()
    assert [member.node for member in world.sets["b"].members] == ["b"]


@pytest.mark.parametrize("value", [7, {"version": 9}, {"version": "9", "members": []}])
def test_invalid_row_of_the_entry_set_changes_nothing(value):
    # Guards against an operator's mistake in the table that stops all entries.
    world = World(["a"])
    world.table.rows["entry-set"] = Row("entry-set", value, 9)
    world.table.rows["entry-set-version"] = Row("entry-set-version", 9, 9)
    world.sets["a"].poll()
    assert world.sets["a"].version == 1
    assert world.permits["a"].enqueue("warwick", "r").permit is not None


def test_many_entries_that_join_at_the_same_time_all_become_members():
    # Guards against a join that is lost in a race of compare-and-set.
    world = World([])

    class SlowTable(SimulatedTable):
        def read(self, key):
            row = super().read(key)
            gevent.sleep(0.001)
            return row

    world.table = SlowTable()
    for name in "abcdef":
        world.start(name)
    polls = [gevent.spawn(entry_set.poll) for entry_set in world.sets.values()]
    gevent.joinall(polls, raise_error=True)
    row = world.table.rows["entry-set"].value
    assert row["version"] == 6
    assert sorted(member["node"] for member in row["members"]) == list("abcdef")


def test_new_customer_is_served_while_a_member_is_cut_off():
    # Guards against permits that wait for an acknowledgement although nobody can have
    # used them.
    world = World(["a", "b", "c"])
    for other in "ab":
        world.network.cut("c", other)
    world.log.append(Entry(2, "new", 30, ""))
    for name in "ab":
        world.replicas[name].apply(1)
    owned = sum(
        world.sets["a"].ownership.owner("new", number, "") != "c"
        for number in range(30)
    )
    waiters = [world.permits["a"].enqueue("new", "r") for _ in range(30)]
    while world.permits["a"].borrow("b", "new"):
        world.network.deliver_all()
    assert sum(waiter.permit is not None for waiter in waiters) == owned > 15


def test_entry_restarted_while_the_table_is_down_borrows():
    # Guards against a guest that waits to be confirmed by the dead incarnation which it
    # replaces.
    customer = customer_owned_by(("a", "ac"))
    world = World(["a", "c"], concurrency=1, customer=customer)
    world.table.fault = "down"
    world.kill("c")
    world.network.cut("a", "c")
    world.start("c.2")
    world.sets["c.2"].poll()
    world.network.deliver_all()
    waiter = world.permits["c.2"].enqueue(customer, "r")
    assert world.permits["c.2"].borrow("a", customer)
    world.network.deliver_all()
    assert waiter.permit is not None

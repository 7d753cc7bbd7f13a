"""Tests of `Permits`: granting, lending and changes of the entry set, step by step."""

import dataclasses

import gevent
import pytest
from bench.simulated_peers import Entry, Network, Replica, SimulatedTable

from bulrushdrum._internal.limits.entry_set import EntrySet
from bulrushdrum._internal.limits.errors import ConcurrencyExceeded, UnknownCustomer
from bulrushdrum._internal.limits.ownership import EntrySetVersion, Ownership
from bulrushdrum._internal.limits.permits import Permits
from bulrushdrum._internal.limits.settings import LimitSettings
from bulrushdrum._internal.peering.shared_state_messages import EntryMember
from bulrushdrum._internal.platform.table import Row

SETTINGS = LimitSettings(borrow_timeout=0.2, borrow_pause=0.005, loan_check_age=0.0)


def customer_owned_by(*owners_by_members):
    """Return a customer whose permit 0 has the given owner for each list of members.

    Each argument is a pair of an owner and a string with one letter for each member.
    """
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


class Cluster:
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
        """Let the lender grant a loan, and leave its answer undelivered."""
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
        """Let entries adopt the newest version and exchange acknowledgements."""
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
            permits.run_maintenance()
        self.network.deliver_all()

    def run(self):
        while True:
            self.network.deliver_all()
            gevent.sleep(0.001)


def test_single_entry_grants_exactly_the_concurrency():
    # Guards against an off-by-one error in the limit and a permit lost on release.
    permits = Cluster(["a"]).permits["a"]
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
        Cluster(["a"]).permits["a"].acquire("nobody", "r", 0.0)


def test_release_wakes_waiting_requests_in_order():
    # Guards against requests at one entry that are not served in order of arrival.
    permits = Cluster(["a"], concurrency=1).permits["a"]
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
    # Guards against permits that stay unused while requests wait at other entries.
    cluster = Cluster(["a", "b", "c"], concurrency=12)
    delivery = gevent.spawn(cluster.run)
    try:
        permits = [
            cluster.permits["a"].acquire("warwick", f"r{index}", 2.0)
            for index in range(12)
        ]
        assert sorted(permit.number for permit in permits) == list(range(12))
        with pytest.raises(ConcurrencyExceeded):
            cluster.permits["b"].acquire("warwick", "r", 0.05)
        for permit in permits:
            cluster.permits["a"].release(permit)
        gevent.sleep(0.02)
        assert cluster.permits["b"].acquire("warwick", "r", 1.0).number in range(12)
    finally:
        delivery.kill()


def test_loan_of_a_dead_lender_that_arrives_late_is_not_used():
    # Guards against a permit used by both its new owner and a borrower. The lender dies
    # while its answer to the borrower is in transit.
    customer = customer_owned_by(("a", "abc"), ("c", "bc"))
    cluster = Cluster(["a", "b", "c"], concurrency=1, customer=customer)
    waiter = cluster.lend("a", "b", customer)
    cluster.kill("a")
    cluster.adopt("b", "c")
    cluster.network.deliver("a", "b")
    assert waiter.permit is None
    assert cluster.permits["c"].enqueue(customer, "r").permit is not None


def test_loan_of_a_dead_lender_blocks_the_permit_until_it_is_returned():
    # Guards against a permit granted to its new owner while a borrower uses it. The
    # lender is removed before the borrower acknowledges the version without it.
    customer = customer_owned_by(("a", "abc"), ("c", "bc"))
    cluster = Cluster(["a", "b", "c"], concurrency=1, customer=customer)
    waiter = cluster.lend("a", "b", customer)
    cluster.network.deliver("a", "b")
    assert waiter.permit is not None
    cluster.kill("a")
    cluster.sets["b"].poll()
    cluster.sets["c"].poll()
    waiting = cluster.permits["c"].enqueue(customer, "r")
    assert waiting.permit is None
    cluster.adopt("b", "c")
    assert waiting.permit is None
    cluster.permits["b"].release(waiter.permit)
    cluster.permits["b"].run_maintenance()
    cluster.adopt("b", "c")
    assert waiting.permit is not None


def test_busy_list_of_a_dead_former_owner_counts_until_the_borrower_acknowledges():
    # Guards against a permit granted twice. The former owner lists it as busy, dies and
    # is removed before the borrower acknowledges the new version.
    customer = customer_owned_by(("a", "ab"), ("c", "abc"), ("c", "bc"))
    cluster = Cluster(["a", "b"], concurrency=1, customer=customer)
    waiter = cluster.lend("a", "b", customer)
    cluster.start("c")
    answer = cluster.network.queues["a", "b"].popleft()
    cluster.adopt("c", "a", "b", "c")
    cluster.adopt("c", "a", "b", "c")
    cluster.network.queues["a", "b"].appendleft(answer)
    cluster.network.deliver("a", "b")
    assert waiter.permit is not None
    waiting = cluster.permits["c"].enqueue(customer, "r")
    assert waiting.permit is None
    cluster.kill("a")
    for _ in range(5):  # enough polls to remove a member that others should remove
        cluster.sets["c"].poll()
    assert cluster.sets["c"].version == 4 and waiting.permit is None
    cluster.adopt("b", "c")
    assert waiting.permit is None
    cluster.permits["b"].release(waiter.permit)
    cluster.permits["b"].run_maintenance()
    cluster.adopt("b", "c")
    assert waiting.permit is not None


def test_loan_held_by_a_guest_blocks_the_new_owner():
    # Guards against a permit granted to its new owner while a guest uses it. The guest
    # started while the table was unavailable, so no version lists it as a member.
    customer = customer_owned_by(("a", "ac"), ("c", "cg"))
    cluster = Cluster(["a", "c"], concurrency=1, customer=customer)
    cluster.table.fault = "down"
    cluster.start("g")
    cluster.sets["g"].poll()
    cluster.network.deliver("g", "a")  # the query for the set
    cluster.network.deliver("a", "g")  # an acknowledgement
    cluster.network.deliver("a", "g")  # the set
    waiter = cluster.permits["g"].enqueue(customer, "r")
    # Only one member has confirmed the guest, so it must not borrow yet.
    while cluster.network.queues["g", "a"]:
        cluster.network.deliver("g", "a")
    while cluster.network.queues["a", "g"]:
        cluster.network.deliver("a", "g")
    assert cluster.permits["g"].borrow("a", customer) is None
    cluster.network.deliver_all()
    assert cluster.permits["g"].borrow("a", customer)
    cluster.network.deliver_all()
    assert waiter.permit is not None
    cluster.kill("a")
    cluster.table.fault = ""
    cluster.sets["c"].poll()
    waiting = cluster.permits["c"].enqueue(customer, "r")
    assert cluster.sets["c"].version == 3 and waiting.permit is None
    cluster.adopt("c", "g")
    assert waiting.permit is None
    cluster.permits["g"].release(waiter.permit)
    cluster.permits["g"].run_maintenance()
    cluster.adopt("c", "g")
    assert waiting.permit is not None


@pytest.mark.parametrize("lost", ["answer", "return"])
def test_loan_with_a_lost_answer_or_return_is_recovered(lost):
    # Guards against a permit that stays lent indefinitely after a connection is lost.
    customer = customer_owned_by(("a", "ab"))
    cluster = Cluster(["a", "b"], concurrency=1, customer=customer)
    waiter = cluster.lend("a", "b", customer)
    if lost == "return":
        cluster.network.deliver("a", "b")
        cluster.permits["b"].release(waiter.permit)
    else:
        cluster.permits["b"].cancel(waiter)
    cluster.network.cut("a", "b")
    assert cluster.permits["a"].enqueue(customer, "r").permit is None
    cluster.network.connect("a", "b")
    cluster.network.deliver_all()
    assert cluster.permits["a"].in_use == 1


def test_returned_loan_is_not_taken_for_an_own_permit():
    # Guards against a borrower that reuses a permit after returning it. The borrower is
    # the next owner, but may not use the permit before all peers have acknowledged.
    customer = customer_owned_by(("a", "a"), ("b", "ab"))
    cluster = Cluster(["a"], concurrency=1, customer=customer)
    cluster.start("b")
    cluster.sets["b"].poll()
    waiter = cluster.lend("a", "b", customer)
    while waiter.permit is None:
        cluster.network.deliver("a", "b")
    cluster.permits["b"].release(waiter.permit)
    assert cluster.permits["b"].enqueue(customer, "r").permit is None
    while cluster.network.queues["b", "a"]:
        cluster.network.deliver("b", "a")
    assert cluster.permits["a"].enqueue(customer, "r").permit is not None


def test_lost_return_on_an_open_connection_is_recovered():
    # Guards against a permit that stays lent as long as the connection is open.
    customer = customer_owned_by(("a", "ab"))
    cluster = Cluster(["a", "b"], concurrency=1, customer=customer)
    waiter = cluster.lend("a", "b", customer)
    cluster.network.deliver("a", "b")
    cluster.permits["a"].run_maintenance()
    cluster.network.deliver_all()
    assert cluster.permits["a"].enqueue(customer, "r").permit is None  # still held
    cluster.permits["b"].release(waiter.permit)
    cluster.network.queues["b", "a"].clear()
    cluster.permits["a"].run_maintenance()
    cluster.network.deliver_all()
    assert cluster.permits["a"].in_use == 1


def test_permit_of_a_disconnected_borrower_stays_lent_until_it_is_known_dead():
    customer = customer_owned_by(("a", "ab"))
    cluster = Cluster(["a", "b"], concurrency=1, customer=customer)
    cluster.lend("a", "b", customer)
    cluster.network.cut("a", "b")
    waiting = cluster.permits["a"].enqueue(customer, "r")
    cluster.permits["a"].run_maintenance()
    assert waiting.permit is None
    cluster.kill("b")
    cluster.permits["a"].run_maintenance()
    assert waiting.permit is not None


def test_permits_are_distributed_evenly_over_entries():
    # Guards against a hash that assigns many more permits to some entries than others.
    members = tuple(EntryMember(f"e{n}", f"e{n}-{n * 7919:x}") for n in range(12))
    ownership = Ownership(EntrySetVersion(1, members))
    counts = dict.fromkeys((m.incarnation for m in members), 0)
    for number in range(200):
        for permit in range(30):
            counts[ownership.owner(f"customer-{number}", permit, "")] += 1
    # Of 6,000 permits, 500 are expected at each entry, with a standard deviation of 21.
    # The bounds are five standard deviations.
    assert 395 < min(counts.values()) and max(counts.values()) < 605


def test_requests_of_all_entries_are_served_in_order_of_arrival():
    # Guards against an owner that serves its own requests before those of others.
    customer = customer_owned_by(("a", "ab"))
    cluster = Cluster(["a", "b"], concurrency=1, customer=customer)
    held = cluster.permits["a"].enqueue(customer, "r").permit
    first = cluster.permits["b"].enqueue(customer, "r")
    cancelled = cluster.permits["b"].enqueue(customer, "r")
    for _ in range(2):
        assert cluster.permits["b"].borrow("a", customer)
    cluster.network.deliver_all()
    assert cluster.permits["b"].borrow("a", customer) is None  # one loan per request
    second = cluster.permits["a"].enqueue(customer, "r")
    cluster.permits["a"].release(held)
    cluster.network.deliver_all()
    assert first.permit is not None and second.permit is None
    cluster.permits["b"].cancel(cancelled)
    cluster.network.deliver_all()
    assert cluster.permits["a"].dump()["loans"]["queued"] == 0
    cluster.permits["b"].release(first.permit)
    cluster.network.deliver_all()
    assert second.permit is not None


def test_entry_does_not_leave_the_set_while_a_permit_is_in_use():
    # Guards against a permit used by both a leaving entry and the new owner.
    cluster = Cluster(["a", "b"])
    permit = cluster.permits["a"].acquire("warwick", "r", 0.0)
    cluster.permits["a"].drain()
    assert not cluster.sets["a"].leave()
    cluster.permits["a"].release(permit)
    assert cluster.sets["a"].leave()
    cluster.sets["b"].poll()
    assert [member.node for member in cluster.sets["b"].members] == ["b"]


@pytest.mark.parametrize("value", [7, {"version": 9}, {"version": "9", "members": []}])
def test_invalid_row_of_the_entry_set_is_ignored(value):
    # Guards against an operator's invalid change of the table that stops all entries.
    cluster = Cluster(["a"])
    cluster.table.rows["entry-set"] = Row("entry-set", value, 9)
    cluster.table.rows["entry-set-version"] = Row("entry-set-version", 9, 9)
    cluster.sets["a"].poll()
    assert cluster.sets["a"].version == 1
    assert cluster.permits["a"].enqueue("warwick", "r").permit is not None


def test_entries_that_join_concurrently_all_become_members():
    # Guards against a join that is lost to a compare-and-set conflict.
    cluster = Cluster([])

    class SlowTable(SimulatedTable):
        def read(self, key):
            row = super().read(key)
            gevent.sleep(0.001)
            return row

    cluster.table = SlowTable()
    for name in "abcdef":
        cluster.start(name)
    polls = [gevent.spawn(entry_set.poll) for entry_set in cluster.sets.values()]
    gevent.joinall(polls, raise_error=True)
    row = cluster.table.rows["entry-set"].value
    assert row["version"] == 6
    assert sorted(member["node"] for member in row["members"]) == list("abcdef")


def test_new_customer_is_served_while_a_member_is_disconnected():
    # Guards against permits of a new customer that are unusable until a disconnected
    # member acknowledges, although no other entry can have used them.
    cluster = Cluster(["a", "b", "c"])
    for other in "ab":
        cluster.network.cut("c", other)
    cluster.log.append(Entry(2, "new", 30, ""))
    for name in "ab":
        cluster.replicas[name].apply(1)
    owned = sum(
        cluster.sets["a"].ownership.owner("new", number, "") != "c"
        for number in range(30)
    )
    waiters = [cluster.permits["a"].enqueue("new", "r") for _ in range(30)]
    while cluster.permits["a"].borrow("b", "new"):
        cluster.network.deliver_all()
    assert sum(waiter.permit is not None for waiter in waiters) == owned > 15


def test_entry_restarted_while_the_table_is_down_borrows():
    # Guards against a guest that waits for confirmation by its own earlier incarnation,
    # which is dead and still listed as a member.
    customer = customer_owned_by(("a", "ac"))
    cluster = Cluster(["a", "c"], concurrency=1, customer=customer)
    cluster.table.fault = "down"
    cluster.kill("c")
    cluster.network.cut("a", "c")
    cluster.start("c.2")
    cluster.sets["c.2"].poll()
    cluster.network.deliver_all()
    waiter = cluster.permits["c.2"].enqueue(customer, "r")
    assert cluster.permits["c.2"].borrow("a", customer)
    cluster.network.deliver_all()
    assert waiter.permit is not None

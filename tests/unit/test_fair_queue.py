"""Tests of `FairQueue`: strict priorities, fair shares, limits and memory use."""

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from bulrushdrum._internal.limits.fair_queue import (
    MAX_RETAINED_FINISH_TIMES,
    FairQueue,
    QueueFull,
)

CUSTOMERS = ("a", "b", "c")
pushes = st.tuples(
    st.sampled_from(CUSTOMERS),
    st.integers(0, 2),  # priority
    st.integers(1, 50),  # cost
)


@seed(20261204)
@settings(max_examples=200, deadline=None)
@given(st.lists(st.one_of(pushes, st.none()), max_size=80))
def test_items_are_removed_once_and_in_priority_order(operations):
    # Guards against lost and duplicated items, and against an item that is removed
    # before one of higher priority or an earlier one of the same customer and priority.
    queue, waiting = FairQueue(limit=1000), {}
    for number, operation in enumerate(operations):
        if operation is not None:
            customer, priority, cost = operation
            queue.push(number, customer, 1.0, priority, cost)
            waiting[number] = customer, priority
        elif waiting:
            item = queue.pop()
            customer, priority = waiting.pop(item)
            assert priority == max([priority, *(p for _, p in waiting.values())])
            others = [n for n, key in waiting.items() if key == (customer, priority)]
            assert all(item < other for other in others)
    assert len(queue) == len(waiting)
    assert sorted(queue.pop() for _ in range(len(waiting))) == sorted(waiting)


@seed(20261204)
@settings(max_examples=100, deadline=None)
@given(
    st.lists(st.sampled_from([0.5, 1.0, 2.0, 5.0]), min_size=2, max_size=5),
    st.integers(1, 8),
    st.randoms(use_true_random=False),
)
def test_backlogged_customers_are_served_by_their_weights(weights, cost, random):
    # Guards against shares that depend on the length of the backlog or on the order of
    # arrival. In start-time fair queueing, the normalized service of two customers
    # differs by at most one item of each.
    queue = FairQueue(limit=10_000)
    customers = [f"c{index}" for index in range(len(weights))]
    arrivals = [name for name in customers for _ in range(200)]
    random.shuffle(arrivals)
    weight_of = dict(zip(customers, weights, strict=True))
    for name in arrivals:
        queue.push(name, name, weight_of[name], 4, cost)
    served = dict.fromkeys(customers, 0)
    for _ in range(150):
        served[queue.pop()] += cost
        normalized = {name: served[name] / weight_of[name] for name in customers}
        for one in customers:
            for other in customers:
                bound = cost / weight_of[one] + cost / weight_of[other]
                assert normalized[one] - normalized[other] <= bound + 1e-9


@seed(20261204)
@settings(max_examples=50, deadline=None)
@given(st.integers(1, 50), st.integers(1, 20))
def test_no_customer_starves_within_a_priority(backlog, cost):
    # Guards against a new customer that waits behind the backlog of a large one.
    queue = FairQueue(limit=10_000)
    for _ in range(backlog):
        queue.push("large", "large", 1.0, 4, cost)
    for _ in range(backlog // 2):
        queue.pop()
    queue.push("small", "small", 1.0, 4, cost)
    for _ in range(500):
        queue.push("large", "large", 1.0, 4, cost)
    assert "small" in [queue.pop() for _ in range(2)]


def test_an_idle_customer_accumulates_no_credit():
    # Guards against a customer that is idle first and then delays all others for long.
    queue = FairQueue(limit=1000)
    for _ in range(200):
        queue.push("busy", "busy", 1.0, 4, 1.0)
    for _ in range(100):
        queue.pop()
    for _ in range(20):
        queue.push("returning", "returning", 1.0, 4, 1.0)
    assert [queue.pop() for _ in range(20)].count("returning") == 10


def test_finish_times_of_idle_customers_are_forgotten():
    # Guards against memory use that grows with the number of customers ever seen.
    queue = FairQueue(limit=20)
    for backlog in (0, 10):
        for number in range(backlog):
            queue.push(number, f"waiting-{number}", 1.0, 4, 1.0)
        for number in range(5000):
            queue.push(number, f"customer-{number}", 1.0, 4, 1.0)
            queue.pop()
        priority_class = queue._classes[4]
        limit = 2 * backlog + MAX_RETAINED_FINISH_TIMES + 2
        assert (
            len(priority_class._finish_times) <= len(priority_class._expiries) <= limit
        )


def test_full_queue_and_non_positive_weights_and_costs_are_refused():
    # Guards against unbounded memory use, and against a weight with which virtual time
    # would not advance.
    queue = FairQueue(limit=1)
    for weight, cost in ((0.0, 1.0), (float("nan"), 1.0), (1.0, 0.0), (-1.0, 1.0)):
        with pytest.raises(ValueError, match="must be positive"):
            queue.push("x", "a", weight, 4, cost)
    queue.push("x", "a", 1.0, 4, 1.0)
    with pytest.raises(QueueFull):
        queue.push("y", "a", 1.0, 9, 1.0)
    assert queue.pop() == "x"
    with pytest.raises(IndexError):
        queue.pop()

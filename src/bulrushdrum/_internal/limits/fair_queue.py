"""A queue that serves priorities first and then customers by their shares.

Inside one priority this is start-time fair queueing: an item starts, in virtual time,
where its customer's previous item finished, but not before the item now in service,
and finishes `cost / weight` later. Items leave in the order of their start times, so
each customer with waiting items is served in proportion to its weight and none starves.

>>> queue = FairQueue(limit=10)
>>> for name, customer in (("a1", "a"), ("a2", "a"), ("b1", "b")):
...     queue.push(name, customer, weight=1.0, priority=4, cost=1.0)
>>> [queue.pop(), queue.pop(), queue.pop()]
['a1', 'b1', 'a2']
"""

import heapq
from itertools import count

# Finish times remembered beyond those of waiting items, about 200 KB. While each item
# is of another customer, virtual time stands still and none of them expires.
REMEMBERED_FINISHES = 1024


class QueueFull(Exception):
    """The queue holds as many items as its limit allows."""


class _PriorityClass:
    """Start-time fair queueing among the customers of one priority."""

    __slots__ = ("_expiries", "_finish_times", "_items", "_virtual_time")

    def __init__(self):
        self._items = []
        self._virtual_time = 0.0
        self._finish_times = {}
        self._expiries = []

    def __len__(self):
        return len(self._items)

    def push(self, item, customer, duration, arrival):
        start = max(self._virtual_time, self._finish_times.get(customer, 0.0))
        finish = start + duration
        self._finish_times[customer] = finish
        heapq.heappush(self._expiries, (finish, customer))
        heapq.heappush(self._items, (start, arrival, customer, item))
        if len(self._expiries) > 2 * len(self._items) + REMEMBERED_FINISHES:
            self._keep_waiting_customers()

    def pop(self):
        start, _, _, item = heapq.heappop(self._items)
        self._virtual_time = start
        self._forget_idle_customers()
        return item

    def _forget_idle_customers(self):
        if not self._items:
            # Nobody waits, so nobody can be delayed by what was served before.
            self._virtual_time = 0.0
            self._finish_times.clear()
            self._expiries.clear()
        # A finish time at or before the virtual time no longer delays its customer.
        while self._expiries and self._expiries[0][0] <= self._virtual_time:
            finish, customer = heapq.heappop(self._expiries)
            if self._finish_times.get(customer) == finish:
                del self._finish_times[customer]

    def _keep_waiting_customers(self):
        """Forget customers without waiting items; each may gain one item by it."""
        waiting = {customer for _, _, customer, _ in self._items}
        self._finish_times = {
            who: time for who, time in self._finish_times.items() if who in waiting
        }
        self._expiries = [(time, who) for who, time in self._finish_times.items()]
        heapq.heapify(self._expiries)


class FairQueue:
    """Holds up to `limit` items; `push` and `pop` take O(log n) time."""

    def __init__(self, limit: int):
        self._limit = limit
        self._classes: dict[int, _PriorityClass] = {}
        self._arrivals = count()
        self._size = 0

    def __len__(self):
        return self._size

    def push(self, item, customer: str, weight: float, priority: int, cost: float):
        """Add `item`, which uses `cost` units of `customer`'s share of `weight`.

        Raises `QueueFull` at the limit and `ValueError` for a weight or cost that is
        not positive.
        """
        if not weight > 0 or not cost > 0:
            raise ValueError(f"weight {weight!r} and cost {cost!r} must be positive")
        if self._size >= self._limit:
            raise QueueFull(f"{self._size} items are waiting")
        chosen = self._classes.get(priority)
        if chosen is None:
            chosen = self._classes[priority] = _PriorityClass()
        chosen.push(item, customer, cost / weight, next(self._arrivals))
        self._size += 1

    def pop(self):
        """Remove and return the next item; raises `IndexError` when empty."""
        if not self._size:
            raise IndexError("the queue is empty")
        self._size -= 1
        # There are at most ten priorities, so the search does not depend on the size.
        highest = max(priority for priority, item in self._classes.items() if item)
        return self._classes[highest].pop()

"""A queue ordered by priority and then by fair shares of the customers.

Within a priority it implements start-time fair queueing. The virtual start time of an
item is the finish time of its customer's previous item, but not earlier than the start
of the item removed last; it finishes `cost / weight` later. Items are removed in order
of start time, so customers with waiting items are served in proportion to their weight
and none starves.

>>> queue = FairQueue(limit=10)
>>> for name, customer in (("a1", "a"), ("a2", "a"), ("b1", "b")):
...     queue.push(name, customer, weight=1.0, priority=4, cost=1.0)
>>> [queue.pop(), queue.pop(), queue.pop()]
['a1', 'b1', 'a2']
"""

import heapq
from itertools import count

# Finish times kept in addition to those of waiting items, about 200 KB. If every item
# is of a different customer, virtual time does not advance and none of them expires.
MAX_RETAINED_FINISH_TIMES = 1024


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
        if len(self._expiries) > 2 * len(self._items) + MAX_RETAINED_FINISH_TIMES:
            self._forget_customers_without_items()

    def pop(self):
        start, _, _, item = heapq.heappop(self._items)
        self._virtual_time = start
        self._expire_finish_times()
        return item

    def _expire_finish_times(self):
        if not self._items:
            # With nothing waiting, earlier service cannot delay any customer.
            self._virtual_time = 0.0
            self._finish_times.clear()
            self._expiries.clear()
        # A finish time at or before the virtual time no longer delays its customer.
        while self._expiries and self._expiries[0][0] <= self._virtual_time:
            finish, customer = heapq.heappop(self._expiries)
            if self._finish_times.get(customer) == finish:
                del self._finish_times[customer]

    def _forget_customers_without_items(self):
        """Drop finish times of customers without items; each may gain one item."""
        waiting = {customer for _, _, customer, _ in self._items}
        self._finish_times = {
            customer: finish
            for customer, finish in self._finish_times.items()
            if customer in waiting
        }
        self._expiries = [
            (finish, customer) for customer, finish in self._finish_times.items()
        ]
        heapq.heapify(self._expiries)


class FairQueue:
    """A bounded fair queue; `push` and `pop` take O(log n) time."""

    def __init__(self, limit: int):
        self._limit = limit
        self._classes: dict[int, _PriorityClass] = {}
        self._arrivals = count()
        self._size = 0

    def __len__(self):
        return self._size

    def push(self, item, customer: str, weight: float, priority: int, cost: float):
        """Add `item`, which costs `cost` units of the customer's share.

        `weight` is the customer's share relative to other customers. Raises `QueueFull`
        at the limit and `ValueError` if the weight or cost is not positive.
        """
        if not weight > 0 or not cost > 0:
            raise ValueError(f"weight {weight!r} and cost {cost!r} must be positive")
        if self._size >= self._limit:
            raise QueueFull(f"{self._size} items are waiting")
        priority_class = self._classes.get(priority)
        if priority_class is None:
            priority_class = self._classes[priority] = _PriorityClass()
        priority_class.push(item, customer, cost / weight, next(self._arrivals))
        self._size += 1

    def pop(self):
        """Remove and return the next item; raises `IndexError` when empty."""
        if not self._size:
            raise IndexError("the queue is empty")
        self._size -= 1
        # There are at most ten priorities, so this search takes constant time.
        highest = max(priority for priority, items in self._classes.items() if items)
        return self._classes[highest].pop()

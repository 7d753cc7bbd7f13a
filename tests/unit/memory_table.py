"""In-memory table with the interface of the table client."""

import random

import gevent
from bench.standins.table import TableState

from bulrushdrum._internal.platform.errors import (
    StoreUnavailable,
    WriteConflict,
    WriteOutcomeUnknown,
)
from bulrushdrum._internal.platform.table import Row


class MemoryTable:
    """Table whose reads and writes fail with probability `fault_rate`.

    The failures are drawn from `seed`. The next `lose_answers` writes take effect and
    the next `lose_requests` do not, but both raise `WriteOutcomeUnknown`.
    """

    def __init__(self, fault_rate=0.0, seed=0):
        self.state = TableState()
        self.random = random.Random(seed)
        self.fault_rate = fault_rate
        self.lose_answers = 0
        self.lose_requests = 0
        self.down = False
        self.transactions = 0

    def _yield_or_fail(self):
        gevent.sleep(0)
        if self.down or self.random.random() < self.fault_rate:
            raise StoreUnavailable("table: down")

    def read(self, key):
        self._yield_or_fail()
        row = Row(**self.state.read(key))
        return row if row.version else None

    def scan(self, prefix, after="", limit=1000):
        self._yield_or_fail()
        return [Row(**row) for row in self.state.scan(prefix, after, limit)]

    def transact(self, conditions, writes):
        self._yield_or_fail()
        self.transactions += 1
        lost = self.random.random() < self.fault_rate
        if self.lose_requests > 0 or (lost and self.random.random() < 0.5):
            self.lose_requests -= 1
            raise WriteOutcomeUnknown("table: request lost")
        versions, conflicts = self.state.transact(
            [condition._asdict() for condition in conditions],
            [write._asdict() for write in writes],
        )
        gevent.sleep(0)
        if lost or self.lose_answers > 0:
            self.lose_answers -= 1
            raise WriteOutcomeUnknown("table: answer lost")
        if versions is None:
            raise WriteConflict([Row(**row) for row in conflicts])
        return versions

"""An answer with wrong bytes keeps a router process from doing anything else.

One of three servers is faulty: one answer of its bears its id, its signature and its
right length, but its bytes are a dump of other answers on one line. The router that
gets it on a kept connection stops for many seconds: it answers no request and no poll
of its readiness. Of the requests that are unanswered at their route's `timeout-ms`,
more than half have no answer half a second later (CONFIG).
"""

import asyncio
import functools
import itertools
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from system import READ_ROUTE, CannotRun, Server, run_case

# One recorded exchange, as a tracer would write it into a JSON document.
EXCHANGE = (
    rb'{"request":"GET /read/1 HTTP/1.1","response":"HTTP/1.1 200 OK\r\nContent-Length'
    rb': 20\r\nContent-Type: text/plain\r\n\r\nrow of the ledger number"},'
)
SOUND_TEXT = b'{"row":"of the ledger","amount":"12.50","paid":true,"market":"Warwick"},'
BODY_BYTES = 1_000_000
TROUBLE_AT = 5.0
ENDS_AT = 15.0
CLIENTS = 24
INTERVAL_SECONDS = 0.5
TIMEOUT = READ_ROUTE["timeout-ms"] / 1000
MARGIN = 0.5
LEAST_COUNT = 8


def make_body(unit):
    return unit * (BODY_BYTES // len(unit))


class FaultyServer(Server):
    """A server that spoils one answer on a connection which is not new."""

    spoils_next = False
    large_body = b""

    async def run(self, message, writer):
        is_first = message.connection not in self.used
        self.used.add(message.connection)
        if not self.spoils_next or is_first or message.method != "GET":
            return await super().run(message, writer)
        self.spoils_next = False
        await asyncio.sleep(self.work_seconds)
        self.record.say(
            f"server {self.id}: answers {message.id} with {len(self.large_body)} bytes"
        )
        writer.write(self.success(message, self.large_body))
        return True

    def __init__(self, record, store, name):
        super().__init__(record, store, name)
        self.used = set()


async def send_requests(system, until, number):
    connection = system.connect(number)
    for turn in itertools.count(number):
        if system.record.now() >= until:
            break
        if turn % 4:
            await system.clients.send(connection, f"/read/{turn}")
        else:
            await system.clients.send(connection, f"/record/{turn}", "POST", b"x" * 600)
        await asyncio.sleep(INTERVAL_SECONDS)
    connection.close()


async def play(record, make_system, has_trouble):
    system = make_system("a")
    makes = [functools.partial(Server, name=f"i-{number}") for number in (1, 2)]
    await system.start([functools.partial(FaultyServer, name="i-0"), *makes])
    await asyncio.sleep(1.5)
    start = record.now()
    tasks = [
        asyncio.create_task(send_requests(system, start + ENDS_AT, number))
        for number in range(CLIENTS)
    ]
    await asyncio.sleep(TROUBLE_AT)
    faulty, clients = system.servers[0], system.clients
    # Without the trouble, the answer is as long and has other bytes.
    faulty.large_body = make_body(EXCHANGE if has_trouble else SOUND_TEXT)
    faulty.spoils_next = True
    await asyncio.gather(*tasks)
    if faulty.spoils_next:
        raise CannotRun("the faulty server got no request on a kept connection")
    unanswered = [
        request_id
        for request_id, sent_at in clients.sent.items()
        if clients.answered.get(request_id, float("inf")) > sent_at + TIMEOUT
    ]
    late = [
        request_id
        for request_id in unanswered
        if clients.answered.get(request_id, float("inf"))
        > clients.sent[request_id] + TIMEOUT + MARGIN
    ]
    record.say(
        f"{len(clients.sent)} requests, {len(unanswered)} without an answer at their "
        f"route's timeout, {len(late)} of these without one {MARGIN} s later"
    )
    record.say(f"answers: {clients.statuses()}")
    ready = await asyncio.gather(*(router.is_ready() for router in system.routers))
    record.say(f"routers that answer a poll of their readiness at the end: {ready}")
    return len(late) >= LEAST_COUNT and len(late) > len(unanswered) / 2


run_case(Path(__file__).parent, play)

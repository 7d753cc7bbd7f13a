"""A server whose entry is removed after a reset of a connection is kept for too long.

A connection of one router to the store is reset, and it reads the table again at once.
One and a half seconds later a server leaves: its entry is removed, and it serves on.
The router takes the entry for one that lapsed in an outage and keeps the server for
another 2.2 s. Requests reach it later than `drain-ms` after the acknowledgement, from a
machine that is in touch again (DRAIN).
"""

import asyncio
import functools
import itertools
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from system import BOUNDS, CannotRun, Server, run_case

CLIENTS = 60
INTERVAL_SECONDS = 0.4
RESET_AT = 4.0
LEAVES_SECONDS_LATER = 1.5
# The server goes on serving for `drain-ms` and a little longer, and then exits.
SERVES_ON_SECONDS = 3.0
ENDS_AT = 14.0
DRAIN = BOUNDS["drain-ms"] / 1000
CONTACT = BOUNDS["contact-ms"] / 1000


async def send_requests(system, until, number):
    # Clients do not send in step.
    await asyncio.sleep(INTERVAL_SECONDS * number / CLIENTS)
    connection = system.connect(number)
    for turn in itertools.count(number):
        if system.record.now() >= until:
            break
        if turn % 2:
            await system.clients.send(connection, f"/read/{turn}")
        else:
            await system.clients.send(connection, f"/record/{turn}", "POST", b"x" * 600)
        await asyncio.sleep(INTERVAL_SECONDS)
    connection.close()


async def play(record, make_system, has_trouble):
    system = make_system("a")
    makes = [functools.partial(Server, name=f"i-{number}") for number in range(3)]
    await system.start(makes)
    await asyncio.sleep(1.5)
    start = record.now()
    tasks = [
        asyncio.create_task(send_requests(system, start + ENDS_AT, number))
        for number in range(CLIENTS)
    ]
    await asyncio.sleep(RESET_AT)
    reset_at = record.now()
    if has_trouble:
        while not system.store.reset_one_connection("servers"):
            await asyncio.sleep(0.01)
        reset_at = record.now()
        record.say("a connection of a router to the store is reset")
    await asyncio.sleep(LEAVES_SECONDS_LATER)
    leaving = system.servers[0]
    if not leaving.arrivals:
        raise CannotRun("no request reached the server before it left")
    leaving.leave()
    acknowledged = record.now()
    record.say(f"the store removes the entry of {leaving.id}, which serves on")
    await asyncio.sleep(DRAIN + SERVES_ON_SECONDS)
    leaving.stop()
    record.say(f"{leaving.id} ends")
    await asyncio.gather(*tasks)
    # From then on all machines are in touch, and nothing may reach the server.
    bound = max(acknowledged + DRAIN, reset_at + CONTACT)
    late = [
        (arrived, request_id)
        for arrived, request_id in leaving.arrivals
        if system.clients.sent[request_id] > bound
    ]
    for arrived, request_id in late:
        record.say(
            f"{request_id} reaches {leaving.id} {arrived - acknowledged:.3f} s after "
            f"the acknowledgement and {arrived - reset_at:.3f} s after the reset"
        )
    last = max(at for at, _ in leaving.arrivals) - acknowledged
    record.say(f"the last request reached {leaving.id} {last:.3f} s after it")
    record.say(f"answers: {system.clients.statuses()}")
    return bool(late)


run_case(Path(__file__).parent, play)

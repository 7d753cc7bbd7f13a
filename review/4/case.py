"""A prompt part with a long ID crashes one server after the other.

Requests with one part crash each server that begins to write an answer on it. The ID of
that part is a SHA-256 digest, 64 hexadecimal digits. The routers take no notice of IDs
of over 32 digits, so they pass such requests on for ever (BUDGET). With PART=short, the
ID has 8 digits, and the rule holds.
"""

import asyncio
import functools
import hashlib
import itertools
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from system import (
    BOUNDS,
    HEARTBEAT_SECONDS,
    STREAM_ROUTE,
    CannotRun,
    Engine,
    configuration,
    run_case,
)

DIGITS = 8 if os.environ.get("PART") == "short" else 64


def part_id(text):
    return hashlib.sha256(text.encode()).hexdigest()[:DIGITS]


BAD_PART = part_id("the part that crashes servers")
GOOD_PART = part_id("the part that all requests share")
ENGINES = 6
CLIENTS = 6
BAD_AT = 5.0
BAD_INTERVAL_SECONDS = 2.5
ENDS_AT = 50.0
INTERVAL_SECONDS = 1.0
DOWN_SECONDS = 2.5
CRASHES_BEFORE = 5
MOST = 3


class FragileEngine(Engine):
    """Crashes when it begins to write an answer on the part, if `is_fragile`."""

    is_fragile = False
    starts = 0
    # Of all servers: when each crashed, and when each request with the part arrived.
    crashes = []
    bad_arrivals = []

    async def answer(self, message, writer):
        if BAD_PART in message.headers.get("bulrushdrum-prefix-hash", ""):
            self.bad_arrivals.append((self.record.now(), message.id))
        return await super().answer(message, writer)

    async def stream(self, message, writer, last=20):
        await asyncio.sleep(0.05)
        parts = message.headers.get("bulrushdrum-prefix-hash", "")
        if self.is_fragile and BAD_PART in parts:
            self.crash(message)
            raise ConnectionError
        await super().stream(message, writer, last)

    def crash(self, message):
        self.crashes.append(self.record.now())
        self.record.say(f"server {self.id}: crashes on {message.id}")
        self._heartbeat.cancel()
        self.stop_listening()
        loop = asyncio.get_running_loop()
        # Its entry expires after three heartbeat intervals of silence.
        loop.call_later(3 * HEARTBEAT_SECONDS, self.store.put, "servers", self.id, None)
        loop.call_later(DOWN_SECONDS, self._start_again)

    def _start_again(self):
        self.starts += 1
        self.id = f"{self.id.partition('.')[0]}.{self.starts}"
        self.layers, self.orders, self.loading, self.seq = None, 0, False, 0
        self.born += int(DOWN_SECONDS * 1000)
        self._starting = asyncio.create_task(self.start())


async def send_requests(system, until, number, parts, interval):
    connection = system.connect(number)
    for turn in itertools.count():
        if system.record.now() >= until:
            break
        own = part_id(f"{number}.{turn}")
        names = ",".join(f"{part}:40" for part in parts)
        headers = {
            "Bulrushdrum-Model": "m0",
            "Bulrushdrum-Token-Count": "800,80",
            "Bulrushdrum-Prefix-Hash": f"{names},{own}:760",
        }
        body = f"{number}.{turn}".ljust(800).encode()
        await system.clients.send(
            connection, f"/ask/{number}-{turn}", "POST", body, 20_000, headers
        )
        await asyncio.sleep(interval)
    connection.close()


async def play(record, make_system, has_trouble):
    FragileEngine.is_fragile = has_trouble
    system = make_system("a")
    makes = [functools.partial(FragileEngine, name=f"i-{n}") for n in range(ENGINES)]
    await system.start(makes, config=configuration(1, routes=[STREAM_ROUTE]))
    start = record.now()
    until = start + ENDS_AT
    tasks = [
        asyncio.create_task(
            send_requests(system, until, number, [GOOD_PART], INTERVAL_SECONDS)
        )
        for number in range(CLIENTS)
    ]
    await asyncio.sleep(BAD_AT)
    record.say(f"requests with the part {BAD_PART} begin")
    bad = [BAD_PART, GOOD_PART]
    for number in (100, 101):
        task = send_requests(system, until, number, bad, 2 * BAD_INTERVAL_SECONDS)
        tasks.append(asyncio.create_task(task))
        await asyncio.sleep(BAD_INTERVAL_SECONDS)
    await asyncio.gather(*tasks)
    crashes, arrivals = FragileEngine.crashes, FragileEngine.bad_arrivals
    if not arrivals:
        raise CannotRun("no request with the part reached a server")
    record.say(f"answers: {system.clients.statuses()}")
    record.say(f"{len(arrivals)} requests with the part reached servers")
    record.say(f"{len(crashes)} crashes")
    if len(crashes) < CRASHES_BEFORE:
        record.say("there was no fifth crash")
        return False
    bound = crashes[CRASHES_BEFORE - 1] + BOUNDS["contact-ms"] / 1000
    late = [at for at, _ in arrivals if at > bound]
    record.say(f"{len(late)} of them later than contact-ms after the fifth crash")
    return len(late) > MOST


run_case(Path(__file__).parent, play)

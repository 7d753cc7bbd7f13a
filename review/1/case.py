"""A registration that cannot be read stops a router from following all others.

Two deployments run side by side; in each, another writer puts one entry into the table
of servers. Then a server leaves in order. No request that a client sends later than
`drain-ms` after the store has accepted `draining` may reach it (DRAIN).
"""

import asyncio
import functools
import itertools
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from system import BOUNDS, CannotRun, Server, run_case, wait_until

# `slots` of another type: a number that no integer can hold.
NUMBER = (
    b'{"service":"rentbook","address":"127.0.0.1:1","zone":"kzn-a","version":"v1",'
    b'"slots":1e400,"state":"ready","cold-left-ms":0,"seq-no":1,"born":1764900000000}'
)
# Bytes that cannot be read: too many brackets.
BYTES = b"[" * 20_000
ENTRIES = {"number": NUMBER, "bytes": BYTES}
ENTRY_AT = 3.0
LEAVES_AT = 6.0
# The server goes on serving for `drain-ms` and a little longer, and then exits.
SERVES_ON_SECONDS = 6.0
ENDS_AT = 16.0
INTERVAL_SECONDS = 0.5
CLIENTS = 12


async def send_requests(system, until, number):
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


async def play_entry(make_system, name, has_trouble):
    system = make_system(name)
    record = system.record
    makes = [
        functools.partial(Server, name=f"i-{name}-{number}") for number in range(3)
    ]
    await system.start(makes)
    await asyncio.sleep(1.5)
    start = record.now()
    tasks = [
        asyncio.create_task(send_requests(system, start + ENDS_AT, number))
        for number in range(CLIENTS)
    ]
    await asyncio.sleep(ENTRY_AT)
    if has_trouble:
        system.store.put_bytes("servers", "entry-of-another-writer", ENTRIES[name])
        record.say(f"{name}: another writer puts {ENTRIES[name][:60]!r}...")
    await asyncio.sleep(LEAVES_AT - ENTRY_AT)
    leaving = system.servers[0]
    if not leaving.arrivals:
        raise CannotRun("no request reached the server before it left")
    leaving.state = "draining"
    leaving.register()
    acknowledged = record.now()
    record.say(f"{name}: the store accepts that {leaving.id} is draining")
    await asyncio.sleep(BOUNDS["drain-ms"] / 1000 + SERVES_ON_SECONDS)
    leaving.stop()
    record.say(f"{name}: {leaving.id} ends, and its entry is removed")
    await asyncio.gather(*tasks)
    bound = acknowledged + BOUNDS["drain-ms"] / 1000
    late = [
        (arrived, request_id)
        for arrived, request_id in leaving.arrivals
        if system.clients.sent[request_id] > bound
    ]
    for arrived, request_id in late[:10]:
        record.say(
            f"{name}: {request_id} reaches {leaving.id} {arrived - acknowledged:.3f} s "
            "after the acknowledgement"
        )
    after = max((at for at, _ in leaving.arrivals), default=0.0) - acknowledged
    record.say(
        f"{name}: {len(late)} requests reach {leaving.id} later than drain-ms, of "
        f"{len(system.clients.sent)}; the last request at it came {after:.3f} s after "
        f"the acknowledgement; answers {system.clients.statuses()}"
    )
    await observe_restart(system, name)
    return bool(late)


async def observe_restart(system, name):
    """Stop and start one router, as in a roll; this is recorded and not judged."""
    router = system.routers[1]
    await router.end(signal.SIGTERM)
    await router.start()
    ready = await wait_until(router.is_ready, 8.0)
    system.record.say(
        f"{name}: not judged: {router.name} is {'ready' if ready else 'NOT ready'} "
        "8 s after a restart at the latest"
    )
    errors = router.log_lines("OverflowError", "RecursionError")
    system.record.say(f"{name}: lines of such errors in its log: {len(errors)}")
    if errors:
        system.record.say(f"{name}: the first: {errors[0][-500:]}")


async def play(record, make_system, has_trouble):
    broken = await asyncio.gather(
        *(play_entry(make_system, name, has_trouble) for name in ENTRIES)
    )
    record.say(f"broken: {dict(zip(ENTRIES, broken, strict=True))}")
    return any(broken)


run_case(Path(__file__).parent, play)

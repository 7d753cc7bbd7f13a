"""A registration without its accelerator kind keeps all model servers empty.

This is played by hand (`python3 review/1/kind.py`); case 1 does not judge it. When the
system starts, the table of servers already has an entry of another writer, in which
`route-kind` is missing. It names no server to use, and the others hold. But the
leading router fails on it each time it is about to order layers, so no server ever gets
any, and no request is served (Fault).
"""

import asyncio
import functools
import itertools
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from system import STREAM_ROUTE, CannotRun, Engine, configuration, run_case

ENTRY = {
    "service": "imbizo-llm",
    "address": "127.0.0.1:9",
    "zone": "kzn-a",
    "version": "v1",
    "slots": 96,
    "state": "ready",
    "cold-left-ms": 0,
    "seq-no": 3,
    "born": 1764900000000,
    "stage": "colocated",
    "models": [{"name": "m0", "version": 1, "adapters": []}],
    "layers": {"from": 0, "target": 20, "version": 1},
}
ENGINES = 4
CLIENTS = 8
ENDS_AT = 40.0
INTERVAL_SECONDS = 1.0


async def send_requests(system, until, number):
    connection = system.connect(number)
    for turn in itertools.count():
        if system.record.now() >= until:
            break
        headers = {
            "Bulrushdrum-Model": "m0",
            "Bulrushdrum-Token-Count": "800,200",
            "Bulrushdrum-Prefix-Hash": f"5c1e07a2:40,{number:04x}{turn:04x}:760",
        }
        await system.clients.send(
            connection, f"/ask/{turn}", "POST", b"x" * 800, 20_000, headers
        )
        await asyncio.sleep(INTERVAL_SECONDS)
    connection.close()


async def play(record, make_system, has_trouble):
    system = make_system("a")
    if has_trouble:
        system.store.put("servers", "entry-of-another-writer", ENTRY)
        record.say("another writer has put an entry without route-kind")
    makes = [functools.partial(Engine, name=f"i-{n}") for n in range(ENGINES)]
    await system.start(makes, config=configuration(1, routes=[STREAM_ROUTE]))
    start = record.now()
    await asyncio.gather(
        *(send_requests(system, start + ENDS_AT, number) for number in range(CLIENTS))
    )
    clients = system.clients
    if not clients.sent:
        raise CannotRun("no request was sent")
    served = [
        request_id
        for request_id, answer in clients.answers.items()
        if answer.status == 200 and answer.is_complete
    ]
    record.say(f"{len(served)} of {len(clients.sent)} requests were served")
    record.say(f"answers: {clients.statuses()}")
    orders = {server.id: server.orders for server in system.servers}
    record.say(f"orders that the servers accepted: {orders}")
    for router in system.routers:
        errors = router.log_lines("KeyError")
        record.say(f"{router.name}: {len(errors)} lines with KeyError in its log")
        if errors:
            record.say(f"the first: {errors[0][-600:]}")
    return not served


run_case(Path(__file__).parent, play, "record-kind.txt")

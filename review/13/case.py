"""The store comes back from a copy, and the operator writes its versions again."""

import os
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from system_3 import (  # noqa: E402
    BROKEN,
    HAS_TROUBLE,
    HELD,
    NOT_RUN,
    Record,
    Router,
    Server,
    Store,
    complete_response,
    configuration,
    encode_request,
    exchange,
    gevent,
    new_folder,
    route,
    time,
)

ROUTERS, SERVERS = 2, 3
AWAY_SECONDS = 1.0
# Longer than `contact-ms`, so that the store is stable and all machines are in touch.
REWRITE_AFTER_SECONDS = 4.0
BETWEEN_VERSIONS_SECONDS = 0.05


def version(number):
    """Version 6 adds the route `/added-6/`, and version 7 `/added-7/` too."""
    value = configuration(number)
    added = [
        route(f"added-{added}", f"/added-{added}/", "idempotent", "ledger")
        for added in range(6, number + 1)
    ]
    return value | {"routes": value["routes"] + added}


def play(folder, store, record):
    routers = [Router(folder, store, f"e{number}") for number in range(ROUTERS)]
    try:
        if not all(router.wait_ready() for router in routers):
            return record.result(NOT_RUN, "a router is not ready")
        answers = []
        gevent.sleep(1.0)
        copy = store.copy()
        gevent.sleep(1.0)
        for number in (6, 7):
            store.put("op", "config", version(number))
            record(f"the operator writes version {number}, acknowledged")
            gevent.sleep(2.5)

        def ask(router):
            for number in range(10_000):
                request_id = f"{router.node}-{number}"
                request = encode_request("GET", "/added-7/x", request_id)
                answer = exchange(router.port, request)
                record(f"GET /added-7/x {request_id} at {router.node}: {answer}")
                answers.append((time.monotonic(), request_id, answer))
                gevent.sleep(0.03)

        clients = [gevent.spawn(ask, router) for router in routers]
        gevent.sleep(1.0)
        if any(answer.status != 200 for _, _, answer in answers):
            return record.result(NOT_RUN, "version 7 is not in force")
        if HAS_TROUBLE:
            store.is_down = True
            record("the store is away")
            gevent.sleep(AWAY_SECONDS)
            store.restore(copy)
            store.is_down = False
            record("the store is back from a copy that has version 5")
            gevent.sleep(REWRITE_AFTER_SECONDS)
            for number in (6, 7):
                store.put("op", "config", version(number))
                record(f"the operator writes version {number} again")
                gevent.sleep(BETWEEN_VERSIONS_SECONDS)
        gevent.sleep(4.0)
        gevent.killall(clients)
        older = [
            request_id for _, request_id, answer in answers if answer.status == 404
        ]
        if older:
            reason = f"{len(older)} requests on a route of version 7 got 404 after it"
            return record.result(BROKEN, f"CONFIG: {reason} was in force: {older}")
        return record.result(HELD, "version 7 stays in force")
    finally:
        for router in routers:
            router.stop()


def main():
    record = Record(HERE)
    with new_folder() as folder:
        store = Store()
        store.put("op", "config", version(5))
        servers = [
            Server(store, f"i-{number}", "ledger", complete_response)
            for number in range(SERVERS)
        ]
        try:
            return play(folder, store, record)
        finally:
            for server in servers:
                server.stop()


if __name__ == "__main__":
    # The tasks of the stand-ins need not end one by one.
    os._exit(main())

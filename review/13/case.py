"""A part of long prompts crashes each server that begins to write an answer on it."""

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
    ServerProcess,
    Store,
    configuration,
    encode_request,
    exchange,
    expire_registrations,
    gevent,
    new_folder,
    time,
)

ROUTERS, SERVERS, SOUND_CLIENTS = 2, 6, 8
EVENTS, GAP_MS = 20, 40
PLAY_SECONDS = 40.0
REQUEST_SECONDS = 2.5
DOWN_SECONDS = 2.5
CONTACT_SECONDS = 3.0
BAD_PART = "bad0"
# The place of the part in the prompt, from 0. PLACE=5 is the same with another place.
PLACE = int(os.environ.get("PLACE", "34"))
SHARED_PARTS = 40


def prompt(own, has_bad_part):
    parts = [f"{number + 160:x}:10" for number in range(SHARED_PARTS)]
    if has_bad_part:
        parts[PLACE] = f"{BAD_PART}:10"
    return ",".join([*parts, f"{own:x}:30"])


def chat(router, request_id, own, has_bad_part):
    headers = (
        "Bulrushdrum-Token-Count: 430,80",
        "Bulrushdrum-Model: m",
        f"Bulrushdrum-Prefix-Hash: {prompt(own, has_bad_part)}",
    )
    body = request_id.encode()
    request = encode_request(
        "POST", "/chat/x", request_id, body, headers, deadline_ms=20_000
    )
    return exchange(router.port, request, seconds=10.0)


class Platform:
    """Starts servers again that have crashed."""

    def __init__(self, servers, record):
        self.crashes = []
        self._tasks = [gevent.spawn(self._watch, s, record) for s in servers]

    def stop(self):
        gevent.killall(self._tasks)

    def _watch(self, server, record):
        while True:
            gevent.sleep(0.02)
            if server.process.poll() is not None:
                self.crashes.append(time.monotonic())
                record(f"{server.id} has crashed, crash {len(self.crashes)}")
                gevent.sleep(DOWN_SECONDS)
                server.start()


def wait_served(router):
    for number in range(100):
        answer = chat(router, f"first-{number}", 1_000 + number, False)
        if answer.status == 200 and answer.complete:
            return True
        gevent.sleep(0.2)
    return False


def play(folder, store, servers, record):
    routers = []
    try:
        for number in range(ROUTERS):
            routers.append(Router(folder, store, f"e{number}"))
        if not all(router.wait_ready() for router in routers):
            return record.result(NOT_RUN, "a router is not ready")
        if not all(wait_served(router) for router in routers):
            return record.result(NOT_RUN, "the routers serve nothing")
        platform = Platform(servers, record)
        sent, answers = {}, []

        def ask(client):
            for number in range(10_000):
                router = routers[(client + number) % ROUTERS]
                request_id = f"sound-{client}-{number}"
                own = 100_000 + client * 10_000 + number
                answer = chat(router, request_id, own, False)
                answers.append(answer)
                record(f"{request_id} at {router.node}: {answer}")
                gevent.sleep(0.1)

        def ask_bad(number):
            router, request_id = routers[number % ROUTERS], f"bad-{number}"
            sent[request_id] = time.monotonic()
            answer = chat(router, request_id, 10_000 + number, True)
            record(f"{request_id} at {router.node}: {answer}")

        clients = [gevent.spawn(ask, client) for client in range(SOUND_CLIENTS)]
        until = time.monotonic() + PLAY_SECONDS
        number = 0
        while time.monotonic() < until:
            clients.append(gevent.spawn(ask_bad, number))
            number += 1
            gevent.sleep(REQUEST_SECONDS)
        gevent.killall(clients)
        platform.stop()
        return judge(servers, platform.crashes, sent, answers, record)
    finally:
        for router in routers:
            router.stop()


def judge(servers, crashes, sent, answers, record):
    arrivals = []
    for server in servers:
        for line in server.runs():
            record(f"server {server.id}: {line}")
            word, request_id, *_ = line.split()
            if word == "run" and request_id in sent:
                arrivals.append(request_id)
    whole = sum(answer.status == 200 and answer.complete for answer in answers)
    record(f"{len(crashes)} crashes; {whole} of {len(answers)} sound requests served")
    if len(crashes) < 5:
        return record.result(HELD, f"{len(crashes)} crashes in all")
    late = [i for i in arrivals if sent[i] > crashes[4] + CONTACT_SECONDS]
    if len(late) > 3:
        reason = f"{len(late)} arrivals later than 3 s after the fifth crash"
        return record.result(BROKEN, f"BUDGET: {reason}: {late}")
    return record.result(HELD, f"{len(late)} arrivals after the fifth crash")


def main():
    record = Record(HERE)
    with new_folder() as folder:
        store = Store()
        store.put("op", "config", configuration())
        gevent.spawn(expire_registrations, store)
        crash_part = BAD_PART if HAS_TROUBLE else ""
        servers = [
            ServerProcess(
                folder, store, f"i-{n}", "llm", "chunked", EVENTS, GAP_MS, crash_part
            )
            for n in range(SERVERS)
        ]
        try:
            return play(folder, store, servers, record)
        finally:
            for server in servers:
                server.kill()


if __name__ == "__main__":
    # The tasks of the stand-ins need not end one by one.
    os._exit(main())

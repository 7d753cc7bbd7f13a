"""A request that crashes each server that runs it and comes again and again.

Shared by the scripts about such requests. Sound clients read meanwhile.
"""

from system_3 import (
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

ROUTERS, SERVERS, SOUND_CLIENTS = 3, 3, 4
# About 0.8 kB in 90 ms, as the sheet says of this service.
PARTS, GAP_MS = 18, 5
REPEAT_SECONDS = 2.0
DOWN_SECONDS = 2.5
CONTACT_SECONDS = 3.0
BAD = "bad"


class Platform:
    """Starts a server in the place of each that has crashed, with an id of its own."""

    def __init__(self, folder, store, record):
        self.servers, self.crashes = [], []
        self._folder, self._store, self._record = folder, store, record
        self._tasks = [gevent.spawn(self._run, number) for number in range(SERVERS)]

    def stop(self):
        gevent.killall(self._tasks)
        for server in self.servers:
            server.kill()

    def _run(self, number):
        crash_part = BAD if HAS_TROUBLE else ""
        for start in range(1_000):
            server = ServerProcess(
                self._folder,
                self._store,
                f"i-{number}-{start}",
                "ledger",
                "chunked",
                PARTS,
                GAP_MS,
                crash_part,
            )
            self.servers.append(server)
            while server.process.poll() is None:
                gevent.sleep(0.02)
            self.crashes.append(time.monotonic())
            self._record(f"{server.id} has crashed, crash {len(self.crashes)}")
            gevent.sleep(DOWN_SECONDS)


def read(router, request_id, path):
    return exchange(router.port, encode_request("GET", path, request_id))


def wait_served(router):
    for number in range(100):
        if read(router, f"first-{router.node}-{number}", "/read/x").status == 200:
            return True
        gevent.sleep(0.1)
    return False


def play(folder, store, platform, record, seconds, bad_target, sound_target):
    routers = []
    try:
        for number in range(ROUTERS):
            routers.append(Router(folder, store, f"e{number}"))
        if not all(router.wait_ready() for router in routers):
            return record.result(NOT_RUN, "a router is not ready")
        if not all(wait_served(router) for router in routers):
            return record.result(NOT_RUN, "the routers serve nothing")
        sent, answers = {}, []

        def ask(client):
            for number in range(10_000):
                router = routers[(client + number) % ROUTERS]
                request_id = f"sound-{client}-{number}"
                target = sound_target(client, number)
                answer = read(router, request_id, target)
                record(f"{request_id} at {router.node}: {answer}")
                answers.append(answer)
                gevent.sleep(0.2)

        def ask_bad(number):
            router, request_id = routers[number % ROUTERS], f"bad-{number}"
            sent[request_id] = time.monotonic()
            record(f"{request_id} to {router.node}")
            answer = read(router, request_id, bad_target)
            record(f"{request_id} at {router.node}: {answer}")

        clients = [gevent.spawn(ask, client) for client in range(SOUND_CLIENTS)]
        until = time.monotonic() + seconds
        number = 0
        while time.monotonic() < until:
            clients.append(gevent.spawn(ask_bad, number))
            number += 1
            gevent.sleep(REPEAT_SECONDS)
        gevent.killall(clients)
        platform.stop()
        return judge(platform, sent, answers, record)
    finally:
        for router in routers:
            router.stop()


def judge(platform, sent, answers, record):
    crashes, arrivals = platform.crashes, []
    for server in platform.servers:
        for line in server.runs():
            word, request_id, *_ = line.split()
            record(f"server {server.id}: {line}")
            if word == "run" and request_id in sent:
                arrivals.append(request_id)
    whole = sum(answer.status == 200 and answer.complete for answer in answers)
    record(f"{len(crashes)} crashes; {whole} of {len(answers)} sound requests served")
    if len(crashes) < 3:
        return record.result(HELD, f"{len(crashes)} crashes in all")
    late = [i for i in arrivals if sent[i] > crashes[2] + CONTACT_SECONDS]
    if len(late) > 3:
        reason = f"{len(late)} arrivals later than 3 s after the third crash"
        return record.result(BROKEN, f"BUDGET: {reason}: {late}")
    return record.result(HELD, f"{len(late)} arrivals later than that: {late}")


def run(folder, seconds, bad_target, sound_target):
    """Send requests for `bad_target`, which has `BAD` in it; return the exit code.

    `sound_target(client, number)` returns the target of a sound request.
    """
    record = Record(folder)
    with new_folder() as temporary:
        store = Store()
        store.put("op", "config", configuration())
        gevent.spawn(expire_registrations, store)
        platform = Platform(temporary, store, record)
        try:
            return play(
                temporary, store, platform, record, seconds, bad_target, sound_target
            )
        finally:
            platform.stop()

"""The servers of a service turn requests away, and say for how long they want none.

Their requests have waited for a moment. Each server sheds them one after another, and
names in each 503 the whole seconds that are left.
"""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import system_2_client as client  # noqa: E402
from system_2_case import TROUBLE, configuration, main, route  # noqa: E402
from system_2_plain_server import PlainServer, refusal, success  # noqa: E402

# The servers stand still for a moment, and then want no requests for some seconds.
STALL_BEGINS_AFTER, STALL_SECONDS, NEED_SECONDS = 2.0, 0.5, 5.15
# The time that it takes to turn one request away.
SHED_SECONDS = 0.05
TRAFFIC_SECONDS = 10.0
REQUESTS_PER_SECOND = 30
WORK_SECONDS = 0.09
# The rule counts from this long after an answer, and allows so many requests.
SLACK_SECONDS = 0.5
ALLOWED = 2


class _ServerInNeed(PlainServer):
    def __init__(self, name, store, record):
        super().__init__(name, "ledger", store, record, self._answer_request)
        self._stall_ends_at = self._need_ends_at = 0.0
        self._shedding = asyncio.Lock()
        # When each refusal was sent, and the seconds that it names.
        self.refusals: list[tuple[float, int]] = []

    def begin_need(self):
        self._record.write(f"{self.name} stands still")
        self._stall_ends_at = self._record.now + STALL_SECONDS
        self._need_ends_at = self._stall_ends_at + NEED_SECONDS

    async def _answer_request(self, request):
        await asyncio.sleep(WORK_SECONDS)
        await asyncio.sleep(max(self._stall_ends_at - self._record.now, 0.0))
        if self._record.now >= self._need_ends_at:
            return success(request)
        async with self._shedding:
            left = max(int(self._need_ends_at - self._record.now), 0)
            self.refusals.append((self._record.now, left))
            self._record.write(f"{self.name} answers 503, Retry-After: {left}")
            await asyncio.sleep(SHED_SECONDS)
        return refusal(request, 503, retry_after=left)

    def count_late(self):
        """Return the most requests in the time that one answer has asked for."""
        most = 0
        for answered_at, seconds in self.refusals:
            first, end = answered_at + SLACK_SECONDS, answered_at + seconds
            count = sum(first <= at < end for at, _ in self.arrivals)
            if count > most:
                most = count
                self._record.write(
                    f"  {self.name}: {count} requests from {first:.3f} to {end:.3f} s, "
                    f"of the answer of {answered_at:.3f} s with Retry-After: {seconds}"
                )
        return most


async def play(platform, record) -> bool:
    routes = [route("read", "/read/", "idempotent", "ledger")]
    services = [{"name": "ledger", "max-conns": 96}]
    await platform.store.put("op", "config", configuration(routes, services))
    servers = [
        _ServerInNeed(f"i-ledger-{number}", platform.store, record) for number in (1, 2)
    ]
    for server in servers:
        await server.start()
        await server.register()
    router = await platform.add_router()
    await router.wait_ready()
    began_at = record.now
    if TROUBLE:
        loop = asyncio.get_running_loop()
        for server in servers:
            loop.call_later(STALL_BEGINS_AFTER, server.begin_need)
    tasks = []
    while record.now < began_at + TRAFFIC_SECONDS:
        tasks.append(asyncio.create_task(client.send(router.port, "GET", "/read/1")))
        await asyncio.sleep(1.0 / REQUESTS_PER_SECOND)
    for answer in await asyncio.gather(*tasks):
        record.write(f"client: {answer.attempt} got {answer.status}")
    most = max(server.count_late() for server in servers)
    record.write(
        f"BUDGET: a server got {most} requests from the router between half a second "
        f"after a 503 with Retry-After and the end of that time ({ALLOWED} are allowed)"
    )
    return most <= ALLOWED


if __name__ == "__main__":
    main(play, FOLDER)

"""A server of a plain service, within the process of the case.

`answer(request)` returns the bytes of a response, and may wait as long as the server
works on the request.
"""

import asyncio

from system_2_case import Record
from system_2_http1 import Message, read_message, respond
from system_2_store import Store


class PlainServer:
    """One server, its entry in the store, and the requests that reached it."""

    def __init__(self, name: str, service: str, store: Store, record: Record, answer):
        self.name, self.service = name, service
        self.arrivals: list[tuple[float, Message]] = []
        self._store, self._record, self._answer = store, record, answer
        self._open: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self.port = 0

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def register(self, **more):
        """Write the entry of this server."""
        entry = {
            "service": self.service,
            "address": f"127.0.0.1:{self.port}",
            "zone": "a",
            "version": "1",
            "slots": 6,
            "state": "ready",
            "cold-left-ms": 0,
            "seq-no": 1,
            "born": 1_800_000_000_000,
            **more,
        }
        await self._store.put("servers", self.name, entry)
        self._record.write(f"the store has {self.name}: {entry}")

    async def unregister(self):
        """Remove the entry of this server."""
        await self._store.put("servers", self.name, None)
        self._record.write(f"the store has no longer {self.name}")

    def end(self):
        """End the process of this server: nothing listens, connections are reset."""
        self._server.close()
        for writer in list(self._open):
            writer.transport.abort()
        self._record.write(f"{self.name} has ended")

    async def _serve(self, reader, writer):
        self._open.add(writer)
        try:
            while True:
                request = await read_message(reader)
                self.arrivals.append((self._record.now, request))
                attempt = request.headers.get("bulrushdrum-attempt-id", "?")
                self._record.write(
                    f"{self.name} gets {request.first_line} attempt {attempt}"
                )
                expected = request.headers.get("bulrushdrum-expect-instance")
                if expected not in (None, self.name):
                    writer.write(refusal(request, 421))
                else:
                    writer.write(await self._answer(request))
                await writer.drain()
        except (EOFError, OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._open.discard(writer)
            writer.close()


def success(request: Message, body: bytes = b"done", **headers) -> bytes:
    """Return a signed success."""
    return respond(200, _head(request, headers, stamped=True), body)


def refusal(request: Message, status: int = 503, **headers) -> bytes:
    """Return a refusal: the server did not run the request."""
    head = _head(request, headers, stamped=False)
    return respond(status, {**head, "Bulrushdrum-Not-Executed": "1"})


def _head(request, headers, stamped):
    attempt = request.headers.get("bulrushdrum-attempt-id", "")
    head = {"Bulrushdrum-Attempt-Id": attempt, "Keep-Alive": "timeout=10"}
    if stamped:
        head["Bulrushdrum-Server-Stamp"] = f"stamp.{attempt}"
    named = {name.replace("_", "-").title(): value for name, value in headers.items()}
    return {**head, **named}

"""A model server as a process of its own.

Its arguments are its id, the number of events of each stream, the seconds between two
of them, and `chunks` or `none`: without chunks a stream has no length either, and ends
with its connection. It writes its port to its output, holds all layers of a model of
ten, and resumes a stream after `Last-Event-Id`.
"""

import asyncio
import json
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent))

from system_2_http1 import encode, read_message, respond  # noqa: E402

LAYERS = {"from": 0, "target": 10, "version": 1}
# How long a request waits in the queue before the server begins to read it.
QUEUE_SECONDS = 0.1


class Engine:
    def __init__(self, name: str, count: int, seconds: float, has_chunks: bool):
        self._name, self._count, self._seconds = name, count, seconds
        self._has_chunks = has_chunks

    async def serve(self, reader, writer):
        try:
            while True:
                request = await read_message(reader)
                if request.target == "/report":
                    writer.write(self._report())
                elif request.target == "/order":
                    writer.write(respond(200, {"Content-Type": "application/json"}))
                elif request.headers.get("bulrushdrum-expect-instance") != self._name:
                    headers = {"Bulrushdrum-Not-Executed": 1}
                    writer.write(respond(421, headers))
                else:
                    await self._stream(request, writer)
                    if not self._has_chunks:
                        return
                await writer.drain()
        except (EOFError, OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def _report(self):
        state = {"stage": "colocated", "busy": False, "seq-no": 1, "layers": LAYERS}
        headers = {"Content-Type": "application/json"}
        return respond(200, headers, json.dumps(state).encode())

    async def _stream(self, request, writer):
        attempt = request.headers["bulrushdrum-attempt-id"]
        deadline_seconds = int(request.headers["bulrushdrum-deadline-ms"]) / 1000.0
        await asyncio.sleep(min(QUEUE_SECONDS, deadline_seconds))
        if deadline_seconds < QUEUE_SECONDS:
            # The deadline has passed while the request was in the queue.
            headers = {"Bulrushdrum-Attempt-Id": attempt, "Bulrushdrum-Not-Executed": 1}
            writer.write(respond(503, headers))
            return
        headers = {
            "Content-Type": "text/event-stream",
            "Bulrushdrum-Attempt-Id": attempt,
            "Bulrushdrum-Server-Stamp": f"{self._name}.{attempt}",
        }
        if self._has_chunks:
            headers["Transfer-Encoding"] = "chunked"
        else:
            headers["Connection"] = "close"
        writer.write(encode("HTTP/1.1 200 OK", headers))
        first = int(request.headers.get("last-event-id", 0)) + 1
        for number in range(first, self._count + 1):
            event = b"id: %d\ndata: t%d\n\n" % (number, number)
            if self._has_chunks:
                event = b"%x\r\n%s\r\n" % (len(event), event)
            writer.write(event)
            await writer.drain()
            await asyncio.sleep(self._seconds)
        if self._has_chunks:
            writer.write(b"0\r\n\r\n")


async def main(name, count, seconds, framing):
    engine = Engine(name, int(count), float(seconds), framing == "chunks")
    server = await asyncio.start_server(engine.serve, "127.0.0.1", 0)
    print(server.sockets[0].getsockname()[1], flush=True)
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main(*sys.argv[1:]))

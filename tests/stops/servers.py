"""The servers of a run: engines that stream events, and plain servers.

Started as a process by `tests.stops.run`, one for each data centre.
"""

from gevent import monkey

monkey.patch_all()

import json  # noqa: E402
import random  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402
from pathlib import Path  # noqa: E402

import gevent  # noqa: E402
from bench.standins.path_server import read_request  # noqa: E402
from gevent import socket  # noqa: E402
from gevent.fileobject import FileObject  # noqa: E402
from gevent.server import StreamServer  # noqa: E402
from tests.stops.records import RecordWriter, ServerRecord  # noqa: E402

LOAD_SECONDS = 0.3
# An engine without memory sends no events for this long, and refuses requests. Callers
# wait for 2 s.
PAUSE_SECONDS = (0.2, 1.6)


def parse_length(request_id: str) -> int:
    """Return the number of events that a caller's request asks for, from its id."""
    return int(request_id[:4], 16)


class Server:
    """One engine or plain server; `row` is its registration."""

    def __init__(self, name, service, data_centre, options, records, draw):
        self._options, self._records, self._random = options, records, draw
        self._orders = 0
        self.is_leaving = False
        self._server = StreamServer(("127.0.0.1", 0), self._serve, backlog=512)
        self._server.start()
        self.name = name
        self.row = {
            "service": service,
            "address": f"127.0.0.1:{self._server.server_port}",
            "zone": data_centre,
            "slots": 96,
            "state": "ready",
            "seq-no": 1,
            "born": int(time.time() * 1000),
        }
        if service == "llm":
            self.row |= {"route-kind": options["kind"], "layers": None}
        self.pace = options["event_seconds"] * draw.uniform(1.0, options["spread"])
        self._paused_until = 0.0
        if service == "llm" and options["pauses"]:
            gevent.spawn(self._pause)

    def _pause(self):
        while True:
            gevent.sleep(self._random.expovariate(1.0 / self._options["pauses"]))
            seconds = self._random.uniform(*PAUSE_SECONDS)
            self._paused_until = time.monotonic() + seconds
            gevent.sleep(seconds)

    def _serve(self, sock, _address):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        stream = sock.makefile("rb")
        try:
            while (request := read_request(stream)) is not None:
                match request["target"]:
                    case "/order":
                        self._answer_order(sock, request)
                    case "/report":
                        self._send_json(sock, 200, self._report())
                    case _:
                        if not self._run(sock, request):
                            return
        except (OSError, ValueError):
            pass
        finally:
            stream.close()
            sock.close()

    def _report(self):
        return {
            "seq-no": self._orders,
            "busy": False,
            "layers": self.row.get("layers"),
            "stalled": [],
        }

    def _answer_order(self, sock, request):
        order = json.loads(request["body"])
        if order["expected"] != self._orders:
            self._send_json(sock, 409, {})
            return
        self._orders += 1
        self._send_json(sock, 202, {})
        layers = {"from": order["from"], "target": order["target"], "version": 1}
        gevent.spawn_later(LOAD_SECONDS, self._hold, layers)

    def _hold(self, layers):
        self.row["layers"] = layers
        publish(self)

    def _send_json(self, sock, status, value):
        body = json.dumps(value).encode()
        sock.sendall(
            b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s" % (status, len(body), body)
        )

    def _run(self, sock, request):
        """Answer a request; return whether the connection can be used again."""
        request_id = request["headers"]["bulrushdrum-attempt-id"]
        if time.monotonic() < self._paused_until:
            self._refuse(sock, request_id)
            return True
        began, sent, end = time.monotonic(), 0, "closed"
        try:
            if self.row["service"] == "llm":
                first = int(request["headers"].get("last-event-id", 0)) + 1
                framed = self._random.random() >= self._options["unframed"]
                for number in self._stream(sock, request_id, first, framed):
                    sent = number
            else:
                framed = True
                gevent.sleep(self._random.lognormvariate(-3.0, 0.5))
                sock.sendall(self._head(request_id, b"Content-Length: 4") + b"done")
            end = "complete"
        finally:
            now = time.monotonic()
            self._records.write(
                ServerRecord(request_id, self.name, began, now, sent, end)
            )
        return framed

    def _refuse(self, sock, request_id):
        lines = [
            b"HTTP/1.1 503 X",
            b"Bulrushdrum-Attempt-Id: " + request_id.encode(),
            b"Bulrushdrum-Not-Executed: 1",
            b"At-Server: " + self.row["address"].encode(),
            b"Content-Length: 0",
        ]
        sock.sendall(b"\r\n".join(lines) + b"\r\n\r\n")

    def _head(self, request_id, *lines):
        leaving = [b"Server-Leaving: 1"] if self.is_leaving else []
        lines = [
            b"HTTP/1.1 200 OK",
            b"Bulrushdrum-Attempt-Id: " + request_id.encode(),
            b"Bulrushdrum-Server-Stamp: s",
            b"Keep-Alive: timeout=8",
            *leaving,
            *lines,
        ]
        return b"\r\n".join(lines) + b"\r\n\r\n"

    def _stream(self, sock, request_id, first, framed):
        lines = [b"Content-Type: text/event-stream"]
        if framed:
            lines.append(b"Transfer-Encoding: chunked")
        self._wait(sock, self._random.uniform(0.05, 0.25))
        sock.sendall(self._head(request_id, *lines))
        for number in range(first, parse_length(request_id) + 1):
            event = b"id: %d\ndata: %s\n\n" % (number, b"t" * 50)
            if framed:
                event = b"%x\r\n%s\r\n" % (len(event), event)
            sock.sendall(event)
            yield number
            self._wait(sock, self.pace * self._random.uniform(0.7, 1.3))
            while (seconds := self._paused_until - time.monotonic()) > 0.0:
                self._wait(sock, seconds)
        if framed:
            sock.sendall(b"0\r\n\r\n")

    def _wait(self, sock, seconds):
        """Wait; raises `ConnectionError` once the router has closed the connection."""
        sock.settimeout(seconds)
        try:
            if not sock.recv(1):
                raise ConnectionResetError("closed by the router")
        except TimeoutError:
            pass
        finally:
            sock.settimeout(None)


def publish(server):
    """Hand a registration to the driver, which writes it to the store."""
    print(json.dumps({"name": server.name, "row": server.row}), flush=True)


def main():
    options = json.loads(sys.argv[1])
    draw = random.Random(options["seed"])
    records = RecordWriter(Path(options["records"]))
    centre = options["data_centre"]
    servers = {}
    for number in range(options["engines"]):
        name = f"e-{centre}-{number}"
        servers[name] = Server(name, "llm", centre, options, records, draw)
    name = f"p-{centre}"
    servers[name] = Server(name, "plain", centre, options, records, draw)
    for server in servers.values():
        publish(server)
    # The driver sends the name of a server and the state that it enters.
    for line in FileObject(sys.stdin.fileno(), "r"):
        command = json.loads(line)
        server = servers[command["name"]]
        server.is_leaving = command["state"] == "draining"
        server.row["state"] = command["state"]
        publish(server)


if __name__ == "__main__":
    main()

"""A server as a process of its own, for the scripts of this review.

`python3 server_3.py STORE ID SERVICE FRAMING PARTS GAP_MS [CRASH]` serves on a free
loopback port and registers itself in the store, with a heartbeat each 1.2 s. With the
service `llm` it is a model server that takes layers and answers with streams of events;
with `ledger` it is a plain service. An answer has `PARTS` parts, each written at once
and `GAP_MS` after the one before. With the framing `none` an answer has no length and
no chunks and ends with its connection; with `chunked` it has chunks. For each run it
prints a line with the request's id, and another one when it has written all parts. It
crashes when it begins to write an answer to a prompt with the part `CRASH`, if given,
or, as a plain service, when it has begun to run a request with `CRASH` in its path.
"""

from gevent import monkey

monkey.patch_all()

import base64  # noqa: E402
import http.client  # noqa: E402
import json  # noqa: E402
import os  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402

import gevent  # noqa: E402
from gevent.server import StreamServer  # noqa: E402

_HEARTBEAT_SECONDS = 1.2
LEDGER_PART = b'{"stall": 17, "paid": 1250, "month": "november"}\n'


class Server:
    def __init__(
        self, store, server_id, service, framing, parts, gap_ms, crash_part=""
    ):
        self._crash_part = crash_part
        self._store, self._id = store, server_id
        self._is_engine, self._is_chunked = service == "llm", framing == "chunked"
        self._parts, self._gap = int(parts), int(gap_ms) / 1000.0
        self._orders = 0
        self._server = StreamServer(("127.0.0.1", 0), self._serve)
        self._server.start()
        self._registration = {
            "service": service,
            "address": f"127.0.0.1:{self._server.server_port}",
            "zone": "a",
            "version": "v1",
            "slots": 96,
            "state": "ready",
            "cold-left-ms": 0,
            "seq-no": 0,
            "born": int(time.time() * 1000),
        }
        if self._is_engine:
            self._registration |= {"route-kind": "big", "layers": None}

    def run(self):
        while True:
            self._register()
            gevent.sleep(_HEARTBEAT_SECONDS)

    def _register(self):
        self._registration["seq-no"] += 1
        value = base64.b64encode(json.dumps(self._registration).encode()).decode()
        row = {"table": "servers", "part": "", "key": self._id, "value": value}
        body = json.dumps({"expected": [], "writes": [row], "remove": []})
        connection = http.client.HTTPConnection(self._store, timeout=2.0)
        try:
            headers = {"Content-Type": "application/json"}
            connection.request("POST", "/rows-tx", body, headers)
            connection.getresponse().read()
        except OSError:
            pass  # The next heartbeat repeats it.
        finally:
            connection.close()

    def _serve(self, sock, _address):
        stream = sock.makefile("rb")
        try:
            while (request := _read_request(stream)) is not None:
                if not self._answer(sock, *request):
                    return
        except OSError:
            pass  # The router has closed the connection.
        finally:
            stream.close()
            sock.close()

    def _answer(self, sock, target, headers, body):
        if headers.get("bulrushdrum-expect-instance", self._id) != self._id:
            sock.sendall(b"HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n")
            return True
        if target == "/order":
            order = json.loads(body)
            self._orders += 1
            first, end = order["from"], order["target"]
            layers = {"from": first, "target": end, "version": 1}
            self._registration["layers"] = layers
            sock.sendall(b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")
            self._register()
            return True
        if target == "/report":
            data = json.dumps(self._report()).encode()
            head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(data)
            sock.sendall(head + data)
            return True
        return self._run(sock, target, headers)

    def _crashes_on(self, target, headers):
        if not self._is_engine:
            return bool(self._crash_part) and self._crash_part in target
        parts = headers.get("bulrushdrum-prefix-hash", "").split(",")[:-1]
        names = [part.partition(":")[0] for part in parts]
        return bool(self._crash_part) and self._crash_part in names

    def _report(self):
        return {
            "stage": "colocated",
            "busy": False,
            "seq-no": self._orders,
            "queued": 0,
            "running": 0,
            "kv-used": 0,
            "kv-total": 10_000_000,
            "layers": self._registration.get("layers"),
            "born": self._registration["born"],
            "stalled": [],
        }

    def _run(self, sock, target, headers):
        first = int(headers.get("last-event-id", 0)) + 1
        request_id = headers["bulrushdrum-attempt-id"]
        now = time.monotonic()
        print(f"run {request_id} from part {first} at {now:.3f}", flush=True)
        if not self._is_engine and self._crashes_on(target, headers):
            gevent.sleep(self._gap)
            print(f"crash {request_id}", flush=True)
            os._exit(70)
        content_type = "text/event-stream" if self._is_engine else "application/json"
        lines = [
            "HTTP/1.1 200 OK",
            f"Bulrushdrum-Attempt-Id: {request_id}",
            f"Bulrushdrum-Server-Stamp: {self._id}.1",
            f"Content-Type: {content_type}",
            "Transfer-Encoding: chunked" if self._is_chunked else "Connection: close",
        ]
        sock.sendall("\r\n".join(lines).encode() + b"\r\n\r\n")
        for number in range(first, self._parts + 1):
            gevent.sleep(self._gap)
            if self._crashes_on(target, headers):
                print(f"crash {request_id}", flush=True)
                os._exit(70)
            part = LEDGER_PART
            if self._is_engine:
                part = b"id: %d\ndata: piece %d\n\n" % (number, number)
            if self._is_chunked:
                part = b"%x\r\n%s\r\n" % (len(part), part)
            sock.sendall(part)
        if self._is_chunked:
            sock.sendall(b"0\r\n\r\n")
        print(f"end {request_id}", flush=True)
        return self._is_chunked


def _read_request(stream):
    line = stream.readline()
    if not line:
        return None
    target, headers = line.split()[1].decode(), {}
    while (line := stream.readline().strip()) != b"":
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.lower()] = value.strip()
    body = stream.read(int(headers.get("content-length", 0)))
    return target, headers, body


if __name__ == "__main__":
    Server(*sys.argv[1:]).run()

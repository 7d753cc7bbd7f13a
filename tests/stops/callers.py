"""The callers of a run, one process for each data centre.

They come through a balancer: a new connection goes to a router that was ready at one of
its last two health checks, and a kept one is used until the router closes it.
"""

from gevent import monkey

monkey.patch_all()

import json  # noqa: E402
import math  # noqa: E402
import random  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402
from pathlib import Path  # noqa: E402

import gevent  # noqa: E402
import httptools  # noqa: E402
from gevent import socket  # noqa: E402
from tests.stops.records import CallerRecord, RecordWriter  # noqa: E402

_POLL_SECONDS = 1.0
_PATIENCE_SECONDS = 2.0
_DEADLINE_SECONDS = 20.0
_MAX_EVENTS = 158
_MISJUDGED_FACTOR = 8.0


class Balancer:
    """Knows which routers are in rotation: two failed health checks take one out."""

    def __init__(self, routers, draw):
        self._routers, self._random = routers, draw
        self._failures = dict.fromkeys(routers, 0)
        for name in routers:
            gevent.spawn(self._poll, name)

    def choose(self) -> str:
        in_rotation = [name for name, count in self._failures.items() if count < 2]
        return self._random.choice(in_rotation or list(self._routers))

    def _poll(self, name):
        gevent.sleep(self._random.uniform(0.0, _POLL_SECONDS))
        while True:
            ready = self._is_ready(self._routers[name]["ready"])
            self._failures[name] = 0 if ready else self._failures[name] + 1
            gevent.sleep(_POLL_SECONDS)

    def _is_ready(self, port):
        try:
            with socket.create_connection(("127.0.0.1", port), 0.5) as sock:
                sock.sendall(b"GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n")
                return sock.recv(100).startswith(b"HTTP/1.1 200")
        except OSError:
            return False


class _Response:
    """Receives one response."""

    def __init__(self):
        self.status, self.events, self.is_complete = 0, 0, False
        self.keep_alive, self.retry_after = False, 0.0
        self._parser = httptools.HttpResponseParser(self)

    def feed(self, data):
        self._parser.feed_data(data)

    def on_header(self, name, value):
        if name.lower() == b"retry-after":
            self.retry_after = float(value)

    def on_headers_complete(self):
        self.status = self._parser.get_status_code()
        self.keep_alive = self._parser.should_keep_alive()

    def on_body(self, body):
        self.events += body.count(b"\n\n")

    def on_message_complete(self):
        self.is_complete = True


class Callers:
    """Callers of one data centre: requests arrive at `rate` a second."""

    def __init__(self, options):
        self._options = options
        self._random = random.Random(options["seed"])
        self._records = RecordWriter(Path(options["records"]))
        self._balancer = Balancer(options["routers"], self._random)
        # Kept connections, each with its router and the time of its last use.
        self._idle = []
        self._number = 0

    def run(self):
        end = time.monotonic() + self._options["seconds"]
        while time.monotonic() < end:
            gevent.sleep(self._random.expovariate(self._options["rate"]))
            gevent.spawn(self._request)
        gevent.sleep(_PATIENCE_SECONDS)

    def _request(self):
        is_stream = self._random.random() < 0.9
        length = int(self._random.lognormvariate(math.log(40.0), 0.85))
        length = min(max(length, 1), _MAX_EVENTS)
        expected = max(length * math.exp(self._random.gauss(0.0, 0.5)) * 4.0, 1.0)
        if self._random.random() < self._options["misjudged"]:
            expected = max(expected / _MISJUDGED_FACTOR, 1.0)
        deadline = time.monotonic() + _DEADLINE_SECONDS
        for _ in range(3):
            retry_after = self._attempt(is_stream, length, expected, deadline)
            if retry_after is None or time.monotonic() + retry_after > deadline:
                return
            gevent.sleep(retry_after)

    def _attempt(self, is_stream, length, expected, deadline):
        """Send a request; return the time until its retry, or None at its end."""
        self._number += 1
        prefix = f"{length:04x}{self._options['name']}"
        request_id = f"{prefix}{self._number:08x}"
        began = time.monotonic()
        connection = self._connect()
        if connection is None:
            return 0.2
        router, sock = connection
        response, sent, end = _Response(), began, "closed"
        try:
            self._send(sock, request_id, is_stream, expected, deadline - began)
            sent = time.monotonic()
            while not response.is_complete:
                remaining = max(deadline - time.monotonic(), 0.01)
                sock.settimeout(min(remaining, _PATIENCE_SECONDS))
                data = sock.recv(65536)
                if not data:
                    break
                response.feed(data)
            else:
                end = "complete"
        except TimeoutError:
            end = "left"
        except OSError:
            end = "reset"
        closed = time.monotonic()
        self._records.write(
            CallerRecord(
                request_id,
                router,
                "stream" if is_stream else "plain",
                began,
                sent,
                closed,
                response.status,
                response.events,
                end,
            )
        )
        if end == "complete" and response.keep_alive:
            self._idle.append((router, sock, closed))
        else:
            sock.close()
        if end == "complete" and response.status == 200 or end == "left":
            return None
        return response.retry_after or 0.05

    def _connect(self):
        now = time.monotonic()
        while self._idle:
            router, sock, used = self._idle.pop(0)
            if now - used < self._options["idle_seconds"] and not _is_closed(sock):
                return router, sock
            sock.close()
        router = self._balancer.choose()
        try:
            port = self._options["routers"][router]["port"]
            sock = socket.create_connection(("127.0.0.1", port), 1.0)
        except OSError:
            return None
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return router, sock

    def _send(self, sock, request_id, is_stream, expected, seconds):
        body = b"x" * 600
        target = b"/a/x" if is_stream else b"/p/x"
        lines = [
            b"POST %s HTTP/1.1" % target,
            b"Host: h.example",
            b"Authorization: Token k1",
            b"Bulrushdrum-Attempt-Id: " + request_id.encode(),
            b"Bulrushdrum-Deadline-Ms: %d" % (seconds * 1000),
        ]
        if is_stream:
            lines += [
                b"Bulrushdrum-Token-Count: 700,%d" % (_MAX_EVENTS * 4),
                b"Bulrushdrum-Length-Hint: %d" % expected,
            ]
        if self._random.random() < 0.3:
            head = b"\r\n".join([*lines, b"Transfer-Encoding: chunked"]) + b"\r\n\r\n"
            sock.sendall(head + b"%x\r\n%s\r\n" % (len(body), body))
            if self._random.random() < 0.5:
                gevent.sleep(self._random.uniform(0.0, 0.05))
            sock.sendall(b"0\r\n\r\n")
        else:
            lines.append(b"Content-Length: %d" % len(body))
            sock.sendall(b"\r\n".join(lines) + b"\r\n\r\n" + body)


def _is_closed(sock):
    sock.settimeout(0.0)
    try:
        return not sock.recv(1)
    except BlockingIOError:
        return False
    except OSError:
        return True


if __name__ == "__main__":
    Callers(json.loads(sys.argv[1])).run()

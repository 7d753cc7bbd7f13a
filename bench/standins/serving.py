"""Shared parts of the platform stand-ins: serving, faults, rate limits, counters.

`POST /v1/faults` sets any of these fields, `GET /v1/stats` shows the counters:

- `down`: true responds 503 to every request; `"cut"` closes the connection before the
  request takes effect;
- `slow_seconds`: delay before a request takes effect;
- `slow_answer_seconds`: delay of the response, after the request took effect;
- `lose_answers`: the next n writes take effect and get no response;
- `write_rate`, `read_rate`: requests/s above which the response is 503.
"""

import argparse
import json
import socket
import sys
import time

import bottle
import gevent
from gevent import pywsgi

MAX_BODY_BYTES = 64 * 1024 * 1024
# Connections that wait to be accepted. gevent's default of 256 is less than the calls
# that some tests send at once, and the kernel drops the rest for a second.
_BACKLOG = 1024


class TokenBucket:
    """Allows `rate` requests/s, with bursts of up to 100 ms' worth of them."""

    def __init__(self, rate: float):
        self.rate = rate
        self._tokens = rate / 10
        self._filled = time.monotonic()

    def take(self) -> bool:
        now = time.monotonic()
        burst = max(1.0, self.rate / 10)
        self._tokens = min(burst, self._tokens + (now - self._filled) * self.rate)
        self._filled = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class Faults:
    """The injected faults and the counters of one stand-in."""

    def __init__(self, write_rate: float, read_rate: float):
        self.down = False
        self.slow_seconds = 0.0
        self.slow_answer_seconds = 0.0
        self.lose_answers = 0
        self._writes = TokenBucket(write_rate)
        self._reads = TokenBucket(read_rate)
        self.stats = {"reads": 0, "writes": 0, "refused": 0, "lost_answers": 0}

    def change(self, raw: dict):
        for name, value in raw.items():
            match name:
                case "down" | "slow_seconds" | "slow_answer_seconds" | "lose_answers":
                    setattr(self, name, value)
                case "write_rate":
                    self._writes = TokenBucket(value)
                case "read_rate":
                    self._reads = TokenBucket(value)
                case _:
                    bottle.abort(400, f"unknown fault {name!r}")

    def admit(self, writes: bool):
        """Count a request, and refuse or delay it as the faults require."""
        if self.down == "cut":
            self._refuse_by_closing()
        bucket = self._writes if writes else self._reads
        if self.down or not bucket.take():
            self.stats["refused"] += 1
            bottle.abort(503, "unavailable")
        self.stats["writes" if writes else "reads"] += 1
        if self.slow_seconds:
            gevent.sleep(self.slow_seconds)

    def finish(self, writes: bool):
        """Delay or drop the response to a request that took effect."""
        if self.slow_answer_seconds:
            gevent.sleep(self.slow_answer_seconds)
        if writes and self.lose_answers > 0:
            self.lose_answers -= 1
            self.stats["lost_answers"] += 1
            _close_connection()

    def _refuse_by_closing(self):
        self.stats["refused"] += 1
        _close_connection()
        bottle.abort(503, "closed")


def _close_connection():
    try:
        bottle.request.environ["bench.socket"].shutdown(socket.SHUT_RDWR)
    except OSError:
        pass  # the client has already disconnected


class _Handler(pywsgi.WSGIHandler):
    def get_environ(self):
        return {**super().get_environ(), "bench.socket": self.socket}


def json_body() -> dict:
    """Return the request's JSON object, or respond with status 400."""
    try:
        body = json.loads(bottle.request.body.read(MAX_BODY_BYTES))
    except ValueError as error:
        bottle.abort(400, f"not JSON: {error}")
    if not isinstance(body, dict):
        bottle.abort(400, "not a JSON object")
    return body


def _error_body(response):
    bottle.response.content_type = "application/json"
    return json.dumps({"error": str(response.body)})


def new_app(faults: Faults) -> bottle.Bottle:
    app = bottle.Bottle()
    app.default_error_handler = _error_body
    app.route("/v1/faults", "POST", lambda: faults.change(json_body()) or {})
    app.route("/v1/stats", "GET", lambda: faults.stats)
    return app


def start_server(app: bottle.Bottle, address: str) -> pywsgi.WSGIServer:
    host, _, port = address.rpartition(":")
    server = pywsgi.WSGIServer(
        (host, int(port)),
        app,
        backlog=_BACKLOG,
        handler_class=_Handler,
        log=None,
        error_log=sys.stderr,
    )
    server.start()
    # Accepted sockets inherit this option. pywsgi sends headers and body separately;
    # without the option, the body waits 40 ms for the client's delayed ACK.
    server.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return server


def parse_arguments(description: str, **extra) -> argparse.Namespace:
    """Parse `--address`, the rate limits and the flags in `extra` (name: default)."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--address", required=True, help="HOST:PORT")
    parser.add_argument("--write-rate", type=float, default=500.0, help="writes/s")
    parser.add_argument("--read-rate", type=float, default=2000.0, help="reads/s")
    for name, default in extra.items():
        flag = "--" + name.replace("_", "-")
        parser.add_argument(flag, type=type(default), default=default)
    return parser.parse_args()


def run(app: bottle.Bottle, address: str):
    start_server(app, address)
    print(f"listening on {address}", flush=True)
    gevent.get_hub().join()

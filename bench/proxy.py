"""Fault-injecting TCP proxy: many links (listen -> target) in one process.

Links and faults are configured at run time over HTTP:

- `POST /v1/links` `{"name", "target"}` -> `{"listen": "127.0.0.1:41234"}`
- `POST /v1/faults` `{"link", "faults": {...}}` replaces the faults of a link; the
  fields are those of `Faults`, and omitted fields have their defaults
- `GET /v1/links` -> `{name: {"listen", "target", "open", "accepted", "doubled",
  "swapped", "up", "down"}}`

"Up" is the direction from the dialling side to the target.
"""

if __name__ == "__main__":
    # Patched before bottle creates the thread-local that holds its request.
    from gevent import monkey

    monkey.patch_all()

import argparse
import json
import random
import re
import struct
import time
from typing import NamedTuple

import bottle
import gevent
from gevent import socket
from gevent.event import Event
from gevent.pywsgi import WSGIServer
from gevent.queue import Queue
from gevent.server import StreamServer

_CHUNK_BYTES = 65536
# Queue length per direction of a delayed link; a full queue blocks the reader.
_QUEUED_CHUNKS = 256
_REQUEST_LINE = re.compile(rb"([A-Z]+ /\S*) HTTP/1")
_FRAME_LENGTH = struct.Struct("!I")
# Frames of the handshake: hello and proof upwards, welcome downwards.
_HANDSHAKE_FRAMES = {"up": 2, "down": 1}


class Faults(NamedTuple):
    """Faults of a link; the defaults forward all bytes unchanged.

    `delay_up` and `delay_down` are seconds; `rate` is bytes per second in each
    direction, 0 for no limit. `drop` accepts connections and discards their bytes.
    `cut` resets open and new connections. `stall` is "up", "down" or "both": bytes in
    that direction stay in the sender's buffer, as on a link that is cut in one
    direction, and arrive late when the fault is cleared. `lose_answers` resets the
    connection when the response arrives to a request whose line starts with this text
    (such as "POST /v1"); "*" loses all responses. `double_frames` and `swap_frames` are
    the probabilities that a peering frame is duplicated or sent after the next one; the
    random numbers are seeded with `seed`.
    """

    delay_up: float = 0.0
    delay_down: float = 0.0
    rate: float = 0.0
    drop: bool = False
    cut: bool = False
    stall: str = ""
    lose_answers: str = ""
    double_frames: float = 0.0
    swap_frames: float = 0.0
    seed: int = 0

    @property
    def frames(self):
        return self.double_frames > 0 or self.swap_frames > 0


def parse_faults(raw: dict) -> Faults:
    """Validate faults from JSON; raises `ValueError` with the name of the field."""
    for name, value in raw.items():
        if name not in Faults._fields:
            raise ValueError(f"unknown fault {name!r}, known are {Faults._fields}")
        default = Faults._field_defaults[name]
        kinds = (int, float) if isinstance(default, float) else type(default)
        valid = isinstance(value, kinds)
        valid = valid and isinstance(value, bool) == isinstance(default, bool)
        if not valid or (isinstance(default, float) and value < 0):
            raise ValueError(
                f"{name}: invalid value {value!r}, the default is {default!r}"
            )
    faults = Faults(**raw)
    if faults.stall not in ("", "up", "down", "both"):
        raise ValueError(f"stall: {faults.stall!r} is not up, down or both")
    return faults


def _reset(sock):
    """Close a connection with a TCP reset instead of an orderly shutdown."""
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    except OSError:
        pass  # already closed
    sock.close()


class _FrameShuffler:
    """Duplicates and swaps complete peering frames of one direction."""

    def __init__(self, direction):
        self._handshake_frames_left = _HANDSHAKE_FRAMES[direction]
        self._buffer = b""
        self._delayed_frame = b""
        self.doubled = 0
        self.swapped = 0

    def feed(self, data, faults, rng):
        self._buffer += data
        frames = []
        while len(self._buffer) >= _FRAME_LENGTH.size:
            size = _FRAME_LENGTH.size + _FRAME_LENGTH.unpack_from(self._buffer)[0]
            if len(self._buffer) < size:
                break
            frame, self._buffer = self._buffer[:size], self._buffer[size:]
            if self._handshake_frames_left > 0:
                self._handshake_frames_left -= 1
                frames.append(frame)
                continue
            if self._delayed_frame:
                frames += [frame, self._delayed_frame]
                self._delayed_frame = b""
                self.swapped += 1
            elif rng.random() < faults.swap_frames:
                self._delayed_frame = frame
                continue
            else:
                frames.append(frame)
            if rng.random() < faults.double_frames:
                frames.append(frame)
                self.doubled += 1
        return b"".join(frames)


class _ProxiedConnection:
    """One connection through a link, with its sockets to the client and the target."""

    def __init__(self, link, client, target):
        self._link = link
        self._sockets = {"up": (client, target), "down": (target, client)}
        self._request = b""
        self._discarded = False
        # Frame boundaries are only known from the start of a connection.
        self._shufflers = (
            {"up": _FrameShuffler("up"), "down": _FrameShuffler("down")}
            if link.faults.frames
            else None
        )
        self._ended = Event()

    def run(self):
        pumps = [
            gevent.spawn(function, direction, queue)
            for direction in ("up", "down")
            for queue in (Queue(_QUEUED_CHUNKS),)
            for function in (self._read, self._write)
        ]
        waiter = gevent.spawn(gevent.joinall, pumps)
        gevent.wait([waiter, self._ended], count=1)
        gevent.killall([*pumps, waiter])
        self.reset()

    def reset(self):
        self._ended.set()
        for sock in self._sockets["up"]:
            _reset(sock)

    def apply_faults(self, faults):
        if faults.cut or (self._discarded and not faults.drop):
            self.reset()  # the stream is unusable once bytes were discarded

    def count_shuffled(self, counter):
        shufflers = (self._shufflers or {}).values()
        return sum(getattr(shuffler, counter) for shuffler in shufflers)

    def _read(self, direction, queue):
        source = self._sockets[direction][0]
        while True:
            self._link.wait_unstalled(direction)
            try:
                data = source.recv(_CHUNK_BYTES)
            except OSError:
                self._end_connection(direction)
                return
            faults = self._link.faults
            if faults.drop:
                self._discarded = True
                if not data:
                    return
                continue
            if data and direction == "up":
                match = _REQUEST_LINE.match(data)
                self._request = match[1] if match else self._request
            elif data and self._should_lose_answer(faults):
                self.reset()
                return
            if data and self._shufflers:
                data = self._shufflers[direction].feed(data, faults, self._link.rng)
                if not data:
                    continue
            delay = faults.delay_up if direction == "up" else faults.delay_down
            queue.put((time.monotonic() + delay, data))
            if not data:
                return

    def _should_lose_answer(self, faults):
        wanted = faults.lose_answers
        return wanted == "*" or (
            wanted != "" and self._request.startswith(wanted.encode())
        )

    def _write(self, direction, queue):
        sink = self._sockets[direction][1]
        while True:
            due, data = queue.get()
            gevent.sleep(max(0.0, due - time.monotonic()))
            self._link.wait_unstalled(direction)
            try:
                if not data:
                    sink.shutdown(socket.SHUT_WR)
                    return
                self._send(direction, sink, data)
            except OSError:
                self._end_connection(direction)
                return

    def _send(self, direction, sink, data):
        while data:
            rate = self._link.faults.rate
            # Sends at most 50 ms' worth of bytes at once, for an even rate.
            size = max(1, int(rate / 20)) if rate else len(data)
            piece, data = data[:size], data[size:]
            if rate:
                gevent.sleep(len(piece) / rate)
            sink.sendall(piece)
            self._link.count_bytes(direction, len(piece))

    def _end_connection(self, direction):
        """Propagate an error, once the opposite direction is no longer stalled."""
        self._link.wait_unstalled("down" if direction == "up" else "up")
        self._ended.set()


class Link:
    """A listen address whose connections are forwarded to a target."""

    def __init__(self, name: str, target: str):
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self.name = name
        self.faults = Faults()
        self.rng = random.Random(0)
        self._connections = set()
        self._faults_changed = Event()
        self._accepted = 0
        self._bytes = {"up": 0, "down": 0}
        self._server = StreamServer(("127.0.0.1", 0), self._accept)
        self._server.start()

    @property
    def listen(self) -> str:
        return f"127.0.0.1:{self._server.server_port}"

    def state(self) -> dict:
        return {
            "listen": self.listen,
            "target": f"{self._target[0]}:{self._target[1]}",
            "open": len(self._connections),
            "accepted": self._accepted,
            "doubled": self._count_shuffled("doubled"),
            "swapped": self._count_shuffled("swapped"),
            **self._bytes,
        }

    def _count_shuffled(self, counter):
        """Return how many frames of open connections were doubled or swapped."""
        return sum(
            connection.count_shuffled(counter) for connection in self._connections
        )

    def set_faults(self, faults: Faults):
        self.faults = faults
        self.rng = random.Random(faults.seed)
        for connection in list(self._connections):
            connection.apply_faults(faults)
        previous, self._faults_changed = self._faults_changed, Event()
        previous.set()

    def wait_unstalled(self, direction):
        while self.faults.stall in (direction, "both"):
            self._faults_changed.wait()

    def count_bytes(self, direction, size):
        self._bytes[direction] += size

    def _accept(self, client, _address):
        self._accepted += 1
        if self.faults.cut:
            _reset(client)
            return
        if self.faults.drop:
            self._discard_input(client)
            return
        try:
            target = socket.create_connection(self._target, timeout=5)
        except OSError:
            _reset(client)
            return
        for sock in (client, target):
            sock.settimeout(None)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = _ProxiedConnection(self, client, target)
        self._connections.add(connection)
        try:
            connection.run()
        finally:
            self._connections.discard(connection)

    def _discard_input(self, client):
        while self.faults.drop:
            with gevent.Timeout(0.1, False):
                try:
                    if not client.recv(_CHUNK_BYTES):
                        break
                except OSError:
                    break
        _reset(client)


def build_app(links: dict[str, Link]) -> bottle.Bottle:
    """Return the control application for `links`."""
    app = bottle.Bottle()

    def refuse(error):
        return bottle.HTTPResponse(json.dumps({"error": str(error)}), 400)

    @app.post("/v1/links")
    def add_link():
        try:
            raw = bottle.request.json
            if raw["name"] in links:
                raise ValueError(f"link {raw['name']!r} already exists")
            links[raw["name"]] = Link(raw["name"], raw["target"])
        except (ValueError, KeyError, TypeError) as error:
            return refuse(error)
        return {"listen": links[raw["name"]].listen}

    @app.post("/v1/faults")
    def set_faults():
        try:
            raw = bottle.request.json
            links[raw["link"]].set_faults(parse_faults(raw["faults"]))
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            return refuse(error)
        return {}

    @app.get("/v1/links")
    def show_links():
        return {name: link.state() for name, link in links.items()}

    return app


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--control", required=True, metavar="HOST:PORT")
    host, _, port = parser.parse_args().control.rpartition(":")
    WSGIServer((host, int(port)), build_app({}), log=None).serve_forever()


if __name__ == "__main__":
    main()

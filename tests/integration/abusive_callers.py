"""Callers that exceed the limits of a router; run as a process of its own.

`python -m tests.integration.abusive_callers PORT SORT SECONDS [CONNECTIONS [BYTES]]`
opens connections that send one of the `SORTS` and never read. Each connection sends at
most the bytes of its sort, stays open, and all end after `SECONDS`. The sort `mixed`
takes all others at once, each with the stated number of connections.
"""

import os
import sys
from typing import NamedTuple

import gevent
from gevent import socket

_HEAD = b"POST /a/b/x HTTP/1.1\r\nHost: h.example\r\n"
_CHUNKED = _HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
_BLOCK = b"a" * 65_536
# Just under the largest body that the tests' configuration allows.
_BODY_BYTES = 4_194_303


class Sort(NamedTuple):
    """What one connection sends: a start, and a unit again and again, up to `size`.

    `connections` is how many there are by default.
    """

    connections: int
    start: bytes
    unit: bytes
    size: int


def _chunks(size):
    return b"%x\r\n%s\r\n" % (size, b"a" * size)


def _body(connections, chunk_size):
    unit = _chunks(chunk_size)
    repeated = max(65_536 // len(unit), 1)
    chunks = _BODY_BYTES // chunk_size
    return Sort(connections, _CHUNKED, unit * repeated, chunks * len(unit))


SORTS = {
    "head over the limit": Sort(60, _HEAD, b"X-1: " + b"a" * 1000 + b"\r\n", 1_000_000),
    "header line without end": Sort(100, _HEAD + b"X-1: ", _BLOCK, 2_500_000),
    "header name without end": Sort(100, _HEAD, _BLOCK, 2_500_000),
    "target without end": Sort(100, b"GET /", _BLOCK, 2_500_000),
    "small header fields": Sort(800, _HEAD, b"a:b\r\n" * 100, 13_000),
    "empty lines": Sort(4, b"", b"\r\n" * 32_768, 1_000_000_000),
    "chunks of 1 byte": _body(6, 1),
    "chunks of 2 bytes": _body(6, 2),
    "large chunks": _body(60, 65_536),
    "chunk size without end": Sort(20, _CHUNKED, b"0" * 65_536, 10_000_000),
    "chunk extension without end": Sort(20, _CHUNKED + b"1;x=", _BLOCK, 10_000_000),
    "trailers without end": Sort(60, _CHUNKED + b"0\r\n", b"a:b\r\n" * 100, 1_000_000),
    "trailer line without end": Sort(100, _CHUNKED + b"0\r\na:", _BLOCK, 2_500_000),
    "announced body one byte short": Sort(
        60,
        _HEAD + b"Content-Length: %d\r\n\r\n" % (_BODY_BYTES + 1),
        _BLOCK,
        _BODY_BYTES,
    ),
    "announced body over the limit": Sort(
        120, _HEAD + b"Content-Length: 10000000000\r\n\r\n", _BLOCK, 20_000_000
    ),
    "sent body over the limit": Sort(120, _CHUNKED, _chunks(65_536), 20_000_000),
    "pipelined requests": Sort(
        100, b"", b"GET / HTTP/1.1\r\nHost: h\r\n\r\n" * 2000, 4_000_000
    ),
    "answers never read": Sort(
        100, b"", b"GET /state HTTP/1.1\r\nHost: h\r\n\r\n" * 2000, 4_000_000
    ),
    "idle connections": Sort(700, b"", b"", 0),
    "stream never read": Sort(
        20,
        _HEAD.replace(b"/a/b/x", b"/a/x")
        + b"Authorization: Token k1\r\nBulrushdrum-Attempt-Id: r1\r\n"
        b"Bulrushdrum-Token-Count: 100,20\r\nContent-Length: 0\r\n\r\n",
        b"",
        0,
    ),
}


def _send(port, sort):
    try:
        with socket.create_connection(("127.0.0.1", port)) as sock:
            sock.sendall(sort.start)
            sent = 0
            while sent + len(sort.unit) <= sort.size and sort.unit:
                sock.sendall(sort.unit)
                sent += len(sort.unit)
            rest = sort.size - sent
            if rest:
                sock.sendall(sort.unit[:rest])
            gevent.sleep(60)
    except OSError:
        # The router has refused the request or closed the connection.
        pass


def main(port, name, seconds, connections=None, size=None):
    sorts = [SORTS[name]] if name != "mixed" else list(SORTS.values())
    tasks = []
    for sort in sorts:
        if size is not None:
            sort = sort._replace(size=int(size))
        count = int(connections) if connections else sort.connections
        tasks += [gevent.spawn(_send, int(port), sort) for _ in range(count)]
    gevent.joinall(tasks, timeout=float(seconds))
    # Closing each connection in turn is not needed.
    os._exit(0)


if __name__ == "__main__":
    main(*sys.argv[1:])

"""Stand-in for a server of the platform: an engine on a path, or a plain service.

It implements the platform's published request protocol. A script decides how it
handles each request: respond, stay silent, abort the response, refuse, or send invalid
bytes. All requests are recorded.
"""

import itertools
import json
import struct

import gevent
from gevent import socket
from gevent.server import StreamServer

_CRLF = b"\r\n"
# Step that resets the connection instead of closing it.
RESET = object()


class PathServer:
    """One server on a loopback port; `script(request)` decides how it responds.

    A script returns a list of steps: bytes are sent, numbers are seconds to wait,
    `None` closes the connection, and `RESET` resets it. Requests are dictionaries with
    `method`, `target`, `headers` (lower-case names), `body`, and the number of their
    `connection`. `closed_early` counts the connections that the client closed during a
    response.
    """

    def __init__(self, upstream_id: str, script, port: int = 0):
        self.id = upstream_id
        self.script = script
        self.requests: list[dict] = []
        self.closed_early = 0
        self._connections = itertools.count()
        self._open_connections = 0
        self._server = StreamServer(("127.0.0.1", port), self._serve)
        self._server.start()

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self._server.server_port}"

    def stop(self):
        self._server.stop(timeout=0.1)

    def wait_connections_end(self, seconds: float = 10.0):
        """Wait until all connections have ended and all that they sent has been read.

        For a client that has ended: `requests` then holds all that it sent. Raises
        `gevent.Timeout` after `seconds`.
        """
        with gevent.Timeout(seconds):
            # Connections are accepted in order, so all others have been accepted when
            # this one is.
            with socket.create_connection(("127.0.0.1", self._server.server_port)) as s:
                s.shutdown(socket.SHUT_WR)
                s.recv(1)
            while self._open_connections:
                gevent.sleep(0.005)

    def _serve(self, sock, _address):
        stream, number = sock.makefile("rb"), next(self._connections)
        self._open_connections += 1
        try:
            while (request := read_request(stream)) is not None:
                request["connection"] = number
                self.requests.append(request)
                for step in self.script(request):
                    if step is RESET:
                        _reset_when_closed(sock)
                    if step is None or step is RESET:
                        return
                    if isinstance(step, bytes):
                        sock.sendall(step)
                    elif _closes_within(sock, step):
                        self.closed_early += 1
                        return
        except OSError:
            self.closed_early += 1
        finally:
            self._open_connections -= 1
            stream.close()
            sock.close()


def _reset_when_closed(sock):
    linger = struct.pack("ii", 1, 0)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


def _closes_within(sock, seconds):
    sock.settimeout(seconds)
    try:
        return not sock.recv(1)
    except TimeoutError:
        return False
    finally:
        sock.settimeout(None)


def read_request(stream):
    line = stream.readline()
    if not line:
        return None
    method, target, _ = line.decode().split(" ", 2)
    headers = {}
    while (line := stream.readline().strip()) != b"":
        name, _, value = line.decode().partition(":")
        headers[name.lower()] = value.strip()
    body = stream.read(int(headers.get("content-length", 0)))
    return {"method": method, "target": target, "headers": headers, "body": body}


def head(request, status=200, *extra, signed=True, length=None):
    """Return the status line and the headers of a response to `request`."""
    lines = [
        f"HTTP/1.1 {status} X",
        f"Bulrushdrum-Attempt-Id: {request['headers']['bulrushdrum-attempt-id']}",
        *extra,
    ]
    if signed:
        lines.append("Bulrushdrum-Server-Stamp: stamp")
    if length is None:
        lines.append("Transfer-Encoding: chunked")
    else:
        lines.append(f"Content-Length: {length}")
    return "\r\n".join(lines).encode() + 2 * _CRLF


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


def event(number: int) -> bytes:
    return chunk(b"id: %d\ndata: t%d\n\n" % (number, number))


END = b"0\r\n\r\n"


def complete_response(request, body=b"done", status=200):
    """Return the steps of a complete response with `body`."""
    return [head(request, status, length=len(body)) + body]


def not_executed(request, status=503, at_server=None):
    """Return the steps of a refusal, marked as not executed."""
    extra = ["Bulrushdrum-Not-Executed: 1"]
    if at_server:
        extra.append(f"At-Server: {at_server}")
    return [head(request, status, *extra, signed=False, length=0)]


def stream(request, first=1, last=5, gap=0.0):
    """Return the steps of a complete stream of the events `first` to `last`."""
    steps = [head(request, 200, "Content-Type: text/event-stream")]
    for number in range(first, last + 1):
        steps += [gap, event(number)] if gap else [event(number)]
    return [*steps, END]


def resumed(request, last=5):
    """Return the steps of a stream that resumes after the caller's last event."""
    return stream(request, int(request["headers"].get("last-event-id", 0)) + 1, last)


def report(stalled=(), orders=0):
    """Return the steps of an engine's response to a report request."""
    body = json.dumps(
        {"seq-no": orders, "stalled": [{"id": "r", "address": a} for a in stalled]}
    ).encode()
    return [b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)]


def let_others_run():
    gevent.sleep(0.01)

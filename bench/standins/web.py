"""Shared parts of the upstream stand-ins: dropped responses and the journal file."""

import json
import socket

import bottle
import gevent

from bench.standins.serving import start_server


def close_connection():
    """Close the connection of the current request, so that its response is lost."""
    try:
        bottle.request.environ["bench.socket"].shutdown(socket.SHUT_RDWR)
    except OSError:
        pass  # the caller has already disconnected


def serve(app: bottle.Bottle, address: str):
    """Serve `app` until the process ends."""
    start_server(app, address)
    gevent.get_hub().join()


class JournalFile:
    """Appends JSON lines to the file at `path`, so that they survive a crash.

    Does nothing if `path` is empty.
    """

    def __init__(self, path: str = ""):
        self._file = open(path, "a", encoding="utf-8") if path else None

    def append(self, lines):
        if self._file is not None:
            self._file.write("".join(json.dumps(line) + "\n" for line in lines))
            self._file.flush()

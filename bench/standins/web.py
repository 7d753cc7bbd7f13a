"""What the stand-ins share: an HTTP server whose answers can be lost, and a journal."""

import json

from gevent.pywsgi import WSGIHandler, WSGIServer

from bulrushdrum._internal.peering.connections import parse_address


class _Handler(WSGIHandler):
    def get_environ(self):
        return {**super().get_environ(), "standin.connection": self.socket}

    def handle_error(self, kind, value, trace):
        # A connection dropped on purpose is not worth a traceback.
        if not isinstance(value, OSError):
            super().handle_error(kind, value, trace)


def drop_connection(environ):
    """Close the caller's connection without an answer."""
    try:
        environ["standin.connection"].shutdown(2)
    except OSError:
        pass  # the caller went first


def serve(app, address: str):
    """Serve the WSGI `app` until the process ends."""
    server = WSGIServer(parse_address(address), app, handler_class=_Handler, log=None)
    server.serve_forever()


class JournalFile:
    """Appends JSON lines to the file at `path`, so that they outlive a crash.

    Does nothing if `path` is empty.
    """

    def __init__(self, path: str = ""):
        self._file = open(path, "a", encoding="utf-8") if path else None

    def append(self, lines):
        if self._file is not None:
            self._file.write("".join(json.dumps(line) + "\n" for line in lines))
            self._file.flush()

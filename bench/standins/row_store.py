"""Stand-in for the platform's metadata store: rows, transactions and a feed.

It implements the published calls `rows-get`, `rows-feed` and `rows-tx` over HTTP. It
can simulate an outage (`is_down`), the loss of its history (`forget_history`), and its
restoration from a copy (`copy` and `restore`).
"""

import base64
import json
from urllib.parse import parse_qs, urlsplit

from gevent.event import Event
from gevent.pywsgi import WSGIServer


class RowStore:
    """Tables of rows with an empty part, served on a loopback port."""

    def __init__(self):
        self.is_down = False
        self._version = 0
        self._rows: dict[tuple[str, str], dict] = {}
        self._oldest = 0
        self._era = 1
        self._changed = Event()
        self._server = WSGIServer(("127.0.0.1", 0), self._handle, log=None)
        self._server.start()

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self._server.server_port}"

    def put(self, table: str, key: str, value):
        """Write a row, as an operator or a server would; `None` removes it."""
        self._version += 1
        row = {"table": table, "part": "", "key": key, "schema-version": self._version}
        if value is None:
            row["deleted"] = True
        else:
            row["value"] = base64.b64encode(json.dumps(value).encode()).decode()
        self._rows[table, key] = row
        self._changed.set()
        self._changed.clear()

    def keys(self, table: str) -> list[str]:
        return [row["key"] for row in self._live_rows(table)]

    def forget_history(self):
        """Make feeds fail that start before the current version."""
        self._oldest = self._version

    def copy(self):
        """Return a copy for `restore`."""
        return self._version, dict(self._rows)

    def restore(self, copy):
        """Go back to a copy, as after the loss of the store; a new era begins."""
        self._version, rows = copy
        self._rows, self._oldest = dict(rows), 0
        self._era += 1
        self._changed.set()
        self._changed.clear()

    def stop(self):
        self._server.stop(timeout=0.1)

    def _live_rows(self, table):
        rows = [row for (name, _), row in self._rows.items() if name == table]
        return sorted(
            (row for row in rows if "deleted" not in row), key=lambda row: row["key"]
        )

    def _handle(self, environ, start_response):
        if self.is_down:
            return self._send(start_response, "503 Service Unavailable", {})
        url = urlsplit(environ["PATH_INFO"] + "?" + environ["QUERY_STRING"])
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        match url.path:
            case "/rows-get":
                return self._send_rows(start_response, self._live_rows(query["table"]))
            case "/rows-feed":
                return self._feed(start_response, query)
            case "/rows-tx":
                return self._transact(start_response, json.load(environ["wsgi.input"]))
        return self._send(start_response, "404 Not Found", {})

    def _feed(self, start_response, query):
        after, table = int(query["after"]), query["table"]
        if not self._oldest <= after <= self._version:
            return self._send(start_response, "410 Gone", {})
        rows = self._changes(table, after)
        if not rows:
            self._changed.wait(float(query["wait-ms"]) / 1000.0)
            if after > self._version:
                return self._send(start_response, "410 Gone", {})
            rows = self._changes(table, after)
        return self._send_rows(start_response, rows)

    def _changes(self, table, after):
        rows = [
            row
            for (name, _), row in self._rows.items()
            if name == table and row["schema-version"] > after
        ]
        return sorted(rows, key=lambda row: row["schema-version"])

    def _transact(self, start_response, body):
        for row in body["expected"]:
            known = self._rows.get((row["table"], row["key"]), {"schema-version": 0})
            if known["schema-version"] != row["schema-version"]:
                return self._send(
                    start_response, "412 Precondition Failed", {"rows": [known]}
                )
        for row in body["writes"]:
            value = json.loads(base64.b64decode(row["value"]))
            self.put(row["table"], row["key"], value)
        for row in body["remove"]:
            self.put(row["table"], row["key"], None)
        return self._send(start_response, "200 OK", {"schema-version": self._version})

    def _send_rows(self, start_response, rows):
        body = {"rows": rows, "has-more": False, "schema-version": self._version}
        return self._send(start_response, "200 OK", body)

    def _send(self, start_response, status, body):
        data = json.dumps(body).encode()
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(data))),
            ("Store-Era", str(self._era)),
        ]
        start_response(status, headers)
        return [data]

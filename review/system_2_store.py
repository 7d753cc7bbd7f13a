"""The platform's store of rows: tables, transactions, and a feed of the last changes.

The feed has each change in order, as PROTOCOL.md says; a row that changed twice comes
twice. Each router reaches the store through a `StoreLink`, which can be cut. The store
can be away, and come back from a copy.
"""

import asyncio
import base64
import json
from urllib.parse import parse_qs, urlsplit

from system_2_http1 import read_message, respond


class Store:
    """The rows, and the server that answers calls about them."""

    def __init__(self):
        self.version = 0
        self.is_away = False
        self._era = 1
        self._log: list[dict] = []
        self._rows: dict[tuple[str, str], dict] = {}
        self._changed = asyncio.Condition()
        self._server: asyncio.Server | None = None
        self.port = 0

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def put(self, table: str, key: str, value):
        """Write a row, or remove it if `value` is None."""
        self.version += 1
        row = {"table": table, "part": "", "key": key, "schema-version": self.version}
        if value is None:
            row["deleted"] = True
            self._rows.pop((table, key), None)
        else:
            row["value"] = base64.b64encode(json.dumps(value).encode()).decode()
            self._rows[table, key] = row
        self._log.append(row)
        async with self._changed:
            self._changed.notify_all()

    def copy(self):
        """Return what `restore` goes back to."""
        return self.version, dict(self._rows), list(self._log)

    def restore(self, copy):
        """Come back from a copy; what was written since is gone."""
        self.version, rows, log = copy
        self._rows, self._log = dict(rows), list(log)
        self._era += 1

    async def _serve(self, reader, writer):
        try:
            while True:
                message = await read_message(reader)
                status, body = await self._answer(message)
                data = json.dumps(body).encode()
                headers = {"Content-Type": "application/json", "Store-Era": self._era}
                writer.write(respond(status, headers, data))
                await writer.drain()
        except (EOFError, OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, message):
        if self.is_away:
            return 503, {}
        url = urlsplit(message.target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        match url.path:
            case "/rows-get":
                return 200, self._state(self._live(query))
            case "/rows-feed":
                if int(query["after"]) > self.version:
                    return 410, {}
                return 200, self._state(await self._feed(query))
            case "/rows-tx":
                return 200, await self._transact(json.loads(message.body))
        return 404, {}

    def _state(self, rows):
        return {"rows": rows, "has-more": False, "schema-version": self.version}

    def _live(self, query):
        rows = [row for (name, _), row in self._rows.items() if name == query["table"]]
        return sorted(rows, key=lambda row: row["key"])

    async def _feed(self, query):
        after, table = int(query["after"]), query["table"]

        def changes():
            return [
                row
                for row in self._log
                if row["table"] == table and row["schema-version"] > after
            ]

        try:
            async with asyncio.timeout(float(query["wait-ms"]) / 1000.0):
                async with self._changed:
                    await self._changed.wait_for(changes)
        except TimeoutError:
            pass
        return changes()

    async def _transact(self, body):
        for row in body.get("writes", ()):
            value = json.loads(base64.b64decode(row["value"]))
            await self.put(row["table"], row["key"], value)
        for row in body.get("remove", ()):
            await self.put(row["table"], row["key"], None)
        return {"schema-version": self.version}


class StoreLink:
    """The link between one router and the store; while cut it passes nothing on."""

    def __init__(self, store: Store):
        self._store = store
        self._is_cut = False
        self._open: set[asyncio.StreamWriter] = set()
        self.port = 0

    async def start(self):
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self._server = server
        self.port = server.sockets[0].getsockname()[1]

    def cut(self):
        """Lose what either side sends from now on."""
        self._is_cut = True

    def heal(self):
        """Pass on new connections; what was lost is not repeated, so old ones end."""
        self._is_cut = False
        for writer in list(self._open):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._open.add(writer)
        try:
            other_reader, other_writer = await asyncio.open_connection(
                "127.0.0.1", self._store.port
            )
            self._open.add(other_writer)
            try:
                await asyncio.gather(
                    self._pass(reader, other_writer), self._pass(other_reader, writer)
                )
            finally:
                self._open.discard(other_writer)
                other_writer.close()
        except OSError:
            pass
        finally:
            self._open.discard(writer)
            writer.close()

    async def _pass(self, reader, writer):
        while data := await reader.read(65536):
            if not self._is_cut:
                writer.write(data)
                await writer.drain()
        if not self._is_cut:
            writer.close()

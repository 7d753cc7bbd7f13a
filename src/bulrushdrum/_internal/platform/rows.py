"""Client for the rows of the platform's metadata store.

>>> rows = RowStore("127.0.0.1:21000", timeout=2.0)  # doctest: +SKIP
>>> rows.read_table("op").rows  # doctest: +SKIP
[StoredRow(key='config', value=b'...', version=3)]
"""

import base64
import json
from typing import NamedTuple
from urllib.parse import urlencode

from bulrushdrum._internal.decoding import DECODING_ERRORS
from bulrushdrum._internal.platform.errors import (
    HistoryLost,
    StoreUnavailable,
    WriteConflict,
    WriteOutcomeUnknown,
)
from bulrushdrum._internal.platform.service import PlatformService

# Tables written by the operator and the servers, and the key of the configuration row.
CONFIGURATION_TABLE = "op"
CONFIGURATION_KEY = "config"
REGISTRATIONS_TABLE = "servers"

_ERA_HEADER = "Store-Era"
_JSON_HEADERS = {"Content-Type": "application/json"}
_ROWS_PER_PAGE = 500


class StoredRow(NamedTuple):
    """A row of a table; `value` is None if the row was removed."""

    key: str
    value: bytes | None
    version: int


class TableState(NamedTuple):
    """Rows of a table and the version of the store at which they were read.

    `era` counts how often the store was restored from a copy; versions of different
    eras cannot be compared. It is None if the store does not tell.
    """

    rows: list[StoredRow]
    version: int
    era: int | None = None


def _decode_row(raw):
    value = None
    if not raw.get("deleted"):
        try:
            value = base64.b64decode(raw["value"], validate=True)
        except DECODING_ERRORS:
            # Another writer may have stored a value that is not valid base64. The row
            # is kept with an empty value, so that decoding the value reports the error.
            value = b""
    return StoredRow(raw["key"], value, int(raw["schema-version"]))


class RowStore:
    """Client for the store; `timeout` bounds each call, in seconds.

    `feed_wait` is how many seconds the store may wait for changes before it responds.
    """

    def __init__(self, address: str, timeout: float, feed_wait: float = 1.0):
        self._service = PlatformService("store", address, timeout)
        self._feed_service = PlatformService("store", address, feed_wait + timeout)
        self._feed_wait = feed_wait
        self._timeout = timeout

    def read_table(self, table: str, part: str = "") -> TableState:
        """Return all rows of one part; raises `StoreUnavailable` or `HistoryLost`.

        The version is that of the first page, so that the changes after it include
        all rows that were written while later pages were read.
        """
        rows, first, start = [], None, ""
        while True:
            query = {"table": table, "part": part, "limit": _ROWS_PER_PAGE}
            if start:
                query["from"] = start
            page, raw = self._read_rows(self._service, "/rows-get", query)
            if first is None:
                first = page
            if page.era != first.era:
                raise HistoryLost(f"the store was restored while {table!r} was read")
            rows += page.rows
            if not raw.get("has-more") or not page.rows:
                return first._replace(rows=rows)
            start = page.rows[-1].key + "\x00"

    def read_changes(
        self, table: str, after: int, shorten_wait: float = 0.0
    ) -> TableState:
        """Wait for rows that changed after a version; the result may be empty.

        The wait is `shorten_wait` seconds shorter than usual, or 0. Raises
        `StoreUnavailable`, or `HistoryLost` if the store dropped the changes.
        """
        wait = max(self._feed_wait - shorten_wait, 0.0)
        query = {"table": table, "after": after, "wait-ms": int(wait * 1000)}
        state, _ = self._read_rows(
            self._feed_service, "/rows-feed", query, wait + self._timeout
        )
        return state

    def write(self, table: str, key: str, value: bytes | None, expected=None):
        """Write one row of the empty part, or remove it if `value` is None.

        With `expected`, the row must have this version. Raises `WriteConflict`,
        `StoreUnavailable` or `WriteOutcomeUnknown`.
        """
        name = {"table": table, "part": "", "key": key}
        body = {"expected": [], "writes": [], "remove": []}
        if expected is not None:
            body["expected"] = [{**name, "schema-version": expected}]
        if value is None:
            body["remove"] = [name]
        else:
            encoded = base64.b64encode(value).decode()
            body["writes"] = [{**name, "value": encoded}]
        response = self._service.write(
            "POST", "/rows-tx", json.dumps(body).encode(), (200, 412), _JSON_HEADERS
        )
        raw = self._service.decode_json(response, WriteOutcomeUnknown)
        if response.status == 412:
            raise WriteConflict([_decode_row(row) for row in raw.get("rows", ())])

    def _read_rows(self, service, path, query, timeout=None):
        response = service.read(
            f"{path}?{urlencode(query)}", (200, 410), timeout_seconds=timeout
        )
        if response.status == 410:
            raise HistoryLost(f"the store dropped changes of table {query['table']!r}")
        raw = service.decode_json(response, StoreUnavailable)
        try:
            rows = [_decode_row(row) for row in raw["rows"]]
            version, era = int(raw["schema-version"]), response.headers.get(_ERA_HEADER)
            return TableState(rows, version, None if era is None else int(era)), raw
        except DECODING_ERRORS as error:
            raise StoreUnavailable(f"store: malformed rows: {error!r}") from error

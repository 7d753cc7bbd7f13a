"""Client for the platform's transactional table.

>>> table = Table("127.0.0.1:21000", timeout=2.0)  # doctest: +SKIP
>>> table.transact([Condition("a", 0)], [Write("a", {"n": 1})])  # doctest: +SKIP
[1]
"""

import json
from typing import Any, NamedTuple
from urllib.parse import quote, urlencode

from bulrushdrum._internal.decoding import DECODING_ERRORS
from bulrushdrum._internal.platform.errors import (
    StoreUnavailable,
    WriteConflict,
    WriteOutcomeUnknown,
)
from bulrushdrum._internal.platform.service import PlatformService

_JSON_HEADERS = {"Content-Type": "application/json"}


class Row(NamedTuple):
    """A row; its version starts at 1 and increases by 1 with each write."""

    key: str
    value: Any
    version: int


class Condition(NamedTuple):
    """Requires that a row has this version; 0 means that the row is absent."""

    key: str
    version: int


class Write(NamedTuple):
    """A new value for a row; `None` deletes the row."""

    key: str
    value: Any


def _decode_row(raw):
    return Row(raw["key"], raw["value"], raw["version"])


class Table:
    """Client for the table service; `timeout` bounds each request, in seconds."""

    def __init__(self, address: str, timeout: float):
        self._service = PlatformService("table", address, timeout)

    def read(self, key: str) -> Row | None:
        """Return the row, or `None` if it is absent; raises `StoreUnavailable`."""
        path = f"/v1/rows/{quote(key, safe='')}"
        response = self._service.read(path, (200, 404))
        if response.status == 404:
            return None
        raw = self._service.decode_json(response, StoreUnavailable)
        try:
            return _decode_row(raw)
        except DECODING_ERRORS as error:
            raise StoreUnavailable(f"table: malformed row: {error!r}") from error

    def scan(self, prefix: str, after: str = "", limit: int = 1000) -> list[Row]:
        """Return up to `limit` rows in key order; raises `StoreUnavailable`.

        Their keys begin with `prefix` and are greater than `after`.
        """
        query = urlencode({"prefix": prefix, "after": after, "limit": limit})
        response = self._service.read(f"/v1/rows?{query}", (200,))
        raw = self._service.decode_json(response, StoreUnavailable)
        try:
            return [_decode_row(row) for row in raw["rows"]]
        except DECODING_ERRORS as error:
            raise StoreUnavailable(f"table: malformed rows: {error!r}") from error

    def transact(self, conditions: list[Condition], writes: list[Write]) -> list[int]:
        """Write all rows if all conditions hold, and return their new versions.

        Raises `WriteConflict` if a condition does not hold, `StoreUnavailable` if
        nothing was written, and `WriteOutcomeUnknown` if the outcome is unknown.
        """
        body = {
            "conditions": [condition._asdict() for condition in conditions],
            "writes": [write._asdict() for write in writes],
        }
        response = self._service.write(
            "POST",
            "/v1/transactions",
            json.dumps(body).encode(),
            (200, 409),
            _JSON_HEADERS,
        )
        if response.status == 409:
            raw = self._service.decode_json(response, StoreUnavailable)
            try:
                conflicts = [_decode_row(row) for row in raw["conflicts"]]
            except DECODING_ERRORS as error:
                raise StoreUnavailable(f"table: malformed: {error!r}") from error
            raise WriteConflict(conflicts)
        raw = self._service.decode_json(response, WriteOutcomeUnknown)
        versions = raw.get("versions")
        if not isinstance(versions, list) or len(versions) != len(writes):
            raise WriteOutcomeUnknown("table: the answer lacks the versions")
        return versions

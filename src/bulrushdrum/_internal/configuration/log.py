"""Layout of the configuration in the platform's table.

`<kind>/<key>` holds a value with its revision, `config/head` the highest revision and
`config/log/<revision>` the edit that created it. An edit writes all three in one
transaction.
"""

import json
from typing import Any

import gevent

from bulrushdrum._internal.configuration.errors import LogPruned
from bulrushdrum._internal.configuration.store import ConfigStore
from bulrushdrum._internal.peering.shared_state_messages import ConfigEntry
from bulrushdrum._internal.platform.errors import StoreUnavailable
from bulrushdrum._internal.platform.table import Table, Write

HEAD_KEY = "config/head"
LOG_PREFIX = "config/log/"
KINDS = ("contract", "upstream")
# Two days at 15,000 edits a day. An entry that is further behind scans all rows.
MAX_LOG_ENTRIES = 30_000
_ROWS_PER_SCAN = 1000
# Processing a row takes about 40 microseconds; yield so that requests are served.
_ROWS_BETWEEN_YIELDS = 100


def log_key(revision: int) -> str:
    return f"{LOG_PREFIX}{revision:012}"


def row_key(kind: str, key: str) -> str:
    return f"{kind}/{key}"


def encode_value(value: Any) -> str:
    """Encode the value of a `ConfigEntry` as JSON; `None` becomes the empty string.

    The text is ASCII, so that strings with lone surrogates can be sent as well.
    """
    return "" if value is None else json.dumps(value, separators=(",", ":"))


def edit_writes(entry: ConfigEntry, value: Any) -> list[Write]:
    """Return the writes of an edit, including the removal of the oldest log entry."""
    metadata = {"revision": entry.revision, "edit_id": entry.edit_id}
    logged = {**metadata, "kind": entry.kind, "key": entry.key, "value": value}
    row = None if value is None else {**metadata, "value": value}
    writes = [
        Write(row_key(entry.kind, entry.key), row),
        Write(HEAD_KEY, {"revision": entry.revision}),
        Write(log_key(entry.revision), logged),
    ]
    if entry.revision > MAX_LOG_ENTRIES:
        writes.append(Write(log_key(entry.revision - MAX_LOG_ENTRIES), None))
    return writes


def read_head(table: Table) -> int:
    """Return the highest revision, 0 in an empty table; raises `StoreUnavailable`."""
    row = table.read(HEAD_KEY)
    return 0 if row is None else _require_field(row.value, "revision", int)


def read_log_entry(table: Table, revision: int) -> ConfigEntry | None:
    row = table.read(log_key(revision))
    return None if row is None else _parse_entry(row)


def read_log(table: Table, after: int) -> list[ConfigEntry]:
    """Return a batch of the entries after a revision, oldest first.

    Raises `LogPruned` if the entry that follows `after` was pruned.
    """
    rows = table.scan(LOG_PREFIX, log_key(after), _ROWS_PER_SCAN)
    entries = [_parse_entry(row) for row in rows]
    if entries and entries[0].revision != after + 1:
        raise LogPruned(
            f"the log begins at revision {entries[0].revision}, not {after + 1}"
        )
    return entries


def load_store(table: Table) -> ConfigStore:
    """Load the whole configuration, consistent at one revision.

    Edits during the scan may make rows newer than the head read at its start. The log
    is therefore applied from that head up to at least the newest row.
    """
    store = ConfigStore(read_head(table))
    newest = store.revision
    for kind in KINDS:
        after = ""
        while True:
            rows = table.scan(f"{kind}/", after, _ROWS_PER_SCAN)
            for number, row in enumerate(rows):
                if number % _ROWS_BETWEEN_YIELDS == 0:
                    gevent.sleep(0)
                revision = _require_field(row.value, "revision", int)
                key = row.key.removeprefix(f"{kind}/")
                store.put(kind, key, encode_value(row.value.get("value")), revision)
                newest = max(newest, revision)
            if len(rows) < _ROWS_PER_SCAN:
                break
            after = rows[-1].key
    while store.revision < newest:
        entries = read_log(table, store.revision)
        if not entries:
            raise LogPruned(f"the log ends before revision {newest}")
        for entry in entries:
            store.apply(entry)
    return store


def _require_field(value, name, expected_type):
    found = value.get(name) if isinstance(value, dict) else None
    if not isinstance(found, expected_type):
        raise StoreUnavailable(f"table: a configuration row has no valid {name!r}")
    return found


def _parse_entry(row):
    return ConfigEntry(
        revision=_require_field(row.value, "revision", int),
        kind=_require_field(row.value, "kind", str),
        key=_require_field(row.value, "key", str),
        value=encode_value(row.value.get("value")),
        edit_id=_require_field(row.value, "edit_id", str),
    )

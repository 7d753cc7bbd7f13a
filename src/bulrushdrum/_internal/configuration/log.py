"""The configuration as it stands in the platform's table.

`<kind>/<key>` holds a value with its revision, `config/head` the highest revision and
`config/log/<revision>` the edit that made it. An edit changes all three at once.
"""

import json
from typing import Any

import gevent

from bulrushdrum._internal.configuration.errors import LogPruned
from bulrushdrum._internal.configuration.store import ConfigStore
from bulrushdrum._internal.peering.messages import ConfigEntry
from bulrushdrum._internal.platform.errors import StoreUnavailable
from bulrushdrum._internal.platform.table import Table, Write

HEAD_KEY = "config/head"
LOG_PREFIX = "config/log/"
KINDS = ("contract", "upstream")
# Two days at 15,000 edits a day. An entry that is further behind scans the rows.
LOG_ENTRIES_KEPT = 30_000
_SCAN_ROWS = 1000
# A row takes about 40 microseconds, and requests may be running meanwhile.
_ROWS_BETWEEN_YIELDS = 100


def log_key(revision: int) -> str:
    return f"{LOG_PREFIX}{revision:012}"


def row_key(kind: str, key: str) -> str:
    return f"{kind}/{key}"


def encode_value(value: Any) -> str:
    """Return the JSON text that a `ConfigEntry` carries; `None` becomes empty.

    The text is ASCII, so that a string which is not valid Unicode can be carried too.
    """
    return "" if value is None else json.dumps(value, separators=(",", ":"))


def edit_writes(entry: ConfigEntry, value: Any) -> list[Write]:
    """Return the writes of one edit, which also remove an entry that is too old."""
    stamp = {"revision": entry.revision, "edit_id": entry.edit_id}
    logged = {**stamp, "kind": entry.kind, "key": entry.key, "value": value}
    row = None if value is None else {**stamp, "value": value}
    writes = [
        Write(row_key(entry.kind, entry.key), row),
        Write(HEAD_KEY, {"revision": entry.revision}),
        Write(log_key(entry.revision), logged),
    ]
    if entry.revision > LOG_ENTRIES_KEPT:
        writes.append(Write(log_key(entry.revision - LOG_ENTRIES_KEPT), None))
    return writes


def read_head(table: Table) -> int:
    """Return the highest revision, 0 in a new system; raises `StoreUnavailable`."""
    row = table.read(HEAD_KEY)
    return 0 if row is None else _field(row.value, "revision", int)


def read_log_entry(table: Table, revision: int) -> ConfigEntry | None:
    row = table.read(log_key(revision))
    return None if row is None else _entry(row)


def read_log(table: Table, after: int) -> list[ConfigEntry]:
    """Return the next entries after a revision, oldest first.

    Raises `LogPruned` if the entry that follows `after` is gone.
    """
    rows = table.scan(LOG_PREFIX, log_key(after), _SCAN_ROWS)
    entries = [_entry(row) for row in rows]
    if entries and entries[0].revision != after + 1:
        raise LogPruned(f"the log begins at {entries[0].revision}, not {after + 1}")
    return entries


def load_store(table: Table) -> ConfigStore:
    """Return the whole configuration, consistent at one revision.

    Rows read while edits go on may be newer than the revision at which the scan began.
    The log is therefore followed from there until it has passed the newest row.
    """
    store = ConfigStore(read_head(table))
    newest = store.revision
    for kind in KINDS:
        after = ""
        while True:
            rows = table.scan(f"{kind}/", after, _SCAN_ROWS)
            for number, row in enumerate(rows):
                if number % _ROWS_BETWEEN_YIELDS == 0:
                    gevent.sleep(0)
                revision = _field(row.value, "revision", int)
                key = row.key.removeprefix(f"{kind}/")
                store.put(kind, key, encode_value(row.value.get("value")), revision)
                newest = max(newest, revision)
            if len(rows) < _SCAN_ROWS:
                break
            after = rows[-1].key
    while store.revision < newest:
        entries = read_log(table, store.revision)
        if not entries:
            raise LogPruned(f"the log ends before revision {newest}")
        for entry in entries:
            store.apply(entry)
    return store


def _field(value, name, kind):
    found = value.get(name) if isinstance(value, dict) else None
    if not isinstance(found, kind):
        raise StoreUnavailable(f"table: a configuration row has no valid {name!r}")
    return found


def _entry(row):
    return ConfigEntry(
        revision=_field(row.value, "revision", int),
        kind=_field(row.value, "kind", str),
        key=_field(row.value, "key", str),
        value=encode_value(row.value.get("value")),
        edit_id=_field(row.value, "edit_id", str),
    )

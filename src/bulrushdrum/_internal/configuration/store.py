"""Compact in-memory store of the configuration at one revision.

There are 37,000 contracts and an entry uses few of them, so values are kept encoded and
compressed and are decoded on demand.
"""

import json
import struct
import zlib
from collections.abc import Iterator
from typing import Any

from bulrushdrum._internal.decoding import DECODING_ERRORS
from bulrushdrum._internal.peering.shared_state_messages import ConfigEntry

_REVISION = struct.Struct("!Q")
# Values are compressed one by one and share their field names. This dictionary reduces
# a contract from 233 to 102 bytes on average. Packed values never leave the process, so
# it can be changed freely.
_COMPRESSION_DICTIONARY = (
    b'{"serving":true,"model":"","model_version":"","adapters":[],"role":""}'
    b'"chat:payment":POST /{"customer":"","share":1.0,"priority":4,"concurrency":16,'
    b'"non_idempotent":[],"api_key_hashes":["0123456789abcdef"],"home_region":"'
)
_WINDOW_BITS = -9  # 512 bytes, without header and checksum
# 15 hexadecimal digits fit a small integer object. Customers with the same prefix are
# distinguished by the full hashes in their contracts.
_HASH_PREFIX_DIGITS = 15


class ConfigStore:
    """Values by kind and key at `revision`; log entries are applied in order."""

    def __init__(self, revision: int = 0):
        self._revision = revision
        self._rows: dict[str, dict[str, bytes]] = {}
        self._customers_by_prefix: dict[int, tuple[str, ...] | str] = {}

    @property
    def revision(self) -> int:
        return self._revision

    def get(self, kind: str, key: str) -> tuple[int, str] | None:
        """Return the revision and the JSON text of a value, or `None`."""
        packed = self._rows.get(kind, {}).get(key)
        return None if packed is None else _unpack(packed)

    def revision_of(self, kind: str, key: str) -> int:
        """Return the revision of a value, 0 if absent."""
        packed = self._rows.get(kind, {}).get(key)
        return 0 if packed is None else _REVISION.unpack_from(packed)[0]

    def keys(self, kind: str) -> list[str]:
        return sorted(self._rows.get(kind, ()))

    def kinds(self) -> list[str]:
        return sorted(self._rows)

    def count(self, kind: str) -> int:
        return len(self._rows.get(kind, ()))

    def rows(self) -> Iterator[tuple[str, str, bytes]]:
        """Return an iterator over a snapshot of the packed rows."""
        copies = [(kind, dict(rows)) for kind, rows in self._rows.items()]
        return ((kind, key, row) for kind, rows in copies for key, row in rows.items())

    def customers_by_hash(self, api_key_hash: str) -> tuple[str, ...]:
        """Return the customers whose contracts may list this hash."""
        found = self._customers_by_prefix.get(
            int(api_key_hash[:_HASH_PREFIX_DIGITS], 16), ()
        )
        return (found,) if isinstance(found, str) else found

    def put(self, kind: str, key: str, value: str, revision: int):
        """Set a value regardless of the log order, to fill a new store."""
        rows = self._rows.setdefault(kind, {})
        if kind == "contract":
            self._update_hash_index(key, value)
        rows[key] = _pack(revision, value)

    def apply(self, entry: ConfigEntry):
        """Apply the next log entry; raises `ValueError` if it is out of order."""
        if entry.revision != self._revision + 1:
            raise ValueError(
                f"revision {entry.revision} does not follow {self._revision}"
            )
        self._revision = entry.revision
        if entry.value:
            self.put(entry.kind, entry.key, entry.value, entry.revision)
        elif entry.key in self._rows.get(entry.kind, ()):
            if entry.kind == "contract":
                self._update_hash_index(entry.key, "")
            del self._rows[entry.kind][entry.key]

    def _update_hash_index(self, customer, value):
        row = self.get("contract", customer)
        before = _hash_prefixes(row[1]) if row else frozenset()
        after = _hash_prefixes(value) if value else frozenset()
        for prefix in before - after:
            remaining = tuple(
                other
                for other in self._customers_of_prefix(prefix)
                if other != customer
            )
            self._set_customers_of_prefix(prefix, remaining)
        for prefix in after - before:
            self._set_customers_of_prefix(
                prefix, (*self._customers_of_prefix(prefix), customer)
            )

    def _customers_of_prefix(self, prefix):
        found = self._customers_by_prefix.get(prefix, ())
        return (found,) if isinstance(found, str) else found

    def _set_customers_of_prefix(self, prefix, customers):
        match customers:
            case ():
                self._customers_by_prefix.pop(prefix, None)
            case (customer,):
                self._customers_by_prefix[prefix] = customer
            case _:
                self._customers_by_prefix[prefix] = customers


def unpack_row(packed: bytes) -> tuple[int, str]:
    """Return the revision and the JSON text in a packed row."""
    return _unpack(packed)


def decode_value(text: str) -> Any:
    return json.loads(text) if text else None


def _hash_prefixes(text) -> frozenset[int]:
    try:
        value = json.loads(text)
        return frozenset(
            int(item[:_HASH_PREFIX_DIGITS], 16)
            for item in value.get("api_key_hashes", ())
        )
    except DECODING_ERRORS:
        return frozenset()  # logged when the contract is decoded


def _pack(revision, value):
    # Memory level 1, because the default allocates 256 KB for each value.
    packer = zlib.compressobj(
        6,
        zlib.DEFLATED,
        _WINDOW_BITS,
        1,
        zlib.Z_DEFAULT_STRATEGY,
        _COMPRESSION_DICTIONARY,
    )
    return _REVISION.pack(revision) + packer.compress(value.encode()) + packer.flush()


def _unpack(packed):
    (revision,) = _REVISION.unpack_from(packed)
    unpacker = zlib.decompressobj(_WINDOW_BITS, _COMPRESSION_DICTIONARY)
    return revision, unpacker.decompress(packed[_REVISION.size :]).decode()

"""The configuration in memory: encoded values at one revision.

There are 37,000 contracts and few of them are in use at one entry, so values stay
encoded and compressed and are decoded on use.
"""

import json
import struct
import zlib
from collections.abc import Iterator
from typing import Any

from bulrushdrum._internal.peering.messages import ConfigEntry

_REVISION = struct.Struct("!Q")
# Preset for the compression of single values, which share their field names. It halves
# a contract, from 233 to 102 bytes on average. Packed values never leave the process.
_PRESET = (
    b'{"serving":true,"model":"","model_version":"","adapters":[],"role":""}'
    b'"chat:payment":POST /{"customer":"","share":1.0,"priority":4,"concurrency":16,'
    b'"non_idempotent":[],"api_key_hashes":["0123456789abcdef"],"home_region":"'
)
_WINDOW_BITS = -9  # 512 bytes, without header and checksum
# 15 hexadecimal digits fit a small integer object. Two customers whose hashes share
# them are told apart by the whole hash in their contracts.
_INDEX_DIGITS = 15


class ConfigStore:
    """Values by kind and key at `revision`; entries are applied strictly in order."""

    def __init__(self, revision: int = 0):
        self._revision = revision
        self._rows: dict[str, dict[str, bytes]] = {}
        self._customers: dict[int, tuple[str, ...] | str] = {}

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
        """Return the packed rows as they are now, unaffected by later changes."""
        copies = [(kind, dict(rows)) for kind, rows in self._rows.items()]
        return ((kind, key, row) for kind, rows in copies for key, row in rows.items())

    def customers_by_hash(self, api_key_hash: str) -> tuple[str, ...]:
        """Return the customers that may list this hash in their contracts."""
        found = self._customers.get(int(api_key_hash[:_INDEX_DIGITS], 16), ())
        return (found,) if isinstance(found, str) else found

    def put(self, kind: str, key: str, value: str, revision: int):
        """Set a value, outside of the order of the log; used to fill a new store."""
        rows = self._rows.setdefault(kind, {})
        if kind == "contract":
            self._reindex(key, value)
        rows[key] = _pack(revision, value)

    def apply(self, entry: ConfigEntry):
        """Apply the entry that follows `revision`; any other raises `ValueError`."""
        if entry.revision != self._revision + 1:
            raise ValueError(f"{entry.revision} does not follow {self._revision}")
        self._revision = entry.revision
        if entry.value:
            self.put(entry.kind, entry.key, entry.value, entry.revision)
        elif entry.key in self._rows.get(entry.kind, ()):
            if entry.kind == "contract":
                self._reindex(entry.key, "")
            del self._rows[entry.kind][entry.key]

    def _reindex(self, customer, value):
        row = self.get("contract", customer)
        before = _hashes(row[1]) if row else frozenset()
        after = _hashes(value) if value else frozenset()
        for number in before - after:
            rest = tuple(other for other in self._owners(number) if other != customer)
            self._set_owners(number, rest)
        for number in after - before:
            self._set_owners(number, (*self._owners(number), customer))

    def _owners(self, number):
        found = self._customers.get(number, ())
        return (found,) if isinstance(found, str) else found

    def _set_owners(self, number, owners):
        match owners:
            case ():
                self._customers.pop(number, None)
            case (owner,):
                self._customers[number] = owner
            case _:
                self._customers[number] = owners


def unpack_row(packed: bytes) -> tuple[int, str]:
    """Return the revision and the JSON text in a packed row."""
    return _unpack(packed)


def decode_value(text: str) -> Any:
    return json.loads(text) if text else None


def _hashes(text) -> frozenset[int]:
    try:
        value = json.loads(text)
        return frozenset(
            int(item[:_INDEX_DIGITS], 16) for item in value.get("api_key_hashes", ())
        )
    except (ValueError, AttributeError, TypeError):
        return frozenset()  # reported where the contract is decoded


def _pack(revision, value):
    # The smallest memory level, because the default allocates 256 KB for each value.
    packer = zlib.compressobj(
        6, zlib.DEFLATED, _WINDOW_BITS, 1, zlib.Z_DEFAULT_STRATEGY, _PRESET
    )
    return _REVISION.pack(revision) + packer.compress(value.encode()) + packer.flush()


def _unpack(packed):
    (revision,) = _REVISION.unpack_from(packed)
    unpacker = zlib.decompressobj(_WINDOW_BITS, _PRESET)
    return revision, unpacker.decompress(packed[_REVISION.size :]).decode()

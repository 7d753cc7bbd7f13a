"""Selection of a partner entry and storage of other entries' records."""

import zlib
from hashlib import blake2b

from bulrushdrum._internal.peering.shared_state_messages import EntryMember
from bulrushdrum._internal.records.record import RequestRecord, decode_record

# Closed records are compressed in blocks of this size. They accumulate only while the
# object store is unavailable.
_RECORDS_PER_BLOCK = 1_000


def choose_partner(local, peers):
    """Return the peer to copy records to, or `None` if `peers` is empty.

    Peers in other data centres are preferred. Ties are broken by a hash of both
    incarnations, which distributes the entries evenly over their partners.
    """

    def rank(peer):
        pair = f"{local.incarnation}/{peer.incarnation}".encode()
        same_data_centre = peer.data_centre == local.data_centre
        return same_data_centre, blake2b(pair, digest_size=8).digest()

    return min(peers, key=rank, default=None)


class HeldRecords:
    """Records held for one other entry until it has flushed them."""

    def __init__(self, origin: EntryMember):
        self.origin = origin
        self._encoded: dict[str, str] = {}
        self._open: set[str] = set()
        self._blocks: list[bytes] = []
        self._block_records = 0
        self._previous_copy: HeldRecords | None = None

    def __len__(self):
        previous = len(self._previous_copy) if self._previous_copy else 0
        return len(self._encoded) + self._block_records + previous

    @property
    def byte_count(self) -> int:
        """Size of the held records in bytes, compressed blocks included."""
        uncompressed = sum(len(text) for text in self._encoded.values())
        previous = self._previous_copy.byte_count if self._previous_copy else 0
        return uncompressed + sum(len(block) for block in self._blocks) + previous

    def begin_full_copy(self):
        """Set the held records aside while the origin sends a full copy."""
        previous = HeldRecords(self.origin)
        previous._encoded, previous._open = self._encoded, self._open
        previous._blocks, previous._block_records = self._blocks, self._block_records
        # An incomplete copy does not replace the copy before it.
        previous._previous_copy = self._previous_copy
        self._encoded, self._open, self._blocks, self._block_records = {}, set(), [], 0
        self._previous_copy = previous

    def complete_full_copy(self):
        """Drop the records that were held before `begin_full_copy`."""
        self._previous_copy = None

    def add(self, record: RequestRecord, text: str):
        """Store a record; it replaces an earlier state of the same record."""
        if not record.closed:
            self._open.add(record.request_id)
        else:
            self._open.discard(record.request_id)
        self._encoded[record.request_id] = text
        if len(self._encoded) - len(self._open) >= _RECORDS_PER_BLOCK:
            self._compress_closed()

    def drop(self, ids):
        """Drop records that are in the object store."""
        if self._previous_copy:
            self._previous_copy.drop(ids)
        missing = set()
        for request_id in ids:
            self._open.discard(request_id)
            if self._encoded.pop(request_id, None) is None:
                missing.add(request_id)
        # Records are flushed roughly in the order in which they were closed, so the
        # search usually ends in one of the first blocks.
        for index, block in enumerate(self._blocks):
            if not missing:
                break
            lines = zlib.decompress(block).decode().splitlines()
            kept = []
            for line in lines:
                request_id = decode_record(line).request_id
                if request_id in missing:
                    missing.discard(request_id)
                else:
                    kept.append(line)
            if len(kept) != len(lines):
                self._block_records -= len(lines) - len(kept)
                self._blocks[index] = zlib.compress("\n".join(kept).encode(), 1)
        self._blocks = self._blocks if self._block_records else []

    def records(self) -> list[RequestRecord]:
        """Return all records; those that were copied twice may be repeated."""
        lines = []
        for block in self._blocks:
            lines += zlib.decompress(block).decode().splitlines()
        records = [decode_record(text) for text in [*lines, *self._encoded.values()]]
        return records + (self._previous_copy.records() if self._previous_copy else [])

    def _compress_closed(self):
        closed = [
            request_id for request_id in self._encoded if request_id not in self._open
        ]
        lines = [self._encoded.pop(request_id) for request_id in closed]
        self._blocks.append(zlib.compress("\n".join(lines).encode(), 1))
        self._block_records += len(lines)

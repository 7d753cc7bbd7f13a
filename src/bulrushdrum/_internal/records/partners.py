"""Choice of a partner entry, and the records held for other entries."""

import zlib
from hashlib import blake2b

from bulrushdrum._internal.peering.messages import EntryMember
from bulrushdrum._internal.records.record import RequestRecord, decode_record

# Closed records beyond this number are compressed, as they only gather while the store
# is down.
_BLOCK_RECORDS = 1_000


def choose_partner(local, peers):
    """Return the identity in `peers` to copy records to, or `None`.

    Peers in another data centre go before those in the same one. Among equals a hash of
    both incarnations decides, so that entries spread over their partners.
    """

    def rank(peer):
        pair = f"{local.incarnation}/{peer.incarnation}".encode()
        same = peer.data_centre == local.data_centre
        return same, blake2b(pair, digest_size=8).digest()

    return min(peers, key=rank, default=None)


class HeldRecords:
    """The records that are held for one other entry."""

    def __init__(self, origin: EntryMember):
        self.origin = origin
        self._texts: dict[str, str] = {}
        self._open: set[str] = set()
        self._blocks: list[bytes] = []
        self._in_blocks = 0
        self._earlier: HeldRecords | None = None

    def __len__(self):
        earlier = len(self._earlier) if self._earlier else 0
        return len(self._texts) + self._in_blocks + earlier

    @property
    def bytes(self) -> int:
        plain = sum(len(text) for text in self._texts.values())
        earlier = self._earlier.bytes if self._earlier else 0
        return plain + sum(len(block) for block in self._blocks) + earlier

    def begin_copy(self):
        """Keep what is held apart while the origin copies everything again."""
        earlier = HeldRecords(self.origin)
        earlier._texts, earlier._open = self._texts, self._open
        earlier._blocks, earlier._in_blocks = self._blocks, self._in_blocks
        # A copy that was not completed does not replace the one before it.
        earlier._earlier = self._earlier
        self._texts, self._open, self._blocks, self._in_blocks = {}, set(), [], 0
        self._earlier = earlier

    def end_copy(self):
        """Drop what was held before the copy."""
        self._earlier = None

    def add(self, record: RequestRecord, text: str):
        """Hold a record, in place of an earlier state of it."""
        if not record.closed:
            self._open.add(record.request_id)
        else:
            self._open.discard(record.request_id)
        self._texts[record.request_id] = text
        if len(self._texts) - len(self._open) >= _BLOCK_RECORDS:
            self._compress()

    def drop(self, ids):
        """Forget records that are in the object store."""
        if self._earlier:
            self._earlier.drop(ids)
        missing = set()
        for request_id in ids:
            self._open.discard(request_id)
            if self._texts.pop(request_id, None) is None:
                missing.add(request_id)
        # Records are flushed in about the order in which they were closed, so the
        # search ends in one of the first blocks.
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
                self._in_blocks -= len(lines) - len(kept)
                self._blocks[index] = zlib.compress("\n".join(kept).encode(), 1)
        self._blocks = self._blocks if self._in_blocks else []

    def records(self) -> list[RequestRecord]:
        """Return all records; one that was copied twice may be there twice."""
        lines = []
        for block in self._blocks:
            lines += zlib.decompress(block).decode().splitlines()
        records = [decode_record(text) for text in [*lines, *self._texts.values()]]
        return records + (self._earlier.records() if self._earlier else [])

    def _compress(self):
        closed = [
            request_id for request_id in self._texts if request_id not in self._open
        ]
        lines = [self._texts.pop(request_id) for request_id in closed]
        self._blocks.append(zlib.compress("\n".join(lines).encode(), 1))
        self._in_blocks += len(lines)

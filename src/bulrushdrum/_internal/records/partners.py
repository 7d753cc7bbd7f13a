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

    def __len__(self):
        return len(self._texts) + self._in_blocks

    @property
    def bytes(self) -> int:
        plain = sum(len(text) for text in self._texts.values())
        return plain + sum(len(block) for block in self._blocks)

    def add(self, record: RequestRecord, text: str):
        """Hold a record; a closed one replaces the open one, and never the reverse."""
        known = record.request_id in self._texts
        if not record.closed:
            if known and record.request_id not in self._open:
                return
            self._open.add(record.request_id)
        else:
            self._open.discard(record.request_id)
        self._texts[record.request_id] = text
        if len(self._texts) - len(self._open) >= _BLOCK_RECORDS:
            self._compress()

    def drop(self, ids):
        """Forget records that are in the object store."""
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
        lines = []
        for block in self._blocks:
            lines += zlib.decompress(block).decode().splitlines()
        return [decode_record(text) for text in [*lines, *self._texts.values()]]

    def _compress(self):
        closed = [
            request_id for request_id in self._texts if request_id not in self._open
        ]
        lines = [self._texts.pop(request_id) for request_id in closed]
        self._blocks.append(zlib.compress("\n".join(lines).encode(), 1))
        self._in_blocks += len(lines)

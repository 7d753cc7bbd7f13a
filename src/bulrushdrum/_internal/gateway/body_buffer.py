"""Collects the parts of a body in little more memory than their bytes."""

# Buffers that grow one beside the other leave gaps in the heap, up to several times
# what they hold. Blocks of one size leave none.
_BLOCK_BYTES = 65_536


class BodyBuffer:
    """The parts of one body, whatever their sizes.

    >>> buffer = BodyBuffer()
    >>> for part in (b"a", b"bc", b"d" * 100_000):
    ...     buffer.append(part)
    >>> buffer.size, buffer.held_bytes
    (100003, 131072)
    >>> buffer.join()[:5]
    b'abcdd'
    """

    __slots__ = ("size", "_first", "_blocks", "_room")

    def __init__(self):
        self.size = 0
        # A body that arrives in one part is not copied.
        self._first: bytes | bytearray = b""
        self._blocks: list[bytearray] = []
        # What is free in the last block.
        self._room = 0

    @property
    def held_bytes(self) -> int:
        return len(self._first) + len(self._blocks) * _BLOCK_BYTES

    def append(self, part: bytes):
        if not self.size:
            self._first = part
        elif self.size + len(part) <= _BLOCK_BYTES:
            if isinstance(self._first, bytes):
                self._first = bytearray(self._first)
            self._first += part
        else:
            if not self._blocks:
                self._write(self._first)
                self._first = b""
            self._write(part)
        self.size += len(part)

    def join(self) -> bytes:
        """Return the body."""
        if not self._blocks:
            return bytes(self._first)
        last = memoryview(self._blocks[-1])[: _BLOCK_BYTES - self._room]
        return b"".join([*self._blocks[:-1], last])

    def _write(self, part):
        start = 0
        while start < len(part):
            if not self._room:
                self._blocks.append(bytearray(_BLOCK_BYTES))
                self._room = _BLOCK_BYTES
            count = min(self._room, len(part) - start)
            at = _BLOCK_BYTES - self._room
            self._blocks[-1][at : at + count] = part[start : start + count]
            self._room -= count
            start += count

"""A client: one attempt on a connection of its own, or on one that it keeps."""

import asyncio
import itertools
import os
from typing import NamedTuple

from system_2_http1 import encode, read_head

_numbers = itertools.count(1)
_RUN = os.urandom(4).hex()


class Answer(NamedTuple):
    """What a client got; `complete` tells whether the body ended as its framing says.

    A status of 0 means that the connection ended without an answer.
    """

    attempt: str
    status: int
    headers: dict[str, str]
    body: bytes
    complete: bool


def new_attempt() -> str:
    return f"{_RUN}{next(_numbers):08x}"


async def send(
    port: int,
    method: str,
    path: str,
    headers: dict[str, object] | None = None,
    body: bytes = b"",
    deadline_ms: int = 1500,
    attempt: str | None = None,
) -> Answer:
    """Send one attempt and return its answer."""
    attempt = attempt or new_attempt()
    head = {
        "Host": "h.example",
        "Bulrushdrum-Attempt-Id": attempt,
        "Bulrushdrum-Deadline-Ms": deadline_ms,
        "Authorization": "Token k1",
        **(headers or {}),
        "Content-Length": len(body),
    }
    try:
        async with asyncio.timeout(deadline_ms / 1000.0 + 2.0):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            try:
                writer.write(encode(f"{method} {path} HTTP/1.1", head, body))
                return await _receive(reader, attempt)
            finally:
                writer.close()
    except (OSError, EOFError, TimeoutError):
        return Answer(attempt, 0, {}, b"", False)


async def _receive(reader, attempt):
    first, headers = await read_head(reader)
    status, parts = int(first.split(" ")[1]), []
    try:
        if headers.get("transfer-encoding") == "chunked":
            while size := int((await reader.readuntil(b"\r\n")).strip(), 16):
                parts.append((await reader.readexactly(size + 2))[:-2])
            await reader.readuntil(b"\r\n")
        else:
            length = int(headers.get("content-length", 0))
            parts.append(await reader.readexactly(length))
    except (asyncio.IncompleteReadError, OSError):
        return Answer(attempt, status, headers, b"".join(parts), False)
    return Answer(attempt, status, headers, b"".join(parts), True)

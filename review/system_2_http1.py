"""Just enough HTTP/1.1 for stand-ins, with a length or chunks for bodies."""

import asyncio
from typing import NamedTuple


class Message(NamedTuple):
    """A request or a response; names of headers are lower-case."""

    first_line: str
    headers: dict[str, str]
    body: bytes

    @property
    def method(self) -> str:
        return self.first_line.split(" ")[0]

    @property
    def target(self) -> str:
        return self.first_line.split(" ")[1]

    @property
    def status(self) -> int:
        return int(self.first_line.split(" ")[1])


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Read a first line and headers; raises `EOFError` at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        raise EOFError from error
    first, *lines = head.decode("latin-1").rstrip("\r\n").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read a message that has a length, or none and no body."""
    first, headers = await read_head(reader)
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Message(first, headers, body)


def encode(first_line: str, headers: dict[str, object], body: bytes = b"") -> bytes:
    lines = [first_line, *(f"{name}: {value}" for name, value in headers.items())]
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


def respond(status: int, headers: dict[str, object], body: bytes = b"") -> bytes:
    """Return a response with a length."""
    head = {**headers, "Content-Length": len(body)}
    return encode(f"HTTP/1.1 {status} X", head, body)

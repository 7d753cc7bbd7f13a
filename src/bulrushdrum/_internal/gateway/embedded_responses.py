"""Finds a response that begins inside the body of another one.

A late copy of an earlier response can arrive in the middle of a body. The search takes
a time that grows linearly with the body, whatever its bytes are: it runs in the event
loop, so all other requests wait for it.

>>> find_status_line(b"old HTTP/1.1 200 OK\\r\\nContent-Length: 3\\r\\n\\r\\nnew")
4
"""

import re

# Each match extends to the end of its line, so that no byte is searched twice. The
# group is empty unless the line ends as that of a head.
_LINE_RE = re.compile(rb"HTTP/1\.[01] [1-5]\d\d[^\r\n]*+(\r\n)?")


def find_status_line(body: bytes) -> int | None:
    """Return the offset of the first complete status line in `body`, or None."""
    for line in _LINE_RE.finditer(body):
        if line[1] is not None:
            return line.start()
    return None

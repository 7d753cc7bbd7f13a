"""Which statuses an HTTP response can have.

A server in trouble may answer with a status that HTTP does not have. Such bytes are no
response: whatever follows them cannot be told from a part of them.
"""

_FIRST_INTERIM, _FIRST_FINAL, _END = 100, 200, 600
# Nothing asks for another protocol, so what follows is in none that is known here.
_SWITCHING_PROTOCOLS = 101


def is_interim(status: int) -> bool:
    """Whether a status is that of an interim response; the final one follows."""
    return _FIRST_INTERIM <= status < _FIRST_FINAL and status != _SWITCHING_PROTOCOLS


def is_final(status: int) -> bool:
    """Whether a status is that of a final response.

    >>> [is_final(status) for status in (0, 99, 103, 200, 599, 600, 999)]
    [False, False, False, True, True, False, False]
    """
    return _FIRST_FINAL <= status < _END

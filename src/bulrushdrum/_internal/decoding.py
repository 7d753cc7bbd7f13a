"""Reads values that other processes wrote, whose types and sizes are not known.

Decoders turn `DECODING_ERRORS` into the error that they declare, so that a malformed
value costs its own row or message, and not the task that reads it:

>>> import json
>>> try:
...     int(json.loads('{"slots": 1e400}')["slots"])
... except DECODING_ERRORS as error:
...     print(type(error).__name__)
OverflowError
"""

# What parsing JSON and reading fields of unexpected types or values raises. Numbers can
# be infinite, and nesting can exceed the recursion limit.
DECODING_ERRORS = (
    ArithmeticError,
    AttributeError,
    LookupError,
    RecursionError,
    TypeError,
    ValueError,
)
# Larger integers cannot be converted to floating-point numbers exactly, or at all.
_MAX_INTEGER = 2**53


def require_string(raw, name: str) -> str:
    """Return a field; raises `KeyError`, or `ValueError` if it is not a string."""
    value = raw[name]
    if not isinstance(value, str):
        raise ValueError(f"{name}: {value!r} is not a string")
    return value


def require_integer(raw, name: str, default: int | None = None) -> int:
    """Return a field that is a whole number between 0 and 2**53.

    Raises `ValueError` if it is not, and `KeyError` if it is missing and there is no
    default.
    """
    value = raw[name] if default is None else raw.get(name, default)
    is_whole = isinstance(value, int) or (
        isinstance(value, float) and value.is_integer()
    )
    if not is_whole or isinstance(value, bool) or not 0 <= value <= _MAX_INTEGER:
        raise ValueError(f"{name}: {value!r} is not a whole number from 0 to 2**53")
    return int(value)

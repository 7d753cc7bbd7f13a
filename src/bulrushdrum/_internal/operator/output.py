"""Output formats of the commands: text tables and JSON."""

import json
from collections.abc import Iterable
from typing import Any


def to_json(value: Any) -> str:
    return json.dumps(value, indent=2, sort_keys=True)


def to_table(header: Iterable[str], rows: Iterable[Iterable[Any]]) -> str:
    """Format rows as a text table with aligned columns."""
    lines = [[str(cell) for cell in row] for row in [tuple(header), *rows]]
    widths = [max(len(cell) for cell in column) for column in zip(*lines, strict=True)]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )


def flatten(value: Any, name: str = "") -> list[tuple[str, Any]]:
    """Flatten nested JSON to pairs of a dotted name and a scalar value.

    >>> flatten({"tokens": {"prompt": 3}, "codes": []})
    [('tokens.prompt', 3), ('codes', '')]
    """
    match value:
        case dict() if value:
            items = value.items()
        case list() if value:
            items = enumerate(value)
        case dict() | list():
            return [(name, "")]
        case _:
            return [(name, value)]
    prefix = f"{name}." if name else ""
    return [pair for key, item in items for pair in flatten(item, f"{prefix}{key}")]


def describe_edit(subject: str, response: dict) -> str:
    """Describe the revision of an accepted edit and the entries that confirmed it."""
    confirmed, unconfirmed = response["confirmed"], response["unconfirmed"]
    text = f"{subject}: revision {response['revision']}, in force at {len(confirmed)} "
    text += "entry" if len(confirmed) == 1 else "entries"
    if unconfirmed:
        text += f"; not confirmed yet by {', '.join(unconfirmed)}"
    return text

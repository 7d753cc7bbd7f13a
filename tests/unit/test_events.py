"""The catalogue in docs/events.md lists exactly the log events of the code."""

import re
from pathlib import Path

from bulrushdrum._internal.observability.events import Event

ROOT = Path(__file__).resolve().parents[2]
ROW_PATTERN = re.compile(r"\| (\d{4}) \| ([A-Z_]+) \| (\S.*) \| (\S.*) \|")


def _read_catalogue():
    rows = ROW_PATTERN.findall((ROOT / "docs" / "events.md").read_text())
    return {int(number): name for number, name, _, _ in rows}


def test_catalogue_lists_exactly_the_events():
    # Guards against an event that operators cannot look up.
    assert _read_catalogue() == {event.value: event.name for event in Event}


def test_every_event_is_logged():
    # Guards against catalogue rows for events that the code no longer logs.
    sources = "".join(
        path.read_text()
        for path in (ROOT / "src").rglob("*.py")
        if "events" != path.stem
    )
    unlogged = [event.name for event in Event if f"Event.{event.name}" not in sources]
    assert unlogged == []

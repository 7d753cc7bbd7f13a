"""The catalogue of log events and the code agree in both directions."""

import re
from pathlib import Path

from bulrushdrum._internal.observability.events import Event

ROOT = Path(__file__).resolve().parents[2]
ROW = re.compile(r"\| (\d{4}) \| ([A-Z_]+) \| (\S.*) \| (\S.*) \|")


def _catalogue():
    rows = ROW.findall((ROOT / "docs" / "events.md").read_text())
    return {int(number): name for number, name, _, _ in rows}


def test_every_event_is_in_the_catalogue_and_no_other():
    # Guards against an alarm that an operator cannot look up.
    assert _catalogue() == {event.value: event.name for event in Event}


def test_every_event_is_logged_somewhere():
    # Guards against a catalogue of events that the code no longer writes.
    sources = "".join(
        path.read_text()
        for path in (ROOT / "src").rglob("*.py")
        if "events" != path.stem
    )
    unused = [event.name for event in Event if f"Event.{event.name}" not in sources]
    assert unused == []

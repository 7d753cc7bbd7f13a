"""Patches blocking calls for gevent and skips the tests in KNOWN-RED.txt."""

from gevent import monkey

monkey.patch_all()

import os  # noqa: E402
from pathlib import Path  # noqa: E402

import pytest  # noqa: E402

KNOWN_RED = Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"


def known_red_tests() -> list[str]:
    if not KNOWN_RED.exists():
        return []
    lines = KNOWN_RED.read_text().splitlines()
    return [line.strip() for line in lines if line.startswith("tests/")]


def pytest_collection_modifyitems(config, items):
    """Skip the tests in KNOWN-RED.txt; an entry that matches no test is an error."""
    known = known_red_tests()
    files = {item.nodeid.partition("::")[0] for item in items}
    collected = {item.nodeid for item in items}
    for entry in known:
        if entry.partition("::")[0] in files and entry not in collected:
            if not config.option.keyword and "::" not in "".join(config.args):
                raise pytest.UsageError(f"KNOWN-RED.txt: no test {entry}")
    if os.environ.get("RUN_KNOWN_RED"):
        return
    for item in items:
        if item.nodeid in known:
            item.add_marker(pytest.mark.skip(reason="listed in KNOWN-RED.txt"))


def pytest_terminal_summary(terminalreporter):
    skipped = terminalreporter.stats.get("skipped", [])
    red = [report.nodeid for report in skipped if report.nodeid in known_red_tests()]
    for entry in red:
        terminalreporter.write_line(f"KNOWN RED, not run: {entry}")

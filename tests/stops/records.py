"""Records that the processes of a run write, one JSON object a line.

All times are those of the monotonic clock, which the processes of a machine share.
"""

import json
from pathlib import Path
from typing import NamedTuple


class CallerRecord(NamedTuple):
    """One request as its caller saw it.

    `sent` is when its last byte was sent and `closed` when its answer or its connection
    ended. `status` is 0 if no head arrived, and `end` tells how the wait ended:
    "complete", "closed", "reset", "left" (by the caller) or "refused" (no connection).
    """

    id: str
    router: str
    kind: str
    began: float
    sent: float
    closed: float
    status: int
    events: int
    end: str


class ServerRecord(NamedTuple):
    """One request as the server that ran it saw it.

    `end` is "complete", "closed" (by the router) or "broken" (by the server).
    """

    id: str
    server: str
    began: float
    ended: float
    events: int
    end: str


class StopRecord(NamedTuple):
    """A signal to a router, and how its process ended.

    `killed` tells that it was still running at the end of the grace.
    """

    router: str
    signalled: float
    ended: float
    killed: bool


class RecordWriter:
    """Appends records to a file, one for each process."""

    def __init__(self, path: Path):
        self._file = path.open("a", buffering=1)

    def write(self, record):
        self._file.write(json.dumps(record._asdict()) + "\n")


def read_records(path: Path, record_type):
    """Return the records of a file, of which the last line may be incomplete."""
    records = []
    for line in path.read_text().splitlines():
        try:
            records.append(record_type(**json.loads(line)))
        except ValueError:
            continue
    return records

"""Numbered log events.

Every log line is one event of the `Event` enumeration, written as JSON by eliot to
standard error, or to standard output by a router. The meaning of a number never changes
between releases. `docs/events.md` describes each event, and a test checks that the page
lists the same events as this module.

>>> log_event(Event.ENTRY_READY, address="10.0.0.1:8080")
"""

import sys
from collections import Counter
from enum import IntEnum

import eliot

from bulrushdrum._internal.observability.log_output import LogOutput


class Event(IntEnum):
    """All log events, numbered by area.

    1xxx process, 2xxx peers, 3xxx requests, 4xxx platform and configuration, 5xxx
    upstreams and orders, 6xxx limits, 7xxx records, 8xxx router.
    """

    ENTRY_READY = 1001
    SIDECAR_READY = 1002
    DRAIN_STARTED = 1003
    PROCESS_STOPPED = 1004
    CLOCK_GAP = 1005
    RELOAD_IGNORED = 1006
    EVENT_LOOP_LATE = 1007
    PEER_CONNECTED = 2001
    PEER_LOST = 2002
    PEER_REFUSED = 2003
    PEER_SILENT = 2004
    ATTEMPT_FAILED = 3001
    REQUEST_REFUSED = 3002
    REQUEST_OUTCOME_UNKNOWN = 3003
    SUSPECT_REPORTED = 3004
    REQUEST_CONVICTED = 3005
    INTERNAL_ERROR = 3006
    BINDING_MOVED = 3020
    CLAIM_RESULTS_DELAYED = 3021
    CLAIMS_EXPIRED = 3022
    CALLER_REQUEST_REFUSED = 3030
    ENTRY_CONNECTION_CLOSED = 3031
    PEER_HANDSHAKES_CLOSED = 3032
    STORE_UNAVAILABLE = 4001
    STORE_AVAILABLE = 4002
    CONFIGURATION_APPLIED = 4003
    CONFIGURATION_UNCONFIRMED = 4004
    VM_ROW_INVALID = 4005
    CONFIGURATION_INVALID = 4006
    CONFIGURATION_LOADED = 4007
    TABLE_BEHIND = 4008
    ENGINE_LOST = 5001
    ENGINE_AVAILABLE = 5002
    ORDER_GIVEN = 5003
    ORDER_NOT_TRUSTED = 5004
    ENTRY_SET_ADOPTED = 6001
    PERMITS_RECOVERED = 6002
    PERMIT_LENT_TWICE = 6003
    ENTRY_SET_INVALID = 6004
    ENTRY_SET_REMOVED = 6005
    RECORDS_FLUSHED = 7001
    RECORDS_TAKEN_OVER = 7002
    RECORDS_UNREADABLE = 7003
    RECORDS_FULL = 7004
    RECORDS_WITHOUT_PARTNER = 7005
    ROUTER_STARTED = 8001
    SETTINGS_CHANGED = 8002
    STORE_HISTORY_LOST = 8003
    ROUTER_NOT_REGISTERED = 8004
    PEER_UNREACHABLE = 8005
    LINES_OMITTED = 8006
    STORE_RESTORED = 8007
    COPIED_REGISTRATION_HELD = 8008
    CONFIGURATION_OLDER = 8009
    LAYERS_ORDERED = 8101
    ENGINE_TOO_SMALL = 8102
    UPSTREAM_SILENT = 8103
    ENGINE_UNUSABLE = 8104
    LEADER_CHANGED = 8105
    LAYERS_MISSING = 8106
    CALLER_REFUSED = 8201
    CALLER_LEFT = 8202
    UPSTREAM_ATTEMPT_FAILED = 8203
    UPSTREAM_REFUSED = 8204
    RETRY_NOT_ALLOWED = 8205
    NO_PATH = 8206
    GENERATION_GIVEN_UP = 8207
    NO_ROOM = 8208
    REQUEST_ANSWERED = 8209
    REQUEST_REJECTED = 8210
    CRASHING_REQUEST_FOUND = 8211
    ACCEPTED_WHILE_DRAINING = 8212
    INTERRUPTED_BY_STOP = 8213
    UPSTREAM_CRASHED = 8214
    CRASHING_PARTS_FOUND = 8215
    CRASHING_PARTS_CLEARED = 8216
    UPSTREAM_LIMIT_CHANGED = 8217
    UPSTREAM_LIMIT_UNREADABLE = 8218
    UPSTREAM_LIMITS_REACHED = 8219
    UPSTREAM_LEAVING = 8220
    UPSTREAM_PAUSED = 8221
    REQUESTS_AT_STOP = 8222
    STREAM_MOVED = 8224
    UPSTREAM_SLOW = 8225
    CLAIM_MADE = 8227
    CLAIM_RECEIVED = 8228
    CLAIM_WITHDRAWN = 8229
    RETRIES_LENT = 8230
    RETRIES_BORROWED = 8231
    CALLER_REQUEST_SHED = 8233
    CALLER_CONNECTION_CLOSED = 8234
    UPSTREAM_AVOIDED = 8235
    STREAM_KEPT = 8236


# Lines of a stop, and those that name the requests which it may cut: at most a few for
# each caller connection and each request of one grace.
_RESERVED_EVENTS = frozenset(
    int(event)
    for event in (
        Event.DRAIN_STARTED,
        Event.PROCESS_STOPPED,
        Event.LINES_OMITTED,
        Event.ACCEPTED_WHILE_DRAINING,
        Event.INTERRUPTED_BY_STOP,
        Event.REQUESTS_AT_STOP,
    )
)

_outputs: list[LogOutput] = []
# Those of the outputs that have a rate limit.
_bounded_outputs: list[LogOutput] = []


def start_logging(process: str, stream=None):
    """Write all events of `process` to `stream`, which defaults to standard error."""
    eliot.to_file(stream if stream is not None else sys.stderr)
    eliot.add_global_fields(process=process)


def start_nonblocking_logging(process: str, fd: int) -> LogOutput:
    """Write the events of `process` to `fd` without blocking on a slow reader.

    The process must flush it regularly, with `flush_and_log_omitted` or
    `flush_and_count_omitted`.
    """
    output = LogOutput(fd, reserved_events=_RESERVED_EVENTS)
    _outputs.append(output)
    start_logging(process, output)
    return output


def start_bounded_logging(process: str, fd: int) -> LogOutput:
    """Write the events of `process` to `fd` with a rate limit and without blocking."""
    output = start_nonblocking_logging(process, fd)
    _bounded_outputs.append(output)
    return output


def flush_and_count_omitted() -> dict[str, int]:
    """Flush the non-blocking outputs and return their counts of omitted lines by event.

    The counts cover the time since the previous call.
    """
    counts: Counter[str] = Counter()
    for output in _outputs:
        output.flush()
        counts.update(
            {str(event): n for event, n in output.pop_omitted_counts().items()}
        )
    return dict(counts)


def flush_and_log_omitted():
    """Flush the non-blocking outputs and log how many lines were omitted."""
    omitted = flush_and_count_omitted()
    if omitted:
        log_event(Event.LINES_OMITTED, counts=omitted)


def persist_unread_lines():
    """Keep the lines that were not read yet for after the end of this process."""
    for output in _outputs:
        output.persist_backlog()
    flush_and_log_omitted()


def log_event(event: Event, **fields):
    """Log `event` with `fields`, which must be JSON values without secrets."""
    if _bounded_outputs and not all(
        output.allow_line(int(event)) for output in _bounded_outputs
    ):
        return
    eliot.log_message(
        message_type=f"bulrushdrum:{event.name.lower()}", event=int(event), **fields
    )

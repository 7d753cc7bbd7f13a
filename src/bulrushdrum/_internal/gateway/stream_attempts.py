"""One attempt of a generation: its path, its connection and what has arrived on it.

An attempt stays open until its stream has ended, has failed, or goes on over another
path. While the next attempt is sent, what arrives on this one is read ahead, so that it
can go on if an event arrives or the next one is refused.
"""

import time
from collections import deque
from contextlib import ExitStack
from typing import NamedTuple

from bulrushdrum._internal.gateway.callers import CallerConnection
from bulrushdrum._internal.gateway.errors import ResponseTooLarge, UpstreamFailed
from bulrushdrum._internal.gateway.events_stream import EventSplitter, StreamEvent
from bulrushdrum._internal.gateway.exchange import (
    PendingResponse,
    ProxiedRequest,
    send_request,
)
from bulrushdrum._internal.gateway.generation_progress import (
    AttemptCounts,
    GenerationProgress,
)
from bulrushdrum._internal.gateway.messages import (
    ForwardingMetadata,
    ResponseMetadata,
)
from bulrushdrum._internal.gateway.readiness import wait_readable
from bulrushdrum._internal.gateway.stream_moves import WatchedAttempt
from bulrushdrum._internal.gateway.stream_watch import StreamWatch
from bulrushdrum._internal.gateway.upstream_connections import ConnectionPool
from bulrushdrum._internal.pipelines.demand import Demand
from bulrushdrum._internal.pipelines.memory_reservations import Hop
from bulrushdrum._internal.world.engines import EngineModel
from bulrushdrum._internal.world.routes import Route

# What has arrived is read without waiting.
_READ_SECONDS = 0.001


class GenerationRun(NamedTuple):
    """A generation that is run for a caller."""

    connection: CallerConnection
    proxied_request: ProxiedRequest
    route: Route
    service: str
    model: EngineModel
    demand: Demand
    progress: GenerationProgress


class StreamAttempt:
    """An attempt over `path`; closing it also closes `resources`."""

    def __init__(
        self,
        path: tuple[Hop, ...],
        watched: WatchedAttempt,
        resources: ExitStack,
    ):
        self.path = path
        self.watched = watched
        self.counts = AttemptCounts()
        self.watch: StreamWatch | None = None
        self.pending: PendingResponse | None = None
        # Of the head of the response, once it is validated.
        self.response_metadata: ResponseMetadata | None = None
        # How it has failed while another attempt was sent.
        self.failure: UpstreamFailed | None = None
        # Whether its sending is among those that the limit on retries counts.
        self.is_counted = False
        self._resources = resources
        self._splitter: EventSplitter | None = None
        self._read_ahead: deque[StreamEvent] = deque()
        self._read_ahead_bytes = 0

    @property
    def reader(self):
        return self.pending.reader

    @property
    def has_partial_event(self) -> bool:
        return self._splitter.has_partial_event

    @property
    def has_begun_event(self) -> bool:
        """Whether a part of an event has arrived that is not just a comment."""
        return self._splitter is not None and self._splitter.has_begun_event

    @property
    def is_refused(self) -> bool:
        """Whether its upstream has answered with a status other than success."""
        return self.reader.has_head and not 200 <= self.reader.status < 300

    def send(self, run: GenerationRun, pool: ConnectionPool):
        """Send the generation; raises `UpstreamFailed`."""
        first = self.path[0]
        forwarding = ForwardingMetadata(
            first.upstream.id,
            run.proxied_request.deadline - time.monotonic(),
            run.proxied_request.team,
            self.path,
            run.progress.last_id,
            run.proxied_request.priority,
        )
        self.counts.sent_at = time.monotonic()
        self.pending = send_request(
            pool, first.address, run.proxied_request, forwarding
        )
        self.watch = StreamWatch(run.route, run.proxied_request.deadline)
        self._splitter = EventSplitter(self.pending.connection.limits.event_bytes)

    def receive(self, run: GenerationRun) -> bool:
        """Wait for data until the next check; tell whether any was received."""
        seconds = self.watched.wait_seconds(self.watch.wait_seconds())
        received = self.pending.connection.receive(seconds)
        if received:
            run.connection.trace.record_data()
        return received

    def receive_beside(self, other: "StreamAttempt", run: GenerationRun) -> bool:
        """Wait as `receive` does, or until data of `other` has arrived."""
        seconds = self.watched.wait_seconds(self.watch.wait_seconds())
        ready = wait_readable(
            (self.pending.connection, other.pending.connection), seconds
        )
        if self.pending.connection not in ready:
            return False
        return self.receive(run)

    def read_ahead(self) -> bool:
        """Read what has arrived; tell whether the stream can go on.

        If it has failed, that is kept as its `failure`.
        """
        reader = self.reader
        try:
            self._read_events_ahead()
        except UpstreamFailed as error:
            self.failure = error
            return False
        if not reader.has_head or self.is_refused:
            return False
        return reader.is_complete or any(event.has_data for event in self._read_ahead)

    def _read_events_ahead(self):
        connection, reader = self.pending
        if connection.has_pending_input():
            connection.receive(_READ_SECONDS)
        while reader.body and not self.is_refused:
            for event in self._splitter.feed(reader.body.popleft()):
                self._read_ahead.append(event)
                self._read_ahead_bytes += len(event.data)
        if self._read_ahead_bytes > connection.limits.event_bytes:
            raise ResponseTooLarge("event", connection.limits.event_bytes)

    def take_events(self) -> list[StreamEvent]:
        """Return the next events that have arrived, which may be none."""
        events = list(self._read_ahead)
        self._read_ahead.clear()
        self._read_ahead_bytes = 0
        if self.reader.body:
            events += self._splitter.feed(self.reader.body.popleft())
        return events

    @property
    def has_data(self) -> bool:
        """Whether data has arrived of which `take_events` was not asked yet."""
        return bool(self._read_ahead or self.reader.body)

    def disconnect(self):
        if self.pending is not None:
            self.pending.connection.close()

    def close(self):
        """Close the connection and free what the attempt uses."""
        self.disconnect()
        self._resources.close()

    def release(self, pool: ConnectionPool):
        """Free what the attempt uses, and keep its connection if it can be reused."""
        pool.release(self.pending.connection, self.reader.headers)
        self._resources.close()

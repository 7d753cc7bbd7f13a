"""Moves streams off a path that has fallen silent, while that is in time for callers.

The old attempt ends when the next one is accepted. A move is an attempt and a retry
like any other, and needs a path without the upstreams that may be silent. All of that
is settled before: a stream that cannot move waits for its path.
"""

import time
from collections.abc import Callable

import gevent

from bulrushdrum._internal.gateway.errors import (
    UpstreamFailed,
    UpstreamRestarted,
    UpstreamSilent,
)
from bulrushdrum._internal.gateway.exchange import ProxiedRequest
from bulrushdrum._internal.gateway.generation_progress import GenerationProgress
from bulrushdrum._internal.gateway.move_bound import MoveBound
from bulrushdrum._internal.gateway.path_waiting import PathWaiter
from bulrushdrum._internal.gateway.stream_pace import PaceHistory, StreamPace
from bulrushdrum._internal.limits.retry_window import RetryWindow
from bulrushdrum._internal.observability.events import Event, log_event
from bulrushdrum._internal.pipelines.demand import Demand
from bulrushdrum._internal.pipelines.memory_reservations import Hop
from bulrushdrum._internal.pipelines.silent_upstreams import Silence, SilentUpstreams
from bulrushdrum._internal.world.engines import EngineModel
from bulrushdrum._internal.world.routes import Route

# A wait that ended later than asked for by this much means that this process was
# paused. What it received meanwhile is read first.
_MAX_LATENESS_SECONDS = 0.02
# A stream that could not move asks again after this time.
_RETRY_SECONDS = 0.02


class StreamMover:
    """Decides which streams of a router move.

    `detect_stall(path)` marks the upstreams that stall a path, `is_avoided(id)` tells
    whether an upstream is known to be unusable, `loop_latency()` returns by how many
    seconds the event loop is late, `report_silence(path, silence)` passes on which
    upstreams may be silent, and `check_pace(path)` looks for slow ones.
    """

    def __init__(
        self,
        silent_upstreams: SilentUpstreams,
        path_waiter: PathWaiter,
        budget: RetryWindow,
        count_routers: Callable[[], int],
        detect_stall: Callable[[tuple[Hop, ...]], None],
        is_avoided: Callable[[str], bool],
        loop_latency: Callable[[], float] = lambda: 0.0,
        report_silence: Callable[[tuple[Hop, ...], Silence], None] = lambda *_: None,
        check_pace: Callable[[tuple[Hop, ...]], None] = lambda path: None,
        clock=time.monotonic,
    ):
        self.silent_upstreams = silent_upstreams
        self.history = PaceHistory()
        # Counted for the metrics.
        self.moves = 0
        self._path_waiter = path_waiter
        self._budget = budget
        self._count_routers = count_routers
        self._detect_stall = detect_stall
        self._is_avoided = is_avoided
        self._loop_latency = loop_latency
        self._report_silence = report_silence
        self._check_pace = check_pace
        self.clock = clock
        self._bound = MoveBound(clock)

    @property
    def loop_latency(self) -> float:
        return self._loop_latency()

    def watch(
        self,
        proxied_request: ProxiedRequest,
        route: Route,
        service: str,
        model: EngineModel,
        demand: Demand,
        path: tuple[Hop, ...],
        progress: GenerationProgress,
        can_move: bool,
    ) -> "WatchedAttempt":
        """Begin to watch an attempt, which may move if `can_move`."""

        def find_path(excluded):
            return self._path_waiter.find_other_path(
                proxied_request, service, model, demand, progress, excluded
            )

        def find_next_path():
            return self._path_waiter.find_next_path(service, model, demand, progress)

        waiting_since = progress.last_event_at or proxied_request.request.read_at
        pace = StreamPace(
            route, service, self.history, max(time.monotonic() - waiting_since, 0.0)
        )
        return WatchedAttempt(
            self,
            pace,
            path,
            progress,
            service,
            proxied_request,
            find_path,
            find_next_path,
            can_move,
        )

    def avoided(self, ids: frozenset[str]) -> frozenset[str]:
        """Return those of some upstreams that are known to be unusable."""
        return frozenset(filter(self._is_avoided, ids))

    def may_move(self, candidates: frozenset[str]) -> bool:
        """Whether another stream may move that one of `candidates` has silenced."""
        return self._bound.allows(candidates, self.silent_upstreams.attempts)

    def record_start(self, path: tuple[Hop, ...], is_slow: bool):
        """Record that the first event of an attempt has arrived."""
        if is_slow:
            self._check_pace(path)

    def can_reserve_retry(
        self, progress: GenerationProgress, service: str, has_delivered: bool
    ) -> bool:
        """Whether the retry of a stream could be counted ahead now."""
        return self._budget.can_count_ahead(
            progress.retry_costs, service, self._count_routers(), has_delivered
        )

    def reserve_retry(self, progress: GenerationProgress, service: str) -> bool:
        """Count the retry of a move ahead, if the limit allows it.

        The last part of the limit is left to streams that have lost their path. This
        does not wait for a loan: the stream asks again after `_RETRY_SECONDS`.
        """
        return self._budget.try_count_ahead(
            progress.retry_costs, service, self._count_routers()
        )

    def wait_to_reserve_retry(
        self, progress: GenerationProgress, service: str, arrived_at: float
    ) -> bool:
        """Count the retry of a stream whose path seems to have failed, ahead.

        It may use all of the limit if its caller has received a part of the answer, and
        waits shortly for a loan.
        """
        return self._budget.wait_to_count_ahead(
            progress.retry_costs,
            service,
            self._count_routers(),
            progress.started,
            arrived_at,
        )

    def record_move(self, path, silence):
        self._bound.record(silence.candidates)
        self.moves += 1
        self._report_silence(path, silence)
        gevent.spawn(self._detect_stall, path)


class WatchedAttempt:
    """One attempt of a generation, as a context manager that lasts as long as it."""

    def __init__(
        self,
        mover: StreamMover,
        pace: StreamPace,
        path: tuple[Hop, ...],
        progress: GenerationProgress,
        service: str,
        proxied_request: ProxiedRequest,
        find_path: Callable[[frozenset[str]], tuple[Hop, ...] | None],
        find_next_path: Callable[[], tuple[Hop, ...] | None],
        can_move: bool,
    ):
        self._mover = mover
        self._pace = pace
        self._path = path
        self._progress = progress
        self._service = service
        self._proxied_request = proxied_request
        self._find_path = find_path
        self._find_next_path = find_next_path
        self.can_move = can_move
        self._asked_at = 0.0
        self._wait_until = 0.0

    def __enter__(self):
        self._observed = self._mover.silent_upstreams.begin(self._path)
        self._event_at = self._mover.clock()
        return self

    def __exit__(self, *_):
        self._mover.silent_upstreams.end(self._observed)

    def wait_seconds(self, longest: float) -> float:
        """Return how long to wait for data, at most `longest`."""
        now, seconds = self._mover.clock(), longest
        overdue_at = self._overdue_at()
        if overdue_at is not None:
            seconds = min(seconds, max(overdue_at - now, 0.001))
        self._wait_until = now + seconds
        return seconds

    def record_event(self):
        now = self._mover.clock()
        if not self._pace.has_events:
            is_slow = self._pace.is_slow_start(now - self._event_at)
            self._mover.record_start(self._path, is_slow)
        self._pace.record_event(now - self._event_at)
        self._event_at = now
        self._mover.silent_upstreams.record_event(self._observed)

    def end(self):
        """Record that the stream has ended in order."""
        self._pace.end()

    def move_if_overdue(self, received: bool):
        """Raise `UpstreamSilent` if the stream should move, and can."""
        overdue_at, now = self._overdue_at(), self._mover.clock()
        if received or overdue_at is None or now < overdue_at:
            return
        self._asked_at = now
        is_late = now - self._wait_until > _MAX_LATENESS_SECONDS
        if is_late:
            return
        usual_pause = self._pace.usual_pause()
        silence = self._mover.silent_upstreams.explain(self._observed, usual_pause)
        if silence is None or not self._mover.may_move(silence.candidates):
            return
        # A path that is found has used the limits of its upstreams.
        if not (
            self._mover.can_reserve_retry(self._progress, self._service, False)
            or self._mover.reserve_retry(self._progress, self._service)
        ):
            return
        # What others have found out by now leaves more paths to choose from.
        avoided = self._mover.avoided(self._observed.ids)
        path = self._find_path(avoided or silence.candidates or self._observed.ids)
        if path is None:
            return
        if not self._mover.reserve_retry(self._progress, self._service):
            return
        self._progress.next_path = path
        self._mover.record_move(self._path, silence)
        log_event(
            Event.STREAM_MOVED,
            request=self._proxied_request.metadata.request_id.decode("latin-1"),
            silent_seconds=round(now - self._event_at, 3),
            usual_pause=round(usual_pause, 3),
            candidates=sorted(silence.candidates),
            events_delivered=self._progress.events,
        )
        raise UpstreamSilent("the stream is unusually silent", silence.candidates)

    def settle_retry(self, failure: UpstreamFailed) -> bool:
        """Find the path of the next attempt and count its retry, before this one ends.

        Returns whether both succeeded, for a path that seems to have failed.
        """
        if not self.can_move or not self._progress.can_resume:
            return False
        avoided = self._mover.avoided(self._observed.ids)
        self._progress.failed_upstreams |= avoided
        if not avoided and not isinstance(failure, UpstreamRestarted):
            self._progress.suspects |= self._observed.ids
        # A path that is found has used the limits of its upstreams.
        if not (
            self._mover.can_reserve_retry(
                self._progress, self._service, self._progress.started
            )
            or self._wait_to_reserve_retry()
        ):
            return False
        path = self._find_next_path()
        if path is None or not self._wait_to_reserve_retry():
            return False
        self._progress.next_path = path
        return True

    def _wait_to_reserve_retry(self):
        return self._mover.wait_to_reserve_retry(
            self._progress, self._service, self._proxied_request.request.read_at
        )

    def stay(self):
        """Forget the path that `settle_retry` found; its retry stays counted."""
        self._progress.next_path = None

    def _overdue_at(self):
        """Return when to move, a time of the clock, or None."""
        if not self.can_move or not self._progress.can_resume:
            return None
        seconds = self._pace.overdue_after(self._mover.loop_latency)
        if seconds is None:
            return None
        overdue_at = self._event_at + seconds
        if self._asked_at >= overdue_at:
            return self._asked_at + _RETRY_SECONDS
        return overdue_at

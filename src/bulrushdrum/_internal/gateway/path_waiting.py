"""Waits until a path can take a generation.

A generation that finds no path waits for a part of its goal: others end and free
memory, and the limits that upstreams name admit another request.
"""

import time

from bulrushdrum._internal.gateway.exchange import ProxiedRequest
from bulrushdrum._internal.gateway.generation_progress import GenerationProgress
from bulrushdrum._internal.gateway.stream_watch import caller_timeout
from bulrushdrum._internal.gateway.turns import Turn, TurnWaiter
from bulrushdrum._internal.observability.events import Event, log_event
from bulrushdrum._internal.pipelines.demand import Demand
from bulrushdrum._internal.pipelines.errors import (
    InsufficientMemory,
    LimitsReached,
    NoPath,
    PipelineError,
)
from bulrushdrum._internal.pipelines.memory_reservations import Hop
from bulrushdrum._internal.pipelines.paths import PathChooser
from bulrushdrum._internal.world.engines import EngineModel
from bulrushdrum._internal.world.routes import Route

# A request waits for this fraction of its goal and is then refused.
_WAIT_FRACTION = 0.4
# A request whose path failed waits for this fraction of its caller's timeout.
_RETRY_WAIT_FRACTION = 0.4


def describe_refusal(error: PipelineError) -> str:
    """Return why no path took a generation, for its caller and the log."""
    match error:
        case LimitsReached():
            return str(error)
        case _:
            return "no path has room"


class PathWaiter:
    """Chooses paths for generations, which wait in turn if there is none."""

    def __init__(self, chooser: PathChooser, turns: TurnWaiter):
        self._chooser = chooser
        self._turns = turns

    def notify(self):
        """Wake the waiting requests, because a request has freed what it used."""
        self._turns.notify()

    def wait_for_path(
        self,
        proxied_request: ProxiedRequest,
        route: Route,
        service: str,
        model: EngineModel,
        demand: Demand,
        progress: GenerationProgress,
    ) -> tuple[Hop, ...]:
        """Return a path, for which a request is counted with its upstreams.

        Raises the `PipelineError` that explains why there is none in time.
        """
        if progress.next_path is not None:
            path, progress.next_path = progress.next_path, None
            return path
        waits_for = (InsufficientMemory, LimitsReached)
        if progress.started:
            waits_for = (PipelineError,)
            demand = demand._replace(has_begun=True)
        turn = Turn(
            service,
            proxied_request.request.read_at,
            proxied_request.priority,
            min(
                _wait_until(proxied_request, route, progress),
                proxied_request.deadline,
            ),
            progress,
            waits_for,
        )

        def find():
            try:
                return self._choose_path(service, model, demand, progress)
            except NoPath as error:
                log_event(
                    Event.NO_PATH,
                    request=proxied_request.metadata.request_id.decode("latin-1"),
                    reason=str(error),
                )
                raise

        try:
            return self._turns.wait(turn, find)
        except LimitsReached as error:
            request_id = proxied_request.metadata.request_id
            self._turns.log_limits_reached(request_id, service, error)
            raise
        except PipelineError:
            self._log_insufficient_memory(proxied_request, service, model)
            raise

    def find_next_path(
        self, service, model, demand, progress
    ) -> tuple[Hop, ...] | None:
        """Return the path that `wait_for_path` would return now, or None."""
        if progress.started:
            demand = demand._replace(has_begun=True)
        try:
            return self._choose_path(service, model, demand, progress)
        except PipelineError:
            return None

    def find_other_path(
        self, proxied_request, service, model, demand, progress, excluded
    ) -> tuple[Hop, ...] | None:
        """Return a path without the upstreams `excluded` if there is one now.

        Its request is counted with its upstreams, as by `wait_for_path`.
        """
        excluded = excluded | progress.failed_upstreams | progress.refusing_upstreams()
        try:
            return self._chooser.choose(
                service, model, demand, excluded, progress.suspects, progress
            )
        except PipelineError:
            return None

    def _choose_path(self, service, model, demand, progress):
        """Choose a path, preferably without the upstreams that failed this request.

        Upstreams that recently refused it are excluded, as they would refuse it again.
        Upstreams that failed it are used if there is no other path: a single failed
        response is more often chance than a broken upstream. A path that stalled for an
        unknown reason shares as few upstreams as possible with the next one.
        """
        refusing = progress.refusing_upstreams()
        failed = progress.failed_upstreams | refusing
        choices = [(failed, progress.suspects)]
        if failed != refusing:
            choices.append((refusing, progress.suspects))
        if progress.suspects:
            choices.insert(0, (failed | progress.suspects, frozenset()))
        for excluded, discouraged in choices:
            try:
                return self._chooser.choose(
                    service, model, demand, excluded, discouraged, progress
                )
            except (InsufficientMemory, LimitsReached) as error:
                problem = error
            except NoPath as error:
                # The excluded upstreams hold layers and may have free memory soon.
                problem = InsufficientMemory(str(error)) if refusing else error
        raise problem

    def _log_insufficient_memory(self, proxied_request, service, model):
        log_event(
            Event.NO_ROOM,
            request=proxied_request.metadata.request_id.decode("latin-1"),
            service=service,
            data_centres=self._chooser.describe_memory(service, model),
        )


def _wait_until(proxied_request, route, progress):
    now = time.monotonic()
    if not progress.attempts:
        return now + route.goal * _WAIT_FRACTION
    # A refusal would discard work that was already done, and the caller waits as long
    # for the next event as for any other. The next attempt reads the prompt again.
    last_event_at = progress.last_event_at or proxied_request.request.read_at
    return max(
        last_event_at + caller_timeout(route) - route.goal,
        now + caller_timeout(route) * _RETRY_WAIT_FRACTION,
    )

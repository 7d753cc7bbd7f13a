"""What a generation has delivered and tried so far, and what it demands.

A generation may take several attempts on different paths. Each one continues after the
last event that the caller received, and avoids the upstreams that failed before.
"""

import time
from dataclasses import dataclass

from bulrushdrum._internal.gateway.errors import UpstreamFailed
from bulrushdrum._internal.gateway.events_stream import StreamEvent
from bulrushdrum._internal.gateway.exchange import ProxiedRequest
from bulrushdrum._internal.limits.retry_window import RetryCosts
from bulrushdrum._internal.pipelines.demand import Demand
from bulrushdrum._internal.pipelines.memory_reservations import Hop
from bulrushdrum._internal.world.engines import EngineModel


@dataclass
class AttemptCounts:
    """When an attempt was sent, and its events with data."""

    sent_at: float = 0.0
    events: int = 0


class GenerationProgress:
    """The events, attempts and failures of a generation so far."""

    def __init__(self, resume_after):
        self.last_id = resume_after
        self.last_number = int(resume_after) if _is_number(resume_after) else None
        self.events = 0
        # Those of the attempt in progress.
        self.attempt = AttemptCounts()
        # When the caller received the last event; 0 before the first one.
        self.last_event_at = 0.0
        self.has_data = False
        # Another run cannot go on after an event that has no id.
        self.can_resume = True
        # Whether an attempt was cut inside an event that no later one has delivered.
        self.has_begun_event = False
        self.started = False
        # Status and media type of the response that has started.
        self.form: tuple[int, bytes] | None = None
        self.attempts = 0
        self.refusals = 0
        # Whether an attempt that does not count may have run nevertheless.
        self.may_have_run = False
        # How the last attempt ended, and its path, for the log.
        self.last_failure: str | None = None
        self.last_path: list[str] = []
        self.retry_costs = RetryCosts()
        self.failed_upstreams: set[str] = set()
        # Upstreams of paths that stalled for an unknown reason.
        self.suspects: set[str] = set()
        self.refused_until: dict[str, float] = {}
        # The path of the next attempt, if it is already chosen.
        self.next_path: tuple[Hop, ...] | None = None

    def accept(self, event: StreamEvent) -> bool:
        """Record the next event; return False if it was already delivered.

        Raises `UpstreamFailed` if events are missing before it.
        """
        if event.number is not None and self.last_number is not None:
            if event.number <= self.last_number:
                return False
            if event.number != self.last_number + 1:
                raise UpstreamFailed(f"event {event.number} is out of order", True)
        self.events += 1
        self.last_event_at = time.monotonic()
        if event.has_data:
            self.has_data, self.has_begun_event = True, False
            self.can_resume = event.raw_id is not None
        if event.raw_id is not None:
            self.last_id = event.raw_id
            self.last_number = event.number
        return True

    @property
    def sent_at(self) -> float:
        """When the attempt in progress was sent; 0 before the first one."""
        return self.attempt.sent_at

    @property
    def attempt_events(self) -> int:
        """The events with data of the attempt in progress."""
        return self.attempt.events

    @property
    def expects_event(self) -> bool:
        """Whether the generation is known to have an event that was not delivered.

        Each generation has at least one event.
        """
        is_empty = not self.has_data and self.last_id is None
        return is_empty or self.has_begun_event

    def seconds_since_event(self) -> float:
        """Return how long ago the last event arrived, or the attempt was sent."""
        return time.monotonic() - max(self.last_event_at, self.sent_at)

    def has_caller_left(self, timeout: float) -> bool:
        """Whether a stream has delivered nothing for longer than callers wait."""
        return self.started and time.monotonic() > self.last_event_at + timeout

    def refusing_upstreams(self) -> set[str]:
        """Return the upstreams that recently refused this request."""
        now = time.monotonic()
        return {name for name, until in self.refused_until.items() if until > now}


def _is_number(text):
    return text is not None and text.isdigit()


def estimate_demand(proxied_request: ProxiedRequest, model: EngineModel) -> Demand:
    """Return the tokens that a generation is expected to need."""
    generation = proxied_request.metadata.generation
    if generation is None:
        return Demand(model.mean_prompt_tokens, model.mean_answer_tokens)
    output_tokens = generation.max_output or model.mean_answer_tokens
    if generation.expected_output is not None:
        # The caller's estimate is often far off, so it is averaged with the mean.
        estimate = (generation.expected_output + model.mean_answer_tokens) / 2
        output_tokens = min(output_tokens, estimate)
    return Demand(generation.prompt, output_tokens)

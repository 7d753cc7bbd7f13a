"""What the router knows of model engines: their memory, their speed, their state.

An engine holds a contiguous range of a model's layers. The memory that its layers leave
free holds the key-value cache of requests, counted here in token-layers: one token of
one request occupies one token-layer in each layer that the engine runs for it.
"""

from typing import NamedTuple

from bulrushdrum._internal.world.upstreams import LayerRange, UpstreamState

# One-way delay between two VMs of one data centre, in seconds. The platform lists only
# delays between data centres; this is the usual figure within one.
LOCAL_DELAY_SECONDS = 0.0002


class AcceleratorKind(NamedTuple):
    """A kind of accelerator, relative to the engine's reference figures."""

    name: str
    memory_bytes: float
    step_factor: float
    prefill_factor: float


class EngineModel(NamedTuple):
    """The cost model of a service's engines, for all layers on the reference kind.

    Times are in seconds. `mean_prompt_tokens` and `mean_answer_tokens` are mean token
    counts.
    A token that leaves a data centre in the middle of its path takes `activation_bytes`
    of the pipe that all paths between two data centres share.
    """

    model: str
    layers: int
    layer_bytes: float
    token_layer_bytes: float
    step_seconds: float
    sequence_seconds: float
    context_seconds_per_token: float
    prefill_tokens_per_second: float
    steps_per_event: int
    max_sequences: int
    mean_prompt_tokens: float
    mean_answer_tokens: float
    load_seconds: float
    loads_at_once: int
    activation_bytes: float
    link_bytes_per_second: float
    kinds: dict[str, AcceleratorKind]
    delays: dict[tuple[str, str], float]

    @property
    def mean_request_tokens(self) -> float:
        """Tokens that a usual request occupies at its end."""
        return self.mean_prompt_tokens + self.mean_answer_tokens

    def delay(self, data_centre: str, other: str) -> float:
        """Return the one-way delay between two data centres in seconds."""
        if data_centre == other:
            return LOCAL_DELAY_SECONDS
        known = self.delays.get((data_centre, other))
        if known is None:
            known = self.delays.get((other, data_centre), LOCAL_DELAY_SECONDS)
        return LOCAL_DELAY_SECONDS + known

    def transfer_seconds(self, tokens: float) -> float:
        """Return how long `tokens` occupy the pipe between two data centres."""
        return tokens * self.activation_bytes / self.link_bytes_per_second

    def capacity(self, kind: AcceleratorKind, layer_count: int) -> float:
        """Return the token-layers that fit beside `layer_count` layers."""
        free = kind.memory_bytes - layer_count * self.layer_bytes
        return max(free, 0.0) / self.token_layer_bytes


class PoolUpstream(NamedTuple):
    """One upstream as it registered itself.

    `kind` is the name of its accelerator kind, empty for plain services. `layers` is
    None for an engine that holds none. `born` is the
    time of its start in Unix milliseconds.
    """

    id: str
    service: str
    address: str
    data_centre: str
    state: UpstreamState
    slots: int
    kind: str = ""
    layers: LayerRange | None = None
    born: int = 0

    @property
    def is_serving(self) -> bool:
        return self.state is UpstreamState.SERVING

"""Memory, speed and state of model engines.

An engine holds a contiguous range of a model's layers. The remaining memory holds the
key-value cache of its requests. Cache sizes are counted in token-layers: each token of
a request takes one token-layer for every layer that the engine runs.
"""

from typing import NamedTuple

from bulrushdrum._internal.world.upstreams import LayerRange, UpstreamState

# Typical one-way delay between two VMs of the same data centre. The platform lists only
# the delays between data centres.
LOCAL_DELAY_SECONDS = 0.0002


class AcceleratorKind(NamedTuple):
    """A kind of accelerator.

    The factors scale the times of `EngineModel`, which hold for the reference kind.
    """

    name: str
    memory_bytes: float
    step_factor: float
    prefill_factor: float


class EngineModel(NamedTuple):
    """Cost model of a service's engines.

    Times are in seconds, for all layers of the model on the reference kind of
    accelerator. A token whose path crosses from one data centre to another transfers
    `activation_bytes` over the link that all paths between the two share.
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
        """Mean number of tokens of a completed request, prompt and answer."""
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
        """Return the seconds that `tokens` take on the link between data centres."""
        return tokens * self.activation_bytes / self.link_bytes_per_second

    def capacity(self, kind: AcceleratorKind, layer_count: int) -> float:
        """Return the cache capacity, in token-layers, beside `layer_count` layers."""
        free = kind.memory_bytes - layer_count * self.layer_bytes
        return max(free, 0.0) / self.token_layer_bytes

    def can_use(self, engine: "PoolUpstream") -> bool:
        """Whether an engine is of a known kind and holds only layers of this model.

        Registrations may state a kind or layers that the configuration does not have.
        """
        if engine.layers is not None and engine.layers.end > self.layers:
            return False
        return engine.kind in self.kinds


class PoolUpstream(NamedTuple):
    """One registered upstream.

    `kind` is the name of its accelerator kind, empty for plain services. `layers` is
    None if the upstream holds no layers. `born` is its start time in Unix milliseconds,
    and `heartbeats` how many it had sent when it registered this.
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
    software_version: str = ""
    heartbeats: int = 0

    @property
    def is_serving(self) -> bool:
        return self.state is UpstreamState.SERVING

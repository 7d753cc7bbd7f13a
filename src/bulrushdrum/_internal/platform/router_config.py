"""Decodes the operator's configuration and the servers' registrations.

The platform's names are decoded once, here. Several of them mislead: `route-kind` in a
route says what may be repeated, while in a registration it names the accelerator;
`target` is the first layer after a range. `seq-no` in a registration counts heartbeats;
only in an engine's report does it count accepted orders.
"""

import json

from bulrushdrum._internal.platform.errors import MalformedRow
from bulrushdrum._internal.world.engines import (
    AcceleratorKind,
    EngineModel,
    PoolUpstream,
)
from bulrushdrum._internal.world.routes import (
    CallerLimits,
    RequestKind,
    Route,
    RouterConfiguration,
    RouteTable,
    Service,
    ServiceShare,
    Team,
)
from bulrushdrum._internal.world.upstreams import LayerRange, UpstreamState

_BYTES_PER_MB = 1_000_000
_BYTES_PER_MBIT = 125_000
_STATES = {"ready": UpstreamState.SERVING, "draining": UpstreamState.DRAINING}


def _seconds(milliseconds):
    return float(milliseconds) / 1000.0


def _route(raw):
    shares = raw.get("split") or [{"service": raw["service"], "weight": 1}]
    timeout = _seconds(raw["timeout-ms"])
    goal = _seconds(raw.get("goal-ms", raw["timeout-ms"]))
    return Route(
        name=raw["name"],
        host=raw["host"].lower(),
        prefix=raw["prefix"],
        kind=RequestKind(raw["route-kind"]),
        shares=tuple(
            ServiceShare(share["service"], float(share["weight"])) for share in shares
        ),
        timeout=timeout,
        goal=goal,
        gap_goal=_seconds(raw.get("gap-goal-ms", 1000)),
        priority=int(raw.get("priority", 5)),
        max_attempts=max(int(raw.get("max-attempts", 1)), 1),
        public=bool(raw.get("public", False)),
        resumable=bool(raw.get("resumable", False)),
    )


def _kind(raw):
    return AcceleratorKind(
        raw["name"],
        float(raw["size-mb"]) * _BYTES_PER_MB,
        float(raw["pace"]),
        float(raw["read-factor"]),
    )


def _engine(raw):
    layers = int(raw["layers"])
    usual = raw.get("usual", {})
    models = raw.get("models") or [{}]
    return EngineModel(
        model=str(models[0].get("name", "")),
        layers=layers,
        layer_bytes=float(raw["layer-mb"]) * _BYTES_PER_MB,
        token_layer_bytes=float(raw["kv-token-bytes"]) / layers,
        step_seconds=_seconds(raw["step_ms"]),
        sequence_seconds=_seconds(raw["per_seq_ms"]),
        context_seconds_per_token=_seconds(raw["context_per_k"]) / 1000.0,
        prefill_tokens_per_second=float(raw["read_per_s"]),
        steps_per_event=int(raw.get("stride", 1)),
        max_sequences=int(raw["slots"]),
        mean_prompt_tokens=float(usual.get("prompt", 500)),
        mean_answer_tokens=float(usual.get("answer", 200)),
        load_seconds=float(models[0].get("load-s", 10.0)),
        loads_at_once=int(raw.get("loads_at_once", 1)),
        activation_bytes=float(raw.get("activation-bytes", 0)),
        link_bytes_per_second=float(raw.get("pipe-mbps", 10_000)) * _BYTES_PER_MBIT,
        kinds={kind["name"]: _kind(kind) for kind in raw["kinds"]},
        delays={
            (pair["from"], pair["target"]): _seconds(pair["delay_ms"])
            for pair in raw.get("delays", ())
        },
    )


def _service(raw):
    engine = raw.get("engine")
    return Service(
        raw["name"],
        int(raw.get("max-conns", 100)),
        _engine(engine) if engine and "kinds" in engine else None,
    )


def _limits(raw):
    return CallerLimits(
        int(raw["max-header-bytes"]),
        int(raw["max-body-bytes"]),
        _seconds(raw["header-timeout-ms"]),
        _seconds(raw["idle-timeout-ms"]),
    )


def decode_configuration(value: bytes) -> RouterConfiguration:
    """Return the configuration in a row's value; raises `MalformedRow`."""
    try:
        raw = json.loads(value)
        teams = raw.get("tenants")
        return RouterConfiguration(
            version=int(raw["version"]),
            routes=RouteTable([_route(route) for route in raw["routes"]]),
            services={
                service["name"]: _service(service) for service in raw["services"]
            },
            limits=_limits(raw["limits"]) if "limits" in raw else CallerLimits(),
            teams_by_key=None
            if teams is None
            else {
                key: Team(team["name"], team.get("priority"))
                for team in teams
                for key in team["api-keys"]
            },
        )
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise MalformedRow(f"configuration: {error!r}") from error


def decode_layers(held) -> LayerRange | None:
    """Return the layers that a server says it holds; raises like `int` and `dict`."""
    if not isinstance(held, dict):
        return None
    first, end = int(held["from"]), int(held["target"])
    return LayerRange(first, end) if end > first else None


def decode_upstream(upstream_id: str, value: bytes) -> PoolUpstream:
    """Return the registration in a row's value; raises `MalformedRow`."""
    try:
        raw = json.loads(value)
        host, _, port = raw["address"].rpartition(":")
        if not host or not 0 < int(port) < 65536:
            raise ValueError(f"address {raw['address']!r} is not like 10.0.0.1:80")
        return PoolUpstream(
            id=upstream_id,
            service=_text(raw, "service"),
            address=raw["address"],
            data_centre=_text(raw, "zone"),
            state=_STATES[raw["state"]],
            slots=int(raw["slots"]),
            kind=str(raw.get("route-kind", "")),
            layers=decode_layers(raw.get("layers")),
            born=int(raw.get("born", 0)),
        )
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise MalformedRow(f"upstream {upstream_id!r}: {error!r}") from error


def _text(raw, name):
    value = raw[name]
    if not isinstance(value, str):
        raise ValueError(f"{name}: {value!r} is not a string")
    return value

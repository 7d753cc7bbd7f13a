"""Decodes the operator's configuration and the servers' registrations.

The names of their fields are translated only here. Several are misleading: `route-kind`
of a route states which requests may be repeated, but in a registration it names the
accelerator. `target` is the first layer after a range. `seq-no` counts heartbeats in a
registration, and accepted orders only in an engine's report.
"""

import json
import re

from bulrushdrum._internal.decoding import (
    DECODING_ERRORS,
    require_integer,
    require_string,
)
from bulrushdrum._internal.platform.errors import MalformedRow
from bulrushdrum._internal.world.addresses import parse_ipv4_address
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
_UPSTREAM_STATES = {"ready": UpstreamState.SERVING, "draining": UpstreamState.DRAINING}
# The ids of upstreams are sent as the value of a header.
_UPSTREAM_ID_RE = re.compile(r"[!-~]{1,200}")


def _to_seconds(milliseconds):
    return float(milliseconds) / 1000.0


def _decode_route(raw):
    shares = raw.get("split") or [{"service": raw["service"], "weight": 1}]
    timeout = _to_seconds(raw["timeout-ms"])
    goal = _to_seconds(raw.get("goal-ms", raw["timeout-ms"]))
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
        gap_goal=_to_seconds(raw.get("gap-goal-ms", 1000)),
        priority=int(raw.get("priority", 5)),
        max_attempts=max(int(raw.get("max-attempts", 1)), 1),
        public=bool(raw.get("public", False)),
        resumable=bool(raw.get("resumable", False)),
    )


def _decode_accelerator_kind(raw):
    return AcceleratorKind(
        raw["name"],
        float(raw["size-mb"]) * _BYTES_PER_MB,
        float(raw["pace"]),
        float(raw["read-factor"]),
    )


def _decode_engine_model(raw):
    layers = int(raw["layers"])
    typical_request = raw.get("usual", {})
    models = raw.get("models") or [{}]
    return EngineModel(
        model=str(models[0].get("name", "")),
        layers=layers,
        layer_bytes=float(raw["layer-mb"]) * _BYTES_PER_MB,
        token_layer_bytes=float(raw["kv-token-bytes"]) / layers,
        step_seconds=_to_seconds(raw["step_ms"]),
        sequence_seconds=_to_seconds(raw["per_seq_ms"]),
        context_seconds_per_token=_to_seconds(raw["context_per_k"]) / 1000.0,
        prefill_tokens_per_second=float(raw["read_per_s"]),
        steps_per_event=int(raw.get("stride", 1)),
        max_sequences=int(raw["slots"]),
        mean_prompt_tokens=float(typical_request.get("prompt", 500)),
        mean_answer_tokens=float(typical_request.get("answer", 200)),
        load_seconds=float(models[0].get("load-s", 10.0)),
        loads_at_once=int(raw.get("loads_at_once", 1)),
        activation_bytes=float(raw.get("activation-bytes", 0)),
        link_bytes_per_second=float(raw.get("pipe-mbps", 10_000)) * _BYTES_PER_MBIT,
        kinds={kind["name"]: _decode_accelerator_kind(kind) for kind in raw["kinds"]},
        delays={
            (pair["from"], pair["target"]): _to_seconds(pair["delay_ms"])
            for pair in raw.get("delays", ())
        },
    )


def _decode_service(raw):
    engine = raw.get("engine")
    return Service(
        raw["name"],
        int(raw.get("max-conns", 100)),
        _decode_engine_model(engine) if engine and "kinds" in engine else None,
    )


def _decode_caller_limits(raw):
    return CallerLimits(
        int(raw["max-header-bytes"]),
        int(raw["max-body-bytes"]),
        _to_seconds(raw["header-timeout-ms"]),
        _to_seconds(raw["idle-timeout-ms"]),
    )


def decode_configuration(value: bytes) -> RouterConfiguration:
    """Decode the configuration from a row's value; raises `MalformedRow`."""
    try:
        raw = json.loads(value)
        teams = raw.get("tenants")
        return RouterConfiguration(
            version=int(raw["version"]),
            routes=RouteTable([_decode_route(route) for route in raw["routes"]]),
            services={
                service["name"]: _decode_service(service) for service in raw["services"]
            },
            limits=_decode_caller_limits(raw["limits"])
            if "limits" in raw
            else CallerLimits(),
            teams_by_key=None
            if teams is None
            else {
                key: Team(team["name"], team.get("priority"))
                for team in teams
                for key in team["api-keys"]
            },
        )
    except DECODING_ERRORS as error:
        raise MalformedRow(f"configuration: {error!r}") from error


def decode_layers(raw) -> LayerRange | None:
    """Decode the layers of a registration or report; None if the server holds none.

    Raises one of `DECODING_ERRORS` if they are malformed.
    """
    if raw is None:
        return None
    first, end = require_integer(raw, "from"), require_integer(raw, "target")
    return LayerRange(first, end) if end > first else None


def decode_upstream(upstream_id: str, value: bytes) -> PoolUpstream:
    """Decode a registration from a row's value; raises `MalformedRow`."""
    try:
        raw = json.loads(value)
        if not _UPSTREAM_ID_RE.fullmatch(upstream_id):
            raise ValueError("the id is not printable ASCII")
        address = require_string(raw, "address")
        parse_ipv4_address(address)
        return PoolUpstream(
            id=upstream_id,
            service=require_string(raw, "service"),
            address=address,
            data_centre=require_string(raw, "zone"),
            state=_UPSTREAM_STATES[raw["state"]],
            slots=require_integer(raw, "slots"),
            kind=str(raw.get("route-kind", "")),
            layers=decode_layers(raw.get("layers")),
            born=require_integer(raw, "born", default=0),
            software_version=str(raw.get("version", "")),
            heartbeats=require_integer(raw, "seq-no", default=0),
        )
    except DECODING_ERRORS as error:
        raise MalformedRow(f"upstream {upstream_id!r}: {error!r}") from error

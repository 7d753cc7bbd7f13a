"""Checks of an `Open` against what this sidecar is and serves."""

from bulrushdrum._internal.peering.handshake import PeerIdentity
from bulrushdrum._internal.peering.messages import Open
from bulrushdrum._internal.settings.sidecar import SidecarSettings
from bulrushdrum._internal.sidecar.status import UpstreamStatus
from bulrushdrum._internal.world.contracts import HIGHEST_PRIORITY


def refusal_of(
    asked: Open,
    local: PeerIdentity,
    settings: SidecarSettings,
    status: UpstreamStatus,
) -> str:
    """Return why `asked` cannot be served here, or an empty string if it can."""
    reason = status.refusal()
    if reason:
        return reason
    engine = status.engine
    if engine is None:
        return "not_an_engine"
    malformed = _fault_of(asked)
    if malformed:
        return f"malformed_open: {malformed}"
    stage = asked.chain[asked.stage]
    if stage.incarnation != local.incarnation:
        return f"wrong_incarnation: this is {local.incarnation}"
    if stage.upstream != settings.upstream_id:
        return f"wrong_upstream: this is {settings.upstream_id}"
    if (asked.model, asked.model_version) != (engine.model, engine.model_version):
        return f"model_mismatch: {engine.model} {engine.model_version} is loaded"
    if (stage.first_layer, stage.end_layer) != (engine.first_layer, engine.end_layer):
        return f"layer_mismatch: {engine.first_layer}-{engine.end_layer} are loaded"
    if asked.chain[-1].end_layer != engine.model_layers:
        return f"chain_ends_early: the model has {engine.model_layers} layers"
    return ""


def _fault_of(asked):
    """Return what is wrong with the message by itself."""
    if not asked.request or asked.attempt < 1:
        return "no request or attempt"
    if not 0 <= asked.stage < len(asked.chain):
        return f"stage {asked.stage} of a chain of {len(asked.chain)}"
    layer = 0
    for stage in asked.chain:
        if stage.first_layer != layer or stage.end_layer <= layer:
            return f"the chain does not go on at layer {layer}"
        layer = stage.end_layer
    if len({stage.incarnation for stage in asked.chain}) != len(asked.chain):
        return "one sidecar has two stages"
    if not asked.weight > 0 or asked.priority > HIGHEST_PRIORITY:
        return f"weight {asked.weight} or priority {asked.priority}"
    if asked.max_tokens < 1 or asked.prompt_tokens < 1:
        return "no prompt or no tokens wanted"
    return ""

"""Validates an `Open` against this sidecar's identity and loaded model."""

from bulrushdrum._internal.peering.handshake import PeerIdentity
from bulrushdrum._internal.peering.request_messages import Open
from bulrushdrum._internal.settings.sidecar import SidecarSettings
from bulrushdrum._internal.sidecar.status import UpstreamStatus
from bulrushdrum._internal.world.contracts import HIGHEST_PRIORITY


def validate_open(
    message: Open,
    local: PeerIdentity,
    settings: SidecarSettings,
    status: UpstreamStatus,
) -> str:
    """Return the reason to refuse `message`, or an empty string to accept it."""
    reason = status.refusal_reason()
    if reason:
        return reason
    engine = status.engine
    if engine is None:
        return "not_an_engine"
    malformed = _find_malformed_field(message)
    if malformed:
        return f"malformed_open: {malformed}"
    stage = message.chain[message.stage]
    if stage.incarnation != local.incarnation:
        return f"wrong_incarnation: this is {local.incarnation}"
    if stage.upstream != settings.upstream_id:
        return f"wrong_upstream: this is {settings.upstream_id}"
    if (message.model, message.model_version) != (engine.model, engine.model_version):
        return f"model_mismatch: {engine.model} {engine.model_version} is loaded"
    if (stage.first_layer, stage.end_layer) != (engine.first_layer, engine.end_layer):
        return f"layer_mismatch: {engine.first_layer}-{engine.end_layer} are loaded"
    if message.chain[-1].end_layer != engine.model_layers:
        return f"chain_ends_early: the model has {engine.model_layers} layers"
    return ""


def _find_malformed_field(message):
    """Return what is malformed in the message, or an empty string."""
    if not message.request or message.attempt < 1:
        return "no request or attempt"
    if not 0 <= message.stage < len(message.chain):
        return f"stage {message.stage} of a chain of {len(message.chain)}"
    layer = 0
    for stage in message.chain:
        if stage.first_layer != layer or stage.end_layer <= layer:
            return f"the chain does not go on at layer {layer}"
        layer = stage.end_layer
    if len({stage.incarnation for stage in message.chain}) != len(message.chain):
        return "one sidecar has two stages"
    if not message.weight > 0 or message.priority > HIGHEST_PRIORITY:
        return f"weight {message.weight} or priority {message.priority}"
    if message.max_tokens < 1 or message.prompt_tokens < 1:
        return "no prompt or no tokens wanted"
    return ""

"""The state of the upstream, and whether the sidecar accepts new work."""

from collections.abc import Callable

from bulrushdrum._internal.peering.process_messages import Describe
from bulrushdrum._internal.settings.sidecar import SidecarSettings
from bulrushdrum._internal.sidecar.engine_client import EngineState
from bulrushdrum._internal.world.upstreams import UpstreamState


class UpstreamStatus:
    """The state of this sidecar's upstream.

    `engine` is None while the model engine is lost; `reachable` is False while a plain
    service is. New work is also refused while the sidecar drains (`draining`), when
    operators have stopped the upstream (`stopped`), and from before an order until its
    effect is confirmed (`ordering`). While `leaving`, the sidecar announces that it
    drains but still accepts work from entries that have not received the announcement.
    """

    def __init__(self, settings: SidecarSettings):
        self._settings = settings
        self._callbacks = []
        self._values = {
            "engine": None,
            "reachable": False,
            "leaving": False,
            "draining": False,
            "stopped": False,
            "ordering": False,
        }

    @property
    def engine(self) -> EngineState | None:
        return self._values["engine"]

    @property
    def draining(self) -> bool:
        return self._values["draining"]

    @property
    def state(self) -> UpstreamState:
        values = self._values
        if values["leaving"] or values["draining"]:
            return UpstreamState.DRAINING
        return self._state_ignoring_drain()

    def _state_ignoring_drain(self):
        values = self._values
        is_engine = self._settings.kind == "engine"
        if not (values["engine"] if is_engine else values["reachable"]):
            return UpstreamState.LOST
        if values["stopped"] or values["ordering"]:
            return UpstreamState.STOPPED
        return UpstreamState.SERVING

    def on_changed(self, callback: Callable[[], None]):
        self._callbacks.append(callback)

    def update(self, **values):
        """Set attributes by name and call the callbacks if any value changed."""
        before = dict(self._values)
        self._values.update(values)
        if self._values != before:
            for callback in self._callbacks:
                callback()

    def refusal_reason(self) -> str:
        """Return why new work is refused, or an empty string if it is accepted."""
        state = self.state
        if self._values["leaving"] and not self._values["draining"]:
            state = self._state_ignoring_drain()
        return "" if state is UpstreamState.SERVING else f"upstream_{state.value}"

    def describe_message(self, window: int) -> Describe:
        """Return the `Describe` message that announces this state to entries."""
        message = Describe(
            upstream=self._settings.upstream_id,
            service=self._settings.service,
            state=self.state.value,
            window=window,
        )
        engine = self.engine
        if engine is None:
            return message
        return message._replace(
            model=engine.model,
            model_version=engine.model_version,
            first_layer=engine.first_layer,
            end_layer=engine.end_layer,
            model_layers=engine.model_layers,
            accelerator=engine.accelerator,
            tokens_per_second=engine.tokens_per_second,
            slots=engine.slots,
        )

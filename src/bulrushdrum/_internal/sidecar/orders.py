"""Reconciles the engine with its desired state, see section 6 of the design page.

Orders are sent one at a time, while the upstream is closed to new work and after all
open attempts have ended. The upstream opens again only if the lease was valid
throughout and the state read back from the engine matches the desired state. Without a
desired state the engine serves the model that it has loaded.
"""

import json
import time
from collections.abc import Callable

import gevent
from gevent.event import Event as GeventEvent

from bulrushdrum._internal.decoding import DECODING_ERRORS
from bulrushdrum._internal.observability.events import Event, log_event
from bulrushdrum._internal.peering.connections import PeerConnection
from bulrushdrum._internal.peering.hub import PeerHub
from bulrushdrum._internal.peering.shared_state_messages import Desired
from bulrushdrum._internal.settings.sidecar import SidecarSettings
from bulrushdrum._internal.sidecar.background_loops import spawn_loop
from bulrushdrum._internal.sidecar.engine_client import EngineClient, EngineState
from bulrushdrum._internal.sidecar.errors import (
    EngineLost,
    EngineRefused,
    EngineUnreachable,
    SidecarError,
)
from bulrushdrum._internal.sidecar.leases import GrantedLease, LeaseHolder
from bulrushdrum._internal.sidecar.status import UpstreamStatus
from bulrushdrum._internal.world.errors import InvalidUpstreamState
from bulrushdrum._internal.world.upstreams import DesiredState, parse_desired_state

OPEN_ATTEMPTS_POLL_SECONDS = 0.05
INITIAL_RETRY_SECONDS = 0.5
# Limits the lease requests that 3,900 sidecars send to entries while the table is down.
MAX_RETRY_SECONDS = 30.0
STALE_FENCING_STATUS = 409
# An order that timed out may still be applied after a later order of this incarnation,
# so each order has its own fencing number: the epoch followed by a count. With an order
# every 30 s, 24 bits last for 15 years, and the number is exact in a JSON double up to
# epoch 2**29.
_ORDER_COUNT_BITS = 24


def matches_desired_state(engine: EngineState, desired: DesiredState) -> bool:
    """Return whether the engine needs no order to reach the desired state.

    A property that is empty in the desired state matches any value.
    """
    return (
        desired.model in ("", engine.model)
        and desired.model_version in ("", engine.model_version)
        and desired.role in ("", engine.role)
        and (not desired.adapters or set(desired.adapters) == set(engine.adapters))
    )


class DesiredStateReconciler:
    """Sends orders to the engine until it matches the desired state.

    `open_attempts` returns the number of attempts that are still open.
    """

    def __init__(
        self,
        hub: PeerHub,
        settings: SidecarSettings,
        engine: EngineClient,
        status: UpstreamStatus,
        open_attempts: Callable[[], int],
    ):
        self._hub = hub
        self._settings = settings
        self._engine = engine
        self._status = status
        self._open_attempts = open_attempts
        self._leases = LeaseHolder(hub, settings)
        self._revision = 0
        self._desired: DesiredState | None = None
        self._order_count = 0
        self._order_unconfirmed = False  # an order was sent and its effect is unknown
        self._wakeup = GeventEvent()
        self._retry_delay = INITIAL_RETRY_SECONDS
        hub.register(Desired, self._handle_desired)
        hub.on_connected(lambda connection: self._wakeup.set())
        status.on_changed(self._wakeup.set)

    def start(self):
        if self._settings.kind == "engine":
            spawn_loop("orders", self._reconcile_and_wait)

    def dump(self) -> dict:
        return {
            "revision": self._revision,
            "desired": self._desired and self._desired._asdict(),
            "epoch": self._leases.epoch,
            "superseded": self._leases.superseded,
        }

    def _handle_desired(self, connection: PeerConnection, message: Desired):
        if message.upstream == self._settings.upstream_id:
            self._update_desired_state(message.revision, message.value)

    def _update_desired_state(self, revision, text):
        """Store a desired state if it is newer than the current one."""
        if revision <= self._revision:
            return
        try:
            desired = parse_desired_state(json.loads(text))
        except (*DECODING_ERRORS, InvalidUpstreamState) as error:
            # The engine keeps its state, and this revision is not parsed again.
            log_event(
                Event.CONFIGURATION_INVALID,
                upstream=self._settings.upstream_id,
                revision=revision,
                reason=str(error),
            )
            self._revision = revision
            return
        self._revision, self._desired = revision, desired
        self._status.update(stopped=not desired.serving)
        self._wakeup.set()

    def _reconcile_and_wait(self):
        if self._reconcile():
            self._retry_delay = INITIAL_RETRY_SECONDS
            self._wakeup.wait(timeout=MAX_RETRY_SECONDS)
        else:
            self._wakeup.wait(timeout=self._retry_delay)
            self._retry_delay = min(self._retry_delay * 2, MAX_RETRY_SECONDS)
        self._wakeup.clear()

    def _reconcile(self) -> bool:
        """Send an order if one is needed; return whether the engine is reconciled."""
        if self._leases.superseded:
            return True
        if not self._leases.epoch and self._leases.acquire() is None:
            # Until this incarnation has a fencing number, an earlier one may still send
            # orders.
            return False
        engine = self._status.engine
        if engine is None:
            return True  # the engine watch wakes this greenlet once the engine is back
        if self._order_unconfirmed:
            return self._resolve_unconfirmed_order()
        if self._desired is None or matches_desired_state(engine, self._desired):
            self._status.update(ordering=False)
            return True
        self._status.update(ordering=True)
        self._wakeup.clear()
        while self._open_attempts():
            gevent.sleep(OPEN_ATTEMPTS_POLL_SECONDS)
        lease = self._leases.acquire()
        if lease is None:
            return False
        self._update_desired_state(lease.desired_revision, lease.desired)
        return self._send_order(lease, self._desired)

    def _resolve_unconfirmed_order(self) -> bool:
        """Read the engine's state after an unconfirmed order, then reconcile again.

        The upstream stays closed until the state is known.
        """
        lease = self._leases.acquire()
        if lease is None:
            return False
        self._update_desired_state(lease.desired_revision, lease.desired)
        try:
            state = self._engine.read_state()
        except SidecarError:
            return False
        self._order_unconfirmed = False
        self._status.update(engine=state)
        return self._reconcile()

    def _send_order(self, lease: GrantedLease, desired: DesiredState) -> bool:
        if not self._leases.is_valid(lease):
            return False
        started = time.monotonic()
        self._order_unconfirmed = True
        self._order_count += 1
        renewal = self._leases.renew(lease)
        try:
            self._engine.send_order(
                (lease.epoch << _ORDER_COUNT_BITS) + self._order_count,
                {
                    "model": desired.model,
                    "model_version": desired.model_version,
                    "adapters": list(desired.adapters),
                    "role": desired.role,
                },
            )
            seconds = time.monotonic() - started
            return self._confirm_order(lease, desired, renewal, seconds)
        except EngineRefused as error:
            if error.status == STALE_FENCING_STATUS:
                self._leases.discard_epoch()
            return self._log_unconfirmed(lease, str(error))
        except (EngineLost, EngineUnreachable) as error:
            # The order may have been applied, so the engine's state is read next.
            return self._log_unconfirmed(lease, str(error))
        finally:
            renewal.stop()

    def _confirm_order(self, lease, desired, renewal, seconds):
        try:
            state = self._engine.read_state()
        except SidecarError as error:
            return self._log_unconfirmed(
                lease, f"reading the engine's state failed: {error}"
            )
        confirmed = renewal.confirm()
        if confirmed is None:
            return self._log_unconfirmed(
                lease, "the order lease did not hold throughout the order"
            )
        if not matches_desired_state(state, desired):
            return self._log_unconfirmed(
                lease, f"engine reports model version {state.model_version!r}"
            )
        log_event(
            Event.ORDER_GIVEN,
            epoch=lease.epoch,
            revision=self._revision,
            model=state.model,
            model_version=state.model_version,
            seconds=round(seconds, 3),
        )
        self._order_unconfirmed = False
        self._update_desired_state(confirmed.desired_revision, confirmed.desired)
        still_matches = matches_desired_state(state, self._desired)
        self._status.update(engine=state, ordering=not still_matches)
        return still_matches

    def _log_unconfirmed(self, lease, reason):
        """Log why the effect of an order is unknown; return False."""
        log_event(Event.ORDER_NOT_TRUSTED, epoch=lease.epoch, reason=reason)
        return False

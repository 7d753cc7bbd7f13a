"""Brings the engine to the state that operators want, see section 6 of the design page.

Orders go out one at a time, while the upstream is closed to new work and after the work
that was open has ended. The upstream opens again only when the lease held throughout
and the engine, read back, is as desired. Without a desired state the engine serves what
it holds.
"""

import json
import time
from collections.abc import Callable

import gevent
from gevent.event import Event as Flag

from bulrushdrum._internal.observability.events import Event, log_event
from bulrushdrum._internal.peering.connections import PeerConnection
from bulrushdrum._internal.peering.hub import PeerHub
from bulrushdrum._internal.peering.messages import Desired
from bulrushdrum._internal.settings.sidecar import SidecarSettings
from bulrushdrum._internal.sidecar.background_loops import spawn_loop
from bulrushdrum._internal.sidecar.engine_client import EngineClient, EngineState
from bulrushdrum._internal.sidecar.errors import (
    EngineLost,
    EngineRefused,
    EngineUnreachable,
    SidecarError,
)
from bulrushdrum._internal.sidecar.leases import HeldLease, LeaseHolder
from bulrushdrum._internal.sidecar.status import UpstreamStatus
from bulrushdrum._internal.world.errors import InvalidUpstreamState
from bulrushdrum._internal.world.upstreams import DesiredState, parse_desired_state

IDLE_POLL_SECONDS = 0.05
FIRST_PAUSE_SECONDS = 0.5
# While the table is down, 3,900 sidecars must not keep the entries busy with leases.
LONGEST_PAUSE_SECONDS = 30.0
STALE_FENCING_STATUS = 409
# An order that timed out may still be obeyed after a later one of this incarnation, so
# each has its own number: the epoch, then a count. At an order every 30 s, 24 bits last
# for 15 years, and the number stays exact in a JSON double up to epoch 2**29.
_ORDER_COUNT_BITS = 24


def is_as_desired(engine: EngineState, desired: DesiredState) -> bool:
    """Return whether an order would change nothing.

    Properties that the desired state leaves empty may have any value.
    """
    return (
        desired.model in ("", engine.model)
        and desired.model_version in ("", engine.model_version)
        and desired.role in ("", engine.role)
        and (not desired.adapters or set(desired.adapters) == set(engine.adapters))
    )


class Orders:
    """Follows the desired state of the upstream beside this sidecar."""

    def __init__(
        self,
        hub: PeerHub,
        settings: SidecarSettings,
        engine: EngineClient,
        status: UpstreamStatus,
        open_work: Callable[[], int],
    ):
        self._hub = hub
        self._settings = settings
        self._engine = engine
        self._status = status
        self._open_work = open_work
        self._leases = LeaseHolder(hub, settings)
        self._revision = 0
        self._desired: DesiredState | None = None
        self._given = 0
        self._doubtful = False  # an order was given whose effect is not confirmed
        self._wanted = Flag()
        self._pause = FIRST_PAUSE_SECONDS
        hub.register(Desired, self._on_desired)
        hub.on_connected(lambda connection: self._wanted.set())
        status.on_changed(self._wanted.set)

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

    def _on_desired(self, connection: PeerConnection, message: Desired):
        if message.upstream == self._settings.upstream_id:
            self._adopt(message.revision, message.value)

    def _adopt(self, revision, text):
        """Take over a desired state if it is newer than the one known."""
        if revision <= self._revision:
            return
        try:
            desired = parse_desired_state(json.loads(text))
        except (ValueError, InvalidUpstreamState) as error:
            # The engine stays as it is; the faulty revision is not tried again.
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
        self._wanted.set()

    def _reconcile_and_wait(self):
        if self._reconcile():
            self._pause = FIRST_PAUSE_SECONDS
            self._wanted.wait(timeout=LONGEST_PAUSE_SECONDS)
        else:
            self._wanted.wait(timeout=self._pause)
            self._pause = min(self._pause * 2, LONGEST_PAUSE_SECONDS)
        self._wanted.clear()

    def _reconcile(self) -> bool:
        """Give an order if one is needed; return whether nothing is left to do."""
        if self._leases.superseded:
            return True
        if not self._leases.epoch and self._leases.acquire() is None:
            # Until this incarnation has a number, an earlier one may still give orders.
            return False
        engine = self._status.engine
        if engine is None:
            return True  # the watch wakes this greenlet when the engine is back
        if self._doubtful:
            return self._settle()
        if self._desired is None or is_as_desired(engine, self._desired):
            self._status.update(ordering=False)
            return True
        self._status.update(ordering=True)
        self._wanted.clear()
        while self._open_work():
            gevent.sleep(IDLE_POLL_SECONDS)
        lease = self._leases.acquire()
        if lease is None:
            return False
        self._adopt(lease.desired_revision, lease.desired)
        return self._give_order(lease, self._desired)

    def _settle(self) -> bool:
        """After a doubtful order, find out where things stand; nothing is opened."""
        lease = self._leases.acquire()
        if lease is None:
            return False
        self._adopt(lease.desired_revision, lease.desired)
        try:
            state = self._engine.describe()
        except SidecarError:
            return False
        self._doubtful = False
        self._status.update(engine=state)
        return self._reconcile()

    def _give_order(self, lease: HeldLease, desired: DesiredState) -> bool:
        if not self._leases.is_valid(lease):
            return False
        started = time.monotonic()
        self._doubtful = True
        self._given += 1
        try:
            self._engine.give_order(
                (lease.epoch << _ORDER_COUNT_BITS) + self._given,
                {
                    "model": desired.model,
                    "model_version": desired.model_version,
                    "adapters": list(desired.adapters),
                    "role": desired.role,
                },
            )
        except EngineRefused as error:
            if error.status == STALE_FENCING_STATUS:
                self._leases.forget_epoch()
            return self._distrust(lease, str(error))
        except (EngineLost, EngineUnreachable) as error:
            # It may have been obeyed; the engine's state decides.
            return self._distrust(lease, str(error))
        return self._trust_if_confirmed(lease, desired, time.monotonic() - started)

    def _trust_if_confirmed(self, lease, desired, seconds):
        try:
            state = self._engine.describe()
        except SidecarError as error:
            return self._distrust(lease, f"cannot be read back: {error}")
        confirmed = self._leases.acquire()
        if confirmed is None or confirmed.epoch != lease.epoch:
            return self._distrust(lease, "the lease is not confirmed after the order")
        if not is_as_desired(state, desired):
            return self._distrust(lease, f"the engine holds {state.model_version!r}")
        log_event(
            Event.ORDER_GIVEN,
            epoch=lease.epoch,
            revision=self._revision,
            model=state.model,
            model_version=state.model_version,
            seconds=round(seconds, 3),
        )
        self._doubtful = False
        self._adopt(confirmed.desired_revision, confirmed.desired)
        still_wanted = is_as_desired(state, self._desired)
        self._status.update(engine=state, ordering=not still_wanted)
        return still_wanted

    def _distrust(self, lease, reason):
        log_event(Event.ORDER_NOT_TRUSTED, epoch=lease.epoch, reason=reason)
        return False

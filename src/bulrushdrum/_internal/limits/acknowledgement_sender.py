"""Sends this entry's acknowledgements to the other entries."""

from collections.abc import Callable

from bulrushdrum._internal.peering.errors import ConnectionLost
from bulrushdrum._internal.peering.shared_state_messages import BusyPermit, EntrySetAck


class AcknowledgementSender:
    """Sends the adopted entry-set version and the busy permits from `list_busy()`."""

    def __init__(
        self,
        hub,
        entry_set,
        acknowledgements,
        list_busy: Callable[[], tuple[BusyPermit, ...]],
    ):
        self._hub = hub
        self._entry_set = entry_set
        self._acknowledgements = acknowledgements
        self._list_busy = list_busy
        self._sequence = 0
        self._scheduled = False

    def schedule(self):
        """Send at the next `send_if_scheduled`, so that releases share one message."""
        self._scheduled = True

    def send_if_scheduled(self):
        if self._scheduled:
            self.send_to_all()

    def send_to_all(self):
        self._scheduled = False
        ack = self._build_ack()
        for connection in self._hub.connections("entry"):
            self._send(connection, ack)

    def send_on_connection(self, connection):
        self._send(connection, self._build_ack())

    def _build_ack(self):
        self._sequence += 1
        return EntrySetAck(
            self._entry_set.version,
            self._list_busy(),
            self._sequence,
            self._acknowledgements.guests,
        )

    def _send(self, connection, ack):
        # Peers would treat an entry that has left the set as a guest.
        has_left = self._entry_set.leaving and not self._entry_set.is_member
        if has_left or not self._entry_set.version:
            return
        try:
            connection.send(ack)
        except ConnectionLost:
            pass  # sent again when the peer reconnects

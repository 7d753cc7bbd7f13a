"""Sending this entry's acknowledgements to the other entries."""

from collections.abc import Callable

from bulrushdrum._internal.peering.errors import ConnectionLost
from bulrushdrum._internal.peering.messages import BusyPermit, EntrySetAck


class AcknowledgementSender:
    """Sends the version in force here, and what `list_busy()` says is still busy."""

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
        self._due = False

    def schedule(self):
        """Send to all at the next `send_due`, so that releases share one message."""
        self._due = True

    def send_due(self):
        if self._due:
            self.send_to_all()

    def send_to_all(self):
        self._due = False
        ack = self._make()
        for connection in self._hub.connections("entry"):
            self._send(connection, ack)

    def send_on_connection(self, connection):
        self._send(connection, self._make())

    def _make(self):
        self._sequence += 1
        return EntrySetAck(
            self._entry_set.version,
            self._list_busy(),
            self._sequence,
            self._acknowledgements.guests,
        )

    def _send(self, connection, ack):
        # An entry that has left the set must not be taken for a guest.
        left = self._entry_set.leaving and not self._entry_set.is_member
        if left or not self._entry_set.version:
            return
        try:
            connection.send(ack)
        except ConnectionLost:
            pass  # it is sent again when the peer is connected again

"""Sending this entry's acknowledgements to the other entries."""

from collections.abc import Callable

from bulrushdrum._internal.peering.errors import ConnectionLost
from bulrushdrum._internal.peering.messages import BusyPermit, EntrySetAck


class AckSender:
    """Sends the version and revision in force here, and the permits still busy.

    `list_busy()` returns them as `BusyPermit`; `own_revision()` returns the
    configuration revision whose home regions are in force here.
    """

    def __init__(
        self,
        hub,
        entry_set,
        acknowledgements,
        list_busy: Callable[[], tuple[BusyPermit, ...]],
        own_revision: Callable[[], int],
    ):
        self._hub = hub
        self._entry_set = entry_set
        self._acknowledgements = acknowledgements
        self._list_busy = list_busy
        self._own_revision = own_revision
        self._sequence = 0
        self._sent: dict[str, int] = {}
        self._wanted: dict[str, int] = {}
        self._sent_to_all = 0
        self._due = False

    def make_due(self):
        """Send to all at the next `send_due`, so that releases share one message."""
        self._due = True

    def send_due(self):
        """Send what is due: to all, or to peers that wait for a later revision."""
        if self._due:
            self.send_to_all()
        for connection in self._hub.connections("entry"):
            self._send_if_wanted(connection)

    def send_if_older(self, revision: int):
        """Send to all unless all were sent `revision` or a later one."""
        if self._sent_to_all < revision:
            self.send_to_all()

    def send_to_all(self):
        self._due = False
        ack = self._make()
        self._sent_to_all = ack.config_revision
        for connection in self._hub.connections("entry"):
            self._send(connection, ack)

    def send_on_connection(self, connection):
        self._sent.pop(connection.peer.incarnation, None)
        self._send(connection, self._make())

    def forget(self, connection):
        """Forget a peer whose connection has ended."""
        self._sent.pop(connection.peer.incarnation, None)
        self._wanted.pop(connection.peer.incarnation, None)

    def answer(self, connection, ack: EntrySetAck, is_new_guest: bool):
        """Send what the sender of `ack` needs: a revision, or its place as a guest."""
        self._wanted[connection.peer.incarnation] = ack.config_revision
        if is_new_guest:
            self._send(connection, self._make())
        else:
            self._send_if_wanted(connection)

    def _send_if_wanted(self, connection):
        incarnation = connection.peer.incarnation
        wanted = self._wanted.get(incarnation, 0)
        if self._sent.get(incarnation, 0) < wanted <= self._own_revision():
            self._send(connection, self._make())

    def _make(self):
        self._sequence += 1
        return EntrySetAck(
            self._entry_set.version,
            self._list_busy(),
            self._sequence,
            self._own_revision(),
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
            return  # it is sent again when the peer is connected again
        self._sent[connection.peer.incarnation] = ack.config_revision

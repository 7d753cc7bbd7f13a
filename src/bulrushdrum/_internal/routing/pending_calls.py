"""Request-response calls to sidecars over the peer hub.

A call fails as soon as the connection it was sent on is lost or replaced, because the
sidecar answers only on that connection.
"""

import gevent
from gevent.event import AsyncResult

from bulrushdrum._internal.peering.errors import ConnectionLost
from bulrushdrum._internal.peering.hub import PeerHub
from bulrushdrum._internal.peering.request_messages import (
    Call,
    CallResult,
    Resolve,
    Resolved,
)
from bulrushdrum._internal.routing.errors import CallTimeout, NotSent


class PendingCalls:
    """Sends `Call` and `Resolve` messages and returns their answers.

    `message.call` must be a new id for each message, even with the same key.
    """

    def __init__(self, hub: PeerHub):
        self._hub = hub
        self._waiting: dict[str, tuple] = {}
        hub.register(CallResult, self._handle_answer)
        hub.register(Resolved, self._handle_answer)
        hub.on_lost(lambda lost: self._fail_calls(lost.peer.incarnation, current=None))
        hub.on_connected(
            lambda new: self._fail_calls(new.peer.incarnation, current=new)
        )

    def send(
        self, incarnation: str, message: Call | Resolve, timeout: float
    ) -> CallResult | Resolved:
        """Send `message` and return its answer.

        Raises `NotSent` if the sidecar is not connected, `ConnectionLost` if the
        connection is lost, and `CallTimeout` after `timeout` seconds without an answer.
        """
        connection = self._hub.connection_to(incarnation)
        if connection is None:
            raise NotSent(f"no connection to {incarnation!r}")
        answer = AsyncResult()
        self._waiting[message.call] = (connection, answer)
        try:
            try:
                connection.send(message)
            except ConnectionLost as error:
                raise NotSent(str(error)) from error
            return answer.get(timeout=max(0.0, timeout))
        except gevent.Timeout as error:
            raise CallTimeout(f"{incarnation!r} did not answer") from error
        finally:
            del self._waiting[message.call]

    def _handle_answer(self, connection, message):
        expected, answer = self._waiting.get(message.call, (None, None))
        if expected is connection:
            answer.set(message)

    def _fail_calls(self, incarnation, current):
        """Fail the calls to a sidecar that were not sent on connection `current`."""
        for connection, answer in list(self._waiting.values()):
            if connection.peer.incarnation == incarnation and connection is not current:
                answer.set_exception(ConnectionLost(f"{incarnation!r} was lost"))

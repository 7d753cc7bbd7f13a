"""State dumps of other processes, asked for over the peer connections."""

import json
import secrets

from gevent import Timeout
from gevent.event import AsyncResult

from bulrushdrum._internal.peering.errors import ConnectionLost
from bulrushdrum._internal.peering.hub import PeerHub
from bulrushdrum._internal.peering.messages import Dump, DumpQuery

_TIMEOUT_SECONDS = 3.0


class DumpExchange:
    """Answers dump queries with `own_dump()` and asks peers for theirs."""

    def __init__(self, hub: PeerHub, own_dump):
        self._hub = hub
        self._own_dump = own_dump
        self._waiting: dict[str, AsyncResult] = {}
        hub.register(DumpQuery, self._handle_query)
        hub.register(Dump, self._handle_dump)

    def dump(self, node: str = "") -> dict | None:
        """Return the state of `node`, or of this process if empty.

        None means that the node is not connected or did not answer.
        """
        if node in ("", self._hub.local.node):
            return self._own_dump()
        for connection in self._hub.connections():
            if connection.peer.node == node:
                return self._ask(connection)
        return None

    def _ask(self, connection):
        token = secrets.token_hex(8)
        answer = self._waiting[token] = AsyncResult()
        try:
            connection.send(DumpQuery(token))
            return json.loads(answer.get(timeout=_TIMEOUT_SECONDS))
        except (ConnectionLost, Timeout):
            return None
        finally:
            del self._waiting[token]

    def _handle_query(self, connection, query):
        connection.send(Dump(query.token, json.dumps(self._own_dump())))

    def _handle_dump(self, connection, dump):
        answer = self._waiting.get(dump.token)
        if answer is not None:
            answer.set(dump.state)

"""Queries for the state dumps of other processes over peer connections."""

import json
import secrets

from gevent import Timeout
from gevent.event import AsyncResult

from bulrushdrum._internal.peering.errors import ConnectionLost
from bulrushdrum._internal.peering.hub import PeerHub
from bulrushdrum._internal.peering.process_messages import Dump, DumpQuery

_TIMEOUT_SECONDS = 3.0


class DumpExchange:
    """Responds to dump queries with `dump_local_state()` and queries peers."""

    def __init__(self, hub: PeerHub, dump_local_state):
        self._hub = hub
        self._dump_local_state = dump_local_state
        self._pending_queries: dict[str, AsyncResult] = {}
        hub.register(DumpQuery, self._handle_query)
        hub.register(Dump, self._handle_dump)

    def dump(self, node: str = "") -> dict | None:
        """Return the state of `node`, or of this process if `node` is empty.

        Returns None if the node is not connected or does not respond in time.
        """
        if node in ("", self._hub.local_identity.node):
            return self._dump_local_state()
        for connection in self._hub.connections():
            if connection.peer.node == node:
                return self._query_peer(connection)
        return None

    def _query_peer(self, connection):
        token = secrets.token_hex(8)
        pending_dump = self._pending_queries[token] = AsyncResult()
        try:
            connection.send(DumpQuery(token))
            return json.loads(pending_dump.get(timeout=_TIMEOUT_SECONDS))
        except (ConnectionLost, Timeout):
            return None
        finally:
            del self._pending_queries[token]

    def _handle_query(self, connection, query):
        connection.send(Dump(query.token, json.dumps(self._dump_local_state())))

    def _handle_dump(self, connection, dump):
        pending_dump = self._pending_queries.get(dump.token)
        if pending_dump is not None:
            pending_dump.set(dump.state)

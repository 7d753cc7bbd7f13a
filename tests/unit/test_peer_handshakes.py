"""Connections to the port for peers that stop short of their handshake."""

import gevent
from bench.processes import PortPool
from gevent import socket

from bulrushdrum._internal.peering.connections import PeerServer, dial
from bulrushdrum._internal.peering.handshake import PeerIdentity, PeeringKeys

KEYS = PeeringKeys("k1", {"k1": b"a-secret-of-the-test"})


def test_a_peer_with_the_key_gets_in_while_others_send_nothing():
    # Guards against connections without a handshake that keep peers out, and against
    # one log line for each of them.
    refused, connected = [], []

    def serve(connection):
        connected.append(connection.peer.node)
        connection.serve(lambda *_: None)

    ports = PortPool()
    address = ports.reserve()
    server = PeerServer(
        address,
        PeerIdentity("sidecar", "s", "s-1", "a", address),
        KEYS,
        serve,
        lambda *refusal: refused.append(refusal),
        max_handshakes=3,
    )
    server.start()
    host, _, port = address.rpartition(":")
    silent = [socket.create_connection((host, int(port))) for _ in range(10)]
    gevent.sleep(0.05)
    assert server.dump() == {"handshakes": 3, "closed": {"handshakes": 7}}
    peer = dial(address, PeerIdentity("entry", "e", "e-1", "a", ""), KEYS)
    gevent.sleep(0.05)
    assert (connected, refused) == (["e"], [])
    peer.close()
    for sock in silent:
        sock.close()
    server.stop()
    ports.close()

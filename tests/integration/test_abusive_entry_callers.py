"""Entry and sidecar processes under callers and peers that exceed the limits.

The load: a few hundred connections at most, which send what no ordinary caller sends.
Guards against a process that ends, or that takes memory or descriptors in proportion to
what such callers send, and against ordinary callers that are no longer answered. Each
test starts a fresh system, because the peak memory of a process never shrinks. Bounds
hold for any speed of the machine.
"""

import gevent
import pytest
from bench.cluster import Cluster
from bench.launch import OPERATOR_KEY, PEER_KEYS
from bench.topology import EngineSpec, EntrySpec, Topology
from tests.integration.abusive_entry_callers import (
    BODY_BYTES,
    HEADER_BYTES,
    Load,
    Measured,
    http_loads,
)

from bulrushdrum._internal.peering.codec import encode
from bulrushdrum._internal.peering.connections import dial
from bulrushdrum._internal.peering.handshake import PeerIdentity, PeeringKeys
from bulrushdrum._internal.peering.process_messages import Hello

CONNECTIONS = 100  # `max_connections` of the entry
# Connections of ordinary callers, of the platform and of other processes.
OTHER_DESCRIPTORS = 50
PEER_HANDSHAKES = 250
CLIENT_TIMEOUT_SECONDS = 15

CALLER_LOADS = http_loads(b"POST /v1/chat/completions", b"key-of-warwick")
OPERATOR_LOADS = http_loads(b"PUT /v1/operator/contracts/x", OPERATOR_KEY.encode())


@pytest.fixture
def cluster():
    topology = Topology(
        (EntrySpec("entry0", "a"),),
        (EngineSpec("s0", "a", 0, 6, iteration_ms=1.0),),
        entry_settings={
            "max_connections": CONNECTIONS,
            "max_body_bytes": BODY_BYTES,
            "max_header_bytes": HEADER_BYTES,
        },
    )
    with Cluster(topology) as cluster:
        cluster.add_customer("warwick")
        send_ordinary_request(cluster)
        yield cluster


@pytest.fixture
def measured(cluster, request):
    measured = Measured(cluster.process(getattr(request, "param", "entry0")))
    yield measured
    measured.close()


def send_ordinary_request(cluster):
    # Abusive connections that are only idle are closed after 30 s.
    with gevent.Timeout(CLIENT_TIMEOUT_SECONDS):
        answer = cluster.caller("warwick").chat(
            cluster.http("entry0"), "an ordinary request", max_tokens=3
        )
    assert answer.outcome == "answered", (answer.status, answer.error)


def send_operator_request(cluster):
    status, _ = cluster.operator(
        "entry0", "GET", "contracts", timeout=CLIENT_TIMEOUT_SECONDS
    )
    assert status == 200


def run(cluster, measured, address, loads):
    loads = loads if isinstance(loads, list) else [loads]
    measured.apply(address, loads)
    send_ordinary_request(cluster)
    measured.check(
        max(load.growth_mb for load in loads), CONNECTIONS + OTHER_DESCRIPTORS
    )


@pytest.mark.parametrize("sort", CALLER_LOADS)
def test_the_port_for_callers(cluster, measured, sort):
    run(cluster, measured, cluster.http("entry0"), CALLER_LOADS[sort])


@pytest.mark.parametrize("sort", OPERATOR_LOADS)
def test_the_port_for_operators(cluster, measured, sort):
    address = cluster.address("entry0/operator")
    run(cluster, measured, address, OPERATOR_LOADS[sort])
    send_operator_request(cluster)


def test_callers_that_never_read_a_stream(cluster, measured):
    body = (
        b'{"model": "warwick-7b", "stream": true, "max_tokens": 8000, "seed": 1,'
        b' "messages": [{"role": "user", "content": "a long answer"}]}'
    )
    head = (
        b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "
        b"key-of-warwick\r\nContent-Length: %d\r\n\r\n" % len(body)
    )
    run(cluster, measured, cluster.http("entry0"), Load(4, head + body))


# A length prefix, and bytes that unpack to 4 MB of zeros.
ZEROS = (4_096).to_bytes(4, "big") + b"\x00\xff" * 2_048
HELLO = encode(Hello(1, "entry", "x", "x-1", "a", "", key_id="k1", nonce=b"n" * 16))
PEER_LOADS = {
    "no_frame": Load(100, bytes(range(256)) * 400),
    "frame_of_zeros": Load(100, ZEROS),
    "invalid_frame": Load(100, (2_000).to_bytes(4, "big") + b"\x07" * 2_000),
    "length_without_bytes": Load(400, (4_096).to_bytes(4, "big") + b"\x00"),
    "length_over_limit": Load(100, (2**32 - 1).to_bytes(4, "big") + b"x" * 100_000),
    "no_handshake": Load(400, b""),
    "hello_only": Load(400, len(HELLO).to_bytes(4, "big") + HELLO),
}


@pytest.mark.parametrize("measured", ["entry0", "s0"], indirect=True)
@pytest.mark.parametrize("sort", PEER_LOADS)
def test_the_port_for_peers(cluster, measured, sort, request):
    node = request.node.callspec.params["measured"]
    load = PEER_LOADS[sort]
    measured.apply(cluster.address(node), [load])
    # Handshakes that stop short end after 3 s, so their descriptors are counted first.
    measured.check(load.growth_mb, PEER_HANDSHAKES)
    send_ordinary_request(cluster)
    measured.check(load.growth_mb, PEER_HANDSHAKES)


@pytest.mark.parametrize("measured", ["entry0", "s0"], indirect=True)
def test_authenticated_peers_that_send_no_whole_frame(cluster, measured, request):
    node = request.node.callspec.params["measured"]
    keys = PeeringKeys("k1", {k: v.encode() for k, v in PEER_KEYS.items()})
    peers = []
    for number in range(20):
        identity = PeerIdentity("entry", f"x{number}", f"x{number}-1", "a", "")
        peers.append(dial(cluster.address(node), identity, keys))
        peers[-1]._stream._sock.sendall((2**24).to_bytes(4, "big") + b"x" * 200_000)
    measured.settle()
    send_ordinary_request(cluster)
    measured.check(24, PEER_HANDSHAKES)
    for peer in peers:
        peer.close()

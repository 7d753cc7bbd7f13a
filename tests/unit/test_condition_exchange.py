"""What routers tell each other of the condition of upstreams.

Load: upstreams are lost, leave or refuse requests while the store is silent, and dozens
of routers meet each of them. Datagrams are lost, repeated, delayed and reordered.
"""

import pytest
from tests.unit.condition_fakes import Network

from bulrushdrum._internal.coordination.peer_messages import MAX_MESSAGE_BYTES


@pytest.fixture
def network():
    return Network("r1", "r2", "r3")


@pytest.fixture
def routers(network):
    return list(network.routers.values())


def test_one_refusal_is_enough_for_all_routers(network, routers):
    # Guards against each router learning of an upstream by a refusal of its own.
    routers[0].refuse("a")
    network.advance(0.01)
    assert [router.avoids("a") for router in routers] == [True, True, True]
    assert not routers[1].avoids("b")


def test_a_refusal_for_lack_of_memory_stays_with_the_router(network, routers):
    # Guards against avoiding an upstream at all routers for what ends at once.
    routers[0].utilization = 0.9
    routers[0].refuse("a")
    network.advance(0.01)
    assert [router.avoids("a") for router in routers] == [True, False, False]


def test_an_upstream_that_refuses_for_hours_raises_no_error(network, routers):
    # Guards against a time that doubles until it is no number, which ended requests.
    for _ in range(1200):
        network.advance(10.0)
        routers[0].refuse("a")
    network.advance(0.01)
    assert routers[1].avoids("a")
    network.advance(10.0)
    assert not routers[1].avoids("a")


def test_a_peer_that_claims_many_failures_raises_no_error(network, routers):
    # Guards against the same error for a number that a peer sends.
    routers[0].exchange.apply_announcement(
        "r9", "r9#0", [[1, "a", 1, "refusing", 0.0, 0.1, 10**6]]
    )
    network.advance(1.0)
    routers[0].refuse("a")
    assert routers[0].avoids("a")


def test_ids_of_any_length_fit_or_are_left_out(network):
    # Guards against a message over 1,400 bytes, whose error ended the request that
    # moved, or lost all claims that were sent with it.
    long = [f"{n:02}{'x' * 60}" for n in range(32)]
    network = Network("r1", "r2", upstreams=[*long, "b", "y" * 2000])
    first, second = network.routers.values()
    first.report_silence(long)
    for upstream_id in (*long, "y" * 2000, "b"):
        first.refuse(upstream_id)
    network.advance(0.1)
    assert max(network.sizes) <= MAX_MESSAGE_BYTES
    assert all(second.avoids(upstream_id) for upstream_id in (*long, "b"))


def test_a_silence_report_of_the_longest_path_fits(network):
    # Guards against reports that are never sent.
    path = [f"i-{n:08x}" for n in range(32)]
    network = Network("r1", "r2", upstreams=path)
    first, second = network.routers.values()
    first.report_silence(path, born=1_765_000_000_000)
    network.advance(0.1)
    assert network.sizes and max(network.sizes) <= MAX_MESSAGE_BYTES

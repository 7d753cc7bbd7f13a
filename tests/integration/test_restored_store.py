"""Routers whose store comes back from an older copy."""

import gevent
import pytest
from bench.standins.path_server import PathServer, complete_response
from tests.integration.router_system import Router, make_configuration

pytestmark = pytest.mark.slow

NEW_KEY = b"Authorization: Token k2\r\n"
PATH = b"/a/b/x"


def register(store, upstream_id, server, heartbeats=1, **changes):
    registration = {
        "service": "s2",
        "zone": "a",
        "slots": 100,
        "state": "ready",
        "address": server.address,
        "born": 1,
        "seq-no": heartbeats,
    }
    store.put("servers", upstream_id, {**registration, **changes})


@pytest.fixture
def servers():
    servers = [
        PathServer("p1", lambda r: complete_response(r, b"one")),
        PathServer("p2", lambda r: complete_response(r, b"two")),
    ]
    yield servers
    for server in servers:
        server.stop()


def wait_until_served(router, headers=None):
    headers = headers or b"Authorization: Token k1\r\n"
    router.wait_for(lambda: router.send_request(PATH, headers=headers).status == 200)


def start_serving(router, store, servers):
    """Serve with two servers, and return a copy of the store."""
    store.put("op", "config", make_configuration())
    register(store, "p1", servers[0])
    register(store, "p2", servers[1])
    wait_until_served(router)
    return store.copy()


def wait_for_restoration(router):
    """Wait until the router has read all its tables after a restoration."""
    router.wait_for(lambda: router.events().count(8007) == 3)


def test_changes_below_the_version_of_a_cut_off_router_are_read(router, store, servers):
    # Guards against going on from a version of the era before, whose number was given
    # out again: a withdrawn key and a server that has left stay in use.
    copy = start_serving(router, store, servers)
    for number in range(4):
        store.put("other", "lost", number)
    gevent.sleep(2.0)
    store.is_down = True
    router.wait_for(lambda: 4001 in router.events())
    store.restore(copy)
    store.put("op", "config", make_configuration(version=9, key="k2"))
    store.put("servers", "p1", None)
    for number in range(8):
        store.put("other", "new", number)
    store.is_down = False
    wait_until_served(router, NEW_KEY)
    wait_for_restoration(router)
    # Registrations may only have lapsed while the store was away.
    gevent.sleep(2.6)
    count = len(servers[0].requests)
    assert router.send_request(PATH).status == 401
    for _ in range(8):
        assert router.send_request(PATH, headers=NEW_KEY).body == b"two"
    assert len(servers[0].requests) == count


def test_a_server_that_has_left_is_not_used_because_of_the_copy(router, store, servers):
    # Guards against rows of a copy that name servers which have left since.
    copy = start_serving(router, store, servers)
    register(store, "p1", servers[0], 2, state="draining")
    gevent.sleep(0.8)
    store.put("servers", "p1", None)
    gevent.sleep(0.8)
    count = len(servers[0].requests)
    store.restore(copy)
    wait_for_restoration(router)
    for _ in range(20):
        assert router.send_request(PATH).body == b"two"
        gevent.sleep(0.05)
    assert len(servers[0].requests) == count


def test_a_server_that_drains_is_not_ready_again_because_of_the_copy(
    router, store, servers
):
    # Guards against rows of a copy that are older than what the router knows.
    copy = start_serving(router, store, servers)
    register(store, "p1", servers[0], 2, state="draining")
    gevent.sleep(0.8)
    count = len(servers[0].requests)
    store.restore(copy)
    wait_for_restoration(router)
    for _ in range(20):
        assert router.send_request(PATH).body == b"two"
        gevent.sleep(0.05)
    assert len(servers[0].requests) == count


def test_a_server_that_is_still_there_after_a_while_is_used(router, store, servers):
    # Guards against serving less after a restoration: a server that is in the copy, and
    # whose registration had lapsed before, need not write its row again.
    store.put("op", "config", make_configuration())
    register(store, "p1", servers[0])
    wait_until_served(router)
    copy = store.copy()
    store.put("servers", "p1", None)
    router.wait_for(lambda: router.send_request(PATH).status == 503)
    store.restore(copy)
    wait_for_restoration(router)
    wait_until_served(router)


def test_a_router_registers_again_after_a_restoration(router, store):
    # Guards against routers that others do not know because the copy is older.
    copy = store.copy()
    store.put("op", "config", make_configuration())
    router.wait_for(lambda: store.keys("routers") == ["r1"])
    store.restore(copy)
    router.wait_for(lambda: store.keys("routers") == ["r1"], seconds=12.0)


def test_a_configuration_that_goes_on_from_the_copy_is_applied(router, store, servers):
    # Guards against waiting for versions that the operator will not reach for long.
    store.put("op", "config", make_configuration(version=3))
    register(store, "p1", servers[0])
    wait_until_served(router)
    copy = store.copy()
    store.put("op", "config", make_configuration(version=30))
    gevent.sleep(0.8)
    store.restore(copy)
    wait_for_restoration(router)
    store.put("op", "config", make_configuration(version=5, key="k2"))
    wait_until_served(router, NEW_KEY)


def test_the_configuration_of_the_copy_is_not_taken(router, store, servers):
    # Guards against a confirmed change that is undone by the copy.
    store.put("op", "config", make_configuration(version=3))
    register(store, "p1", servers[0])
    wait_until_served(router)
    copy = store.copy()
    store.put("op", "config", make_configuration(version=30, key="k2"))
    wait_until_served(router, NEW_KEY)
    store.restore(copy)
    wait_for_restoration(router)
    for _ in range(40):
        assert router.send_request(PATH, headers=NEW_KEY).status == 200
        gevent.sleep(0.1)


def test_a_router_that_starts_after_a_restoration_trusts_its_peers(
    tmp_path, router, store, servers
):
    # Guards against a restart that brings back a key which was withdrawn: the copy
    # still has it, and the operator has not written again yet.
    store.put("op", "config", make_configuration(version=3))
    register(store, "p1", servers[0])
    wait_until_served(router)
    copy = store.copy()
    store.put("op", "config", make_configuration(version=30, key="k2"))
    wait_until_served(router, NEW_KEY)
    store.restore(copy)
    wait_for_restoration(router)
    router.wait_for(lambda: store.keys("routers") == ["r1"], seconds=12.0)
    other = Router(tmp_path, store, "r2")
    try:
        other.wait_for(lambda: other.send_request(port=other.ready_port).status)
        for _ in range(20):
            assert other.send_request(PATH).status == 503
            gevent.sleep(0.1)
        store.put("op", "config", make_configuration(version=30, key="k2"))
        wait_until_served(other, NEW_KEY)
        assert other.send_request(PATH).status == 401
    finally:
        other.stop()

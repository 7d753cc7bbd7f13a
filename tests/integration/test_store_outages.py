"""Registrations that disappear around an outage of the store."""

import time

import gevent
import pytest
from gevent.pywsgi import WSGIServer
from tests.integration.router_system import Router
from tests.integration.test_restored_store import (
    PATH,
    register,
    servers,  # noqa: F401
    start_serving,
)

from bulrushdrum._internal.pipelines.fleet import LAPSED_GRACE_SECONDS

pytestmark = pytest.mark.slow

AUTHORIZATION = b"Authorization: Token k1\r\n"


def end_short_outage(router, store):
    """Take the store away for a moment; return when the router has reached it again."""
    store.is_down = True
    router.wait_for(lambda: 4001 in router.events())
    count = router.events().count(4002)
    store.is_down = False
    # One for each table that is followed.
    router.wait_for(lambda: router.events().count(4002) >= count + 3)


def test_a_server_removed_soon_after_an_outage_is_not_used_for_long(
    router,
    store,
    servers,  # noqa: F811
):
    # Guards against requests to a server that left after the outage, as if its
    # registration had lapsed in the outage and the grace period began with the removal.
    start_serving(router, store, servers)
    end_short_outage(router, store)
    recovered_at = time.monotonic()
    gevent.sleep(LAPSED_GRACE_SECONDS - 0.5)
    store.put("servers", "p1", None)
    answers = []
    while time.monotonic() < recovered_at + 2 * LAPSED_GRACE_SECONDS:
        sent_at = time.monotonic()
        body = router.send_request(PATH, headers=AUTHORIZATION).body
        answers.append((sent_at - recovered_at, body))
        gevent.sleep(0.02)
    # The registrations are read within half a second.
    last_use = max((after for after, body in answers if body == b"one"), default=0.0)
    assert last_use < LAPSED_GRACE_SECONDS + 0.5
    assert answers[-1][1] == b"two"


class StoreLink:
    """The way of one router to the store, which can be cut; calls then hang."""

    def __init__(self, store):
        self._store = store
        self.is_cut = False
        self._server = WSGIServer(("127.0.0.1", 0), self._handle, log=None)
        self._server.start()

    @property
    def address(self):
        return f"127.0.0.1:{self._server.server_port}"

    def _handle(self, environ, start_response):
        if self.is_cut:
            gevent.sleep(5.0)
        return self._store._handle(environ, start_response)

    def stop(self):
        self._server.stop(timeout=0.1)


def test_a_server_that_left_while_one_router_was_cut_off_is_not_used(
    router,
    store,
    servers,  # noqa: F811
    tmp_path,
):
    # Guards against a router that takes its own way to the store for the store, and
    # uses a server that left as if its registration had lapsed in an outage.
    link = StoreLink(store)
    cut_off = Router(tmp_path, link, "r2")
    try:
        start_serving(router, store, servers)
        cut_off.wait_for(
            lambda: cut_off.send_request(PATH, headers=AUTHORIZATION).status == 200
        )
        # Both have announced themselves.
        gevent.sleep(1.0)
        link.is_cut = True
        cut_off.wait_for(lambda: 4001 in cut_off.events())
        store.put("servers", "p1", None)
        link.is_cut = False
        cut_off.wait_for(lambda: cut_off.events().count(4002) >= 4)
        gevent.sleep(0.3)
        for _ in range(20):
            assert cut_off.send_request(PATH, headers=AUTHORIZATION).body == b"two"
    finally:
        cut_off.stop()
        link.stop()


def test_a_server_that_lapsed_in_an_outage_is_used_when_it_is_back(
    router,
    store,
    servers,  # noqa: F811
):
    # Guards against serving less after an outage in which registrations lapsed.
    start_serving(router, store, servers)
    store.is_down = True
    router.wait_for(lambda: 4001 in router.events())
    store.put("servers", "p1", None)
    store.put("servers", "p2", None)
    store.is_down = False
    ends_at = time.monotonic() + LAPSED_GRACE_SECONDS - 0.2
    while time.monotonic() < ends_at:
        assert router.send_request(PATH, headers=AUTHORIZATION).status == 200
        gevent.sleep(0.02)
    register(store, "p1", servers[0])
    gevent.sleep(1.0)
    for _ in range(10):
        assert router.send_request(PATH, headers=AUTHORIZATION).body == b"one"

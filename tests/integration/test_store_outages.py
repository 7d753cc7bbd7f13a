"""Registrations that disappear around an outage of the store."""

import time

import gevent
import pytest
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

"""A router beside registrations of another writer that cannot be read or used."""

import base64
import json

import pytest
from bench.standins.path_server import PathServer, complete_response
from tests.integration.router_system import FakeEngine, make_configuration

# Registrations by their id, as the bytes of the row.
_PLAIN = b'{"service":"s2","address":"127.0.0.1:9","zone":"a","state":"ready",'
MALFORMED = {
    "x1": b"[" * 20_000,
    "x2": _PLAIN + b'"slots":1e400}',
    "x3": _PLAIN.replace(b":9", b":70000") + b'"slots":8}',
    "x4": b"\xff\xfe",
}
# Engines without an accelerator, of an unknown one, and with unknown layers.
_ENGINE = (
    b'{"service":"s1","address":"127.0.0.1:9","zone":"a","slots":8,"state":"ready"'
)
UNUSABLE = {
    "y1": _ENGINE + b"}",
    "y2": _ENGINE + b',"route-kind":"unknown","layers":{"from":0,"target":5}}',
    "y3": _ENGINE + b',"route-kind":"k","layers":{"from":0,"target":900000000}}',
}

pytestmark = pytest.mark.slow


def put_bytes(store, upstream_id, value):
    store.put("servers", upstream_id, None)
    row = store._rows["servers", upstream_id]
    del row["deleted"]
    row["value"] = base64.b64encode(value).decode()


def registered(router):
    state = router.send_request(b"/state", b"GET", router.metrics_port).body
    return set(json.loads(state)["fleet"]["upstreams"])


def serve_plain_calls(router, store):
    """Return a server of the plain service, and its registration."""
    server = PathServer("p1", lambda request: complete_response(request))
    registration = {
        "service": "s2",
        "address": server.address,
        "zone": "a",
        "slots": 8,
        "state": "ready",
        "born": 1,
    }
    store.put("op", "config", make_configuration())
    store.put("servers", "p1", registration)
    router.wait_for(lambda: router.send_request(b"/a/b/x").status == 200)
    return server, registration


def test_registrations_that_cannot_be_read_do_not_hide_the_others(router, store):
    # Guards against a router that follows no registrations because of one row, and
    # against one that is never ready after a restart beside such a row.
    server, registration = serve_plain_calls(router, store)
    for upstream_id, value in MALFORMED.items():
        put_bytes(store, upstream_id, value)
    store.put("servers", "p2", registration)
    router.wait_for(lambda: registered(router) == {"p1", "p2"}, 5.0)
    store.put("servers", "p1", {**registration, "state": "draining"})
    store.put("servers", "p2", None)
    router.wait_for(lambda: router.send_request(b"/a/b/x").status == 503, 5.0)
    store.put("servers", "p1", registration)
    router.stop()
    router.start()
    router.wait_for(lambda: router.send_request(port=router.ready_port).status == 200)
    assert router.send_request(b"/a/b/x").status == 200
    page = router.send_request(b"/metrics", b"GET", router.metrics_port).body.decode()
    assert f"bulrushdrum_malformed_registrations {len(MALFORMED)}" in page
    assert 3006 not in router.events()
    server.stop()


def test_a_registration_that_becomes_malformed_names_no_upstream(router, store):
    # Guards against a router that uses what a row held before, which one that starts
    # beside the row does not.
    server, registration = serve_plain_calls(router, store)
    put_bytes(store, "p1", MALFORMED["x2"])
    router.wait_for(lambda: registered(router) == set(), 5.0)
    store.put("servers", "p1", registration)
    router.wait_for(lambda: registered(router) == {"p1"}, 5.0)
    server.stop()


def test_engines_that_cannot_be_used_do_not_stop_the_placement(router, store):
    # Guards against layers that no engine gets because of one registration that names
    # no accelerator, an unknown one, or layers that the model does not have.
    for upstream_id, value in UNUSABLE.items():
        put_bytes(store, upstream_id, value)
    engine = FakeEngine("e1", store)
    store.put("op", "config", make_configuration())
    router.wait_for(lambda: router.send_request().status == 200)
    assert [(o["from"], o["target"]) for o in engine.orders] == [(0, 10)]
    assert router.events().count(8104) == len(UNUSABLE)
    assert 3006 not in router.events()

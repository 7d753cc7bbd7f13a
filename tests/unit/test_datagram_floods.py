"""Datagrams without end at the port for peers; load: unknown senders."""

import json

import gevent
import pytest
from gevent import socket
from tests.unit.test_coordination import make_routers

from bulrushdrum._internal.coordination import announcements
from bulrushdrum._internal.coordination.layer_updates import decode_layer_updates

DATAGRAMS = 300


@pytest.fixture
def router():
    (router,) = make_routers("r1")
    greenlet = gevent.spawn(router.listen_forever)
    yield router
    greenlet.kill()


def announcement(number):
    return {
        "node": f"unknown-{number}",
        "incarnation": "i",
        "port": 1,
        "serving": False,
        "leading": False,
        "silent": [],
        "layers": [[1, "e", 1, 0, 10]],
        "uses": {},
    }


def send(router, first, count):
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        for number in range(first, first + count):
            data = json.dumps(announcement(number)).encode()
            sock.sendto(data, router._socket.getsockname())
            if number % 50 == 0:
                gevent.sleep(0.005)
    gevent.sleep(0.05)


def test_a_flood_of_datagrams_lets_others_run(router, monkeypatch):
    # Guards against a router that answers nobody while datagrams arrive.
    turns = []
    monkeypatch.setattr(
        announcements,
        "run_other_tasks_if_due",
        lambda is_connection: turns.append(is_connection),
    )
    send(router, 0, 50)
    assert turns.count(True) >= 50


def test_the_number_of_peers_is_bounded(router):
    # Guards against senders that fill the memory with peers that do not exist.
    send(router, 0, DATAGRAMS)
    assert len(router._peers) == 256
    # Known peers are heard all the same.
    router._peers["unknown-0"] = router._peers["unknown-0"]._replace(incarnation="old")
    send(router, 0, 1)
    assert router._peers["unknown-0"].incarnation == "i"


def test_the_numbers_of_updates_are_bounded(router):
    # Guards against an entry for each incarnation that was ever heard.
    for number in range(2000):
        updates = decode_layer_updates(announcement(number)["layers"])
        router.layer_updates.apply(f"r{number}", "i", updates)
    assert router.layer_updates.senders == 1024

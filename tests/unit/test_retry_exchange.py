"""Routers exchange loans of retries in a few small messages.

Load: the share of one router is used up and its requests wait, while peers have retries
left, have none, or do not answer.
"""

import json
import time

import gevent
import pytest

from bulrushdrum._internal.coordination.peer_messages import PeerMessages
from bulrushdrum._internal.coordination.retry_exchange import RetryExchange
from bulrushdrum._internal.decoding import DECODING_ERRORS
from bulrushdrum._internal.limits.retry_window import RetryCosts, RetryWindow

EXTRA = 25


class Network:
    """Delivers the messages of some routers, unless they are to `unreachable`."""

    def __init__(self, *names):
        self.names, self.unreachable, self.sent = names, set(), []
        self.routers = {}
        for name in names:
            self.routers[name] = _Router(name, self)

    def send(self, name, _address, data):
        self.sent.append((name, data))
        if name not in self.unreachable:
            gevent.spawn_later(0.001, self.routers[name].receive, data)

    def asked(self):
        return [name for name, data in self.sent if b'"lent"' not in data]


class _Router:
    def __init__(self, name, network):
        peers = {peer: ("127.0.0.1", 1) for peer in network.names if peer != name}
        self.messages = PeerMessages(name, f"i-{name}", network.send, lambda: peers)
        # Started long ago, so that it lends.
        self.window = RetryWindow(0.0, EXTRA, 10.0)
        self.window._lends_from = 0.0
        self.may_lend = True
        self.exchange = RetryExchange(
            self.window,
            self.messages,
            lambda: len(network.names),
            lambda: self.may_lend,
        )

    def receive(self, data):
        self.messages.receive(json.loads(data))

    def wait(self, has_delivered=False):
        """Return whether a retry was counted, and how long that took."""
        started_at = time.monotonic()
        costs, routers = RetryCosts(sent=1), len(self.messages.peers) + 1
        is_counted = self.window.wait_to_count(costs, "s", routers, has_delivered, 0.0)
        return is_counted, time.monotonic() - started_at

    def use_share(self):
        while self.window._try_spend("s", len(self.messages.peers) + 1, True):
            pass


@pytest.fixture
def network():
    return Network("r1", "r2", "r3", "r4", "r5")


def test_a_request_that_waits_gets_a_loan(network):
    first = network.routers["r1"]
    first.use_share()
    is_counted, seconds = first.wait()
    assert is_counted
    assert seconds < 0.03
    assert first.window.borrowed.used == 1


def test_without_peers_a_request_is_refused_at_once():
    # Guards against callers that wait for loans which cannot come.
    alone = Network("r1").routers["r1"]
    alone.use_share()
    is_counted, seconds = alone.wait()
    assert not is_counted
    assert seconds < 0.02


def test_a_request_waits_only_shortly_for_peers_that_do_not_answer(network):
    first = network.routers["r1"]
    network.unreachable = set(network.names)
    first.use_share()
    is_counted, seconds = first.wait()
    assert not is_counted
    assert 0.02 < seconds < 1.0
    # One late or lost answer does not decide.
    assert len(set(network.asked())) >= 2


def test_many_refused_requests_send_few_messages():
    # Guards against a message to all peers for each request that fails.
    network = Network(*(f"r{n}" for n in range(40)))
    for router in network.routers.values():
        router.use_share()
    started_at = time.monotonic()
    for _ in range(5):
        waiting = [gevent.spawn(network.routers["r1"].wait) for _ in range(40)]
        gevent.joinall(waiting)
    assert not any(greenlet.value[0] for greenlet in waiting)
    assert len(network.asked()) <= 6 + (time.monotonic() - started_at) / 0.05


@pytest.mark.parametrize("answers", [True, False])
def test_peers_without_retries_are_not_asked_again_at_once(network, answers):
    for router in network.routers.values():
        router.use_share()
    if not answers:
        network.unreachable = set(network.names)
    first = network.routers["r1"]
    for _ in range(12):
        first.wait()
    assert len(network.asked()) == len(set(network.asked())) == 4


def test_the_peer_that_said_it_has_some_left_is_asked_again(network):
    first = network.routers["r1"]
    for name in ("r2", "r3", "r4"):
        network.routers[name].use_share()
    first.use_share()
    counted = [first.wait()[0] for _ in range(6)]
    assert any(counted)
    network.sent.clear()
    gevent.sleep(0.2)
    first.wait()
    assert set(network.asked()) <= {"r5"}


def test_the_peers_that_announce_that_they_may_lend_are_asked(network):
    # Guards against requests that wait while peers without retries are asked.
    first, fifth = network.routers["r1"], network.routers["r5"]
    for name in ("r1", "r2", "r3", "r4"):
        network.routers[name].use_share()
    for name, router in network.routers.items():
        router.window.record_request("s")
        first.exchange.apply_announcement(name, router.exchange.announcement())
    assert fifth.exchange.announcement() == {"s": 2}
    assert first.wait()[0]
    assert network.asked() == ["r5"]
    fifth.may_lend = False
    assert fifth.exchange.announcement() == {}


def test_the_last_part_of_a_peer_is_lent_to_begun_answers_only(network):
    # Guards against breaking off an answer while other routers keep retries for theirs.
    first = network.routers["r1"]
    first.use_share()
    for name in ("r2", "r3", "r4", "r5"):
        window = network.routers[name].window
        while window.try_spend("s", 5, has_delivered=False):
            pass
        # These retries were sent some time ago.
        window._used["s"].clear()
    assert not first.wait(has_delivered=False)[0]
    # Few messages are sent in a short time.
    gevent.sleep(0.2)
    assert first.wait(has_delivered=True)[0]


def test_a_router_that_is_about_to_stop_does_not_lend(network):
    # Guards against loans of a share that others take over when the lender is gone.
    first = network.routers["r1"]
    for router in network.routers.values():
        router.may_lend = False
    first.use_share()
    assert not first.wait()[0]
    assert sum(r.window.lent.granted for r in network.routers.values()) == 0


def test_an_answer_to_the_incarnation_before_is_not_used(network):
    # Guards against a loan that is used by both incarnations of a borrower.
    first = network.routers["r1"]
    number = first.window.borrowed.request("r2", "s", 1)
    answer = {"number": number, "borrower": "i-r0", "lent": 1, "left": 0}
    network.routers["r2"].messages.send("r1", "retries", answer)
    gevent.sleep(0.01)
    assert first.window.borrowed.received == 0


@pytest.mark.parametrize(
    "body",
    [
        None,
        [],
        {},
        {"number": 1, "service": "s", "amount": -1, "delivered": 0},
        {"number": 1, "service": {}, "amount": 1, "delivered": 0},
        {"number": 1, "service": "s", "amount": float("inf"), "delivered": 0},
        {"number": 1, "service": "s", "amount": 1, "delivered": "x"},
        {"number": 1, "borrower": "i-r1", "lent": -1, "left": 0},
        {"number": "x", "borrower": "i-r1", "lent": 1, "left": 0},
    ],
)
def test_a_malformed_message_changes_nothing(network, body):
    first = network.routers["r1"]
    raw = {"kind": "retries", "node": "r2", "incarnation": "i-r2", "body": body}
    with pytest.raises(DECODING_ERRORS):
        first.messages.receive(raw)
    assert first.window.lent.granted == 0
    assert first.window.borrowed.received == 0

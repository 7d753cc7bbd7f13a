"""Small messages between routers, beside their announcements."""

import gevent
import pytest
from tests.unit.test_coordination import make_routers, send_announcements

from bulrushdrum._internal.coordination.peer_messages import MAX_MESSAGE_BYTES


@pytest.fixture
def routers():
    routers = make_routers("r1", "r2", "r3")
    greenlets = [gevent.spawn(router.listen_forever) for router in routers]
    send_announcements(*routers)
    yield routers
    gevent.killall(greenlets)


def register(router, kind):
    received = []
    router.messages.register(kind, lambda *message: received.append(message))
    return received


def test_a_message_reaches_all_live_peers_or_one(routers):
    first, second, third = routers
    of_second, of_third = register(second, "retries"), register(third, "retries")
    first.messages.broadcast("retries", {"amount": 2})
    assert first.messages.send("r3", "retries", {"amount": 1})
    assert not first.messages.send("r9", "retries", {"amount": 1})
    gevent.sleep(0.05)
    assert of_second == [("r1", "i1", {"amount": 2})]
    assert of_third == [("r1", "i1", {"amount": 2}), ("r1", "i1", {"amount": 1})]


def test_a_message_that_cannot_be_used_stops_neither_messages_nor_announcements(
    routers,
):
    # Guards against a listener that ends with the first unknown or malformed message,
    # as one of a newer release may be.
    first, second, _ = routers
    received = register(second, "known")
    second.messages.register("strict", lambda _name, _incarnation, body: body["x"])
    address = second._socket.getsockname()
    for data in (b'{"kind":1}', b'{"kind":"known"}', b"[]", b'{"kind":{}}', b"kind"):
        first._socket.sendto(data, address)
    first.messages.broadcast("strict", {})
    first.messages.broadcast("of a newer release", {})
    first.messages.broadcast("known", "body")
    send_announcements(first)
    assert received == [("r1", "i1", "body")]
    assert second.serving_routers() == ["r1", "r2", "r3"]


def test_messages_and_announcements_show_that_peers_are_heard(routers):
    _, second, third = routers
    heard = third.messages.last_heard
    second.messages.broadcast("any", None)
    gevent.sleep(0.05)
    assert third.messages.last_heard > heard
    heard = third.messages.last_heard
    send_announcements(second)
    assert third.messages.last_heard > heard


def test_a_message_that_is_too_large_is_not_sent(routers):
    with pytest.raises(ValueError, match="exceeds"):
        routers[0].messages.broadcast("retries", "x" * MAX_MESSAGE_BYTES)


def test_an_announcement_with_malformed_conditions_does_not_end_the_listener(routers):
    # Guards against a listener that ends, and hears no peer until it is started again.
    first, second, _ = routers

    def fail(*_):
        raise ValueError("malformed")

    second.apply_conditions = fail
    send_announcements(first)
    second.apply_conditions = lambda *_: None
    received = register(second, "known")
    first.messages.broadcast("known", "body")
    gevent.sleep(0.05)
    assert received == [("r1", "i1", "body")]

"""Requests to plain services over stand-ins that fail in all ways."""

import pytest
from bench.standins.path_server import head, not_executed, whole
from tests.unit.gateway_fakes import REQUEST, Gateway, make_route

from bulrushdrum._internal.world.routes import RequestKind


def make_gateway(kind, **changes):
    return Gateway(make_route(kind, **changes))


@pytest.fixture
def reading():
    gateway = make_gateway(RequestKind.IDEMPOTENT)
    yield gateway
    gateway.stop()


@pytest.fixture
def writing():
    gateway = make_gateway(RequestKind.NON_IDEMPOTENT)
    yield gateway
    gateway.stop()


def add_pair(gateway, first, second):
    one = gateway.add("one", first, slots=1000)
    two = gateway.add("two", second, data_centre="b")
    return one, two


def test_an_answer_is_passed_on_with_its_signature(reading):
    reading.add("one", whole)
    answer = reading.call()
    assert (answer.status, answer.body) == (200, b"done")
    assert answer.headers["bulrushdrum-server-stamp"] == "stamp"


@pytest.mark.parametrize(
    "broken",
    [
        lambda r: [None],
        lambda r: [head(r, length=100) + b"half", None],
        lambda r: [b"garbage\r\n\r\n", None],
        lambda r: whole(r, status=500),
    ],
)
def test_an_idempotent_request_is_sent_to_another_upstream(reading, broken):
    _, two = add_pair(reading, broken, whole)
    answer = reading.call()
    assert (answer.status, answer.body) == (200, b"done")
    assert len(two.requests) == 1


@pytest.mark.parametrize(
    "broken", [lambda r: [None], lambda r: [head(r, length=9) + b"half", None]]
)
def test_a_non_idempotent_request_that_may_have_run_is_not_sent_again(writing, broken):
    # Guards against a payment that is recorded twice, and against calling it not run.
    one, two = add_pair(writing, broken, whole)
    answer = writing.call()
    assert answer.status == 502
    assert len(one.requests) == 1
    assert two.requests == []


def test_a_non_idempotent_request_that_did_not_run_is_sent_elsewhere(writing):
    _, two = add_pair(writing, not_executed, whole)
    assert writing.call().status == 200
    assert len(two.requests) == 1


def test_an_unreachable_upstream_has_not_run_a_request(writing):
    one, two = add_pair(writing, whole, whole)
    one.stop()
    assert writing.call().status == 200
    assert len(two.requests) == 1


def test_a_503_that_does_not_say_not_run_is_not_passed_on_as_one(writing):
    # Guards against a promise that the upstream did not give.
    writing.add("one", lambda r: whole(r, b"busy", 503))
    answer = writing.call()
    assert answer.status == 502
    assert "bulrushdrum-server-stamp" not in answer.headers


def test_refusals_by_all_upstreams_say_when_to_come_back(writing):
    add_pair(writing, not_executed, not_executed)
    answer = writing.call()
    assert answer.status == 503
    assert float(answer.headers["retry-after"]) > 0


def test_a_silent_upstream_leaves_time_for_another(reading):
    add_pair(reading, lambda r: [10.0], whole)
    answer = reading.call()
    assert answer.status == 200
    assert reading.seconds < 3.0


def test_a_closed_idle_connection_is_not_used_for_the_next_request(writing):
    # Guards against a request that is lost on a connection the upstream has closed.
    one = writing.add("one", lambda r: [*whole(r), None])
    for _ in range(3):
        assert writing.call().status == 200
    assert len(one.requests) == 3


def test_an_extra_answer_is_never_the_next_requests(writing):
    writing.add("one", lambda r: [b"".join(whole(r)) + b"".join(whole(r, b"old"))])
    for number in range(3):
        request = REQUEST.replace(b"r1", b"r%d" % number)
        assert writing.call(request).body == b"done"

"""Requests to plain services on fake upstreams with injected faults."""

import pytest
from bench.standins.path_server import complete_response, head, not_executed
from tests.unit.gateway_fakes import REQUEST, Gateway, make_route

from bulrushdrum._internal.world.routes import RequestKind


def make_gateway(kind, **changes):
    return Gateway(make_route(kind, **changes))


@pytest.fixture
def idempotent_gateway():
    gateway = make_gateway(RequestKind.IDEMPOTENT)
    yield gateway
    gateway.stop()


@pytest.fixture
def non_idempotent_gateway():
    gateway = make_gateway(RequestKind.NON_IDEMPOTENT)
    yield gateway
    gateway.stop()


def add_pair(gateway, first, second):
    one = gateway.add_server("one", first, slots=1000)
    two = gateway.add_server("two", second, data_centre="b")
    return one, two


def test_a_response_is_forwarded_with_its_signature(idempotent_gateway):
    idempotent_gateway.add_server("one", complete_response)
    response = idempotent_gateway.call()
    assert (response.status, response.body) == (200, b"done")
    assert response.headers["bulrushdrum-server-stamp"] == "stamp"


@pytest.mark.parametrize(
    "faulty",
    [
        lambda r: [None],
        lambda r: [head(r, length=100) + b"half", None],
        lambda r: [b"garbage\r\n\r\n", None],
        lambda r: complete_response(r, status=500),
    ],
)
def test_a_failed_idempotent_request_is_retried_elsewhere(idempotent_gateway, faulty):
    _, two = add_pair(idempotent_gateway, faulty, complete_response)
    response = idempotent_gateway.call()
    assert (response.status, response.body) == (200, b"done")
    assert len(two.requests) == 1


@pytest.mark.parametrize(
    "faulty", [lambda r: [None], lambda r: [head(r, length=9) + b"half", None]]
)
def test_a_non_idempotent_request_that_may_have_run_is_not_retried(
    non_idempotent_gateway, faulty
):
    # Guards against recording a payment twice, and against reporting it as not run.
    one, two = add_pair(non_idempotent_gateway, faulty, complete_response)
    response = non_idempotent_gateway.call()
    assert response.status == 502
    assert len(one.requests) == 1
    assert two.requests == []


def test_a_non_idempotent_request_that_did_not_run_is_retried_elsewhere(
    non_idempotent_gateway,
):
    _, two = add_pair(non_idempotent_gateway, not_executed, complete_response)
    assert non_idempotent_gateway.call().status == 200
    assert len(two.requests) == 1


def test_a_request_to_an_unreachable_upstream_is_retried_elsewhere(
    non_idempotent_gateway,
):
    one, two = add_pair(non_idempotent_gateway, complete_response, complete_response)
    one.stop()
    assert non_idempotent_gateway.call().status == 200
    assert len(two.requests) == 1


def test_a_503_that_may_have_run_becomes_a_502(non_idempotent_gateway):
    # Guards against a guarantee that the upstream did not give.
    non_idempotent_gateway.add_server(
        "one", lambda r: complete_response(r, b"busy", 503)
    )
    response = non_idempotent_gateway.call()
    assert response.status == 502
    assert "bulrushdrum-server-stamp" not in response.headers


def test_refusals_by_all_upstreams_return_retry_after(non_idempotent_gateway):
    add_pair(non_idempotent_gateway, not_executed, not_executed)
    response = non_idempotent_gateway.call()
    assert response.status == 503
    assert float(response.headers["retry-after"]) > 0


def test_an_unresponsive_upstream_leaves_time_for_a_retry(idempotent_gateway):
    add_pair(idempotent_gateway, lambda r: [10.0], complete_response)
    response = idempotent_gateway.call()
    assert response.status == 200
    assert idempotent_gateway.seconds < 3.0


# Guards against a failure for a request whose upstream is late and answers in time,
# because the request was ended to be sent elsewhere, where it could not be sent.
@pytest.mark.parametrize("reason", ["no retry", "no other upstream"])
def test_a_late_answer_is_awaited_if_the_request_cannot_be_sent_elsewhere(
    idempotent_gateway, reason
):
    def respond_late(request):
        # After 0.45 of the time to the deadline.
        return [2.0, *complete_response(request)]

    one, two = add_pair(idempotent_gateway, respond_late, complete_response)
    match reason:
        case "no retry":
            idempotent_gateway.budget._extra = 0
        case _:
            idempotent_gateway.fleet.remove("two")
    response = idempotent_gateway.call()
    assert (response.status, response.body) == (200, b"done")
    assert (len(one.requests), len(two.requests)) == (1, 0)


def test_a_closed_idle_connection_is_not_reused(non_idempotent_gateway):
    # Guards against losing a request on a connection that the upstream has closed.
    one = non_idempotent_gateway.add_server(
        "one", lambda r: [*complete_response(r), None]
    )
    for _ in range(3):
        assert non_idempotent_gateway.call().status == 200
    assert len(one.requests) == 3


def test_an_excess_response_is_not_used_for_the_next_request(non_idempotent_gateway):
    non_idempotent_gateway.add_server(
        "one",
        lambda r: [
            b"".join(complete_response(r)) + b"".join(complete_response(r, b"old"))
        ],
    )
    for number in range(3):
        request = REQUEST.replace(b"r1", b"r%d" % number)
        assert non_idempotent_gateway.call(request).body == b"done"


@pytest.mark.parametrize(
    "failed", [lambda r: [None], lambda r: complete_response(r, status=500)]
)
def test_a_refusal_after_an_attempt_that_ran_is_not_reported_as_not_run(
    idempotent_gateway, failed
):
    # Guards against "not run" for a call that another upstream had run before.
    one, two = add_pair(idempotent_gateway, failed, not_executed)
    response = idempotent_gateway.call()
    assert (len(one.requests), len(two.requests)) == (1, 1)
    assert response.status in (500, 502)

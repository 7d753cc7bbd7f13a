"""Errors of the server that is to resume a stream which has begun and broke off."""

import pytest
from bench.standins.path_server import END, event, head
from tests.unit.gateway_fakes import Gateway, make_route

from bulrushdrum._internal.world.routes import RequestKind


@pytest.mark.parametrize(
    "answer",
    [
        pytest.param(lambda r: [head(r, 204, signed=True, length=0)], id="no content"),
        pytest.param(
            lambda r: [
                head(r, 200, "Content-Type: text/html", length=8) + b"<err>\n\n\n"
            ],
            id="page",
        ),
        pytest.param(
            lambda r: [
                head(r, 200, "Content-Type: application/json", length=14)
                + b'{"error": 1}\n\n'
            ],
            id="error as a success",
        ),
        pytest.param(
            lambda r: [head(r, 206, "Content-Type: text/event-stream"), event(3), END],
            id="another status",
        ),
        pytest.param(
            lambda r: [head(r, 500, length=12) + b"data: x\n\n\n\n\n"], id="error"
        ),
        pytest.param(
            lambda r: [head(r, 404, length=12) + b"data: x\n\n\n\n\n"], id="missing"
        ),
    ],
)
def test_an_error_of_the_next_server_does_not_end_up_in_a_stream(answer):
    # Guards against an error in the middle of a stream, and against a stream that ends
    # as if it were complete.
    def break_off(request):
        stream_head = head(request, 200, "Content-Type: text/event-stream")
        return [stream_head + event(1) + event(2), None]

    gateway = Gateway(make_route(RequestKind.STREAMING))
    gateway.add_server("one", break_off, layers=(0, 40))
    gateway.add_server("two", answer, layers=(0, 40), data_centre="b")
    response = gateway.call()
    gateway.stop()
    assert response.body == b"id: 1\ndata: t1\n\nid: 2\ndata: t2\n\n"
    assert not response.is_complete

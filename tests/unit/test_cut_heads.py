"""Servers that stop in the middle of a response's head and close the connection."""

import pytest
from bench.standins.path_server import RESET, complete_response, head, resumed
from tests.unit.gateway_fakes import REQUEST, Gateway, make_route

from bulrushdrum._internal.world.routes import RequestKind

SAMPLE = {"headers": {"bulrushdrum-attempt-id": "r1"}}
LENGTH = len(head(SAMPLE, 200, "Content-Type: text/event-stream", length=4))


class CutHeads:
    """Serves the requests r0, and cuts the heads of all others after some bytes."""

    def __init__(self, serve, end):
        self.bytes = 0
        self._serve, self._end = serve, end

    def __call__(self, request):
        if request["headers"]["bulrushdrum-attempt-id"] == "r0":
            return self._serve(request)
        whole = head(request, 200, "Content-Type: text/event-stream", length=4)
        return [whole[: self.bytes], self._end]


@pytest.mark.parametrize("end", [None, RESET])
@pytest.mark.parametrize("kept", [False, True])
@pytest.mark.parametrize(
    ("kind", "serve", "layers"),
    [
        (RequestKind.NON_IDEMPOTENT, complete_response, None),
        (RequestKind.IDEMPOTENT, complete_response, None),
        (RequestKind.STREAMING, resumed, (0, 40)),
    ],
)
def test_half_a_head_is_never_a_success(kind, serve, layers, kept, end):
    # Guards against a 200 with an empty body that is framed as whole.
    gateway, script = Gateway(make_route(kind, max_attempts=1)), CutHeads(serve, end)
    gateway.add_server("one", script, layers=layers)
    statuses = set()
    for script.bytes in range(0, LENGTH, 3):
        gateway.fleet.record_success("one")
        if kept:
            gateway.call(REQUEST.replace(b"r1", b"r0"))
        response = gateway.call()
        statuses.add((response.status, response.is_complete))
    gateway.stop()
    assert statuses == {(502, True)}

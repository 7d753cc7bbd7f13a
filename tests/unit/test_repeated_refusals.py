"""Refusals that a faulty server writes once more on a kept connection.

The copy names the same request as the request that is sent there next, if that is the
same one again. Its caller must not be told that the request has not run.
"""

import gevent
import pytest
from bench.standins.path_server import head, not_executed, resumed
from tests.unit.gateway_fakes import REQUEST, Gateway, make_route

from bulrushdrum._internal.world.routes import RequestKind


class FaultyServer:
    """Refuses the first request; writes the refusal again on the same connection.

    Meanwhile it serves requests of others, so that it is used again.
    """

    def __init__(self, gateway):
        self.refused_on = None
        self.ran = 0
        self._gateway = gateway

    def __call__(self, request):
        if self.refused_on is None:
            self.refused_on = request["connection"]
            gevent.spawn_later(0.05, self._gateway.record_other_success, "one")
            return not_executed(request)
        self.ran += 1
        if request["connection"] == self.refused_on:
            return [0.02, *not_executed(request), *resumed(request)]
        return resumed(request)


def make_gateway(kind=RequestKind.STREAMING, **changes):
    # The goal leaves time to send a refused request to the same server again.
    return Gateway(make_route(kind, goal=1.0, **changes))


def test_a_copied_refusal_does_not_hide_that_a_stream_runs():
    # Guards against "not run, try again" for a request that a server is running.
    gateway = make_gateway()
    script = FaultyServer(gateway)
    gateway.add_server("one", script, layers=(0, 40))
    response = gateway.call()
    gateway.stop()
    assert (response.status, response.is_complete) == (200, True)
    assert script.ran == 1


def test_a_copied_refusal_does_not_start_a_stream_at_a_second_server():
    # Guards against a request that runs twice.
    gateway = make_gateway(resumable=False)
    script = FaultyServer(gateway)
    gateway.add_server("one", script, layers=(0, 40))
    later = []

    def refuse_once(request):
        later.append(request)
        gevent.spawn_later(0.12, gateway.record_other_success, "two")
        return not_executed(request) if len(later) == 1 else resumed(request)

    gateway.add_server("two", refuse_once, layers=(0, 40), data_centre="b")
    response = gateway.call()
    gateway.stop()
    assert response.is_complete
    assert script.ran + max(len(later) - 1, 0) == 1


@pytest.mark.parametrize("kind", [RequestKind.IDEMPOTENT, RequestKind.NON_IDEMPOTENT])
def test_a_copied_refusal_is_not_the_answer_to_the_next_call(kind):
    # Guards against the same for a request of another caller.
    def refuse(request):
        answers = [head(request, 200, length=4) + b"done"]
        if request["headers"]["bulrushdrum-attempt-id"] == "r0":
            return not_executed(request)
        old = {"headers": {"bulrushdrum-attempt-id": "r0"}}
        return [0.02, *not_executed(old), *answers]

    gateway = make_gateway(kind)
    gateway.add_server("one", refuse)
    assert gateway.call(REQUEST.replace(b"r1", b"r0")).status == 503
    response = gateway.call()
    gateway.stop()
    assert response.status == 502

"""What refusals of generations tell about upstreams, and what clears it.

Load: engines refuse while they leave, and answer the streams that they have begun.
"""

import gevent
import pytest
from bench.standins.path_server import END, event, head, not_executed, resumed
from tests.unit.gateway_fakes import Gateway, make_route

from bulrushdrum._internal.pipelines.memory_reservations import Hop
from bulrushdrum._internal.world.routes import RequestKind
from bulrushdrum._internal.world.upstreams import LayerRange


@pytest.fixture
def gateway():
    gateway = Gateway(make_route(RequestKind.STREAMING, goal=1.0))
    yield gateway
    gateway.stop()


def test_a_refusal_that_names_nobody_on_the_path_leads_to_another_path(gateway):
    # Guards against the same path being asked again at once, as happened within 3 ms.
    asked = []

    def refuse_first(name):
        def answer(request):
            asked.append(name)
            if len(asked) == 1:
                return not_executed(request, at_server="127.0.0.1:9")
            return resumed(request)

        return answer

    gateway.add_server("slow", refuse_first("slow"), layers=(0, 40))
    gateway.add_server("fast", refuse_first("fast"), layers=(0, 40))
    # The chooser would take the other one again.
    gateway.reservations.reserve(
        [Hop(gateway.fleet.get("slow"), LayerRange(0, 40))], 1000.0
    )
    assert gateway.call().status == 200
    assert asked == ["fast", "slow"]
    # Nobody is avoided for it.
    assert gateway.fleet.avoided_ids() == []


def test_an_old_stream_does_not_clear_an_engine_that_refuses(gateway):
    # Guards against a draining engine that is asked again after each old stream.
    requests = []

    def refuse_later(request):
        requests.append(request)
        if len(requests) > 1:
            return not_executed(request)
        return [
            head(request, 200, "Content-Type: text/event-stream"),
            0.2,
            *[event(number) for number in range(1, 6)],
            END,
        ]

    gateway.add_server("one", refuse_later, layers=(0, 40))
    old = gevent.spawn(gateway.call)
    gevent.sleep(0.05)
    gateway.add_server("two", resumed, layers=(0, 40), data_centre="b")
    assert gateway.call().status == 200
    assert len(requests) == 2
    assert old.get().is_complete
    assert not gateway.fleet.claims.condition("one").is_settled
    gateway.record_other_success("one")
    assert gateway.fleet.claims.condition("one").is_settled

"""Generations over paths of stand-in engines that fail in all ways."""

import time

import gevent
import pytest
from bench.standins.path_server import (
    END,
    event,
    head,
    let_others_run,
    not_executed,
    report,
    resumed,
    stream,
)
from tests.unit.gateway_fakes import REQUEST, Gateway, make_route

from bulrushdrum._internal.world.routes import RequestKind

WHOLE = b"".join(b"id: %d\ndata: t%d\n\n" % (n, n) for n in range(1, 6))


@pytest.fixture
def gateway():
    gateway = Gateway(make_route(RequestKind.STREAMING))
    yield gateway
    gateway.stop()


def on_requests(script, stalled=lambda: ()):
    """Return a script that answers reports, and other requests by `script`."""

    def answer(request):
        if request["target"] == "/report":
            return report(stalled())
        return script(request)

    return answer


def runs(server):
    return [r for r in server.requests if r["target"] != "/report"]


def add_pair(gateway, first, second):
    """Two engines that each hold all layers; the first is preferred for its speed."""
    one = gateway.add("one", on_requests(first), (0, 40))
    two = gateway.add("two", on_requests(second), (0, 40))
    gateway.fleet.put(gateway.fleet.get("two")._replace(data_centre="b"))
    return one, two


def test_a_stream_is_passed_on_whole_with_its_path_and_team(gateway):
    one = gateway.add("one", on_requests(stream), (0, 40))
    answer = gateway.call()
    assert (answer.status, answer.body, answer.is_whole) == (200, WHOLE, True)
    headers = one.requests[0]["headers"]
    assert headers["bulrushdrum-hop-count"] == f"{one.address}=0-40"
    assert headers["bulrushdrum-tenant"] == "t1"
    assert headers["bulrushdrum-expect-instance"] == "one"
    assert one.requests[0]["body"] == b"body"
    assert gateway.reservations.own_usage() == {}


def test_a_broken_stream_goes_on_behind_its_last_event(gateway):
    # Guards against events that are missing or come twice after a crash.
    def breaks_off(request):
        return [head(request), event(1), event(2), b"14\r\nid: 3\ndata", None]

    _, two = add_pair(gateway, breaks_off, resumed)
    answer = gateway.call()
    assert (answer.body, answer.is_whole) == (WHOLE, True)
    assert runs(two)[0]["headers"]["last-event-id"] == "2"


def test_a_repeated_event_of_a_resumed_stream_is_not_passed_on_again(gateway):
    def repeats(request):
        return stream(request, first=2)

    add_pair(gateway, lambda r: [head(r), event(1), event(2), None], repeats)
    assert gateway.call().body == WHOLE


def test_a_gap_in_a_resumed_stream_never_looks_complete(gateway):
    # Guards against joining pieces of two runs that do not fit.
    def skips(request):
        return stream(request, first=4)

    add_pair(gateway, lambda r: [head(r), event(1), event(2), None], skips)
    answer = gateway.call()
    assert not answer.is_whole
    assert b"t4" not in answer.body


def test_a_stream_that_may_not_be_resumed_is_broken_off(gateway):
    gateway.route = gateway.route._replace(resumable=False)
    _, two = add_pair(gateway, lambda r: [head(r), event(1), None], resumed)
    answer = gateway.call()
    assert not answer.is_whole
    assert runs(two) == []


def test_no_more_upstreams_run_a_request_than_its_route_allows(gateway):
    def breaks_off(request):
        return [head(request), None]

    servers = [gateway.add(name, on_requests(breaks_off), (0, 40)) for name in "abcd"]
    answer = gateway.call()
    assert answer.status == 502
    assert sum(len(runs(server)) for server in servers) == 2


def test_a_refusal_by_an_upstream_of_the_path_leads_around_it(gateway):
    # Guards against blaming the first upstream for one behind it.
    other = gateway.add("other", on_requests(stream), (20, 40))
    spare = gateway.add("spare", on_requests(stream), (20, 40))

    def refuses_other(request):
        if other.address in request["headers"]["bulrushdrum-hop-count"]:
            return not_executed(request, at_server=other.address)
        return stream(request)

    gateway.add("first", on_requests(refuses_other), (0, 20))
    gateway.fleet.put(gateway.fleet.get("spare")._replace(data_centre="b"))
    answer = gateway.call()
    assert answer.status == 200
    assert gateway.fleet.is_avoided("other")
    assert not gateway.fleet.is_avoided("first")
    assert runs(spare) == []


def test_an_upstream_that_refused_is_not_asked_again_at_once(gateway):
    # Load pattern: the only engine with some layers is full or gives them up. Guards
    # against all tries of a request being spent on it within some milliseconds.
    refusals = []

    def refuse_for_a_while(request):
        refusals.append(time.monotonic())
        if len(refusals) == 1:
            return not_executed(request)
        return stream(request)

    gateway.add("one", on_requests(refuse_for_a_while), (0, 40))
    gateway.fleet.record_failure = lambda upstream_id: None
    gateway.route = gateway.route._replace(goal=1.0)
    assert gateway.call().status == 200
    assert len(refusals) == 2
    assert refusals[1] - refusals[0] >= 0.14


def test_the_upstream_of_the_path_is_blamed_though_another_has_its_address(gateway):
    # Guards against a new incarnation that is avoided for its predecessor, whose stale
    # registration then stays in use.
    server = gateway.add("old", on_requests(not_executed), (0, 40))
    gateway.add("spare", on_requests(stream), (0, 40), data_centre="b")
    newer = gateway.fleet.get("old")._replace(id="new", layers=None, born=2)
    gateway.fleet.put(newer)
    assert gateway.call().status == 200
    assert len(runs(server)) == 1
    assert gateway.fleet.is_avoided("old") and not gateway.fleet.is_avoided("new")


def test_what_no_upstream_ran_is_refused_with_a_time_to_come_back(gateway):
    one = gateway.add("one", on_requests(not_executed), (0, 40))
    answer = gateway.call()
    assert answer.status == 503
    assert float(answer.headers["retry-after"]) > 0
    assert len(runs(one)) == 1


def test_a_request_without_a_path_is_refused_at_once(gateway):
    # Guards against holding a request that is known not to fit.
    gateway.add("one", on_requests(stream), (0, 20))
    answer = gateway.call()
    assert answer.status == 503
    assert gateway.seconds < 0.15


def test_a_stall_behind_the_first_upstream_is_found_by_its_report(gateway):
    # Guards against waiting until the stalled path is cut off by its server.
    dead = gateway.add("dead", on_requests(stream), (20, 40))
    gateway.add("spare", on_requests(stream), (20, 40))
    gateway.fleet.put(gateway.fleet.get("spare")._replace(data_centre="b"))

    def stalls(request):
        if dead.address in request["headers"]["bulrushdrum-hop-count"]:
            return [head(request), event(1), 10.0]
        return resumed(request)

    gateway.add("first", on_requests(stalls, lambda: [dead.address]), (0, 20))
    answer = gateway.call()
    assert (answer.body, answer.is_whole) == (WHOLE, True)
    assert gateway.seconds < 1.0
    assert gateway.fleet.is_unresponsive("dead")
    assert not gateway.fleet.is_avoided("first")


def test_streams_move_when_another_router_says_that_an_upstream_is_silent(gateway):
    one, two = add_pair(gateway, lambda r: [head(r), event(1), 10.0], resumed)
    caller = gevent.spawn(gateway.call)
    gevent.sleep(0.15)
    gateway.fleet.mark_unresponsive("one")
    answer = caller.get(timeout=3.0)
    assert (answer.body, answer.is_whole) == (WHOLE, True)


def test_a_registration_that_goes_does_not_break_its_streams_off(gateway):
    # Guards against breaking off what a leaving upstream serves to its end.
    one, two = add_pair(gateway, lambda r: stream(r, gap=0.08), resumed)
    caller = gevent.spawn(gateway.call)
    gevent.sleep(0.12)
    gateway.fleet.remove("one")
    answer = caller.get(timeout=3.0)
    assert (answer.body, answer.is_whole) == (WHOLE, True)
    assert runs(two) == []


def test_work_for_a_caller_that_left_is_stopped(gateway):
    # Guards against engines that go on for nobody.
    one = gateway.add("one", on_requests(lambda r: [head(r), event(1), 5.0]), (0, 40))
    sock = gateway.connect()
    sock.sendall(REQUEST)
    sock.recv(1000)
    sock.close()
    gevent.sleep(0.2)
    assert one.closed_early == 1
    assert gateway.reservations.own_usage() == {}


@pytest.mark.parametrize(
    "garbled",
    [
        lambda r: [b"no answer at all\r\n\r\n"],
        lambda r: [head(r, signed=False), event(1), END],
        lambda r: [head(r, 200, "Content-Encoding: gzip"), event(1), END],
        lambda r: [head({"headers": {"bulrushdrum-attempt-id": "other"}}), END],
    ],
)
def test_what_is_no_answer_to_the_request_is_not_passed_on(gateway, garbled):
    # Guards against answers that are mixed up or that no server has signed.
    add_pair(gateway, garbled, resumed)
    answer = gateway.call()
    assert (answer.status, answer.body, answer.is_whole) == (200, WHOLE, True)


def test_the_bound_on_repeats_holds(gateway):
    tight = Gateway(make_route(RequestKind.STREAMING), extra=0)
    try:
        _, two = add_pair(tight, lambda r: [head(r), None], resumed)
        assert tight.call().status == 502
        assert runs(two) == []
    finally:
        tight.stop()


def test_surplus_behind_an_answer_belongs_to_no_request(gateway):
    # Guards against a second answer that is taken for the next request's.
    def twice(request):
        return [b"".join(stream(request)) + b"".join(stream(request, last=2))]

    gateway.add("one", on_requests(twice), (0, 40))
    for _ in range(3):
        assert gateway.call().body == WHOLE
        let_others_run()

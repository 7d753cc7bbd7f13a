"""Generations over paths of fake engines with injected faults."""

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
from gevent.monkey import get_original
from tests.unit.gateway_fakes import REQUEST, Gateway, make_route

from bulrushdrum._internal.pipelines.memory_reservations import Hop
from bulrushdrum._internal.world.routes import RequestKind
from bulrushdrum._internal.world.upstreams import LayerRange

EVENTS = b"".join(b"id: %d\ndata: t%d\n\n" % (n, n) for n in range(1, 6))


@pytest.fixture
def gateway():
    gateway = Gateway(make_route(RequestKind.STREAMING))
    yield gateway
    gateway.stop()


def with_reports(script, stalled_addresses=lambda: ()):
    """Return a script that serves `/report`, and other requests with `script`."""

    def respond(request):
        if request["target"] == "/report":
            return report(stalled_addresses())
        return script(request)

    return respond


def generation_requests(server):
    return [r for r in server.requests if r["target"] != "/report"]


def add_pair(gateway, first, second):
    """Add two engines with all layers; the first is preferred, being local."""
    one = gateway.add_server("one", with_reports(first), (0, 40))
    two = gateway.add_server("two", with_reports(second), (0, 40))
    gateway.fleet.put(gateway.fleet.get("two")._replace(data_centre="b"))
    return one, two


def test_a_stream_is_forwarded_with_its_path_and_team(gateway):
    one = gateway.add_server("one", with_reports(stream), (0, 40))
    response = gateway.call()
    assert (response.status, response.body, response.is_complete) == (200, EVENTS, True)
    headers = one.requests[0]["headers"]
    assert headers["bulrushdrum-hop-count"] == f"{one.address}=0-40"
    assert headers["bulrushdrum-tenant"] == "t1"
    assert headers["bulrushdrum-expect-instance"] == "one"
    assert one.requests[0]["body"] == b"body"
    assert gateway.reservations.own_usage() == {}


def test_an_interrupted_stream_resumes_after_its_last_event(gateway):
    # Guards against missing or duplicate events after an upstream crashes.
    def disconnects(request):
        return [head(request), event(1), event(2), b"14\r\nid: 3\ndata", None]

    _, two = add_pair(gateway, disconnects, resumed)
    response = gateway.call()
    assert (response.body, response.is_complete) == (EVENTS, True)
    assert generation_requests(two)[0]["headers"]["last-event-id"] == "2"


def test_a_stream_without_a_path_waits_as_long_as_its_caller(gateway):
    # Guards against streams that are closed while their callers still wait, shortly
    # before the layers that a departed upstream held are loaded elsewhere.
    def depart(request):
        yield head(request)
        yield event(1)
        gateway.fleet.remove("one")
        gevent.spawn_later(1.2, gateway.add_server, "two", resumed, (0, 40))
        yield None

    gateway.add_server("one", with_reports(depart), (0, 40))
    response = gateway.call()
    assert (response.body, response.is_complete) == (EVENTS, True)


def test_a_stream_without_a_path_ends_before_its_caller_leaves(gateway):
    # Guards against streams that wait for a path when no event can arrive in time.
    def depart(request):
        yield head(request)
        yield event(1)
        gateway.fleet.remove("one")
        yield None

    gateway.route = gateway.route._replace(goal=0.5)
    gateway.add_server("one", with_reports(depart), (0, 40))
    assert not gateway.call().is_complete
    assert 1.2 < gateway.seconds < 2.0


def test_duplicate_events_of_a_resumed_stream_are_dropped(gateway):
    def repeats_an_event(request):
        return stream(request, first=2)

    add_pair(gateway, lambda r: [head(r), event(1), event(2), None], repeats_an_event)
    assert gateway.call().body == EVENTS


def test_a_gap_in_a_resumed_stream_leaves_it_incomplete(gateway):
    # Guards against joining parts of two runs that are not contiguous.
    def skips_an_event(request):
        return stream(request, first=4)

    add_pair(gateway, lambda r: [head(r), event(1), event(2), None], skips_an_event)
    response = gateway.call()
    assert not response.is_complete
    assert b"t4" not in response.body


def test_a_stream_that_is_not_resumable_is_aborted(gateway):
    gateway.route = gateway.route._replace(resumable=False)
    _, two = add_pair(gateway, lambda r: [head(r), event(1), None], resumed)
    response = gateway.call()
    assert not response.is_complete
    assert generation_requests(two) == []


def test_attempts_are_limited_by_the_route(gateway):
    def disconnects(request):
        return [head(request), None]

    servers = [
        gateway.add_server(name, with_reports(disconnects), (0, 40)) for name in "abcd"
    ]
    response = gateway.call()
    assert response.status == 502
    assert sum(len(generation_requests(server)) for server in servers) == 2


def test_a_retry_avoids_the_upstream_that_refused(gateway):
    # Guards against blaming the first upstream for a refusal by a later one.
    other = gateway.add_server("other", with_reports(stream), (20, 40))
    spare = gateway.add_server("spare", with_reports(stream), (20, 40))

    def refuses_other(request):
        if other.address in request["headers"]["bulrushdrum-hop-count"]:
            return not_executed(request, at_server=other.address)
        return stream(request)

    gateway.add_server("first", with_reports(refuses_other), (0, 20))
    gateway.fleet.put(gateway.fleet.get("spare")._replace(data_centre="b"))
    response = gateway.call()
    assert response.status == 200
    assert gateway.fleet.is_avoided("other")
    assert not gateway.fleet.is_avoided("first")
    assert generation_requests(spare) == []


def test_a_retry_to_the_refusing_upstream_is_delayed(gateway):
    # The only engine that holds some layers is full or unloads them. Guards against
    # spending all attempts of a request on it within milliseconds.
    attempt_times = []

    def refuse_once(request):
        attempt_times.append(time.monotonic())
        if len(attempt_times) == 1:
            return not_executed(request)
        return stream(request)

    gateway.add_server("one", with_reports(refuse_once), (0, 40))
    gateway.conditions.report_refusal = lambda upstream: None
    gateway.route = gateway.route._replace(goal=1.0)
    assert gateway.call().status == 200
    assert len(attempt_times) == 2
    assert attempt_times[1] - attempt_times[0] >= 0.14


def refuse_after_a_cut(refusals):
    """Return a script that cuts its first stream, refuses and then resumes it."""
    requests = iter(range(refusals + 1))

    def respond(request):
        match next(requests, None):
            case 0:
                return [head(request), event(1), event(2), None]
            case None:
                return resumed(request)
            case _:
                return not_executed(request)

    return respond


def test_a_begun_stream_that_is_refused_asks_on_while_its_caller_waits(gateway):
    # Guards against closing a stream in the middle of its answer within milliseconds,
    # because four engines in a row have had no memory for it.
    gateway.add_server("one", with_reports(refuse_after_a_cut(5)), (0, 40))
    gateway.conditions.report_refusal = lambda upstream: None
    response = gateway.call()
    assert (response.body, response.is_complete) == (EVENTS, True)


def test_a_begun_stream_that_is_refused_ends_when_its_caller_has_left(gateway):
    # Guards against spending the retries of others on a stream that nobody waits for.
    gateway.route = gateway.route._replace(timeout=6.0)
    gateway.add_server("one", with_reports(refuse_after_a_cut(100)), (0, 40))
    gateway.conditions.report_refusal = lambda upstream: None
    response = gateway.call()
    assert not response.is_complete
    assert 1.5 < gateway.seconds < 3.0


def test_a_refusal_is_attributed_to_the_upstream_of_the_path(gateway):
    # Two incarnations share an address. Guards against avoiding the new one for a
    # refusal by its predecessor, whose stale registration would stay in use.
    server = gateway.add_server("old", with_reports(not_executed), (0, 40))
    gateway.add_server("spare", with_reports(stream), (0, 40), data_centre="b")
    newer = gateway.fleet.get("old")._replace(id="new", layers=None, born=2)
    gateway.fleet.put(newer)
    assert gateway.call().status == 200
    assert len(generation_requests(server)) == 1
    assert gateway.fleet.is_avoided("old") and not gateway.fleet.is_avoided("new")


def test_a_request_that_did_not_run_is_refused_with_retry_after(gateway):
    one = gateway.add_server("one", with_reports(not_executed), (0, 40))
    response = gateway.call()
    assert response.status == 503
    assert float(response.headers["retry-after"]) > 0
    assert len(generation_requests(one)) == 1


def test_a_request_without_a_path_is_refused_immediately(gateway):
    # Guards against queueing a request that no path can serve.
    gateway.add_server("one", with_reports(stream), (0, 20))
    response = gateway.call()
    assert response.status == 503
    assert gateway.seconds < 0.15


def test_the_first_upstream_reports_a_stall_of_a_later_one(gateway):
    # Guards against waiting until the server closes the stalled connection.
    stalled = gateway.add_server("stalled", with_reports(stream), (20, 40))
    gateway.add_server("spare", with_reports(stream), (20, 40))
    gateway.fleet.put(gateway.fleet.get("spare")._replace(data_centre="b"))

    def stalls(request):
        if stalled.address in request["headers"]["bulrushdrum-hop-count"]:
            return [head(request), event(1), 10.0]
        return resumed(request)

    gateway.add_server(
        "first", with_reports(stalls, lambda: [stalled.address]), (0, 20)
    )
    response = gateway.call()
    assert (response.body, response.is_complete) == (EVENTS, True)
    assert gateway.seconds < 1.0
    assert gateway.fleet.is_unresponsive("stalled")
    assert not gateway.fleet.is_avoided("first")


def test_streams_move_when_another_router_reports_an_unresponsive_upstream(gateway):
    one, two = add_pair(gateway, lambda r: [head(r), event(1), 10.0], resumed)
    caller = gevent.spawn(gateway.call)
    gevent.sleep(0.15)
    gateway.fleet.mark_unresponsive("one")
    response = caller.get(timeout=3.0)
    assert (response.body, response.is_complete) == (EVENTS, True)


def test_streams_continue_when_their_upstream_unregisters(gateway):
    # Guards against aborting streams that an upstream completes during shutdown.
    one, two = add_pair(gateway, lambda r: stream(r, gap=0.08), resumed)
    caller = gevent.spawn(gateway.call)
    gevent.sleep(0.12)
    gateway.fleet.remove("one")
    response = caller.get(timeout=3.0)
    assert (response.body, response.is_complete) == (EVENTS, True)
    assert generation_requests(two) == []


def test_work_stops_when_the_caller_disconnects(gateway):
    # Guards against engines that keep working for a disconnected caller.
    one = gateway.add_server(
        "one", with_reports(lambda r: [head(r), event(1), 5.0]), (0, 40)
    )
    sock = gateway.connect()
    sock.sendall(REQUEST)
    sock.recv(1000)
    sock.close()
    gevent.sleep(0.2)
    assert one.closed_early == 1
    assert gateway.reservations.own_usage() == {}


@pytest.mark.parametrize(
    "invalid",
    [
        lambda r: [b"no answer at all\r\n\r\n"],
        lambda r: [head(r, signed=False), event(1), END],
        lambda r: [head(r, 200, "Content-Encoding: gzip"), event(1), END],
        lambda r: [head({"headers": {"bulrushdrum-attempt-id": "other"}}), END],
    ],
)
def test_invalid_responses_are_not_forwarded(gateway, invalid):
    # Guards against forwarding responses to other requests and unsigned ones.
    add_pair(gateway, invalid, resumed)
    response = gateway.call()
    assert (response.status, response.body, response.is_complete) == (200, EVENTS, True)


def test_the_retry_budget_limits_retries(gateway):
    without_retries = Gateway(make_route(RequestKind.STREAMING), extra=0)
    try:
        _, two = add_pair(without_retries, lambda r: [head(r), None], resumed)
        assert without_retries.call().status == 502
        assert generation_requests(two) == []
    finally:
        without_retries.stop()


def test_excess_data_after_a_response_is_discarded(gateway):
    # Guards against using a second response for the next request.
    def sends_two_responses(request):
        return [b"".join(stream(request)) + b"".join(stream(request, last=2))]

    gateway.add_server("one", with_reports(sends_two_responses), (0, 40))
    for _ in range(3):
        assert gateway.call().body == EVENTS
        let_others_run()


def silent(request):
    return [head(request), event(1), 10.0]


def hops_of(server):
    return [r["headers"]["bulrushdrum-hop-count"] for r in generation_requests(server)]


@pytest.mark.parametrize("paused_event", [1, 3])
def test_a_paused_router_reads_what_has_arrived_before_it_looks_for_stalls(
    gateway, paused_event
):
    # Guards against giving up a sound upstream because the router itself was paused,
    # although the next event of the stream had arrived meanwhile.
    pause_process = get_original("time", "sleep")

    def send_and_pause(request):
        steps = stream(request)
        for number, step in enumerate(steps):
            if number == paused_event:
                # The router waits for data from here on.
                let_others_run()
                pause_process(0.5)
            yield step

    one, two = add_pair(gateway, send_and_pause, stream)
    assert gateway.call().body == EVENTS
    assert [request["target"] for request in one.requests] == ["/a/x"]
    assert two.requests == []


def test_a_stream_that_has_begun_is_resumed_when_others_used_up_the_retries(gateway):
    # Guards against an answer that is broken off because requests that had delivered
    # nothing used up the limit on retries.
    two = add_pair(gateway, lambda r: [head(r), event(1), None], resumed)[1]
    while gateway.budget.try_spend("llm", routers=1, has_delivered=False):
        pass
    response = gateway.call()
    assert (response.body, response.is_complete) == (EVENTS, True)
    assert two.requests[-1]["headers"]["last-event-id"] == "1"


def test_a_retry_that_the_limit_refuses_waits_for_a_loan():
    # Guards against giving up an answer while other routers have retries left.
    gateway = Gateway(make_route(RequestKind.STREAMING), extra=0)
    waited = []
    gateway.budget.wait_for_loan = lambda *retry: waited.append(retry) or True
    try:
        add_pair(gateway, lambda r: [head(r), event(1), None], resumed)
        response = gateway.call()
        assert (response.body, response.is_complete) == (EVENTS, True)
        [(service, has_delivered, arrived_at)] = waited
        assert (service, has_delivered) == ("llm", True)
        assert 0.0 <= time.monotonic() - arrived_at < 5.0
    finally:
        gateway.stop()


def test_a_retry_after_unexplained_silence_uses_other_upstreams(gateway):
    # The report names nobody. Guards against stalling on the same path once more while
    # other healthy upstreams are idle.
    _, two = add_pair(gateway, silent, resumed)
    response = gateway.call()
    assert (response.body, response.is_complete) == (EVENTS, True)
    assert len(generation_requests(two)) == 1


def test_a_retry_after_unexplained_silence_shares_the_fewest_upstreams(gateway):
    # There is only one first half, so only the second half can change.
    attempts = []

    def silent_once(request):
        attempts.append(request)
        return silent(request) if len(attempts) == 1 else resumed(request)

    gateway.add_server("x", with_reports(silent_once), (0, 20))
    for name in "yz":
        gateway.add_server(name, with_reports(stream), (20, 40))
    response = gateway.call()
    assert (response.body, response.is_complete) == (EVENTS, True)
    first, second = hops_of(gateway.servers["x"])
    assert first.split(",")[0] == second.split(",")[0]
    assert first.split(",")[1] != second.split(",")[1]


def test_a_retry_after_silence_repeats_the_path_if_there_is_no_other(gateway):
    attempts = []

    def silent_once(request):
        attempts.append(request)
        return silent(request) if len(attempts) == 1 else resumed(request)

    gateway.add_server("one", with_reports(silent_once), (0, 40))
    assert gateway.call().is_complete
    assert len(attempts) == 2


PARTS = b"Bulrushdrum-Prefix-Hash: a5:9,bad:5,07:3\r\n"
REQUEST_WITH_PARTS = REQUEST.replace(b"Content-Length", PARTS + b"Content-Length")


def test_an_upstream_that_refuses_connections_after_a_failure_has_crashed(gateway):
    # Guards against crashes that are noticed only when a registration expires.
    def crash(request):
        gateway.servers["one"].stop()
        return [head(request), None]

    add_pair(gateway, crash, stream)
    assert gateway.call(REQUEST_WITH_PARTS).body == EVENTS
    assert gateway.fleet.has_terminated("one", gateway.fleet.get("one").born)
    assert gateway.part_quarantine.dump()["crashes"] == 1


def test_an_upstream_that_only_closes_the_connection_has_not_crashed(gateway):
    # Guards against evidence from resets, which say nothing about prompt parts.
    add_pair(gateway, lambda request: [head(request), None], stream)
    assert gateway.call(REQUEST_WITH_PARTS).body == EVENTS
    assert gateway.part_quarantine.dump() == {"crashes": 0, "suspects": 1, "groups": []}


def test_parts_of_a_stream_that_has_begun_are_not_suspected(gateway):
    # Guards against refusing the parts of streams that were cut by a crash which
    # another request caused.
    def crash(request):
        gateway.servers["one"].stop()
        return [head(request), event(1), event(2), None]

    add_pair(gateway, crash, resumed)
    assert gateway.call(REQUEST_WITH_PARTS).body == EVENTS
    assert gateway.part_quarantine.dump() == {"crashes": 0, "suspects": 0, "groups": []}


def test_a_stream_that_is_cut_by_crashes_is_not_counted_as_their_cause(gateway):
    # Guards against refusing a sound request for a minute because other requests have
    # crashed three upstreams that were at work on it.
    def crash(request):
        gateway.fleet.remove("one")
        return [head(request), event(1), event(2), None]

    for _ in range(3):
        add_pair(gateway, crash, resumed)
        assert gateway.call().body == EVENTS
    assert not gateway.quarantine.is_quarantined("f1")
    assert gateway.quarantine.dump() == {}


def test_a_request_that_waits_is_refused_once_its_parts_are_known(gateway):
    # Guards against requests that wait for memory while a part is found to crash
    # engines, and are sent to one all the same.
    one = gateway.add_server("one", with_reports(stream), (0, 40))
    hold = gateway.reservations.reserve(
        (Hop(gateway.fleet.get("one"), LayerRange(0, 40)),), 1e9
    )
    caller = gevent.spawn(gateway.call, REQUEST_WITH_PARTS)
    gevent.sleep(0.02)
    gateway.part_quarantine.find_group = lambda parts: ("bad",)
    gateway.reservations.release(hold)
    response = caller.get(timeout=5.0)
    assert response.status == 503
    assert float(response.headers["retry-after"]) == 60.0
    assert generation_requests(one) == []

"""Planned stops of a router: requests that arrive late, or on old connections.

A request that a router has passed on must get its answer, and one that it has not
passed on is refused as not run or left unread.
"""

import signal
import time

import gevent
import pytest
from bench.standins.path_server import stream
from gevent import socket
from gevent.event import Event
from tests.integration.router_system import (
    AUTHORIZATION,
    FakeEngine,
    make_configuration,
)
from tests.unit.gateway_fakes import read_response

# Streams that one router has in progress when it is stopped.
MANY_STREAMS = 500
# The share of a core that a router gets which is short of processor time.
PROCESSOR_SHARE = 0.12
THROTTLE_PERIOD_SECONDS = 0.1

STREAM_BODY = b"".join(b"id: %d\ndata: t%d\n\n" % (n, n) for n in range(1, 6))
GRACE_SECONDS = 6.0
# After SIGTERM a router without requests stops accepting about this much later.
QUIET_SECONDS = 2.6

pytestmark = pytest.mark.slow


class Caller:
    """One kept connection of a caller, on which it sends one generation."""

    def __init__(self, router, name, chunked=False, max_tokens=20):
        self._is_chunked, self._max_tokens = chunked, max_tokens
        self.rename(name)
        self._socket = socket.create_connection(("127.0.0.1", router.port), 1.0)
        self._socket.settimeout(10.0)

    def rename(self, name):
        """Make the next request one with the id `name`."""
        self.id = name
        self.status, self.body, self.is_complete = 0, b"", False
        framing = b"Content-Length: 4"
        if self._is_chunked:
            framing = b"Transfer-Encoding: chunked"
        self._head = (
            b"POST /a/x HTTP/1.1\r\nHost: h.example\r\nBulrushdrum-Attempt-Id: %s\r\n"
            b"Bulrushdrum-Token-Count: 100,%d\r\nBulrushdrum-Length-Hint: 20\r\n"
            b"%s%s\r\n\r\n" % (name, self._max_tokens, AUTHORIZATION, framing)
        )

    def begin(self):
        """Send the head and a part of the body."""
        self._socket.sendall(
            self._head + (b"2\r\nbo\r\n" if self._is_chunked else b"bo")
        )

    def end(self):
        """Send the rest of the body and read the answer."""
        try:
            self._socket.sendall(b"2\r\ndy\r\n0\r\n\r\n" if self._is_chunked else b"dy")
            self._read()
        except OSError:
            pass

    def send(self):
        """Send a whole request at once and read the answer."""
        body = b"4\r\nbody\r\n0\r\n\r\n" if self._is_chunked else b"body"
        try:
            self._socket.sendall(self._head + body)
            self._read()
        except OSError:
            pass

    def _read(self):
        response = read_response(self._socket)
        self.status, self.body = response.status or 0, response.body
        self.is_complete = response.is_complete


@pytest.fixture
def engine(router, store):
    """An engine whose answers take 1.5 s, before a router with a grace of 6 s."""
    gap = 0.0
    engine = FakeEngine("e1", store, lambda request: stream(request, gap=gap))
    store.put("op", "config", make_configuration())
    router.wait_for(lambda: router.send_request().status == 200)
    # Enough for the estimate of a duration, by which a draining router decides.
    for number in range(40):
        caller = Caller(router, b"before-%d" % number)
        caller.send()
        assert caller.status == 200
    gap = 0.3
    return engine


def passed_on(engine):
    return {
        request["headers"]["bulrushdrum-attempt-id"].encode()
        for request in engine.server.requests
        if request["target"] == "/a/x"
    }


def check(callers, engine):
    """Every request that reached the engine has its whole answer."""
    ran = passed_on(engine)
    for caller in callers:
        if caller.id in ran:
            assert (caller.status, caller.is_complete) == (200, True), caller.id
            assert caller.body == STREAM_BODY
        else:
            assert caller.status in (0, 503), (caller.id, caller.status)
    return [caller.status for caller in callers]


@pytest.mark.parametrize("chunked", [True, False])
@pytest.mark.parametrize("seconds", [2.0, QUIET_SECONDS + 0.2, QUIET_SECONDS + 0.7])
def test_a_body_that_ends_while_the_router_finishes_is_answered(
    router, engine, chunked, seconds
):
    # Guards against a request whose body is still arriving when a router without other
    # requests finishes: it is passed on and cut when the router exits.
    caller = Caller(router, b"late", chunked)
    router.process.send_signal(signal.SIGTERM)
    gevent.sleep(seconds - 0.9)
    caller.begin()
    gevent.sleep(0.9)
    caller.end()
    assert check([caller], engine) != [0]
    assert router.process.wait(timeout=8.0) == 0
    assert 8213 not in router.events()


def test_requests_on_old_connections_are_answered_until_the_router_is_gone(
    router, engine
):
    # Guards against requests that are passed on while a router closes its idle
    # connections, or shortly before, and are cut when it exits.
    callers = [Caller(router, b"old-%d" % n, n % 2 == 0) for n in range(60)]
    gevent.sleep(0.2)
    router.process.send_signal(signal.SIGTERM)
    started_at = time.monotonic()
    sending = []
    for number, caller in enumerate(callers):
        at = started_at + QUIET_SECONDS - 0.3 + 0.02 * number
        gevent.sleep(max(at - time.monotonic(), 0.0))
        sending.append(gevent.spawn(caller.send))
    gevent.joinall(sending, timeout=10.0)
    check(callers, engine)
    assert router.process.wait(timeout=8.0) == 0
    assert time.monotonic() - started_at < GRACE_SECONDS
    assert 8213 not in router.events()


def test_connections_that_a_router_closes_are_not_logged_as_left(router, engine):
    # Guards against log lines that blame callers, in a planned stop, for connections
    # that the router closed while they were idle.
    callers = [Caller(router, b"idle-%d" % number) for number in range(5)]
    router.process.send_signal(signal.SIGTERM)
    assert router.process.wait(timeout=8.0) == 0
    assert len(callers) == 5 and 8202 not in router.events()


class LongerAnswers:
    """An engine whose answers take 0.1 s at first, and 3 s once `are_long` is set.

    Its callers expect 5 events and allow 150.
    """

    def __init__(self, router, store):
        self.are_long = False
        self.engine = FakeEngine("e1", store, self._answer)
        store.put("op", "config", make_configuration())
        router.wait_for(lambda: router.send_request().status == 200)
        # Enough for the estimate of a duration, by which a draining router decides.
        for number in range(40):
            caller = self.make_caller(router, b"before-%d" % number)
            caller.send()
            assert caller.is_complete

    def _answer(self, request):
        if self.are_long:
            return stream(request, last=60, gap=0.05)
        return stream(request, gap=0.02)

    def make_caller(self, router, name):
        return Caller(router, name, max_tokens=600)


@pytest.mark.parametrize("kept", [True, False], ids=["kept", "new"])
def test_a_stream_that_a_router_out_of_rotation_accepts_is_not_cut_at_its_exit(
    router, store, kept
):
    # Guards against streams that are accepted late in a stop because they are expected
    # to be short, last longer, and are cut when the router exits.
    answers = LongerAnswers(router, store)
    callers = []
    if kept:
        callers = [answers.make_caller(router, b"kept-%d" % n) for n in range(3)]
        for caller in callers:
            caller.send()
            assert caller.is_complete
            caller.rename(b"next-" + caller.id)
    router.process.send_signal(signal.SIGTERM)
    gevent.sleep(QUIET_SECONDS - 0.3)
    # A request that is still arriving, so that the router does not exit early.
    arriving = answers.make_caller(router, b"arriving")
    arriving.begin()
    gevent.sleep(0.9)
    answers.are_long = True
    if not kept:
        callers = [answers.make_caller(router, b"new-%d" % n) for n in range(3)]
    gevent.joinall([gevent.spawn(caller.send) for caller in callers], timeout=10.0)
    arriving.end()
    assert router.process.wait(timeout=8.0) == 0
    ran = passed_on(answers.engine)
    assert [caller.id for caller in callers if caller.id in ran] == [
        caller.id for caller in callers if caller.is_complete and caller.status == 200
    ]
    assert {caller.status for caller in callers} <= {0, 200, 503}


class Throttle:
    """Gives a process a share of a core only, as a quota on a busy machine does."""

    def __init__(self, process):
        self._process = process
        self._task = gevent.spawn(self._run)

    def _run(self):
        while True:
            self._process.send_signal(signal.SIGSTOP)
            gevent.sleep(THROTTLE_PERIOD_SECONDS * (1.0 - PROCESSOR_SHARE))
            self._process.send_signal(signal.SIGCONT)
            gevent.sleep(THROTTLE_PERIOD_SECONDS * PROCESSOR_SHARE)

    def end(self):
        self._task.kill()
        self._process.send_signal(signal.SIGCONT)


def begin_streams(router, store, count):
    """Begin `count` streams at an engine; return an event that lets them end.

    The engine is silent until then, which does not count as a failure.
    """
    rest = Event()

    def begin_and_end_later(request):
        steps = stream(request)
        yield steps[0] + steps[1]
        rest.wait()
        yield b"".join(steps[2:])

    script = [lambda request: stream(request, gap=0.01)]
    engine = FakeEngine("e1", store, lambda request: script[0](request))
    configuration = make_configuration()
    configuration["services"][0]["max-conns"] = 2 * count
    configuration["services"][0]["engine"]["slots"] = 2 * count
    configuration["services"][0]["engine"]["kv-token-bytes"] = 1000
    configuration["routes"][0] |= {"goal-ms": 20_000, "gap-goal-ms": 10_000}
    store.put("op", "config", configuration)
    router.wait_for(lambda: router.send_request().status == 200)
    for number in range(40):
        Caller(router, b"before-%d" % number).send()
    script[0] = begin_and_end_later
    callers = [Caller(router, b"many-%d" % n) for n in range(count)]
    sending = [gevent.spawn(caller.send) for caller in callers]
    deadline = time.monotonic() + 20.0
    ids = {caller.id for caller in callers}
    while ids - passed_on(engine) and time.monotonic() < deadline:
        gevent.sleep(0.05)
    gevent.sleep(0.5)
    return rest, callers, sending


def wait_for_exit(router, signalled_at):
    """Wait for the end of a router, and kill it at the end of its grace."""
    while router.process.poll() is None:
        if time.monotonic() > signalled_at + GRACE_SECONDS:
            router.process.kill()
        gevent.sleep(0.005)


def test_streams_that_end_in_time_are_answered_by_a_router_short_of_processor_time(
    router, store
):
    # Guards against streams that are cut, though their engine has ended long before,
    # because a router with many of them computes for seconds when its stop begins.
    rest, callers, sending = begin_streams(router, store, MANY_STREAMS)
    throttle = Throttle(router.process)
    router.process.send_signal(signal.SIGTERM)
    signalled_at = time.monotonic()
    gevent.sleep(0.5)
    rest.set()
    wait_for_exit(router, signalled_at)
    throttle.end()
    gevent.joinall(sending, timeout=5.0)
    ended = [caller.is_complete and caller.body == STREAM_BODY for caller in callers]
    assert ended.count(False) == 0
    assert router.process.returncode == 0


@pytest.mark.parametrize("seconds", [0.7, 3.0])
def test_a_router_that_was_paused_refuses_nothing(router, engine, seconds):
    # Guards against a router that takes one pause for overload, and refuses what has
    # arrived meanwhile and what comes then.
    callers = [Caller(router, b"paused-%d" % n) for n in range(8)]
    gevent.sleep(0.2)
    router.process.send_signal(signal.SIGSTOP)
    sending = [gevent.spawn(caller.send) for caller in callers[:4]]
    gevent.sleep(seconds)
    router.process.send_signal(signal.SIGCONT)
    gevent.sleep(0.03)
    sending += [gevent.spawn(caller.send) for caller in callers[4:]]
    gevent.joinall(sending, timeout=10.0)
    assert [caller.status for caller in callers] == [200] * 8


def test_a_router_with_streams_in_progress_exits_before_the_kill(router, store):
    # Guards against a router that is killed while it exits, because the end of its
    # interpreter takes longer than the time that is left.
    _, callers, sending = begin_streams(router, store, 200)
    router.process.send_signal(signal.SIGTERM)
    wait_for_exit(router, time.monotonic())
    gevent.joinall(sending, timeout=5.0)
    assert router.process.returncode == 0
    assert router.events().count(8213) == len(callers)

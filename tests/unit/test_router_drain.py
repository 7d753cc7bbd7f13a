"""The drain of a router whose parts fail."""

import errno
import time
from types import SimpleNamespace

from bulrushdrum._internal import router_process
from bulrushdrum._internal.gateway.caller_budget import CallerBudget
from bulrushdrum._internal.router_process import RouterProcess

EXIT_SECONDS = 3.0
POLLS = 3


def fail():
    raise OverflowError("int too large to convert to float")


def make_process(monkeypatch, caller_server, polls):
    """Return a router that drains until `polls` is empty; its estimates all fail."""
    ignore = SimpleNamespace(
        set_serving=lambda serving: None,
        set_accepts_work=lambda *args: None,
        unregister=lambda: None,
    )
    components = SimpleNamespace(
        caller_server=caller_server,
        caller_budget=CallerBudget(1_000_000),
        loop_latency=SimpleNamespace(pop_worst=lambda: 0.0),
        request_handler=SimpleNamespace(
            log_in_progress=fail, log_interrupted=lambda: None
        ),
        drain_controller=SimpleNamespace(
            begin=fail,
            has_time_for_any_generation=fail,
            ready_in=fail,
            is_complete=lambda open_requests: not polls or not polls.pop(),
            seconds_until_exit=lambda: EXIT_SECONDS,
        ),
        announcements=ignore,
        registry=ignore,
    )
    monkeypatch.setattr(
        router_process, "RouterComponents", lambda settings, termination: components
    )
    settings = SimpleNamespace(
        node="r", ip="127.0.0.1", ready_address="127.0.0.1:0", metrics_port=0
    )
    monkeypatch.setattr(
        router_process,
        "TerminationRequest",
        lambda: SimpleNamespace(received_at=time.monotonic()),
    )
    return RouterProcess(settings)


def test_an_error_in_a_drain_does_not_cut_the_requests_in_progress(monkeypatch):
    # Guards against a router that ends with all its streams, and without a line that
    # names them, because an estimate raises.
    finished, drained = [], []
    caller_server = SimpleNamespace(
        requests_in_progress=1,
        open_requests=1,
        begin_drain=lambda: drained.append(True),
        finish=finished.append,
    )
    polls = [True] * POLLS
    make_process(monkeypatch, caller_server, polls)._drain()
    assert drained == [True]
    assert not polls
    assert finished == [EXIT_SECONDS]


def test_an_error_of_one_part_does_not_keep_a_drain_from_the_next(monkeypatch):
    # Guards against a router that ends with all its requests because a connection that
    # it wants to close raises.
    called = []

    def fail_in(name):
        def call(*_):
            called.append(name)
            raise OSError(errno.ENOTCONN, "not connected")

        return call

    caller_server = SimpleNamespace(
        requests_in_progress=1,
        open_requests=1,
        begin_drain=fail_in("begin_drain"),
        finish=fail_in("finish"),
    )
    process = make_process(monkeypatch, caller_server, [True] * POLLS)
    process._components.announcements.set_serving = fail_in("set_serving")
    process._components.request_handler.log_interrupted = fail_in("log_interrupted")
    process._drain()
    assert called == ["begin_drain", "set_serving", "finish", "log_interrupted"]

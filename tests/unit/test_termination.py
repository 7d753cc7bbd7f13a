"""When a process notices SIGTERM, and what it knows of its event loop then."""

import os
import signal
import subprocess
import sys
import time

import gevent
import pytest
from gevent.event import Event

from bulrushdrum._internal.observability.loop_latency import LoopLatency

# A process whose event loop is busy for BUSY_SECONDS when the signal arrives.
BUSY_SECONDS = 1.0
# Tasks that take TASK_SECONDS each and start another one; WAITING_TASKS wait at a time.
TASK_SECONDS = 0.001
WAITING_TASKS = 800
TASKS = 3200
_BUSY_PROCESS = f"""
import time
import gevent
from bulrushdrum._internal.termination import TerminationRequest

def work():
    print("busy", flush=True)
    end = time.monotonic() + {BUSY_SECONDS}
    while time.monotonic() < end:
        pass

request = TerminationRequest()
request.install()
gevent.spawn(work)
request.wait()
print(request.received_at, time.monotonic(), flush=True)
"""


def start(code):
    return subprocess.Popen([sys.executable, "-c", code], stdout=subprocess.PIPE)


def test_the_time_of_a_signal_is_known_though_the_event_loop_is_busy():
    # Guards against a drain that is planned from the moment at which a busy process
    # notices the signal: the platform kills it before that drain has ended.
    process = start(_BUSY_PROCESS)
    assert process.stdout.readline() == b"busy\n"
    sent_at = time.monotonic()
    process.send_signal(signal.SIGTERM)
    received_at, noticed_at = map(float, process.stdout.readline().split())
    assert process.wait(timeout=5.0) == 0
    assert received_at - sent_at < BUSY_SECONDS / 2
    assert noticed_at - sent_at > BUSY_SECONDS / 2


def test_an_idle_process_notices_a_signal_at_once():
    # Guards against a process that goes on to say that it is ready.
    process = start(_BUSY_PROCESS.replace(str(BUSY_SECONDS), "0.0"))
    assert process.stdout.readline() == b"busy\n"
    time.sleep(0.5)
    sent_at = time.monotonic()
    process.send_signal(signal.SIGTERM)
    _, noticed_at = map(float, process.stdout.readline().split())
    assert process.wait(timeout=5.0) == 0
    assert noticed_at - sent_at < 0.2


@pytest.mark.parametrize("late", [0.0, 0.7])
def test_the_latency_of_the_event_loop_is_that_of_a_late_turn(late):
    # Guards against a loop that is late and looks punctual while it still is.
    now = [10.0]
    latency = LoopLatency(clock=lambda: now[0])
    now[0] += 0.1 + late
    assert latency.current() == pytest.approx(late)
    assert latency.pop_worst() == pytest.approx(late)


def test_lines_that_were_not_read_outlive_the_process():
    # Guards against logs without the lines of a stop, because the reader of the log
    # was slow and the process kept them in its memory.
    code = """
import os
from bulrushdrum._internal.observability.events import (
    Event, log_event, persist_unread_lines, start_bounded_logging,
)
start_bounded_logging("r1", 1)
for number in range(1500):
    log_event(Event.INTERRUPTED_BY_STOP, request=str(number), text="x" * 200)
persist_unread_lines()
os._exit(0)
"""
    process = start(code)
    assert process.wait(timeout=20.0) == 0
    output = b""
    while data := os.read(process.stdout.fileno(), 65536):
        output += data
    assert output.count(b"\n") == 1500


def test_the_latency_counts_tasks_that_wait_to_be_started():
    # Guards against a router that accepts all requests while each new connection waits
    # for seconds: gevent runs timers between any 50 tasks that wait to be started.
    latency = LoopLatency()
    measuring = gevent.spawn(latency.run)
    gevent.sleep(0.3)
    waits, done = [], Event()

    def work(spawned_at):
        waits.append((time.monotonic() - spawned_at, latency.sustained()))
        end = time.monotonic() + TASK_SECONDS
        while time.monotonic() < end:
            pass
        if len(waits) < TASKS:
            gevent.spawn(work, time.monotonic())
        else:
            done.set()

    now = time.monotonic()
    for _ in range(WAITING_TASKS):
        gevent.spawn(work, now)
    done.wait()
    measuring.kill()
    waited, seen = waits[TASKS - 1]
    assert waited > 0.5
    assert seen > waited / 4.0

"""How tasks with much to do share the iterations of the event loop."""

import gevent
from gevent.monkey import get_original

from bulrushdrum._internal.event_loop import run_other_tasks_if_due

# What one part of the work of a task takes.
PART_SECONDS = 0.002
# Parts of all tasks that may be done before a timer is looked at: those of
# `MAX_ITERATION_SECONDS`, and the ones that are under way then.
MAX_PARTS_PER_ITERATION = 8


def compute():
    """Use the processor for `PART_SECONDS`, without a turn of another task."""
    get_original("time", "sleep")(PART_SECONDS)


def test_short_iterations_are_not_interrupted():
    # Guards against a switch for each part of a small amount of work.
    interrupted = []
    for _ in range(50):
        gevent.sleep(0.001)
        interrupted.append(run_other_tasks_if_due())
    # The kernel may let this thread wait now and then.
    assert sum(interrupted) < 25


def test_many_tasks_with_a_part_each_do_not_delay_a_timer():
    # Guards against tasks that each take a short turn, and together delay the timers
    # of the process as one long turn does.
    done, done_at_ticks = [], [0]

    def task(number):
        run_other_tasks_if_due()
        compute()
        done.append(number)

    def tick():
        while True:
            gevent.sleep(0.001)
            done_at_ticks.append(len(done))

    ticker = gevent.spawn(tick)
    # All are resumed by timers of one iteration.
    tasks = [gevent.spawn_later(0.01, task, number) for number in range(60)]
    gevent.joinall(tasks)
    ticker.kill()
    done_at_ticks.append(len(done))
    gaps = [b - a for a, b in zip(done_at_ticks, done_at_ticks[1:], strict=False)]
    assert max(gaps) <= MAX_PARTS_PER_ITERATION, gaps


def test_tasks_that_wait_continue_in_their_order_and_all_end():
    # Guards against a task that is never resumed beside others that always have more
    # to do.
    done = []

    def task(number):
        for _ in range(3):
            compute()
            compute()
            compute()
            run_other_tasks_if_due()
            done.append(number)

    gevent.joinall([gevent.spawn(task, number) for number in range(4)])
    assert done == [0, 1, 2, 3] * 3


def test_a_task_that_ends_while_it_waits_does_not_hold_up_the_others():
    # Guards against a deadline or a kill of a waiting task, after which the next one
    # is not resumed.
    ended = []

    def task(number):
        compute()
        compute()
        compute()
        with gevent.Timeout(0.0 if number == 0 else None, False):
            run_other_tasks_if_due()
        ended.append(number)

    tasks = [gevent.spawn(task, number) for number in range(4)]
    gevent.sleep(0)
    tasks[1].kill(block=False)
    gevent.joinall(tasks, timeout=5)
    assert sorted(ended) == [0, 2, 3]


def test_connections_do_not_wait_for_the_turns_of_many_calls():
    # Guards against heartbeats that are queued in time, and wait for the turn of the
    # task that writes them behind those of hundreds of calls.
    done = []

    def call(number):
        for _ in range(3):
            compute()
            run_other_tasks_if_due()
            done.append(number)

    def connection():
        for _ in range(5):
            compute()
            run_other_tasks_if_due(is_connection=True)
            done.append("part")

    calls = [gevent.spawn(call, number) for number in range(40)]
    gevent.joinall([*calls, gevent.spawn(connection)])
    parts = [at for at, who in enumerate(done) if who == "part"]
    gaps = [b - a for a, b in zip([0, *parts], parts, strict=False)]
    assert max(gaps) <= MAX_PARTS_PER_ITERATION, gaps
    assert sorted(who for who in done if who != "part") == sorted([*range(40)] * 3)

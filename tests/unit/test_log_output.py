"""Rate limit, omitted-line counts and non-blocking writes of `LogOutput`."""

import os

from bulrushdrum._internal.observability.log_output import (
    MAX_LINES_PER_EVENT_PER_SECOND,
    LogOutput,
)


def make_output():
    read, write = os.pipe()
    now = [0.0]
    return LogOutput(write, clock=lambda: now[0]), read, now


def test_lines_over_the_rate_limit_are_omitted_and_counted():
    # Guards against logging that uses up the CPU when many requests fail at once.
    output, _, now = make_output()
    allowed = sum(
        output.allow_line(8203) for _ in range(MAX_LINES_PER_EVENT_PER_SECOND + 25)
    )
    assert allowed == MAX_LINES_PER_EVENT_PER_SECOND
    assert output.allow_line(8204)
    assert output.pop_omitted_counts() == {8203: 25}
    assert output.pop_omitted_counts() == {}
    now[0] = 1.0
    assert output.allow_line(8203)


def test_stalled_reader_does_not_block_the_writer():
    # Guards against requests that block on a slow log reader. The lines are counted.
    output, read, _ = make_output()
    line = b'{"event": 8203, "text": "' + b"x" * 10_000 + b'"}\n'
    for _ in range(400):
        output.write(line)
        output.flush()
    assert output.pop_omitted_counts()[8203] > 0
    assert os.read(read, 100).startswith(b'{"event": 8203')


def test_lines_of_a_stop_are_kept_beside_a_full_backlog():
    # Guards against logs in which nothing names the requests that a stop has cut,
    # because lines of other events have filled the backlog of a slow reader.
    read, write = os.pipe()
    output = LogOutput(write, reserved_events=frozenset([8213]))
    other = b'{"event": 8203, "text": "' + b"x" * 10_000 + b'"}\n'
    for _ in range(200):
        output.write(other)
        output.flush()
    for number in range(100):
        assert output.allow_line(8213)
        output.write(b'{"event": 8213, "request": "%d"}\n' % number)
    output.persist_backlog()
    data = os.read(read, 1 << 21)
    assert data.count(b'"event": 8213') == 100
    assert data.count(b"\n") + sum(output.pop_omitted_counts().values()) == 300


def test_closed_reader_raises_no_error():
    output, read, _ = make_output()
    os.close(read)
    output.write(b"{}\n")
    output.flush()


def test_lines_are_written_completely_and_in_order():
    output, read, _ = make_output()
    for number in range(5):
        output.write(f"{number}\n")
        output.flush()
    assert os.read(read, 100) == b"0\n1\n2\n3\n4\n"

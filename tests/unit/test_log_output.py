"""Logs are bounded, count what they leave out, and never wait."""

import os

from bulrushdrum._internal.observability.log_output import LINES_PER_SECOND, LogOutput


def make_output():
    read, write = os.pipe()
    now = [0.0]
    return LogOutput(write, clock=lambda: now[0]), read, now


def test_lines_over_the_rate_are_counted_and_left_out():
    # Guards against logs that take the processor when everything fails at once.
    output, _, now = make_output()
    admitted = sum(output.admits(8203) for _ in range(LINES_PER_SECOND + 25))
    assert admitted == LINES_PER_SECOND
    assert output.admits(8204)
    assert output.omitted() == {8203: 25}
    assert output.omitted() == {}
    now[0] = 1.0
    assert output.admits(8203)


def test_a_reader_that_takes_nothing_does_not_hold_the_writer_up():
    # Guards against requests that wait for a log reader; the lines are counted.
    output, read, _ = make_output()
    line = b'{"event": 8203, "text": "' + b"x" * 10_000 + b'"}\n'
    for _ in range(400):
        output.write(line)
        output.flush()
    assert output.omitted()[8203] > 0
    assert os.read(read, 100).startswith(b'{"event": 8203')


def test_a_reader_that_went_away_is_no_error():
    output, read, _ = make_output()
    os.close(read)
    output.write(b"{}\n")
    output.flush()


def test_lines_arrive_whole_and_in_order():
    output, read, _ = make_output()
    for number in range(5):
        output.write(f"{number}\n")
        output.flush()
    assert os.read(read, 100) == b"0\n1\n2\n3\n4\n"

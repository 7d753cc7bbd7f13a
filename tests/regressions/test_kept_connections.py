"""Answers on a connection that is kept alive must not wait for acknowledgements."""

import statistics
import time

import bottle
import urllib3

from bulrushdrum._internal.caller.http import make_server


def test_answers_do_not_wait_for_a_delayed_acknowledgement():
    # Guards against 44 ms for each answer: headers and body are written apart, and
    # the system's send buffer held the body back.
    app = bottle.Bottle()
    app.route("/", "GET", lambda: {"status": "ok"})
    server = make_server(app, "127.0.0.1:21701", 4)
    server.start()
    pool = urllib3.HTTPConnectionPool("127.0.0.1", 21701)
    seconds = []
    for _ in range(21):
        began = time.perf_counter()
        assert pool.urlopen("GET", "/").status == 200
        seconds.append(time.perf_counter() - began)
    server.stop(timeout=0)
    assert statistics.median(seconds) < 0.03

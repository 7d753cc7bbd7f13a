"""Responses on keep-alive connections must not wait for TCP acknowledgements."""

import statistics
import time

import bottle
import urllib3

from bulrushdrum._internal.caller.http import make_server


def test_responses_do_not_wait_for_delayed_acknowledgements():
    # Guards against a delay of 44 ms per response: headers and body are written
    # separately, and the kernel held back the body until the headers were acknowledged.
    app = bottle.Bottle()
    app.route("/", "GET", lambda: {"status": "ok"})
    server = make_server(app, "127.0.0.1:21701", 4)
    server.start()
    pool = urllib3.HTTPConnectionPool("127.0.0.1", 21701)
    latencies = []
    for _ in range(21):
        started = time.perf_counter()
        assert pool.urlopen("GET", "/").status == 200
        latencies.append(time.perf_counter() - started)
    server.stop(timeout=0)
    assert statistics.median(latencies) < 0.03

"""A sidecar's calls of its engine over a connection that is used again."""

import json

import gevent
import pytest
from gevent.server import StreamServer
from tests.unit.stage_fakes import make_settings

from bulrushdrum._internal.sidecar.engine_client import EngineClient
from bulrushdrum._internal.sidecar.errors import EngineLost


def response(body):
    data = json.dumps(body).encode()
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(data), data)


def answer(position, token, request="r"):
    result = {"request": request, "attempt": 1, "token": token}
    if position is not None:
        result["position"] = position
    body = {"model": "m", "model_version": "1", "role": "", "adapters": []}
    return response({**body, "results": [result]})


@pytest.fixture
def engine():
    """An engine whose `script(number, call)` yields the bytes of each answer."""

    class Engine:
        script = None
        connections = 0

        def serve(self, sock, _address):
            self.connections += 1
            stream = sock.makefile("rb")
            while line := stream.readline():
                length = 0
                while (line := stream.readline().strip()) != b"":
                    name, _, value = line.partition(b":")
                    if name.lower() == b"content-length":
                        length = int(value)
                call = json.loads(stream.read(length))
                for part in self.script(call):
                    if isinstance(part, bytes):
                        sock.sendall(part)
                    else:
                        gevent.sleep(part)

    engine = Engine()
    server = StreamServer(("127.0.0.1", 0), engine.serve)
    server.start()
    settings = make_settings(upstream_url=f"http://127.0.0.1:{server.server_port}")
    engine.client = EngineClient(settings)
    yield engine
    server.stop(timeout=0.1)


def run(engine, position=7):
    step = {"request": "r", "attempt": 1, "position": position, "count": 1}
    _, results = engine.client.run_steps([step])
    return results["r", 1]["token"]


@pytest.mark.parametrize("request_id", ["r", "other"])
def test_a_late_copy_is_not_the_answer_of_the_next_call(engine, request_id):
    # A copy of the same sequence has the same request and attempt, so its token would
    # be delivered twice and all later ones one position too late.
    def script(call):
        position = call["steps"][0]["position"]
        own = answer(position, f"t{position}")
        if position != 2:
            return [own]
        return [answer(1, "t1", request_id), 0.05, own]

    engine.script = script
    assert run(engine, 1) == "t1"
    with pytest.raises(EngineLost, match="other steps"):
        run(engine, 2)
    assert run(engine, 3) == "t3"
    assert engine.connections == 2


def test_a_copy_on_an_idle_connection_closes_it(engine):
    def script(call):
        position = call["steps"][0]["position"]
        return [answer(position, f"t{position}"), 0.02, answer(position, "copy")]

    engine.script = script
    for position in range(3):
        assert run(engine, position) == f"t{position}"
        gevent.sleep(0.06)
    assert engine.connections == 3


def test_an_engine_that_names_no_positions_is_still_used(engine):
    engine.script = lambda call: [answer(None, "t")]
    assert [run(engine, n) for n in range(3)] == ["t"] * 3
    assert engine.connections == 1

"""Sidecar, engine and service processes, with the test acting as the entry."""

import json
import signal

import gevent
import pytest
from bench.entry_probe import (
    SECRET,
    EntryProbe,
    read_journal,
    set_faults,
    start_engine,
    start_service,
    start_sidecar,
)
from bench.journal import Attempt, Delivery, Run, check_history
from bench.processes import PortPool, wait_for
from bench.standins.model_digest import expected_answer

from bulrushdrum._internal.peering.request_messages import Header, Resolve, Step
from bulrushdrum._internal.peering.shared_state_messages import Desired
from bulrushdrum._internal.sidecar.process import DRAIN_NOTICE_SECONDS

LAYERS = 6
PROMPT = tuple(range(40, 340))


def expected(max_tokens, seed=7, version="1"):
    answer = expected_answer(PROMPT, "warwick-7b", LAYERS, seed, max_tokens, version)
    return [token.token for token in answer]


class System:
    """A chain of engines with sidecars, or a plain service, and an entry probe."""

    def __init__(self, directory):
        self.directory = directory
        self.ports = PortPool()
        self.processes = {}
        self.port = {}
        self.probe = EntryProbe()

    def _reserve(self, name):
        self.port[name] = int(self.ports.reserve().rpartition(":")[2])
        return self.port[name]

    def start_engine(self, stage, stages, **options):
        name = f"e{stage}"
        port = self.port.get(name) or self._reserve(name)
        self.processes[name] = start_engine(
            self.directory,
            port,
            name,
            first_layer=stage * LAYERS // stages,
            end_layer=(stage + 1) * LAYERS // stages,
            model_layers=LAYERS,
            **options,
        )

    def chain(self, stages, engine=None, **settings):
        """Start a chain of stages and return the connections to its sidecars."""
        connections = []
        for stage in range(stages):
            self.start_engine(stage, stages, **(engine or {}))
            connections.append(self.sidecar(f"s{stage}", f"e{stage}", **settings))
        return connections

    def service(self, **settings):
        self.processes["x"] = start_service(self.directory, self._reserve("x"), "x")
        return self.sidecar("s", "x", kind="service", service="ledger", **settings)

    def sidecar(self, name, upstream, **settings):
        settings = {"heartbeat_interval": 0.1, "engine_poll_interval": 0.1, **settings}
        self.processes[name] = start_sidecar(
            self.directory, self._reserve(name), name, self.port[upstream], **settings
        )
        return self.probe.connect(self.port[name])

    def close(self):
        self.probe.close()
        for process in self.processes.values():
            process.kill()
        self.ports.close()


@pytest.fixture
def system(tmp_path):
    system = System(tmp_path)
    yield system
    system.close()


def runs_of(system, *engines):
    names = ("request", "attempt", "position", "layer", "order")
    return [
        Run(engine, *(line[name] for name in names), number)
        for engine in engines
        for number, line in enumerate(read_journal(system.port[engine]))
    ]


def test_concurrent_requests_over_a_chain_are_answered_correctly(system):
    # Guards against steps of different requests that are mixed up in one call, split
    # prompts that run out of order, and any violation of R1 or R2 between processes.
    chain = system.chain(3, chunk_tokens=64, call_tokens=128)
    jobs = [
        gevent.spawn(
            system.probe.request, chain, PROMPT, 12, request=f"r{seed}", seed=seed
        )
        for seed in range(20)
    ]
    gevent.joinall(jobs, timeout=60)
    deliveries = []
    for seed, job in enumerate(jobs):
        tokens = tuple((t.position, t.token) for t in job.value.tokens)
        assert job.value.failure is None and job.value.tokens[-1].final
        deliveries.append(
            Delivery(
                f"r{seed}",
                len(PROMPT),
                tokens,
                "answered",
                (Attempt(1),),
                expected=tuple(expected(12, seed)),
            )
        )
    verdict = check_history(runs_of(system, "e0", "e1", "e2"), deliveries, LAYERS)
    assert verdict.violations == [] and verdict.repeated_runs == 0


def test_after_an_engine_crash_a_new_attempt_continues_the_answer(system):
    # Guards against an answer that changes or repeats tokens when a stage dies midway,
    # and against a crash that is not attributed to the requests in the engine's batch.
    chain = system.chain(2)
    set_faults(system.port["e1"], crash_at_step=7)
    first = system.probe.request(chain, PROMPT, 20, request="r")
    assert first.failure.cause == "engine_lost" and first.failure.ran
    assert first.failure.suspects == ("f-r",) and first.failure.incident
    assert 0 < len(first.tokens) < 20
    assert system.probe.request(chain, PROMPT, 3).failure.outcome == "not_run"
    system.start_engine(1, 2)
    wait_for(lambda: system.probe.described["s1"].state == "serving", "the engine")
    prefix = [token.token for token in first.tokens]
    second = system.probe.request(
        chain, [*PROMPT, *prefix], 20 - len(prefix), request="r", attempt=2
    )
    assert prefix + [token.token for token in second.tokens] == expected(20)
    late = system.probe.request(chain, PROMPT, 3, request="r", attempt=1)
    assert late.failure.reason == "stale_attempt"


def test_a_draining_sidecar_finishes_its_requests_and_exits(system):
    # Guards against a planned stop that aborts a request or admits a new one.
    chain = system.chain(2, engine={"iteration_ms": 20})
    running = gevent.spawn(system.probe.request, chain, PROMPT, 80, request="r")
    gevent.sleep(0.2)
    system.processes["s0"].terminate()
    wait_for(lambda: system.probe.described["s0"].state == "draining", "the drain")
    # An entry may send a request before it is notified of the drain.
    in_flight = system.probe.request(chain, PROMPT, 3)
    assert [token.token for token in in_flight.tokens] == expected(3)
    gevent.sleep(DRAIN_NOTICE_SECONDS)
    refused = system.probe.request(chain, PROMPT, 3).failure
    assert (refused.reason, refused.outcome) == ("upstream_draining", "not_run")
    answer = running.get(timeout=20)
    assert [token.token for token in answer.tokens] == expected(80)
    assert system.processes["s0"].wait(5) == 0


def test_requests_of_a_lost_entry_are_cancelled(system):
    # Guards against engines that keep working for a dead or partitioned entry, and
    # against KV cache that is never freed.
    chain = system.chain(2, engine={"iteration_ms": 30}, entry_lost_after=0.5)
    other = EntryProbe("entry-2")
    connections = [other.connect(system.port[name]) for name in ("s0", "s1")]
    asked = other.make_open(connections, "r", PROMPT, 500)
    assert other.open(connections, asked) is None
    connections[0].send(Step("r", 1, 0, len(PROMPT), PROMPT))
    gevent.sleep(0.3)
    assert system.probe.dump(chain[1])["stages"]["open"][0]["passed"]
    other._beater.kill()  # the connections stay open but silent

    def all_closed():
        return all(not system.probe.dump(one)["stages"]["open"] for one in chain)

    wait_for(all_closed, "the cancellation", 5)
    assert all(connection.closed for connection in connections)
    other.close()


def test_a_dead_next_stage_is_reported(system):
    # Guards against an attempt that hangs when the link between two stages is lost.
    chain = system.chain(2, engine={"iteration_ms": 20})
    running = gevent.spawn(system.probe.request, chain, PROMPT, 50, request="r")
    gevent.sleep(0.3)
    system.processes["s1"].kill()
    answer = running.get(timeout=10)
    assert answer.failure.cause.startswith("link_lost")
    assert (answer.failure.upstream, answer.failure.ran) == ("s1", True)


def test_a_stalled_engine_fails_its_attempts_and_serves_again(system):
    # Guards against requests that wait for a paused engine, and against its late
    # results being used in a new attempt.
    chain = system.chain(2, engine={"iteration_ms": 5}, engine_timeout=0.5)
    running = gevent.spawn(system.probe.request, chain, PROMPT, 200, request="r")
    gevent.sleep(0.5)
    system.processes["e1"].pause()
    first = running.get(timeout=5)
    assert (first.failure.cause, first.failure.suspects) == ("engine_lost", ())
    system.processes["e1"].resume()
    wait_for(lambda: system.probe.described["s1"].state == "serving", "the engine")
    prefix = [token.token for token in first.tokens]
    second = system.probe.request(chain, [*PROMPT, *prefix], 5, request="r", attempt=2)
    assert prefix + [token.token for token in second.tokens] == expected(
        len(prefix) + 5
    )


def test_a_paused_sidecar_does_not_disturb_the_next_attempt(system):
    # Guards against a resumed sidecar that runs steps of an old attempt.
    chain = system.chain(2, engine={"iteration_ms": 5}, entry_lost_after=0.5)
    running = gevent.spawn(system.probe.request, chain, PROMPT, 200, request="r")
    gevent.sleep(0.5)
    system.processes["s1"].pause()
    first = running.get(timeout=5)
    assert first.failure.cause.startswith("link_lost")
    gevent.sleep(1.0)
    system.processes["s1"].resume()
    chain[1] = system.probe.connect(system.port["s1"])
    prefix = [token.token for token in first.tokens]
    second = system.probe.request(chain, [*PROMPT, *prefix], 5, request="r", attempt=2)
    tokens = prefix + [token.token for token in second.tokens]
    assert tokens == expected(len(prefix) + 5)
    delivered = tuple((len(PROMPT) + i, token) for i, token in enumerate(tokens))
    attempts = (Attempt(1), Attempt(2, "link_lost"))
    delivery = Delivery("r", len(PROMPT), delivered, "answered", attempts)
    verdict = check_history(runs_of(system, "e0", "e1"), [delivery], LAYERS)
    assert verdict.violations == []


@pytest.mark.parametrize("prompt_in_progress", [True, False])
def test_a_resumed_sidecar_runs_no_step_that_its_entry_gave_up(
    system, prompt_in_progress
):
    # The entry has lost the sidecar, answered the request over other stages and given
    # its permit to another request. Guards against a customer whose limit is exceeded
    # by steps that were waiting in the paused sidecar.
    chain = system.chain(1, engine={"iteration_ms": 30}, chunk_tokens=8, call_tokens=16)
    tokens = 1 if prompt_in_progress else 400
    jobs = [
        gevent.spawn(
            system.probe.request, chain, PROMPT, tokens, request=f"r{n}", seed=n
        )
        for n in range(6)
    ]
    gevent.sleep(0.4 if prompt_in_progress else 2.5)
    system.processes["s0"].pause()
    gevent.sleep(0.5)
    gevent.killall(jobs)
    chain[0].close()
    gevent.sleep(0.3)
    count = len(read_journal(system.port["e0"]))
    assert count > 0
    system.processes["s0"].resume()
    gevent.sleep(1.5)
    assert len(read_journal(system.port["e0"])) == count


def test_a_short_pause_of_a_sidecar_interrupts_nothing(system):
    # Guards against attempts that are cancelled although their entry still waits.
    chain = system.chain(1, engine={"iteration_ms": 10}, heartbeat_interval=0.5)
    running = gevent.spawn(system.probe.request, chain, PROMPT, 60, request="r")
    gevent.sleep(0.4)
    system.processes["s0"].pause()
    gevent.sleep(0.6)
    system.processes["s0"].resume()
    answer = running.get(timeout=20)
    assert answer.failure is None
    assert [token.token for token in answer.tokens] == expected(60)


def test_only_one_sidecar_holds_the_slot(system):
    # Guards against two sidecars that send orders to one engine.
    system.chain(1)
    listen = f"127.0.0.1:{system.port['s0']}"
    with pytest.raises(RuntimeError, match="cannot listen"):
        second = start_sidecar(
            system.directory, system.port["s0"], "s9", system.port["e0"], listen=listen
        )
        system.processes["s9"] = second
        second.wait(10)
        raise RuntimeError(second.log)


def test_an_order_is_applied_although_its_response_was_lost(system):
    # Guards against an upstream that stays closed or serves an unconfirmed model.
    (connection,) = system.chain(1)
    set_faults(system.port["e0"], lose_order_answers=1)
    system.probe.desired["s0"] = (5, {"model_version": "2"})
    connection.send(Desired("s0", 5, '{"model_version": "2"}'))

    def applied():
        described = system.probe.described["s0"]
        return (described.model_version, described.state) == ("2", "serving")

    wait_for(applied, "the order", 10)
    answer = system.probe.request([connection], PROMPT, 5)
    assert [t.token for t in answer.tokens] == expected(5, version="2")
    connection.send(Desired("s0", 4, '{"model_version": "1"}'))
    gevent.sleep(0.3)
    assert applied()


def test_a_call_reports_correctly_whether_it_ran(system):
    # Guards against "not run" for a call that ran, and against a bound key that runs
    # twice because its response was lost.
    connection = system.service()
    pay = {"service": "ledger", "method": "POST", "path": "/pay", "body": b"7"}

    def call(**changes):
        return system.probe.call(connection, **{**pay, **changes})

    def runs():
        return len(read_journal(system.port["x"]))

    assert json.loads(call().body)["run"] == 1
    set_faults(system.port["x"], lose_answers=2)
    bound = {"binding_key": "k", "fingerprint": "f"}
    assert [call().outcome, call(**bound).outcome] == ["unknown", "unknown"]
    assert call(**bound).outcome == "unknown" and runs() == 3
    set_faults(system.port["x"], delay_answer_seconds=0.5)
    bound = {**bound, "binding_key": "k2"}
    assert call(**bound, timeout_ms=100).reason == "still_running"
    assert json.loads(call(**bound).body)["run"] == 4 == runs()
    resolved = system.probe.ask(connection, Resolve("q", "warwick", "k2"))
    assert (resolved.state, json.loads(resolved.result.body)["run"]) == ("done", 4)
    for bad in ({"path": "/a b"}, {"headers": (Header("a", "b\r\nc"),)}):
        assert call(**bad).outcome == "not_run"
    assert call(service="other").outcome == "not_run"
    system.processes["x"].kill()
    assert call().outcome == "not_run"


def test_the_dump_shows_no_secret(system):
    # Guards against a state dump that exposes the peer secret.
    system.chain(1)
    process = system.processes["s0"]
    process.signal(signal.SIGUSR1)
    wait_for(lambda: '"dump"' in process.log, "the dump")
    assert "peak_resident_kb" in process.log and SECRET not in process.log

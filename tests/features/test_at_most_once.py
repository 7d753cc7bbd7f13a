"""Steps of at_most_once.feature."""

import hashlib
import json
import secrets

import gevent
import pytest
from bench.topology import SERVICE
from pytest_bdd import given, parsers, scenarios, then, when
from running_system import PREFERRED_CHAIN, wait_until

pytestmark = pytest.mark.slow
scenarios("at_most_once.feature")

PAYER = "payer"
SERVICE_FAULTS = {
    "is healthy": {},
    "loses its reply": {"lose_answers": 1},
    "dies after the run": {"crash_at_call": 1},
    "drops the call unread": {"drop_calls": 1},
    "replies after 2 seconds": {"delay_answer_seconds": 2.0},
}
TABLE_FAULTS = {
    "is healthy": {},
    "is slow": {"slow_seconds": 0.8},
    "is down": {"down": True},
    "loses its answers": {"lose_answers": 2},
    "answers after its timeout": {"slow_answer_seconds": 2.5},
}


@given("a customer whose payments must not be repeated")
def payer(world):
    world.cluster.ensure_customer(
        PAYER,
        concurrency=100,
        non_idempotent=[f"{SERVICE}:POST /payments", "chat:registration"],
    )
    world.key = secrets.token_hex(8)
    world.body = secrets.token_bytes(32)
    world.payments = []
    # The first request of a customer may wait for the entries to agree on its permits.
    for entry in world.cluster.entries:
        answer = pay(world, entry, secrets.token_hex(8), b"warm-up", keep=False)
        assert answer.outcome == "answered", answer.error


@given(parsers.re(r"the service (?P<fault>.*)"))
def service_fault(world, fault):
    for spec in world.cluster.topology.services:
        world.cluster.set_faults(f"{spec.name}/upstream", **SERVICE_FAULTS[fault])


@given(parsers.re(r"the table (?P<fault>.*)"))
def table_fault(world, fault):
    world.cluster.set_faults("table", **TABLE_FAULTS[fault])


@given("an idempotency key issued by entry0")
def issued_key(world):
    caller = world.cluster.caller(PAYER)
    answer = caller.issue_key(world.cluster.http("entry0"), service=SERVICE)
    world.key = answer["idempotency_key"]


def pay(world, entry, key, body, keep=True):
    answer = world.cluster.caller(PAYER).call(
        world.cluster.http(entry), SERVICE, "/payments", "POST", body, key
    )
    if keep:
        world.payments.append(answer)
    return answer


@when("the payment is sent through entry0")
def send(world):
    pay(world, "entry0", world.key, world.body)


@when("it is sent again through entry1 and entry2 at once")
def send_again(world):
    jobs = [
        gevent.spawn(pay, world, entry, world.key, world.body)
        for entry in ("entry1", "entry2")
    ]
    gevent.joinall(jobs, raise_error=True)


@when("the table is healthy again and it is sent once more through entry1")
def send_once_more(world):
    world.cluster.set_faults(
        "table", down=False, slow_seconds=0, slow_answer_seconds=0, lose_answers=0
    )
    for spec in world.cluster.topology.services:
        world.cluster.start_upstream(spec.name)
    world.cluster.wait_connected()
    pay(world, "entry1", world.key, world.body)


@when("the payment is sent and the VM that runs it dies")
def vm_dies(world):
    job = gevent.spawn(pay, world, "entry0", world.key, world.body)
    (run,) = wait_until(lambda: runs_of(world, world.body), "the payment to run")
    world.cluster.kill_vm(run["upstream"])
    job.join()


@when("the payment is sent through entry0, which dies")
def entry_dies(world):
    job = gevent.spawn(pay, world, "entry0", world.key, world.body)
    wait_until(lambda: runs_of(world, world.body), "the payment to run")
    world.cluster.process("entry0").kill()
    job.join()


def runs_of(world, body):
    digest = hashlib.sha256(body).hexdigest()
    return [
        {**line, "upstream": spec.name}
        for spec in world.cluster.topology.services
        for line in world.history.journal_lines(spec.name)
        if line["body"] == digest
    ]


@then("the payment ran at most once")
def at_most_once(world):
    # Guards against money that is moved twice.
    assert len(runs_of(world, world.body)) <= 1


@then("the outcomes are the truth")
def true_outcomes(world):
    # Guards against an answer without a run, a result of another run, or a refusal that
    # tempts the caller to pay under another key although the payment ran.
    outcomes = [(a.outcome, a.error.get("code")) for a in world.payments]
    ran = len(runs_of(world, world.body))
    answered = [a for a in world.payments if a.outcome == "answered"]
    assert len({a.body for a in answered}) <= 1, outcomes
    assert not answered or ran, outcomes
    # Each request after a run must not claim that nothing ran.
    if ran and world.payments[0].outcome != "not_run":
        assert "not_run" not in {a.outcome for a in world.payments}, outcomes
    if world.payments[-1].outcome == "not_run":
        assert not ran, outcomes


@then(parsers.parse("it ran exactly once, if {must_run}"))
def exactly_once(world, must_run):
    # Guards against a product that is safe because it never runs anything.
    outcomes = [(a.outcome, a.error.get("code")) for a in world.payments]
    if must_run == "yes":
        assert len(runs_of(world, world.body)) == 1, outcomes


@then(parsers.parse("every outcome is {outcome}"))
def every_outcome(world, outcome):
    # Guards against a guess in either direction.
    assert {answer.outcome for answer in world.payments} == {outcome}


@when(parsers.parse("{count:d} payments are each sent through all entries at once"))
def race(world, count):
    world.race = {}

    def send(entry, key, body):
        answers = world.race.setdefault(key, (body, []))[1]
        answers.append(pay(world, entry, key, body))

    jobs = []
    for _ in range(count):
        key, body = secrets.token_hex(8), secrets.token_bytes(16)
        jobs += [gevent.spawn(send, e, key, body) for e in world.cluster.entries]
    gevent.joinall(jobs, raise_error=True)


@then("each payment ran exactly once and all its answers are equal")
def race_settled(world):
    # Guards against two entries that both bind the same key.
    for body, answers in world.race.values():
        outcomes = [(a.outcome, a.error.get("code")) for a in answers]
        assert len(runs_of(world, body)) == 1, outcomes
        assert {a.outcome for a in answers} == {"answered"}, outcomes
        assert len({json.loads(a.body)["run"] for a in answers}) == 1


def register(world, entry, **options):
    return world.ask(
        entry=entry,
        customer=PAYER,
        kind="registration",
        key=world.key,
        max_tokens=16,
        **options,
    )


@when("an engine dies in the middle of a registration")
def registration_dies(world):
    def kill(answer):
        if len(answer.texts) == 5:
            world.cluster.process(f"{PREFERRED_CHAIN[1]}/upstream").kill()

    answer = register(world, "entry0", on_token=kill)
    assert answer.outcome == "unknown", answer.error


@when("the registration is sent again through entry1 and entry2 at once")
def register_again(world):
    jobs = [gevent.spawn(register, world, entry) for entry in ("entry1", "entry2")]
    gevent.joinall(jobs, raise_error=True)


@then("no registration was run in a second attempt")
def one_attempt(world):
    # Guards against a retry or a resend that runs the registration again.
    ids = {answer.request_id for answer in world.answers}
    ran = {(r.request, r.attempt) for r in world.history.runs() if r.request in ids}
    assert len(ran) == 1
    assert {answer.outcome for answer in world.answers} == {"unknown"}

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
    "loses its response": {"lose_answers": 1},
    "dies after the run": {"crash_at_call": 1},
    "drops the call unread": {"drop_calls": 1},
    "responds after 2 seconds": {"delay_answer_seconds": 2.0},
}
TABLE_FAULTS = {
    "is healthy": {},
    "is slow": {"slow_seconds": 0.8},
    "is down": {"down": True},
    "loses its responses": {"lose_answers": 2},
    "responds after its timeout": {"slow_answer_seconds": 2.5},
}


@given("a customer with non-idempotent payments")
def payer(context):
    context.cluster.ensure_customer(
        PAYER,
        concurrency=100,
        non_idempotent=[f"{SERVICE}:POST /payments", "chat:registration"],
    )
    context.key = secrets.token_hex(8)
    context.body = secrets.token_bytes(32)
    context.payments = []
    # A customer's first request may wait until the entries agree on its permits.
    for entry in context.cluster.entries:
        answer = pay(context, entry, secrets.token_hex(8), b"warm-up", keep=False)
        assert answer.outcome == "answered", answer.error


@given(parsers.re(r"the service (?P<fault>.*)"))
def service_fault(context, fault):
    for spec in context.cluster.topology.services:
        context.cluster.set_faults(f"{spec.name}/upstream", **SERVICE_FAULTS[fault])


@given(parsers.re(r"the table (?P<fault>.*)"))
def table_fault(context, fault):
    context.cluster.set_faults("table", **TABLE_FAULTS[fault])


@given("an idempotency key issued by entry0")
def issued_key(context):
    caller = context.cluster.caller(PAYER)
    answer = caller.issue_key(context.cluster.http("entry0"), service=SERVICE)
    context.key = answer["idempotency_key"]


def pay(context, entry, key, body, keep=True):
    answer = context.cluster.caller(PAYER).call(
        context.cluster.http(entry), SERVICE, "/payments", "POST", body, key
    )
    if keep:
        context.payments.append(answer)
    return answer


@when("the payment is sent through entry0")
def send(context):
    pay(context, "entry0", context.key, context.body)


@when("it is resent through entry1 and entry2 concurrently")
def send_again(context):
    jobs = [
        gevent.spawn(pay, context, entry, context.key, context.body)
        for entry in ("entry1", "entry2")
    ]
    gevent.joinall(jobs, raise_error=True)


@when("the table is healthy again and the payment is resent through entry1")
def send_once_more(context):
    context.cluster.set_faults(
        "table", down=False, slow_seconds=0, slow_answer_seconds=0, lose_answers=0
    )
    for spec in context.cluster.topology.services:
        context.cluster.start_upstream(spec.name)
    context.cluster.wait_connected()
    pay(context, "entry1", context.key, context.body)


@when("the payment is sent and the VM that runs it dies")
def vm_dies(context):
    job = gevent.spawn(pay, context, "entry0", context.key, context.body)
    (run,) = wait_until(lambda: runs_of(context, context.body), "the payment to run")
    context.cluster.kill_vm(run["upstream"])
    job.join()


@when("the payment is sent through entry0, which dies")
def entry_dies(context):
    job = gevent.spawn(pay, context, "entry0", context.key, context.body)
    wait_until(lambda: runs_of(context, context.body), "the payment to run")
    context.cluster.process("entry0").kill()
    job.join()


def runs_of(context, body):
    digest = hashlib.sha256(body).hexdigest()
    return [
        {**line, "upstream": spec.name}
        for spec in context.cluster.topology.services
        for line in context.history.journal_lines(spec.name)
        if line["body"] == digest
    ]


@then("the payment ran at most once")
def at_most_once(context):
    # Guards against a payment that is executed twice.
    assert len(runs_of(context, context.body)) <= 1


@then("the reported outcomes are correct")
def correct_outcomes(context):
    # Guards against an answer without a run, a result of another run, or a refusal that
    # makes the caller pay again with another key although the payment ran.
    outcomes = [(a.outcome, a.error.get("code")) for a in context.payments]
    ran = len(runs_of(context, context.body))
    answered = [a for a in context.payments if a.outcome == "answered"]
    assert len({a.body for a in answered}) <= 1, outcomes
    assert not answered or ran, outcomes
    # No request after a run may report that nothing ran.
    if ran and context.payments[0].outcome != "not_run":
        assert "not_run" not in {a.outcome for a in context.payments}, outcomes
    if context.payments[-1].outcome == "not_run":
        assert not ran, outcomes


@then(parsers.parse("it ran exactly once, if required: {must_run}"))
def exactly_once(context, must_run):
    # Guards against at-most-once that holds only because nothing runs.
    outcomes = [(a.outcome, a.error.get("code")) for a in context.payments]
    if must_run == "yes":
        assert len(runs_of(context, context.body)) == 1, outcomes


@then(parsers.parse("every outcome is {outcome}"))
def every_outcome(context, outcome):
    # Guards against an outcome that is guessed, as run or as not run.
    assert {answer.outcome for answer in context.payments} == {outcome}


@when(
    parsers.parse("{count:d} payments are each sent through all entries concurrently")
)
def race(context, count):
    context.race = {}

    def send(entry, key, body):
        answers = context.race.setdefault(key, (body, []))[1]
        answers.append(pay(context, entry, key, body))

    jobs = []
    for _ in range(count):
        key, body = secrets.token_hex(8), secrets.token_bytes(16)
        jobs += [gevent.spawn(send, e, key, body) for e in context.cluster.entries]
    gevent.joinall(jobs, raise_error=True)


@then("each payment ran exactly once and all its answers are equal")
def each_ran_once(context):
    # Guards against two entries that bind the same key.
    for body, answers in context.race.values():
        outcomes = [(a.outcome, a.error.get("code")) for a in answers]
        assert len(runs_of(context, body)) == 1, outcomes
        assert {a.outcome for a in answers} == {"answered"}, outcomes
        assert len({json.loads(a.body)["run"] for a in answers}) == 1


def register(context, entry, **options):
    return context.send(
        entry=entry,
        customer=PAYER,
        kind="registration",
        key=context.key,
        max_tokens=16,
        **options,
    )


@when("an engine dies during a registration")
def registration_dies(context):
    def kill(answer):
        if len(answer.texts) == 5:
            context.cluster.process(f"{PREFERRED_CHAIN[1]}/upstream").kill()

    answer = register(context, "entry0", on_token=kill)
    assert answer.outcome == "unknown", answer.error


@when("the registration is resent through entry1 and entry2 concurrently")
def register_again(context):
    jobs = [gevent.spawn(register, context, entry) for entry in ("entry1", "entry2")]
    gevent.joinall(jobs, raise_error=True)


@then("no registration ran in a second attempt")
def one_attempt(context):
    # Guards against a retry or resend that runs the registration again.
    ids = {answer.request_id for answer in context.answers}
    ran = {(r.request, r.attempt) for r in context.history.runs() if r.request in ids}
    assert len(ran) == 1
    assert {answer.outcome for answer in context.answers} == {"unknown"}

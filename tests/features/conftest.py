"""Steps that all features share.

The features run real processes. A scenario reuses the running system, after all faults
are repaired, if it needs the same topology as the scenario before; otherwise the system
is replaced.
"""

import gevent
import pytest
from pytest_bdd import given, parsers, then, when
from running_system import (
    ScenarioContext,
    SystemCache,
    peak_concurrent_requests,
    standard_system,
)


@pytest.fixture(scope="session")
def system_cache():
    system_cache = SystemCache()
    yield system_cache
    system_cache.close()


@pytest.fixture
def context(system_cache, request):
    context = ScenarioContext(system_cache, request.node.name)
    yield context
    gevent.killall(context.tasks)


@given(parsers.parse("a system with {entries:d} entries and three stages of engines"))
def system(context, entries):
    context.use(standard_system(entries))


@given(
    parsers.parse(
        "a system with {entries:d} entries, three stages of engines and a plain service"
    )
)
def system_with_service(context, entries):
    context.use(standard_system(entries, services=2))


@given(parsers.parse("a system with {entries:d} entries and one engine for each stage"))
def narrow_system(context, entries):
    context.use(standard_system(entries, replicas=1))


@given(parsers.parse("each engine step takes {milliseconds:d} ms"))
def slow_engines(context, milliseconds):
    for engine in context.cluster.topology.engines:
        context.cluster.set_faults(
            f"{engine.name}/upstream", delay_seconds=milliseconds / 1000
        )


@when("all requests have ended")
def wait_for_requests(context):
    context.join()


@then("the answer is complete and equals the fault-free answer")
@then("every answer is complete and equals the fault-free answer")
def answers_complete(context):
    # Guards against lost, duplicated or misrouted tokens after a failure.
    assert context.answers
    for answer in context.answers:
        assert (answer.outcome, answer.error) == ("answered", {})
        assert tuple(answer.texts) == context.expected(answer)


@then("the run journals are consistent")
def journals_consistent(context):
    # Guards against a layer that runs twice, is skipped or runs for an old attempt.
    verdict = context.check()
    assert verdict.violations == []
    assert verdict.runs > 0


@then(parsers.parse("the request took {attempts:d} attempts"))
def attempts_taken(context, attempts):
    # Guards against a fault that was never injected, and against needless retries.
    assert [answer.attempts for answer in context.answers] == [attempts]


@then("no caller received a token of another answer")
def own_tokens_only(context):
    # Guards against tokens that reach the wrong caller, also in incomplete answers.
    assert context.answers
    for answer in context.answers:
        expected = context.expected(answer)
        assert tuple(answer.texts) == expected[: len(answer.texts)]
        assert answer.outcome != "answered" or len(answer.texts) == len(expected)


@given(parsers.parse("the customer limited has a concurrency limit of {limit:d}"))
def limited_customer(context, limit):
    context.limited = f"limited-{limit}"
    context.cluster.ensure_customer(context.limited, concurrency=limit)


@when(
    parsers.parse(
        "{count:d} requests of limited for {tokens:d} tokens arrive at all entries "
        "within a second"
    )
)
def many_limited(context, count, tokens):
    tasks = []
    for number in range(count):
        entry = context.cluster.entries[number % len(context.cluster.entries)]
        task = context.send_in_background(
            entry=entry, customer=context.limited, number=number, max_tokens=tokens
        )
        tasks.append(task)
        gevent.sleep(1 / count)
    context.join(tasks)


@then(parsers.parse("at most {limit:d} requests of limited ran concurrently"))
def limit_held(context, limit):
    # Guards against two entries that use the same permit.
    running = peak_concurrent_requests(context)
    assert len(running) <= limit, running


@then("no request refused as not run appears in the run journals")
def refused_did_not_run(context):
    # Guards against a refusal that makes the caller run the request twice.
    ran = {run.request for run in context.history.runs()}
    refused = [a for a in context.answers if a.outcome == "not_run"]
    assert [a for a in refused if a.request_id in ran] == []
    # Without a request id the journals cannot show whether the request ran.
    assert [a.error for a in refused if not a.request_id and a.status != 401] == []


@then(parsers.parse("the request took at least {attempts:d} attempts"))
def at_least_attempts(context, attempts):
    # Guards against a fault that did not affect the request.
    assert all(answer.attempts >= attempts for answer in context.answers)

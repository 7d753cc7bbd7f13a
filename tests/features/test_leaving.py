"""Steps of leaving.feature."""

import time

import gevent
import pytest
import urllib3
from pytest_bdd import given, parsers, scenarios, then, when

pytestmark = pytest.mark.slow
scenarios("leaving.feature")


@given("callers continuously send requests through all entries")
def send_continuously(context):
    context.stopped_at_ns = None
    until = time.monotonic() + 6
    entries = context.cluster.entries * 2
    context.send_continuously(entries, lambda: time.monotonic() > until, max_tokens=12)
    gevent.sleep(1)


@when(parsers.parse("the sidecar of {upstream} receives SIGTERM"))
def stop_sidecar(context, upstream):
    used = [run for run in context.history.runs() if run.engine == upstream]
    assert used, f"no request used {upstream} before the stop"
    context.stopped_at_ns = time.monotonic_ns()
    context.cluster.process(upstream).terminate()
    context.join()


def stop_after(context, names, after, tokens):
    def stop(answer):
        if len(answer.texts) == after:
            for name in names:
                context.cluster.process(name).terminate()

    task = context.send_in_background(max_tokens=tokens, on_token=stop)
    context.request_task = task


@when(parsers.parse("entry0 receives SIGTERM after {after:d} of {tokens:d} tokens"))
def stop_entry(context, after, tokens):
    stop_after(context, ["entry0"], after, tokens)


@when(
    parsers.parse(
        "entry0 and the sidecar of {upstream} receive SIGTERM after {after:d} of "
        "{tokens:d} tokens"
    )
)
def stop_both(context, upstream, after, tokens):
    stop_after(context, ["entry0", upstream], after, tokens)
    context.join()


@then("entry0 is not ready and refuses new requests as not run")
def entry_refuses(context):
    # Guards against requests that are admitted and then aborted by the stop.
    gevent.sleep(0.6)
    assert not context.request_task.ready(), "the answer ended before the check"
    url = f"http://{context.cluster.http('entry0')}/readyz"
    assert urllib3.request("GET", url, retries=False).status == 503
    refused = context.cluster.caller("warwick").chat(
        context.cluster.http("entry0"), context.prompt(1)
    )
    assert (refused.outcome, refused.error["code"]) == ("not_run", "draining")
    assert refused.request_id not in {run.request for run in context.history.runs()}
    context.join()


@then(parsers.re(r"(the sidecar of )?(?P<name>[\w-]+) exits with status 0"))
def clean_exit(context, name):
    # Guards against a stop that hangs or exits with an error.
    assert context.cluster.process(name).wait(10) == 0


@then(
    parsers.parse(
        "no request started on {upstream} later than {seconds:d} seconds after the "
        "signal"
    )
)
def no_new_work(context, upstream, seconds):
    # Guards against requests that go to a draining upstream until the VM list changes.
    begun = {}
    for run in context.history.runs():
        if run.engine == upstream:
            begun[run.request] = min(begun.get(run.request, run.order), run.order)
    limit = context.stopped_at_ns + seconds * 10**9
    assert [request for request, at in begun.items() if at > limit] == []


@then("no request needed a second attempt")
def single_attempts(context):
    # Guards against a planned stop that makes requests start a new attempt.
    assert {answer.attempts for answer in context.answers} == {1}

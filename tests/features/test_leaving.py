"""Steps of leaving.feature."""

import time

import gevent
import pytest
import urllib3
from pytest_bdd import given, parsers, scenarios, then, when

pytestmark = pytest.mark.slow
scenarios("leaving.feature")


@given("callers keep asking at all entries")
def keep_asking(world):
    world.stopping_at = None
    until = time.monotonic() + 6
    entries = world.cluster.entries * 2
    world.keep_asking(entries, lambda: time.monotonic() > until, max_tokens=12)
    gevent.sleep(1)


@when(parsers.parse("the sidecar of {upstream} is told to stop"))
def stop_sidecar(world, upstream):
    used = [run for run in world.history.runs() if run.engine == upstream]
    assert used, f"no request used {upstream} before the stop"
    world.stopping_at = time.monotonic_ns()
    world.cluster.process(upstream).terminate()
    world.join()


def stop_after(world, names, after, tokens):
    def stop(answer):
        if len(answer.texts) == after:
            for name in names:
                world.cluster.process(name).terminate()

    task = world.ask_in_background(max_tokens=tokens, on_token=stop)
    world.stopping = task


@when(parsers.parse("entry0 is told to stop after {after:d} of {tokens:d} tokens"))
def stop_entry(world, after, tokens):
    stop_after(world, ["entry0"], after, tokens)


@when(
    parsers.parse(
        "entry0 and the sidecar of {upstream} are told to stop after {after:d} of "
        "{tokens:d} tokens"
    )
)
def stop_both(world, upstream, after, tokens):
    stop_after(world, ["entry0", upstream], after, tokens)
    world.join()


@then("entry0 is not ready and refuses new requests as not run")
def entry_refuses(world):
    # Guards against work that is taken on and then cut off by the stop.
    gevent.sleep(0.6)
    assert not world.stopping.ready(), "the answer ended before the check"
    url = f"http://{world.cluster.http('entry0')}/readyz"
    assert urllib3.request("GET", url, retries=False).status == 503
    refused = world.cluster.caller("warwick").chat(
        world.cluster.http("entry0"), world.prompt(1)
    )
    assert (refused.outcome, refused.error["code"]) == ("not_run", "draining")
    assert refused.request_id not in {run.request for run in world.history.runs()}
    world.join()


@then(parsers.re(r"(the sidecar of )?(?P<name>[\w-]+) ends with exit code 0"))
def clean_exit(world, name):
    # Guards against a stop that hangs or ends with an error.
    assert world.cluster.process(name).wait(10) == 0


@then(
    parsers.parse(
        "no request began on {upstream} later than {seconds:d} seconds after that"
    )
)
def no_new_work(world, upstream, seconds):
    # Guards against work that is sent to an upstream until the VM list changes.
    begun = {}
    for run in world.history.runs():
        if run.engine == upstream:
            begun[run.request] = min(begun.get(run.request, run.order), run.order)
    limit = world.stopping_at + seconds * 10**9
    assert [request for request, at in begun.items() if at > limit] == []


@then("no request needed a second attempt")
def single_attempts(world):
    # Guards against a planned stop that costs callers a rebuilt attempt.
    assert {answer.attempts for answer in world.answers} == {1}

"""Steps of stage_dies.feature."""

import pytest
from pytest_bdd import given, parsers, scenarios, then, when
from running_system import PREFERRED_CHAIN, wait_until

pytestmark = pytest.mark.slow
scenarios("stage_dies.feature")

CRASH_STATUS = 70
# The first step runs the whole prompt, each later step one token.
MOMENTS = {
    "before prefill": {"crash_at_step": 1, "crash_before_run": True},
    "in prefill": {"crash_at_step": 1},
    "in decode": {"crash_at_step": 7},
    "at the last token": {"crash_at_step": 16},
}


@given(parsers.parse("the engine of stage {stage:d} dies {moment}"))
def engine_will_die(context, stage, moment):
    engine = PREFERRED_CHAIN[stage]
    context.cluster.set_faults(f"{engine}/upstream", **MOMENTS[moment])


@when("a caller requests 16 tokens")
def send(context):
    context.send(max_tokens=16)


@when(
    parsers.parse(
        "a caller requests 16 tokens and the VM of stage {stage:d} dies after {after:d}"
    )
)
def ask_and_kill(context, stage, after):
    def kill(answer):
        if len(answer.texts) == after:
            context.cluster.kill_vm(PREFERRED_CHAIN[stage])

    context.send(max_tokens=16, on_token=kill)


@then(parsers.parse("the engine of stage {stage:d} has died"))
def engine_died(context, stage):
    # Guards against a fault on an engine that the request did not use.
    process = context.cluster.process(f"{PREFERRED_CHAIN[stage]}/upstream")
    wait_until(lambda: process.exit_code == CRASH_STATUS, "the engine to die")

"""Steps of contract_changes.feature."""

import secrets
import time

import gevent
import pytest
import urllib3
from pytest_bdd import given, parsers, scenarios, then, when
from running_system import wait_until

from bulrushdrum._internal.world.contracts import hash_api_key

pytestmark = pytest.mark.slow
scenarios("contract_changes.feature")


def accepts(cluster, entry, key):
    """Return whether an entry accepts an API key, or None if that is unclear."""
    url = f"http://{cluster.http(entry)}/v1/models"
    headers = {"Authorization": f"Bearer {key}"}
    try:
        status = urllib3.request(
            "GET", url, headers=headers, timeout=1, retries=False
        ).status
    except (urllib3.exceptions.HTTPError, OSError):
        return None
    return {200: True, 401: False}.get(status)


def current(cluster, entry, customer):
    """Return the contract of a customer and its revision at an entry."""
    status, answer = cluster.operator(entry, "GET", f"contracts/{customer}")
    assert status == 200, answer
    return answer["contract"], answer["revision"]


def edit(cluster, entry, contract, revision):
    body = {"contract": contract, "expected_revision": revision}
    return cluster.operator(entry, "PUT", f"contracts/{contract['customer']}", body)


@given(parsers.parse("a customer {role}"))
def new_customer(context, role):
    context.customer = f"{role}-{secrets.token_hex(3)}"
    context.old_key = context.cluster.api_key(context.customer)
    context.cluster.add_customer(context.customer)


@when("two operators concurrently change the concurrency limit of raced, 8 times")
def race(context):
    context.rounds = []
    for number in range(8):
        contract, revision = current(context.cluster, "entry0", context.customer)
        edits = [
            gevent.spawn(
                edit,
                context.cluster,
                entry,
                {**contract, "concurrency": 100 * (number + 1) + index},
                revision,
            )
            for index, entry in enumerate(("entry0", "entry1"))
        ]
        gevent.joinall(edits)
        context.rounds.append([task.get() for task in edits])
        context.accepted = [
            100 * (number + 1) + index
            for index, (status, _) in enumerate(context.rounds[-1])
            if status == 200
        ]
        wait_until(
            lambda before=revision: (
                current(context.cluster, "entry0", context.customer)[1] > before
            ),
            "entry0 to apply the edit",
        )


@then("each time one edit was accepted and the other was rejected with a conflict")
def one_edit_accepted(context):
    # Guards against a lost update: two edits accepted over the same state.
    assert [sorted(status for status, _ in r) for r in context.rounds] == [
        [200, 409]
    ] * 8


@then("every entry has the last accepted concurrency limit of raced within 10 seconds")
def all_have_last(context):
    # Guards against entries that keep the rejected edit of a race.
    (last,) = context.accepted
    for entry in context.cluster.entries:
        wait_until(
            lambda entry=entry: (
                current(context.cluster, entry, context.customer)[0]["concurrency"]
                == last
            ),
            f"{entry} to apply the last value",
        )


@when(parsers.parse("3 operators concurrently create {count:d} new customers each"))
def many_customers(context, count):
    names = [f"many-{secrets.token_hex(4)}" for _ in range(3 * count)]

    def create(entry, own):
        for name in own:
            key = context.cluster.api_key(name)
            contract = {"customer": name, "api_key_hashes": [hash_api_key(key)]}
            status, answer = edit(context.cluster, entry, contract, 0)
            assert status == 200, answer

    context.new_customers = names
    tasks = [
        gevent.spawn(create, entry, names[index::3])
        for index, entry in enumerate(context.cluster.entries)
    ]
    gevent.joinall(tasks, raise_error=True)


@then(
    parsers.parse(
        "every entry accepts the keys of all {count:d} customers within 10 seconds"
    )
)
def all_keys_accepted(context, count):
    # Guards against an edit of one customer that reverts an edit of another.
    assert len(context.new_customers) == count
    until = time.monotonic() + 10
    for entry in context.cluster.entries:
        for name in context.new_customers:
            key = context.cluster.api_key(name)
            wait_until(
                lambda entry=entry, key=key: accepts(context.cluster, entry, key),
                f"{entry} to accept the key of {name}",
                until - time.monotonic(),
            )


@when("entry1 is paused")
def pause(context):
    context.cluster.process("entry1").pause()


@when("the key of rotated is replaced through entry0")
def replace_key(context):
    contract, revision = current(context.cluster, "entry0", context.customer)
    context.new_key = f"new-{secrets.token_hex(4)}"
    contract = {**contract, "api_key_hashes": [hash_api_key(context.new_key)]}
    status, context.edit_answer = edit(context.cluster, "entry0", contract, revision)
    assert status == 200, context.edit_answer
    context.accepted_at = time.monotonic()


@when("entry1 resumes 4 seconds later")
def resume_entry(context):
    # Sent during the pause: they wait in the entry's socket and are served first.
    probes = [
        gevent.spawn(chat_with, context, "entry1", context.old_key, number)
        for number in range(4)
    ]
    gevent.sleep(4)
    context.cluster.process("entry1").resume()
    context.accepted_at = time.monotonic()
    while time.monotonic() < context.accepted_at + 2:
        probes.append(gevent.spawn(chat_with, context, "entry1", context.old_key, 9))
        gevent.sleep(0.05)
    gevent.joinall(probes)
    context.probes = [task.get() for task in probes]


def chat_with(context, entry, key, number):
    from bench.client import Caller

    caller = Caller(key, context.cluster.topology.model)
    prompt = context.prompt(number)
    return caller.chat(context.cluster.http(entry), prompt, max_tokens=2)


@then("entry1 admitted no request with the old key after it resumed")
def no_request_admitted(context):
    # Guards against an entry that still uses the contracts it had before the pause.
    assert len(context.probes) > 10
    assert {answer.outcome for answer in context.probes} == {"not_run"}


@when("the store goes down immediately")
def store_down(context):
    for name in ("table", "objects"):
        context.cluster.set_faults(name, down=True)


@when("entry0 is killed immediately")
def kill_entry(context):
    context.cluster.process("entry0").kill()


@given("the table loses its next response to a write")
def lose_answer(context):
    context.cluster.set_faults("table", lose_answers=1)


@when("entry2 is partitioned from the store and the other entries")
def partition_entry(context):
    upstreams = set(context.cluster.topology.upstream_names)
    for pair in context.cluster.links_of("entry2"):
        if not set(pair) & upstreams:
            context.cluster.set_link(*pair, cut=True)


@then("the response lists entry2 as unconfirmed")
def unconfirmed(context):
    # Guards against a response that reports an unconfirmed entry as confirmed.
    assert any("entry2" in name for name in context.edit_answer["unconfirmed"])


@when("the links of entry2 are restored")
def restore_links(context):
    for pair in context.cluster.links_of("entry2"):
        context.cluster.set_link(*pair)
    context.accepted_at = time.monotonic()


def running_entries(context):
    cluster = context.cluster
    return [name for name in cluster.entries if cluster.process(name).running]


@then("only the new key is accepted at all entries within 10 seconds")
@then("only the new key is accepted at all running entries within 10 seconds")
def only_new_key_accepted(context):
    # Guards against a change that reaches some entry late or never.
    for entry in running_entries(context):
        wait_until(
            lambda entry=entry: (
                accepts(context.cluster, entry, context.new_key)
                and accepts(context.cluster, entry, context.old_key) is False
            ),
            f"{entry} to accept only the new key",
            context.accepted_at + 10 - time.monotonic(),
        )


@then("the old key is refused at all entries for 3 more seconds")
@then("the old key is refused at all running entries for 3 more seconds")
def old_key_stays_refused(context):
    # Guards against a change that is reverted by an older snapshot.
    until = time.monotonic() + 3
    while time.monotonic() < until:
        for entry in running_entries(context):
            assert accepts(context.cluster, entry, context.old_key) is False
        gevent.sleep(0.05)

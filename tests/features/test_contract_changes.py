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
    """Return whether an entry serves a caller with this key, or None if unknown."""
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
    """Return (contract, revision) of a customer as an entry has it."""
    status, answer = cluster.operator(entry, "GET", f"contracts/{customer}")
    assert status == 200, answer
    return answer["contract"], answer["revision"]


def edit(cluster, entry, contract, revision):
    body = {"contract": contract, "expected_revision": revision}
    return cluster.operator(entry, "PUT", f"contracts/{contract['customer']}", body)


@given(parsers.parse("a customer {role}"))
def new_customer(world, role):
    world.customer = f"{role}-{secrets.token_hex(3)}"
    world.old_key = world.cluster.api_key(world.customer)
    world.cluster.add_customer(world.customer)


@when("two operators change the concurrency of raced at once, 8 times")
def race(world):
    world.rounds = []
    for number in range(8):
        contract, revision = current(world.cluster, "entry0", world.customer)
        edits = [
            gevent.spawn(
                edit,
                world.cluster,
                entry,
                {**contract, "concurrency": 100 * (number + 1) + index},
                revision,
            )
            for index, entry in enumerate(("entry0", "entry1"))
        ]
        gevent.joinall(edits)
        world.rounds.append([task.get() for task in edits])
        world.accepted = [
            100 * (number + 1) + index
            for index, (status, _) in enumerate(world.rounds[-1])
            if status == 200
        ]
        wait_until(
            lambda before=revision: (
                current(world.cluster, "entry0", world.customer)[1] > before
            ),
            "entry0 to have the edit",
        )


@then("each time one edit was accepted and the other was told of the conflict")
def one_winner(world):
    # Guards against a lost update: two edits accepted over the same state.
    assert [sorted(status for status, _ in r) for r in world.rounds] == [[200, 409]] * 8


@then("every entry has the last accepted concurrency of raced within 10 seconds")
def all_have_last(world):
    # Guards against entries that end with the loser of a race.
    (last,) = world.accepted
    for entry in world.cluster.entries:
        wait_until(
            lambda entry=entry: (
                current(world.cluster, entry, world.customer)[0]["concurrency"] == last
            ),
            f"{entry} to have the last value",
        )


@when(parsers.parse("3 operators make {count:d} new customers each at once"))
def many_customers(world, count):
    names = [f"many-{secrets.token_hex(4)}" for _ in range(3 * count)]

    def make(entry, own):
        for name in own:
            key = world.cluster.api_key(name)
            contract = {"customer": name, "api_key_hashes": [hash_api_key(key)]}
            status, answer = edit(world.cluster, entry, contract, 0)
            assert status == 200, answer

    world.many = names
    tasks = [
        gevent.spawn(make, entry, names[index::3])
        for index, entry in enumerate(world.cluster.entries)
    ]
    gevent.joinall(tasks, raise_error=True)


@then(parsers.parse("every entry knows all {count:d} customers within 10 seconds"))
def all_known(world, count):
    # Guards against edits of one customer that undo those of another.
    assert len(world.many) == count
    until = time.monotonic() + 10
    for entry in world.cluster.entries:
        for name in world.many:
            key = world.cluster.api_key(name)
            wait_until(
                lambda entry=entry, key=key: accepts(world.cluster, entry, key),
                f"{entry} to know {name}",
                until - time.monotonic(),
            )


@when("entry1 is paused")
def pause(world):
    world.cluster.process("entry1").pause()


@when("the key of rotated is replaced through entry0")
def replace_key(world):
    contract, revision = current(world.cluster, "entry0", world.customer)
    world.new_key = f"new-{secrets.token_hex(4)}"
    contract = {**contract, "api_key_hashes": [hash_api_key(world.new_key)]}
    status, world.edit_answer = edit(world.cluster, "entry0", contract, revision)
    assert status == 200, world.edit_answer
    world.accepted_at = time.monotonic()


@when("entry1 wakes 4 seconds later")
def wake(world):
    # Requests that wait in the entry's socket are the first that it sees.
    probes = [
        gevent.spawn(chat_with, world, "entry1", world.old_key, number)
        for number in range(4)
    ]
    gevent.sleep(4)
    world.cluster.process("entry1").resume()
    world.accepted_at = time.monotonic()
    while time.monotonic() < world.accepted_at + 2:
        probes.append(gevent.spawn(chat_with, world, "entry1", world.old_key, 9))
        gevent.sleep(0.05)
    gevent.joinall(probes)
    world.probes = [task.get() for task in probes]


def chat_with(world, entry, key, number):
    from bench.client import Caller

    caller = Caller(key, world.cluster.topology.model)
    prompt = world.prompt(number)
    return caller.chat(world.cluster.http(entry), prompt, max_tokens=2)


@then("entry1 admitted nothing with the old key after it woke")
def nothing_admitted(world):
    # Guards against an entry that goes on with the contracts it had before its pause.
    assert len(world.probes) > 10
    assert {answer.outcome for answer in world.probes} == {"not_run"}


@when("the store goes away at once")
def store_away(world):
    for name in ("table", "objects"):
        world.cluster.set_faults(name, down=True)


@when("entry0 is killed at once")
def kill_entry(world):
    world.cluster.process("entry0").kill()


@given("the table loses its next answer to a write")
def lose_answer(world):
    world.cluster.set_faults("table", lose_answers=1)


@when("entry2 is cut off from the store and the other entries")
def cut_off(world):
    upstreams = set(world.cluster.topology.upstream_names)
    for pair in world.cluster.links_of("entry2"):
        if not set(pair) & upstreams:
            world.cluster.set_link(*pair, cut=True)


@then("the answer names entry2 as unconfirmed")
def unconfirmed(world):
    # Guards against an answer that claims more than is known.
    assert any("entry2" in name for name in world.edit_answer["unconfirmed"])


@when("the links of entry2 return")
def links_return(world):
    for pair in world.cluster.links_of("entry2"):
        world.cluster.set_link(*pair)
    world.accepted_at = time.monotonic()


def running_entries(world):
    cluster = world.cluster
    return [name for name in cluster.entries if cluster.process(name).running]


@then("the new key is in force at all entries within 10 seconds")
@then("the new key is in force at all running entries within 10 seconds")
def in_force(world):
    # Guards against a change that some entry learns late or never.
    for entry in running_entries(world):
        wait_until(
            lambda entry=entry: (
                accepts(world.cluster, entry, world.new_key)
                and accepts(world.cluster, entry, world.old_key) is False
            ),
            f"{entry} to have the new key",
            world.accepted_at + 10 - time.monotonic(),
        )


@then("the old key is refused at all entries for 3 more seconds")
@then("the old key is refused at all running entries for 3 more seconds")
def stays_in_force(world):
    # Guards against a change that is undone by an older snapshot.
    until = time.monotonic() + 3
    while time.monotonic() < until:
        for entry in running_entries(world):
            assert accepts(world.cluster, entry, world.old_key) is False
        gevent.sleep(0.05)

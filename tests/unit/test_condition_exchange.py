"""What routers tell each other of the condition of upstreams.

Load: upstreams are lost, leave or refuse requests while the store is silent, and dozens
of routers meet each of them. Datagrams are lost, repeated, delayed and reordered.
"""

import random

import pytest
from tests.unit.condition_fakes import Network

from bulrushdrum._internal.coordination.peer_messages import MAX_MESSAGE_BYTES
from bulrushdrum._internal.decoding import DECODING_ERRORS


@pytest.fixture
def network():
    return Network("r1", "r2", "r3")


@pytest.fixture
def routers(network):
    return list(network.routers.values())


def test_one_refusal_is_enough_for_all_routers(network, routers):
    # Guards against each router learning of an upstream by a refusal of its own.
    routers[0].refuse("a")
    network.advance(0.01)
    assert [router.avoids("a") for router in routers] == [True, True, True]
    assert not routers[1].avoids("b")


def test_a_refusal_for_lack_of_memory_stays_with_the_router(network, routers):
    # Guards against avoiding an upstream at all routers for what ends at once.
    routers[0].utilization = 0.9
    routers[0].refuse("a")
    network.advance(0.01)
    assert [router.avoids("a") for router in routers] == [True, False, False]


def test_an_upstream_that_refuses_for_hours_raises_no_error(network, routers):
    # Guards against a time that doubles until it is no number, which ended requests.
    for _ in range(1200):
        network.advance(10.0)
        routers[0].refuse("a")
    network.advance(0.01)
    assert routers[1].avoids("a")
    network.advance(10.0)
    assert not routers[1].avoids("a")


def test_a_peer_that_claims_many_failures_raises_no_error(network, routers):
    # Guards against the same error for a number that a peer sends.
    routers[0].exchange.apply_announcement(
        "r9", "r9#0", [[1, "a", 1, "refusing", 0.0, 0.1, 10**6]]
    )
    network.advance(1.0)
    routers[0].refuse("a")
    assert routers[0].avoids("a")


def test_ids_of_any_length_fit_or_are_left_out(network):
    # Guards against a message over 1,400 bytes, whose error ended the request that
    # moved, or lost all claims that were sent with it.
    long = [f"{n:02}{'x' * 60}" for n in range(32)]
    network = Network("r1", "r2", upstreams=[*long, "b", "y" * 2000])
    first, second = network.routers.values()
    first.report_silence(long)
    for upstream_id in (*long, "y" * 2000, "b"):
        first.refuse(upstream_id)
    network.advance(0.1)
    assert max(network.sizes) <= MAX_MESSAGE_BYTES
    assert all(second.avoids(upstream_id) for upstream_id in (*long, "b"))


def test_a_silence_report_of_the_longest_path_fits(network):
    # Guards against reports that are never sent.
    path = [f"i-{n:08x}" for n in range(32)]
    network = Network("r1", "r2", upstreams=path)
    first, second = network.routers.values()
    first.report_silence(path, born=1_765_000_000_000)
    network.advance(0.1)
    assert network.sizes and max(network.sizes) <= MAX_MESSAGE_BYTES


def test_a_withdrawn_claim_is_not_revived_by_a_late_copy(network, routers):
    # Guards against numbers that are forgotten as soon as a claim is settled.
    routers[0].refuse("a")
    network.delay = lambda: 0.6
    routers[0].announce()
    network.delay = lambda: 0.001
    network.advance(0.1)
    routers[1].succeed("a")
    network.advance(0.1)
    for router in routers:
        router.exchange.run_maintenance(3)
    assert not any(router.avoids("a") for router in routers)
    network.advance(0.5)
    assert not any(router.avoids("a") for router in routers)


def test_a_claim_that_another_router_withdrew_is_announced_no_more(network, routers):
    # Guards against a router that starts, and learns of a claim that has ended.
    network.advance(1.0)
    routers[0].refuse("a")
    network.advance(0.1)
    routers[1].succeed("a")
    network.advance(0.1)
    starting = network.start("r3")
    routers[0].announce()
    network.advance(0.1)
    assert not starting.avoids("a")


def test_a_success_counts_if_its_claim_arrives_later(network, routers):
    # Guards against a merge that depends on the order of messages.
    network.delay = lambda: None
    routers[0].refuse("a")
    network.advance(0.1)
    routers[2].succeed("a")
    routers[1].exchange.apply_announcement(
        "r4", "r4#0", [[1, "a", 1, "works", 0.0, 0.4, 0]]
    )
    network.advance(0.1)
    network.delay = lambda: 0.001
    routers[0].announce()
    network.advance(0.1)
    assert [router.avoids("a") for router in routers] == [True, False, False]


def test_a_withdrawal_whose_message_is_lost_is_announced(network, routers):
    # Guards against routers that avoid an upstream until the claim ends.
    for _ in range(4):
        routers[0].refuse("a")
        network.advance(0.01)
        network.advance(routers[0].claims.dump()[0]["seconds_left"] + 0.01)
    routers[0].refuse("a")
    network.advance(0.1)
    network.delay = lambda: None
    routers[0].succeed("a")
    network.advance(0.1)
    network.delay = lambda: 0.001
    assert routers[1].avoids("a")
    routers[0].announce()
    network.advance(0.01)
    assert not routers[1].avoids("a")


def test_an_entry_of_a_newer_release_is_passed_over(routers):
    # Guards against a field or a matter of a newer release that costs a whole message.
    entries = [
        [1, "a", 1, "refusing", 0.0, 0.5, 1, "more"],
        [2, "b", 1, "overheating", 0.0, 0.5, 1],
        [3, "c", 1, "refusing", 0.0, 0.5, 1],
    ]
    routers[0].exchange.apply_announcement("r9", "r9#0", entries)
    assert routers[0].fleet.avoided_ids() == ["a", "c"]


@pytest.mark.parametrize(
    "entry",
    [
        None,
        [],
        [2, "b", 1, "refusing", 0.0],
        [2, "b", 1, "refusing", -1.0, 0.5, 1],
        [2, "b", 1, "refusing", 0.0, float("nan"), 1],
        [2, "b", float("inf"), "refusing", 0.0, 0.5, 1],
        [2, "b", 1, [], 0.0, 0.5, 1],
        [2, "b", 1, "refusing", 0.0, 0.5, float("inf")],
    ],
)
def test_a_malformed_entry_applies_nothing_of_its_message(routers, entry):
    # Guards against a message of which one part is in force.
    good = [1, "a", 1, "refusing", 0.0, 0.5, 1]
    with pytest.raises(DECODING_ERRORS):
        routers[0].exchange.apply_announcement("r9", "r9#0", [good, entry])
    assert routers[0].fleet.avoided_ids() == []


@pytest.mark.parametrize(
    "body",
    [
        None,
        {"candidates": [["a", 1]]},
        {"candidates": [["a"]], "delivers": True},
        {"candidates": [[["a"], float("nan")]], "delivers": True},
        {"candidates": [["a", 1]] * 33, "delivers": True},
    ],
)
def test_a_malformed_report_of_silence_accuses_nobody(routers, body):
    raw = {"kind": "silence", "node": "r9", "incarnation": "r9#0", "body": body}
    with pytest.raises(DECODING_ERRORS):
        routers[0].messages.receive(raw)
    assert not routers[0].fleet.suspects() and not routers[0].avoids("a")


def test_a_claim_always_ends(network, routers):
    # Guards against an upstream that is never used again, whatever a peer says.
    for seconds in (1e9, float("inf")):
        entry = [1, "a", 1, "refusing", float("inf"), seconds, 99]
        routers[0].exchange.apply_announcement("r9", f"r9#{seconds}", [entry])
        assert routers[0].avoids("a")
        network.advance(10.0)
        assert not routers[0].avoids("a")


def test_nothing_is_kept_of_claims_that_ended_long_ago(network, routers):
    # Guards against memory that grows with each claim, success and router incarnation.
    first, second, _ = routers
    for _ in range(20):
        first = network.start("r1")
        for upstream_id in "abc":
            first.refuse(upstream_id)
        first.report_silence("de")
        first.succeed("f")
        network.advance(1.0)
        second.succeed("a")
    network.advance(30.0)
    for router in (first, second):
        router.exchange.announcement()
        router.exchange.run_maintenance(3)
        exchange = router.exchange
        kept = (exchange._applied, exchange._own, router.claims._conditions)
        assert not any(kept) and not exchange._pending


def test_a_restarted_upstream_is_used_at_once(network, routers):
    # Guards against a claim on the old incarnation that keeps the new one unused, and
    # against a late refusal of the old one.
    routers[0].refuse("a")
    network.advance(0.01)
    for router in routers:
        router.fleet.put(router.upstream("a", born=2))
    assert not any(router.avoids("a") for router in routers)
    routers[0].refuse("a", born=1)
    routers[0].announce()
    network.advance(0.01)
    assert not any(router.avoids("a") for router in routers)
    routers[0].refuse("a", born=2)
    network.advance(0.01)
    assert all(router.avoids("a") for router in routers)


def test_another_upstream_at_the_same_address_is_not_avoided(network, routers):
    # Guards against claims that follow an address: it may be used again after 2 s.
    routers[0].refuse("a")
    network.advance(0.01)
    address = routers[1].upstream("a").address
    routers[1].fleet.put(routers[1].upstream("new")._replace(address=address))
    assert not routers[1].avoids("new")
    # The old upstream's connections end, and its routers say that it is gone.
    routers[0].exchange.report_terminated(routers[0].upstream("a"))
    network.advance(0.01)
    assert not routers[1].avoids("new")


def test_claims_of_a_restarted_router_are_applied(network, routers):
    # Guards against a new incarnation whose numbers begin again and count as applied.
    for upstream_id in "abc":
        routers[0].refuse(upstream_id)
        network.advance(0.03)
    restarted = network.start("r1")
    restarted.refuse("d")
    network.advance(0.03)
    assert routers[1].avoids("d")


def test_a_router_killed_before_it_tells_leaves_nothing(network, routers):
    # Guards against a part that needs the router which learned first.
    routers[0].refuse("a")
    routers[0].is_running = False
    network.advance(0.1)
    assert not routers[1].avoids("a")
    routers[1].refuse("a")
    network.advance(0.1)
    assert routers[2].avoids("a")


def test_a_router_killed_after_it_told_delays_the_others_only(network, routers):
    # Guards against others that wait for a router which tries no upstream any more.
    routers[0].refuse("a")
    network.advance(0.01)
    network.cut_off.add("r1")
    network.advance(2.0)
    assert not any(router.avoids("a") for router in routers[1:])


def test_a_router_that_was_cut_off_accuses_nobody(network, routers):
    # Guards against a router behind a cut that makes all routers avoid all upstreams,
    # at once or when it is heard again.
    network.cut_off.add("r1")
    for upstream_id in "abcd":
        routers[0].exchange.report_unresponsive(routers[0].upstream(upstream_id))
        routers[0].report_silence(upstream_id + "h", delivers=False)
    network.cut_off.clear()
    routers[0].announce()
    network.advance(0.1)
    assert not any(router.fleet.avoided_ids() for router in routers)


def test_a_cut_router_learns_and_forgets_like_the_others(network, routers):
    network.cut_off.add("r3")
    routers[0].refuse("a")
    network.advance(0.1)
    assert not routers[2].avoids("a")
    network.cut_off.clear()
    routers[0].announce()
    network.advance(0.01)
    assert routers[2].avoids("a")
    network.cut_off.add("r3")
    network.advance(3.0)
    assert not routers[2].avoids("a")


@pytest.mark.parametrize("seed", range(30))
def test_lost_repeated_late_and_reordered_messages(seed):
    # Guards against routers that disagree for long, and against a claim on a working
    # upstream, whatever happens to messages.
    network = Network("r1", "r2", "r3")
    network.make_unreliable(seed)
    draw = random.Random(seed)
    born, refusing_until = 1, 0.0
    for _ in range(300):
        network.advance(0.03)
        router = draw.choice(list(network.routers.values()))
        if draw.random() < 0.03:
            refusing_until = network.now + draw.uniform(0.0, 3.0)
        if draw.random() < 0.01:
            born, refusing_until = born + 1, 0.0
            for other in network.routers.values():
                other.fleet.put(other.upstream("a", born=born))
            assert not any(r.avoids("a") for r in network.routers.values())
        if draw.random() < 0.01:
            router = network.start(router.name)
            router.fleet.put(router.upstream("a", born=born))
        if draw.random() < 0.3:
            router.announce()
        if not router.avoids("a"):
            if network.now < refusing_until:
                router.refuse("a", born)
            else:
                router.succeed("a", born=born)
        router.exchange.run_maintenance(3)
        assert not router.avoids("b")
    # The longest claim, the longest hold and the longest delay.
    network.advance(4.0 + 0.4 + 0.3)
    assert not any(router.avoids("a") for router in network.routers.values())


def test_what_all_routers_heard_they_agree_on(network, routers):
    # Guards against a result that depends on the order in which messages arrive.
    network.make_unreliable(seed=1, max_delay=0.01)
    network.copies = 8
    for step in range(40):
        network.advance(0.05)
        routers[step % 3].refuse("abc"[step % 2])
        network.advance(0.05)
        for upstream_id in "ab":
            known = [router.claims.condition(upstream_id).claim for router in routers]
            told = {claim and (claim.reporter, claim.failures) for claim in known}
            assert len(told) == 1


def test_a_withdrawal_is_announced_while_others_hold_the_claim(network, routers):
    # Guards against routers that avoid an upstream that their prober found working.
    routers[0].refuse("a")
    network.advance(0.51)
    assert not routers[0].avoids("a") and routers[1].avoids("a")
    network.delay = lambda: None
    routers[0].succeed("a")
    network.advance(0.03)
    network.delay = lambda: 0.001
    routers[0].announce()
    network.advance(0.01)
    assert not routers[1].avoids("a")

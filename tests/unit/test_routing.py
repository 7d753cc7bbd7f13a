"""Tests of chain selection, crash quarantine and the retry budget."""

import random
from types import SimpleNamespace

import pytest
from expression import Result

from bulrushdrum._internal.peering.process_messages import Beat, Describe
from bulrushdrum._internal.peering.shared_state_messages import Incident
from bulrushdrum._internal.routing.chains import POLICIES, ChainPlanner, ChainRequest
from bulrushdrum._internal.routing.crash_quarantine import CrashQuarantine
from bulrushdrum._internal.routing.membership import Upstream
from bulrushdrum._internal.routing.retries import RetryBudget
from bulrushdrum._internal.world.data_centres import LinkDelays

SEED = 20261204


def make_upstream(name, first, end, *, speed=100.0, centre="a", version="1"):
    peer = SimpleNamespace(incarnation=f"{name}#1", address=name, data_centre=centre)
    connection = SimpleNamespace(peer=peer, closed=False)
    description = Describe(
        name, "", "m", version, first, end, 6, "kind", speed, 8, "serving"
    )
    return Upstream(connection, description)


def choose(upstreams, policy="least_delay", **request_fields):
    link_delays = LinkDelays({"a|b": 0.05}, local=0.0002, default=0.001)
    planner = ChainPlanner(lambda: upstreams, POLICIES[policy], link_delays, SEED)
    request = ChainRequest(
        **{"model": "m", "prompt": (1, 2, 3), **_DEFAULT_FIELDS, **request_fields}
    )
    return planner.choose(request)


_DEFAULT_FIELDS = {"answer_tokens": 10, "entry_data_centre": "a"}


@pytest.mark.parametrize("policy", POLICIES)
def test_a_chain_covers_every_layer_once_in_order(policy):
    # Guards against a chain with a gap or an overlap, on generated layer ranges.
    rng = random.Random(SEED)
    for _ in range(200):
        upstreams = []
        for index in range(rng.randint(1, 8)):
            first, end = sorted(rng.sample(range(7), 2))
            upstreams.append(make_upstream(f"u{index}", first, end))
        match choose(upstreams, policy):
            case Result(tag="ok", ok=chain):
                boundaries = [0, *(upstream.layers.end for upstream in chain)]
                assert [upstream.layers.first for upstream in chain] == boundaries[:-1]
                assert boundaries[-1] == 6
            case Result(error=no_chain):
                assert no_chain.code == "no_chain"


def test_least_delay_finds_a_chain_if_one_exists():
    # Guards against a search that stops at the first incomplete chain.
    upstreams = [
        make_upstream("dead-end", 0, 2),
        make_upstream("long", 0, 3),
        make_upstream("rest", 3, 6),
    ]
    assert [u.id for u in choose(upstreams).ok] == ["long", "rest"]


def test_least_delay_weighs_load_speed_and_links():
    # Guards against a policy that ignores one of the three.
    loaded, idle = make_upstream("loaded", 0, 6), make_upstream("idle", 0, 6)
    loaded.assign(1000)
    assert choose([loaded, idle]).ok == [idle]
    fast = make_upstream("fast", 0, 6, speed=2000.0)
    fast.assign(1000)
    assert choose([loaded, fast]).ok == [fast]
    reported = make_upstream("reported", 0, 6)
    reported.update_load(Beat(state="serving", queued_tokens=5000))
    assert choose([reported, idle]).ok == [idle]
    far = make_upstream("far", 0, 6, centre="b")
    assert choose([far, idle]).ok == [idle]


def test_all_stages_of_a_chain_run_one_model_version():
    # Guards against activations of one version that are passed to another one's layers.
    upstreams = [
        make_upstream("new", 0, 3, version="2"),
        make_upstream("old-1", 0, 3, version="1"),
        make_upstream("old-2", 3, 6, version="1"),
    ]
    assert [u.id for u in choose(upstreams).ok] == ["old-1", "old-2"]


def test_suspects_run_on_separate_upstreams():
    # Guards against two suspects in one engine call: a crash would quarantine neither.
    occupied, free = make_upstream("occupied", 0, 6), make_upstream("free", 0, 6)
    occupied.solo_fingerprints.add("other")
    free.assign(10_000)
    assert choose([occupied, free], suspect_fingerprint="mine").ok == [free]
    assert choose([occupied], suspect_fingerprint="mine").is_error()
    assert choose([occupied]).ok == [occupied]


def test_quarantine_does_not_depend_on_the_order_of_incidents():
    # Guards against entries that disagree on which requests to refuse, and against the
    # quarantine of a request that was part of only one crash.
    incidents = [
        Incident("1", ("bad", "a", "b")),
        Incident("2", ("bad", "c")),
        Incident("3", ("d",)),
    ]
    rng = random.Random(SEED)
    for _ in range(50):
        rng.shuffle(incidents)
        quarantine = CrashQuarantine()
        for incident in incidents * 2:
            quarantine.add(incident)
        quarantined = [
            name for name in ("bad", *"abcd") if quarantine.is_quarantined(name)
        ]
        assert quarantined == ["bad"]
        assert quarantine.is_suspect("a") and not quarantine.is_suspect("e")


def test_requests_with_the_same_incidents_are_not_quarantined():
    # Guards against a quarantine while the incidents do not distinguish two requests.
    quarantine = CrashQuarantine()
    quarantine.add(Incident("1", ("bad", "bystander")))
    quarantine.add(Incident("2", ("bad", "bystander")))
    assert not quarantine.is_quarantined("bad") and not quarantine.is_quarantined(
        "bystander"
    )
    quarantine.add(Incident("3", ("bad",)))
    assert quarantine.is_quarantined("bad") and not quarantine.is_quarantined(
        "bystander"
    )


def test_repeated_work_stays_within_the_budget():
    # Guards against retries in proportion to the failures instead of to the load.
    rng = random.Random(SEED)
    budget = RetryBudget(ratio=0.1, reserve=100)
    for _ in range(10_000):
        budget.record_tokens(rng.randrange(50))
        budget.try_spend(rng.randrange(200))
        assert budget.repeated_tokens <= 100 + 0.1 * budget.total_tokens
    assert budget.repeated_tokens > 0.09 * budget.total_tokens

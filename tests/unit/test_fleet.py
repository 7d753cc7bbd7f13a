"""Registrations, health and layer overrides of the upstreams that a router knows."""

from tests.unit.pool_fakes import make_engine

from bulrushdrum._internal.pipelines.fleet import LAPSED_GRACE_SECONDS, Fleet
from bulrushdrum._internal.world.upstreams import LayerRange, UpstreamState


def make_fleet(*names):
    now = [100.0]
    fleet = Fleet(clock=lambda: now[0])
    for name in names:
        fleet.put(make_engine(name))
    return fleet, now


def test_registrations_that_lapsed_in_an_outage_are_kept_for_a_grace_period():
    # Guards against refusing all requests when the store recovers without the
    # registrations that lapsed during its outage.
    fleet, now = make_fleet("x")
    fleet.replace_all([], lapsed_until=now[0] + LAPSED_GRACE_SECONDS)
    assert [u.id for u in fleet.available("llm")] == ["x"]
    now[0] += LAPSED_GRACE_SECONDS + 0.01
    assert fleet.available("llm") == []


def test_a_registration_that_is_renewed_within_the_grace_period_is_kept():
    fleet, now = make_fleet("x")
    fleet.replace_all([], lapsed_until=now[0] + LAPSED_GRACE_SECONDS)
    fleet.put(make_engine("x"))
    now[0] += LAPSED_GRACE_SECONDS + 0.01
    assert [u.id for u in fleet.available("llm")] == ["x"]


def test_a_registration_removed_after_an_outage_is_not_kept_for_longer():
    # Guards against using an upstream that left soon after an outage for a whole grace
    # period from when that was read.
    fleet, now = make_fleet("x", "y")
    ends_at = now[0] + LAPSED_GRACE_SECONDS
    now[0] += LAPSED_GRACE_SECONDS - 0.5
    fleet.remove("x", lapsed_until=ends_at)
    assert names(fleet) == ["x", "y"]
    now[0] += 0.6
    assert names(fleet) == ["y"]
    fleet.remove("y", lapsed_until=ends_at)
    assert names(fleet) == []


def test_a_draining_upstream_is_unavailable_immediately():
    fleet, _ = make_fleet("x")
    fleet.put(make_engine("x", state=UpstreamState.DRAINING))
    assert fleet.available("llm") == []


def test_the_backoff_grows_with_each_failure():
    fleet, now = make_fleet("x")
    fleet.record_failure("x")
    now[0] += 1.01
    assert not fleet.is_avoided("x")
    fleet.record_failure("x")
    now[0] += 1.01
    assert fleet.is_avoided("x")


def test_a_restart_resets_the_health_of_an_upstream():
    fleet, _ = make_fleet("x")
    fleet.mark_unresponsive("x")
    fleet.put(make_engine("x", born=2))
    assert not fleet.is_avoided("x")
    assert not fleet.is_unresponsive("x")


def test_a_success_resets_the_health_of_an_upstream():
    fleet, _ = make_fleet("x")
    fleet.mark_unresponsive("x")
    fleet.record_success("x")
    assert fleet.unresponsive_ids() == []
    assert not fleet.is_avoided("x")


def test_a_layer_override_expires():
    # Guards against a router that considers an engine empty forever, because an
    # announcement of its layers arrived after the newer registration (soak, seed 108).
    fleet, now = make_fleet()
    fleet.put(make_engine("x", layers=(0, 20)))
    fleet.override_layers("x", 1, None, 5.0)
    assert fleet.get("x").layers is None
    assert fleet.registered("llm")[0].layers is None
    now[0] += 5.01
    assert fleet.registered("llm")[0].layers == (0, 20)


def test_a_changed_registration_ends_a_layer_override():
    fleet, _ = make_fleet("x")
    fleet.override_layers("x", 1, LayerRange(0, 5), 15.0)
    assert fleet.get("x").layers == (0, 5)
    fleet.put(make_engine("x", layers=(5, 9)))
    assert fleet.get("x").layers == (5, 9)


def test_a_layer_override_for_another_incarnation_is_ignored():
    fleet, _ = make_fleet("x")
    fleet.override_layers("x", 2, LayerRange(0, 5), 15.0)
    assert fleet.get("x").layers is None


def test_a_reused_address_resolves_to_the_newer_upstream():
    fleet, _ = make_fleet("x")
    address = fleet.get("x").address
    fleet.put(make_engine("y", address=address))
    fleet.remove("x")
    assert fleet.find_by_address(address).id == "y"


def names(fleet):
    return [upstream.id for upstream in fleet.available("llm")]


def test_a_copy_does_not_undo_what_is_newer():
    # Guards against layers and states of a restored store that are older than known.
    fleet, _ = make_fleet()
    held = make_engine("x", layers=(0, 10), heartbeats=5)
    fleet.put(held)
    fleet.put(make_engine("y", state=UpstreamState.DRAINING))
    fleet.replace_all(
        [], from_copy=[make_engine("x", heartbeats=2), make_engine("y", heartbeats=0)]
    )
    assert fleet.available("llm") == [held]


def test_a_newer_registration_that_may_be_from_a_copy_is_used():
    # Guards against a router that was away and keeps what it knew before.
    fleet, _ = make_fleet("x")
    newer = make_engine("x", layers=(0, 10), heartbeats=2)
    fleet.replace_all([], from_copy=[newer])
    assert fleet.available("llm") == [newer]


def test_an_upstream_that_left_is_used_again_only_if_its_copy_stays():
    fleet, now = make_fleet("x", "y")
    fleet.remove("x")
    fleet.remove("y")
    fleet.replace_all([], from_copy=[make_engine("x"), make_engine("y")])
    now[0] += 4.0
    fleet.remove("y")
    assert names(fleet) == []
    now[0] += 2.1
    assert names(fleet) == ["x"]


def test_reading_the_copy_again_does_not_hold_an_upstream_for_longer():
    fleet, now = make_fleet("x")
    fleet.remove("x")
    for _ in range(3):
        fleet.replace_all([], from_copy=[make_engine("x")])
        now[0] += 3.0
    assert names(fleet) == ["x"]


def test_a_write_after_the_restoration_confirms_an_upstream():
    fleet, _ = make_fleet("x")
    fleet.remove("x")
    fleet.replace_all([], from_copy=[make_engine("x")])
    fleet.put(make_engine("x"))
    assert names(fleet) == ["x"]


def test_an_incarnation_that_was_replaced_does_not_come_back_with_a_copy():
    # Guards against sending requests to an address that belongs to another server.
    fleet, now = make_fleet()
    fleet.put(make_engine("x", born=2))
    fleet.replace_all([], from_copy=[make_engine("x", born=1, heartbeats=90)])
    assert [upstream.born for upstream in fleet.available("llm")] == [2]


def test_a_lapsed_upstream_that_is_in_the_copy_stays():
    # Guards against serving less: it need not write its registration again.
    fleet, now = make_fleet("x")
    fleet.remove("x", lapsed_until=now[0] + LAPSED_GRACE_SECONDS)
    fleet.replace_all([], from_copy=[make_engine("x")])
    now[0] += LAPSED_GRACE_SECONDS + 0.1
    assert names(fleet) == ["x"]


def test_an_upstream_that_fails_for_hours_raises_no_error():
    # Guards against a backoff that doubles until it is no number, which ended requests.
    fleet, now = make_fleet("x")
    for _ in range(1200):
        fleet.record_failure("x")
        now[0] += 5.1
    fleet.record_failure("x")
    assert fleet.is_avoided("x") and fleet.is_failing("x")
    now[0] += 5.1
    assert not fleet.is_avoided("x")

"""What the router believes of upstreams."""

from tests.unit.pool_fakes import make_engine

from bulrushdrum._internal.pipelines.fleet import LAPSED_GRACE_SECONDS, Fleet
from bulrushdrum._internal.world.upstreams import LayerRange, UpstreamState


def make_fleet(*names):
    now = [100.0]
    fleet = Fleet(clock=lambda: now[0])
    for name in names:
        fleet.put(make_engine(name))
    return fleet, now


def test_registrations_that_lapsed_in_an_outage_stay_for_a_short_while():
    # Guards against refusing everything when the store comes back empty.
    fleet, now = make_fleet("x")
    fleet.replace_all([], may_have_lapsed=True)
    assert [u.id for u in fleet.available("llm")] == ["x"]
    now[0] += LAPSED_GRACE_SECONDS + 0.01
    assert fleet.available("llm") == []


def test_a_registration_that_is_back_in_time_stays():
    fleet, now = make_fleet("x")
    fleet.replace_all([], may_have_lapsed=True)
    fleet.put(make_engine("x"))
    now[0] += LAPSED_GRACE_SECONDS + 0.01
    assert [u.id for u in fleet.available("llm")] == ["x"]


def test_a_draining_upstream_gets_no_new_work_at_once():
    fleet, _ = make_fleet("x")
    fleet.put(make_engine("x", state=UpstreamState.DRAINING))
    assert fleet.available("llm") == []


def test_an_upstream_that_fails_again_is_avoided_for_longer():
    fleet, now = make_fleet("x")
    fleet.record_failure("x")
    now[0] += 1.01
    assert not fleet.is_avoided("x")
    fleet.record_failure("x")
    now[0] += 1.01
    assert fleet.is_avoided("x")


def test_a_restarted_upstream_is_trusted_again():
    fleet, _ = make_fleet("x")
    fleet.mark_unresponsive("x")
    fleet.put(make_engine("x", born=2))
    assert not fleet.is_avoided("x")
    assert not fleet.is_unresponsive("x")


def test_an_upstream_that_served_is_trusted_again():
    fleet, _ = make_fleet("x")
    fleet.mark_unresponsive("x")
    fleet.record_success("x")
    assert fleet.unresponsive_ids() == []
    assert not fleet.is_avoided("x")


def test_what_was_learned_of_layers_does_not_outlive_its_time():
    # Guards against an engine that one router takes as empty for good, because news of
    # its load came behind its registration (soak, seed 108).
    fleet, now = make_fleet()
    fleet.put(make_engine("x", layers=(0, 20)))
    fleet.override_layers("x", 1, None, 5.0)
    assert fleet.get("x").layers is None
    assert fleet.registered("llm")[0].layers is None
    now[0] += 5.01
    assert fleet.registered("llm")[0].layers == (0, 20)


def test_a_registration_that_changes_ends_what_was_learned():
    fleet, _ = make_fleet("x")
    fleet.override_layers("x", 1, LayerRange(0, 5), 15.0)
    assert fleet.get("x").layers == (0, 5)
    fleet.put(make_engine("x", layers=(5, 9)))
    assert fleet.get("x").layers == (5, 9)


def test_what_was_learned_of_an_older_incarnation_is_left():
    fleet, _ = make_fleet("x")
    fleet.override_layers("x", 2, LayerRange(0, 5), 15.0)
    assert fleet.get("x").layers is None


def test_the_address_of_a_reused_port_names_the_newer_upstream():
    fleet, _ = make_fleet("x")
    address = fleet.get("x").address
    fleet.put(make_engine("y", address=address))
    fleet.remove("x")
    assert fleet.find_by_address(address).id == "y"

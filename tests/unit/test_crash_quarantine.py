"""Quarantine of requests that crash every upstream that runs them."""

from bulrushdrum._internal.pipelines.crash_quarantine import (
    QUARANTINE_SECONDS,
    CrashQuarantine,
    request_fingerprint,
)


class Clock:
    now = 0.0

    def __call__(self):
        return self.now


class CrashScenario:
    """Terminated incarnations, and a router's quarantine that observes them."""

    def __init__(self):
        self.terminated, self.clock = set(), Clock()
        self.quarantine = self.make_quarantine()

    def make_quarantine(self):
        return CrashQuarantine(
            lambda *incarnation: incarnation in self.terminated, self.clock
        )

    def crash(self, fingerprint, number, quarantine=None):
        incarnation = (f"u{number}", number)
        (quarantine or self.quarantine).record_failure(fingerprint, (incarnation,))
        self.terminated.add(incarnation)


def test_a_request_is_refused_after_its_third_crash():
    # Guards against a request that crashes one upstream after another because each
    # retry by its caller stays within the attempts that the route allows.
    scenario = CrashScenario()
    for number in range(3):
        assert not scenario.quarantine.is_quarantined("bad")
        scenario.crash("bad", number)
    assert scenario.quarantine.is_quarantined("bad")
    assert not scenario.quarantine.is_quarantined("good")


def test_a_failure_without_a_terminated_upstream_is_not_a_crash():
    # Guards against quarantining requests whose attempts failed because of connection
    # resets, malformed answers or timeouts.
    scenario = CrashScenario()
    for number in range(9):
        scenario.quarantine.record_failure("unlucky", ((f"u{number}", 1),))
    assert not scenario.quarantine.is_quarantined("unlucky")
    scenario.clock.now += 9.0
    scenario.terminated.update((f"u{number}", 1) for number in range(9))
    assert not scenario.quarantine.is_quarantined("unlucky")


def test_crashes_at_other_routers_count():
    # Guards against a request that may crash three upstreams through every router.
    scenario = CrashScenario()
    other = scenario.make_quarantine()
    scenario.crash("bad", 1)
    scenario.crash("bad", 2, other)
    scenario.crash("bad", 3, other)
    scenario.quarantine.apply_announcement("r2", "i1", other.announcement())
    assert scenario.quarantine.is_quarantined("bad")
    # A repeated announcement is not counted twice, and one from a restarted router does
    # not clear the crashes that it announced before.
    scenario.quarantine.apply_announcement("r2", "i1", other.announcement())
    scenario.quarantine.apply_announcement(
        "r2", "i2", scenario.make_quarantine().announcement()
    )
    assert scenario.quarantine.dump() == {"bad": 3}


def test_a_request_that_succeeds_at_one_router_is_cleared_at_all():
    # Guards against refusing harmless requests that were on several upstreams lost
    # together, for example with a rack.
    scenario = CrashScenario()
    other = scenario.make_quarantine()
    for number in range(3):
        scenario.crash("unlucky", number)
    other.apply_announcement("r1", "i1", scenario.quarantine.announcement())
    assert other.is_quarantined("unlucky")
    other.record_success("unlucky")
    scenario.quarantine.apply_announcement("r2", "i1", other.announcement())
    assert not scenario.quarantine.is_quarantined("unlucky")
    assert not other.is_quarantined("unlucky")


def test_a_quarantine_expires():
    # Guards against refusing a request forever after the engine was fixed.
    scenario = CrashScenario()
    for number in range(3):
        scenario.crash("bad", number)
    assert scenario.quarantine.is_quarantined("bad")
    scenario.clock.now += QUARANTINE_SECONDS + 0.1
    assert not scenario.quarantine.is_quarantined("bad")


def test_memory_use_is_bounded():
    # Guards against memory use that grows with every failed request.
    scenario = CrashScenario()
    for number in range(5000):
        scenario.quarantine.record_failure(f"f{number}", ((f"u{number}", 1),))
    scenario.terminated.update((f"u{number}", 1) for number in range(5000))
    assert len(scenario.quarantine.announcement()["crashes"]) <= 40
    assert len(scenario.quarantine.dump()) <= 2000


def test_fingerprints_differ_by_path_caller_and_body():
    # Guards against one caller's request that quarantines another caller's.
    fingerprints = {
        request_fingerprint("/a/", "k1", b"x"),
        request_fingerprint("/a/", "k2", b"x"),
        request_fingerprint("/a/", "k1", b"y"),
        request_fingerprint("/a/k", "1", b"x"),
        request_fingerprint("/a/", None, b"k1x"),
    }
    assert len(fingerprints) == 5
    assert request_fingerprint("/a/", "k1", b"x") in fingerprints

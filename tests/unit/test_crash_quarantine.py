"""Requests that crash each upstream that runs them, found over several sendings."""

from bulrushdrum._internal.pipelines.crash_quarantine import (
    QUARANTINE_SECONDS,
    CrashQuarantine,
    request_fingerprint,
)


class Clock:
    now = 0.0

    def __call__(self):
        return self.now


class World:
    """Incarnations that have ended, and a quarantine that sees them."""

    def __init__(self):
        self.terminated, self.clock = set(), Clock()
        self.quarantine = self.another()

    def another(self):
        return CrashQuarantine(lambda *one: one in self.terminated, self.clock)

    def crash(self, fingerprint, number, quarantine=None):
        incarnation = (f"u{number}", number)
        (quarantine or self.quarantine).record_failure(fingerprint, (incarnation,))
        self.terminated.add(incarnation)


def test_a_request_is_refused_after_its_third_crash():
    # Guards against a request that takes one upstream after the other down, each
    # sending being within the attempts that its route allows.
    world = World()
    for number in range(3):
        assert not world.quarantine.is_quarantined("bad")
        world.crash("bad", number)
    assert world.quarantine.is_quarantined("bad")
    assert not world.quarantine.is_quarantined("good")


def test_a_failure_without_the_end_of_an_upstream_is_no_crash():
    # Guards against refusals because of resets, garbled answers and silence.
    world = World()
    for number in range(9):
        world.quarantine.record_failure("unlucky", ((f"u{number}", 1),))
    assert not world.quarantine.is_quarantined("unlucky")
    world.clock.now += 9.0
    world.terminated.update((f"u{number}", 1) for number in range(9))
    assert not world.quarantine.is_quarantined("unlucky")


def test_crashes_at_other_routers_count():
    # Guards against three crashes for each router.
    world = World()
    other = world.another()
    world.crash("bad", 1)
    world.crash("bad", 2, other)
    world.crash("bad", 3, other)
    world.quarantine.apply_announcement("r2", "i1", other.announcement())
    assert world.quarantine.is_quarantined("bad")
    # The same announcement again is not counted twice, and a restart forgets nothing.
    world.quarantine.apply_announcement("r2", "i1", other.announcement())
    world.quarantine.apply_announcement("r2", "i2", world.another().announcement())
    assert world.quarantine.dump() == {"bad": 3}


def test_a_request_that_is_served_anywhere_is_cleared_everywhere():
    # Guards against innocent requests that were refused because a rack was lost.
    world = World()
    other = world.another()
    for number in range(3):
        world.crash("unlucky", number)
    other.apply_announcement("r1", "i1", world.quarantine.announcement())
    assert other.is_quarantined("unlucky")
    other.record_success("unlucky")
    world.quarantine.apply_announcement("r2", "i1", other.announcement())
    assert not world.quarantine.is_quarantined("unlucky")
    assert not other.is_quarantined("unlucky")


def test_a_quarantine_ends():
    # Guards against a request that is refused for ever after the engine was mended.
    world = World()
    for number in range(3):
        world.crash("bad", number)
    assert world.quarantine.is_quarantined("bad")
    world.clock.now += QUARANTINE_SECONDS + 0.1
    assert not world.quarantine.is_quarantined("bad")


def test_memory_is_bounded():
    # Guards against a quarantine that grows with every failed request.
    world = World()
    for number in range(5000):
        world.quarantine.record_failure(f"f{number}", ((f"u{number}", 1),))
    world.terminated.update((f"u{number}", 1) for number in range(5000))
    assert len(world.quarantine.announcement()["crashes"]) <= 40
    assert len(world.quarantine.dump()) <= 2000


def test_the_fingerprint_tells_callers_and_bodies_apart():
    # Guards against one team's request that convicts another's.
    names = {
        request_fingerprint("/a/", "k1", b"x"),
        request_fingerprint("/a/", "k2", b"x"),
        request_fingerprint("/a/", "k1", b"y"),
        request_fingerprint("/a/k", "1", b"x"),
        request_fingerprint("/a/", None, b"k1x"),
    }
    assert len(names) == 5
    assert request_fingerprint("/a/", "k1", b"x") in names

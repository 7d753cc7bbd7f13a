"""Requests that crash each upstream that runs them, found over several sendings."""

from bulrushdrum._internal.pipelines.crash_register import (
    CONVICTED_SECONDS,
    CrashRegister,
    fingerprint_of,
)


class Clock:
    now = 0.0

    def __call__(self):
        return self.now


class World:
    """Incarnations that have ended, and a register that sees them."""

    def __init__(self):
        self.ended, self.clock = set(), Clock()
        self.register = self.another()

    def another(self):
        return CrashRegister(lambda *one: one in self.ended, self.clock)

    def crash(self, fingerprint, number, register=None):
        incarnation = (f"u{number}", number)
        (register or self.register).note_failure(fingerprint, (incarnation,))
        self.ended.add(incarnation)


def test_a_request_is_refused_after_its_third_crash():
    # Guards against a request that takes one upstream after the other down, each
    # sending being within the attempts that its route allows.
    world = World()
    for number in range(3):
        assert not world.register.is_convicted("bad")
        world.crash("bad", number)
    assert world.register.is_convicted("bad")
    assert not world.register.is_convicted("good")


def test_a_failure_without_the_end_of_an_upstream_is_no_crash():
    # Guards against refusals because of resets, garbled answers and silence.
    world = World()
    for number in range(9):
        world.register.note_failure("unlucky", ((f"u{number}", 1),))
    assert not world.register.is_convicted("unlucky")
    world.clock.now += 9.0
    world.ended.update((f"u{number}", 1) for number in range(9))
    assert not world.register.is_convicted("unlucky")


def test_crashes_at_other_routers_count():
    # Guards against three crashes for each router.
    world = World()
    other = world.another()
    world.crash("bad", 1)
    world.crash("bad", 2, other)
    world.crash("bad", 3, other)
    world.register.take_over("r2", "i1", other.announced())
    assert world.register.is_convicted("bad")
    # The same announcement again is not counted twice, and a restart forgets nothing.
    world.register.take_over("r2", "i1", other.announced())
    world.register.take_over("r2", "i2", world.another().announced())
    assert world.register.dump() == {"bad": 3}


def test_a_request_that_is_served_anywhere_is_cleared_everywhere():
    # Guards against innocent requests that were refused because a rack was lost.
    world = World()
    other = world.another()
    for number in range(3):
        world.crash("unlucky", number)
    other.take_over("r1", "i1", world.register.announced())
    assert other.is_convicted("unlucky")
    other.note_served("unlucky")
    world.register.take_over("r2", "i1", other.announced())
    assert not world.register.is_convicted("unlucky")
    assert not other.is_convicted("unlucky")


def test_a_conviction_ends():
    # Guards against a request that is refused for ever after the engine was mended.
    world = World()
    for number in range(3):
        world.crash("bad", number)
    assert world.register.is_convicted("bad")
    world.clock.now += CONVICTED_SECONDS + 0.1
    assert not world.register.is_convicted("bad")


def test_memory_is_bounded():
    # Guards against a register that grows with every failed request.
    world = World()
    for number in range(5000):
        world.register.note_failure(f"f{number}", ((f"u{number}", 1),))
    world.ended.update((f"u{number}", 1) for number in range(5000))
    assert len(world.register.announced()["crashes"]) <= 40
    assert len(world.register.dump()) <= 2000


def test_the_fingerprint_tells_callers_and_bodies_apart():
    # Guards against one team's request that convicts another's.
    names = {
        fingerprint_of("/a/", "k1", b"x"),
        fingerprint_of("/a/", "k2", b"x"),
        fingerprint_of("/a/", "k1", b"y"),
        fingerprint_of("/a/k", "1", b"x"),
        fingerprint_of("/a/", None, b"k1x"),
    }
    assert len(names) == 5
    assert fingerprint_of("/a/", "k1", b"x") in names

"""Model of bindings: one caller, one key, two entries, sidecars 0 and 1.

Entry 0 serves the caller's first sending. The caller may give up on it at any time,
because the entry is paused, has crashed or lost its connection, and then sends the same
key to entry 1, while entry 0 may still go on. Sidecar 0 has windows, restarts and a
table that can be full; sidecar 1 stays in its first window.

A run and its end are one step: a reply that is late stands for a run that takes long.
"""

from typing import NamedTuple

KEPT = 1  # the code keeps 2 windows; the rules are the same and the model is smaller


class Bounds(NamedTuple):
    """How far the counters go; each configuration lets some of them move."""

    window: int = 0
    generation: int = 1
    incarnation: int = 0
    full: bool = False


class Binding(NamedTuple):
    """A row; `by` is the entry that wrote it and stands for the claim id."""

    sidecar: int
    incarnation: int
    window: int
    generation: int
    by: int
    released: bool = False


class Key(NamedTuple):
    """A key in a sidecar's table, done or cancelled."""

    done: bool
    window: int
    generation: int


class Sidecar(NamedTuple):
    incarnation: int = 0
    window: int = 0
    key: Key | None = None
    closed_through: int = -1


class Entry(NamedTuple):
    """`at` is the next step; `binding` is the row as the entry last knew it."""

    at: str = "start"
    binding: Binding | None = None


class State(NamedTuple):
    row: Binding | None = None
    writes: frozenset = frozenset()  # new rows in flight, conditional on the row
    entries: tuple[Entry, ...] = (Entry(), Entry())
    sidecars: tuple[Sidecar, ...] = (Sidecar(), Sidecar())
    called: frozenset = frozenset()  # bindings with a call, and maybe a resolve, sent
    runs: int = 0
    given_up: bool = False  # the caller does not wait for entry 0 any more
    told_not_run: bool = False


def released_row(generation, by):
    return Binding(-1, 0, 0, generation, by, released=True)


def put(items, index, value):
    return items[:index] + (value,) + items[index + 1 :]


class BindingsModel:
    """The rules of design section 5; each of `broken` names one that is left out."""

    BROKEN = (
        "expired is not run",
        "forgets early",
        "forgets by last window",
        "cancels first generation only",
        "moves without answer",
        "trusts lost write",
        "no release",
        "trusts the release of another",
        "reopens for a caller who left",
        "store down is not run",
        "absent row is not run",
        "full without closing",
        "refusal leaves no trace",
    )

    def __init__(self, bounds, broken=""):
        assert broken in ("", *self.BROKEN)
        self._bounds = bounds
        self._broken = broken

    def steps(self, state):
        for new in state.writes:
            # Every other write in flight is conditional on the row as it was.
            yield "write takes effect", state._replace(row=new, writes=frozenset())
        if not state.given_up:
            yield "caller gives up on entry 0", state._replace(given_up=True)
        for index in (0, 1):
            if index == 0 or (state.given_up and not state.told_not_run):
                yield from self._entry_steps(state, index)
        for binding in state.called:
            sidecar = state.sidecars[binding.sidecar]
            if sidecar.incarnation == binding.incarnation:
                yield from self._deliver(state, sidecar, binding, "call")
                yield from self._deliver(state, sidecar, binding, "resolve")
        yield from self._sidecar_steps(state)

    def _proposals(self, state, generation, by):
        for number, sidecar in enumerate(state.sidecars):
            # A heartbeat with the newest window may be late.
            for window in range(max(0, sidecar.window - KEPT), sidecar.window + 1):
                yield Binding(number, sidecar.incarnation, window, generation, by)

    def _entry_steps(self, state, index):
        binding, broken = state.entries[index].binding, self._broken
        name = f"entry {index}"

        def go(at, binding=None, **changes):
            entries = put(state.entries, index, Entry(at, binding))
            return state._replace(entries=entries, **changes)

        def write(at, new):
            writes = state.writes
            if state.row == binding:  # otherwise the condition fails
                writes = writes | {new}
            return go(at, binding, writes=writes)

        def say_not_run():
            heard = index == 1 or not state.given_up
            return go("not run", told_not_run=state.told_not_run or heard)

        caller_left = index == 0 and state.given_up
        if broken == "reopens for a caller who left":
            caller_left = False
        match state.entries[index].at:
            case "start":
                for proposal in self._proposals(state, 0, index):
                    yield f"{name} claims {proposal}", write("claim", proposal)
                    if broken == "trusts lost write":
                        yield f"{name} trusts its claim", go("call", proposal)
                yield f"{name} refuses", write("release", released_row(0, index))
                if broken == "store down is not run":
                    yield f"{name} says not run: store down", say_not_run()
                if broken == "absent row is not run" and state.row is None:
                    yield f"{name} says not run: no row", say_not_run()
            case "claim" | "move" | "release" as at if state.row not in (None, binding):
                row = state.row
                if row.released and row.by == index:
                    yield f"{name} says not run", say_not_run()
                elif row.released:
                    if broken == "trusts the release of another":
                        yield f"{name} says not run", say_not_run()
                    yield f"{name} reads {row}", go("must release", row)
                    if at == "claim" and not caller_left:
                        yield f"{name} reopens", go("refused", row)
                elif at != "release":
                    yield f"{name} reads {row}", go("call", row)
            case "call":
                called = state.called | {binding}
                yield f"{name} calls {binding}", go("wait", binding, called=called)
            case "wait" if broken == "moves without answer":
                yield f"{name} assumes not run", go("refused", binding)
            case "refused" | "must release" as at:
                generation = binding.generation + 1
                if broken == "no release":
                    yield f"{name} says not run", say_not_run()
                elif generation <= self._bounds.generation:
                    new = released_row(generation, index)
                    yield f"{name} releases", write("release", new)
                if at == "refused" and generation <= self._bounds.generation:
                    for new in self._proposals(state, generation, index):
                        yield f"{name} moves to {new}", write("move", new)

    def _deliver(self, state, sidecar, binding, kind):
        """Rules of `BindingTable.admit` and `resolve`, in their order."""
        broken, key, window = self._broken, sidecar.key, binding.window

        def reply(at, new, **changes):
            """The reply is lost, or heard by an entry that waits for it."""
            changed = state._replace(
                sidecars=put(state.sidecars, binding.sidecar, new), **changes
            )
            yield f"sidecar {at} on {kind} {binding}, reply lost", changed
            for index, entry in enumerate(state.entries):
                if entry == Entry("wait", binding):
                    entries = put(state.entries, index, Entry(at, binding))
                    heard = changed._replace(entries=entries)
                    yield f"sidecar {at} on {kind} {binding} to entry {index}", heard

        if key is not None and key.done:
            yield from reply("answered", sidecar)
            return
        if key is not None and binding.generation <= key.generation and kind == "call":
            kept = key._replace(window=max(window, key.window))
            yield from reply("refused", sidecar._replace(key=kept))
            return
        if window < sidecar.window - KEPT and (key is None or kind == "call"):
            if broken == "expired is not run":
                yield from reply("refused", sidecar)
            return  # the reply is `unknown`, which ends the entry's part
        if window <= sidecar.closed_through and kind == "call":
            yield from reply("refused", sidecar)
            return
        kept = Key(False, window, binding.generation)
        if key is not None:
            kept = Key(
                False,
                max(window, key.window),
                max(binding.generation, key.generation),
            )
        elif self._bounds.full and binding.sidecar == 0:
            closed = sidecar._replace(closed_through=sidecar.window)
            if broken == "full without closing":
                closed = sidecar
            yield from reply("refused", closed)
        if broken == "cancels first generation only":
            kept = kept._replace(generation=0)
        cancelled = sidecar._replace(key=kept)
        if broken == "refusal leaves no trace" and kind == "call":
            cancelled = sidecar
        # A call is cancelled if the sidecar drains or cannot reach its upstream.
        yield from reply("refused", cancelled)
        if kind == "call":
            last = window if broken == "forgets by last window" else kept.window
            ran = sidecar._replace(key=Key(True, last, binding.generation))
            yield from reply("answered", ran, runs=state.runs + 1)

    def _sidecar_steps(self, state):
        sidecar = state.sidecars[0]
        if sidecar.window < self._bounds.window:
            now, key = sidecar.window + 1, sidecar.key
            kept = KEPT - 1 if self._broken == "forgets early" else KEPT
            if key is not None and key.window < now - kept:
                key = None
            later = sidecar._replace(window=now, key=key)
            yield (
                "window ends",
                state._replace(sidecars=put(state.sidecars, 0, later)),
            )
        if sidecar.incarnation < self._bounds.incarnation:
            again = Sidecar(sidecar.incarnation + 1)
            left = {b for b in state.called if b.sidecar != 0}
            yield (
                "sidecar restarts",
                state._replace(
                    sidecars=put(state.sidecars, 0, again), called=frozenset(left)
                ),
            )


INVARIANTS = {
    "at most one run": lambda state: state.runs <= 1,
    "not run is true": lambda state: not (state.told_not_run and state.runs),
    "answered means run": lambda state: (
        state.runs == 1 or all(entry.at != "answered" for entry in state.entries)
    ),
}

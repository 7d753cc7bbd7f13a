"""Model of bindings: one caller, one key, two entries, sidecars 0 and 1.

Entry 0 serves the caller's first request. The caller may abandon it at any time,
because the entry is paused, has crashed or lost its connection, and then resends the
same key to entry 1 while entry 0 may still continue. Sidecar 0 has windows, restarts
and a table that can be full; sidecar 1 stays in its first window.

A run starts and ends in one step: a late response represents a long run.
"""

from typing import NamedTuple

KEPT_WINDOWS = 1  # the code keeps 2; the rules are the same, the model is smaller


class Bounds(NamedTuple):
    """The maximum of each counter; each configuration lets some of them change."""

    window: int = 0
    generation: int = 1
    incarnation: int = 0
    full: bool = False


class Binding(NamedTuple):
    """A row; `by` is the entry that wrote it and represents the claim id."""

    sidecar: int
    incarnation: int
    window: int
    generation: int
    by: int
    released: bool = False


class Key(NamedTuple):
    """A key in a sidecar's table, which is done or else cancelled."""

    done: bool
    window: int
    generation: int


class Sidecar(NamedTuple):
    incarnation: int = 0
    window: int = 0
    key: Key | None = None
    closed_through: int = -1


class Entry(NamedTuple):
    """`phase` is the next step; `binding` is the row that the entry last read."""

    phase: str = "start"
    binding: Binding | None = None


class State(NamedTuple):
    row: Binding | None = None
    writes: frozenset = frozenset()  # rows in flight, conditional on the current row
    entries: tuple[Entry, ...] = (Entry(), Entry())
    sidecars: tuple[Sidecar, ...] = (Sidecar(), Sidecar())
    called: frozenset = frozenset()  # bindings whose call, and maybe resolve, was sent
    runs: int = 0
    abandoned: bool = False  # the caller has abandoned entry 0
    reported_not_run: bool = False


def release_row(generation, by):
    return Binding(-1, 0, 0, generation, by, released=True)


def replace_item(items, index, value):
    return items[:index] + (value,) + items[index + 1 :]


class BindingsModel:
    """The rules of design section 5; `mutation` leaves one out."""

    MUTATIONS = (
        "reports expired bindings as not run",
        "evicts keys early",
        "evicts keys by the last window",
        "cancels only the first generation",
        "rebinds without a response",
        "trusts an unconfirmed write",
        "reports not run without a release",
        "trusts the release of another entry",
        "reopens for a disconnected caller",
        "reports not run when the store is down",
        "reports not run when the row is absent",
        "refuses when full without closing windows",
        "does not record refusals",
    )

    def __init__(self, bounds, mutation=""):
        assert mutation in ("", *self.MUTATIONS)
        self._bounds = bounds
        self._mutation = mutation

    def steps(self, state):
        for new in state.writes:
            # All other writes in flight are conditional on the old row and fail.
            yield "write takes effect", state._replace(row=new, writes=frozenset())
        if not state.abandoned:
            yield "caller abandons entry 0", state._replace(abandoned=True)
        for index in (0, 1):
            if index == 0 or (state.abandoned and not state.reported_not_run):
                yield from self._entry_steps(state, index)
        for binding in state.called:
            sidecar = state.sidecars[binding.sidecar]
            if sidecar.incarnation == binding.incarnation:
                yield from self._deliver(state, sidecar, binding, "call")
                yield from self._deliver(state, sidecar, binding, "resolve")
        yield from self._sidecar_steps(state)

    def _proposals(self, state, generation, by):
        for number, sidecar in enumerate(state.sidecars):
            # The heartbeat with the newest window may be late.
            for window in range(
                max(0, sidecar.window - KEPT_WINDOWS), sidecar.window + 1
            ):
                yield Binding(number, sidecar.incarnation, window, generation, by)

    def _entry_steps(self, state, index):
        binding, mutation = state.entries[index].binding, self._mutation
        name = f"entry {index}"

        def advance(phase, binding=None, **changes):
            entries = replace_item(state.entries, index, Entry(phase, binding))
            return state._replace(entries=entries, **changes)

        def write(phase, new):
            writes = state.writes
            if state.row == binding:  # otherwise the condition fails
                writes = writes | {new}
            return advance(phase, binding, writes=writes)

        def report_not_run():
            received = index == 1 or not state.abandoned
            return advance(
                "not run", reported_not_run=state.reported_not_run or received
            )

        disconnected = index == 0 and state.abandoned
        if mutation == "reopens for a disconnected caller":
            disconnected = False
        match state.entries[index].phase:
            case "start":
                for proposal in self._proposals(state, 0, index):
                    yield f"{name} claims {proposal}", write("claim", proposal)
                    if mutation == "trusts an unconfirmed write":
                        yield f"{name} trusts its claim", advance("call", proposal)
                yield f"{name} refuses", write("release", release_row(0, index))
                if mutation == "reports not run when the store is down":
                    yield f"{name} reports not run: store down", report_not_run()
                if (
                    mutation == "reports not run when the row is absent"
                    and state.row is None
                ):
                    yield f"{name} reports not run: no row", report_not_run()
            case "claim" | "rebind" | "release" as phase if state.row not in (
                None,
                binding,
            ):
                row = state.row
                if row.released and row.by == index:
                    yield f"{name} reports not run", report_not_run()
                elif row.released:
                    if mutation == "trusts the release of another entry":
                        yield f"{name} reports not run", report_not_run()
                    yield f"{name} reads {row}", advance("must release", row)
                    if phase == "claim" and not disconnected:
                        yield f"{name} reopens", advance("refused", row)
                elif phase != "release":
                    yield f"{name} reads {row}", advance("call", row)
            case "call":
                called = state.called | {binding}
                yield f"{name} calls {binding}", advance("wait", binding, called=called)
            case "wait" if mutation == "rebinds without a response":
                yield f"{name} assumes not run", advance("refused", binding)
            case "refused" | "must release" as phase:
                generation = binding.generation + 1
                if mutation == "reports not run without a release":
                    yield f"{name} reports not run", report_not_run()
                elif generation <= self._bounds.generation:
                    new = release_row(generation, index)
                    yield f"{name} releases", write("release", new)
                if phase == "refused" and generation <= self._bounds.generation:
                    for new in self._proposals(state, generation, index):
                        yield f"{name} rebinds to {new}", write("rebind", new)

    def _deliver(self, state, sidecar, binding, kind):
        """The rules of `BindingTable.admit` and `resolve`, in the same order."""
        mutation, key, window = self._mutation, sidecar.key, binding.window

        def respond(phase, new, **changes):
            """The response is lost, or received by an entry that waits for it."""
            changed = state._replace(
                sidecars=replace_item(state.sidecars, binding.sidecar, new), **changes
            )
            yield f"sidecar {phase} on {kind} {binding}, response lost", changed
            for index, entry in enumerate(state.entries):
                if entry == Entry("wait", binding):
                    entries = replace_item(state.entries, index, Entry(phase, binding))
                    received = changed._replace(entries=entries)
                    yield (
                        f"sidecar {phase} on {kind} {binding} to entry {index}",
                        received,
                    )

        if key is not None and key.done:
            yield from respond("answered", sidecar)
            return
        if key is not None and binding.generation <= key.generation and kind == "call":
            kept = key._replace(window=max(window, key.window))
            yield from respond("refused", sidecar._replace(key=kept))
            return
        if window < sidecar.window - KEPT_WINDOWS and (key is None or kind == "call"):
            if mutation == "reports expired bindings as not run":
                yield from respond("refused", sidecar)
            return  # the response is `unknown`, after which the entry does nothing
        if window <= sidecar.closed_through and kind == "call":
            yield from respond("refused", sidecar)
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
            if mutation == "refuses when full without closing windows":
                closed = sidecar
            yield from respond("refused", closed)
        if mutation == "cancels only the first generation":
            kept = kept._replace(generation=0)
        cancelled = sidecar._replace(key=kept)
        if mutation == "does not record refusals" and kind == "call":
            cancelled = sidecar
        # A sidecar cancels a call if it drains or cannot reach its upstream.
        yield from respond("refused", cancelled)
        if kind == "call":
            last = (
                window if mutation == "evicts keys by the last window" else kept.window
            )
            ran = sidecar._replace(key=Key(True, last, binding.generation))
            yield from respond("answered", ran, runs=state.runs + 1)

    def _sidecar_steps(self, state):
        sidecar = state.sidecars[0]
        if sidecar.window < self._bounds.window:
            now, key = sidecar.window + 1, sidecar.key
            kept_windows = (
                KEPT_WINDOWS - 1
                if self._mutation == "evicts keys early"
                else KEPT_WINDOWS
            )
            if key is not None and key.window < now - kept_windows:
                key = None
            later = sidecar._replace(window=now, key=key)
            yield (
                "window ends",
                state._replace(sidecars=replace_item(state.sidecars, 0, later)),
            )
        if sidecar.incarnation < self._bounds.incarnation:
            restarted = Sidecar(sidecar.incarnation + 1)
            left = {b for b in state.called if b.sidecar != 0}
            yield (
                "sidecar restarts",
                state._replace(
                    sidecars=replace_item(state.sidecars, 0, restarted),
                    called=frozenset(left),
                ),
            )


INVARIANTS = {
    "at most one run": lambda state: state.runs <= 1,
    "not run is reported only if nothing ran": lambda state: (
        not (state.reported_not_run and state.runs)
    ),
    "answered only after a run": lambda state: (
        state.runs == 1 or all(entry.phase != "answered" for entry in state.entries)
    ),
}

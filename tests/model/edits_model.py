"""Model of contract edits and replicas: two entries, one edit at each.

A sent transaction takes effect at any later time or never, whatever response its sender
got. The table can be down for reads and new writes at any time. Each entry can restart
once; it then has no copy of the configuration until it loads one.
"""

from typing import NamedTuple


class Edit(NamedTuple):
    """`phase`: start, read, write, settle, or the result returned to the operator."""

    phase: str = "start"
    expected: int = 0
    head: int = 0  # the head revision that the transaction expects


class Entry(NamedTuple):
    applied: tuple = ()
    ready: bool = True
    restarts: int = 0
    served: int = 0  # highest revision ever served on this VM


class State(NamedTuple):
    log: tuple = ()  # edits by revision; edit i is submitted at entry i
    down: bool = False
    in_flight: frozenset = frozenset()  # (edit, head compared, row revision compared)
    edits: tuple[Edit, ...] = (Edit(), Edit())
    entries: tuple[Entry, ...] = (Entry(), Entry())
    pushed: frozenset = frozenset()  # (revision, edit)
    regressed: bool = False  # a running entry replaced its copy with an older one


def replace_item(items, index, value):
    return items[:index] + (value,) + items[index + 1 :]


class EditsModel:
    """The rules of design section 7; `mutation` leaves one out.

    With `same_contract` both edits change one contract. With `from_snapshot` an entry
    that starts while the table is down loads the copy of the other entry.
    """

    MUTATIONS = (
        "does not compare the row",
        "treats an unknown write as a failure",
        "settles with a read only",
        "rereads without the edit id",
        "pushes before the edit is durable",
        "applies with gaps",
        "installs older copies",
    )

    def __init__(self, same_contract=True, from_snapshot=True, mutation=""):
        assert mutation in ("", *self.MUTATIONS)
        self._same_contract = same_contract
        self._from_snapshot = from_snapshot
        self._mutation = mutation

    def _row_revision(self, log, edit):
        """Revision of the row that `edit` changes."""
        revisions = [
            revision
            for revision, other in enumerate(log, 1)
            if self._same_contract or other == edit
        ]
        return revisions[-1] if revisions else 0

    def steps(self, state):
        yield "table goes down or up", state._replace(down=not state.down)
        for transaction in state.in_flight:
            edit, head, row = transaction
            if head == len(state.log) and self._holds(state, edit, row):
                yield f"edit {edit} takes effect", self._take_effect(state, edit)
        for index in (0, 1):
            yield from self._edit_steps(state, index)
            yield from self._replica_steps(state, index)

    def _holds(self, state, edit, row):
        if self._mutation == "does not compare the row":
            return True
        return row == self._row_revision(state.log, edit)

    @staticmethod
    def _take_effect(state, edit):
        # All other transactions in flight expect the old head and fail from now on.
        return state._replace(log=state.log + (edit,), in_flight=frozenset())

    def _edit_steps(self, state, index):
        edit, name = state.edits[index], f"edit {index}"

        def advance(**changes):
            edits = replace_item(state.edits, index, edit._replace(**changes))
            return state._replace(edits=edits)

        def accept():
            entry = (state.log.index(index) + 1, index)
            return advance(phase="accepted")._replace(pushed=state.pushed | {entry})

        def send(phase, head):
            row = edit.expected
            if self._mutation == "does not compare the row":
                row = 0
            transaction = (index, head, row)
            sent = advance(phase=phase, head=head)
            return sent._replace(in_flight=state.in_flight | {transaction})

        match edit.phase:
            case "start":
                # The operator may have read an old revision.
                for base_revision in {0, self._row_revision(state.log, index)}:
                    yield (
                        f"{name} begins at {base_revision}",
                        advance(phase="read", expected=base_revision),
                    )
            case "read" if not state.down:
                found = self._row_revision(state.log, index)
                forgets = self._mutation == "rereads without the edit id"
                if found == edit.expected or (
                    self._mutation == "does not compare the row"
                ):
                    yield f"{name} is sent", send("write", len(state.log))
                    if self._mutation == "pushes before the edit is durable":
                        early = (len(state.log) + 1, index)
                        yield (
                            f"{name} is pushed early",
                            send("write", len(state.log))._replace(
                                pushed=state.pushed | {early}
                            ),
                        )
                elif index in state.log and not forgets:
                    yield f"{name} was committed by an earlier transaction", accept()
                else:
                    yield f"{name} is refused: conflict", advance(phase="refused")
            case "write":
                yield f"{name} gets no response", advance(phase="settle")
                if len(state.log) > edit.head:
                    if state.log[edit.head] == index:
                        yield f"{name} gets a success", accept()
                    else:
                        yield f"{name} lost the race", advance(phase="read")
            case "settle":
                yield f"{name} is abandoned", advance(phase="unknown")
                in_log = len(state.log) > edit.head and state.log[edit.head] == index
                if self._mutation == "treats an unknown write as a failure":
                    yield f"{name} is refused", advance(phase="refused")
                if self._mutation == "rereads without the edit id":
                    yield f"{name} restarts", advance(phase="read")
                if state.down:
                    return
                if in_log:
                    yield f"{name} is found in the log", accept()
                elif len(state.log) > edit.head:
                    yield f"{name} lost the race", advance(phase="read")
                elif self._mutation == "settles with a read only":
                    yield f"{name} is refused: not in the log", advance(phase="refused")
                else:
                    yield f"{name} is resent", send("settle", edit.head)

    def _replica_steps(self, state, index):
        entry, other = state.entries[index], state.entries[1 - index]
        name = f"entry {index}"

        def with_applied(applied, ready=entry.ready):
            served = max(entry.served, len(applied)) if ready else entry.served
            changed = entry._replace(applied=applied, ready=ready, served=served)
            regresses = entry.ready and len(applied) < len(entry.applied)
            return state._replace(
                entries=replace_item(state.entries, index, changed),
                regressed=state.regressed or regresses,
            )

        following = len(entry.applied) + 1
        for revision, edit in state.pushed:
            gap = revision > following and self._mutation == "applies with gaps"
            if revision == following or gap:
                yield (
                    f"{name} applies {revision}",
                    with_applied(entry.applied + (edit,)),
                )
        if not state.down and entry.applied != state.log:
            if not entry.ready or len(entry.applied) < len(state.log):
                yield f"{name} reads the table", with_applied(state.log, ready=True)
        if not state.down and not entry.ready:
            yield f"{name} loads the table", with_applied(state.log, ready=True)
        newer = len(other.applied) > len(entry.applied)
        if self._mutation == "installs older copies":
            newer = True
        if other.ready and entry.ready and newer:
            yield f"{name} installs the copy of the other", with_applied(other.applied)
        if self._from_snapshot and state.down and other.ready and not entry.ready:
            if len(other.applied) >= len(entry.applied):
                yield (
                    f"{name} loads a snapshot",
                    with_applied(other.applied, ready=True),
                )
        if entry.restarts == 0:
            restarted = Entry((), False, 1, entry.served)
            edit = state.edits[index]
            ended = edit
            if edit.phase in ("read", "write", "settle"):
                ended = edit._replace(phase="unknown")
            yield (
                f"{name} restarts",
                state._replace(
                    entries=replace_item(state.entries, index, restarted),
                    edits=replace_item(state.edits, index, ended),
                ),
            )


def _edits_in_phase(state, phase):
    return [index for index, edit in enumerate(state.edits) if edit.phase == phase]


def _no_lost_update(state):
    """Each edit of the contract was based on the revision that it replaced."""
    return all(
        state.edits[edit].expected == revision
        for revision, edit in enumerate(state.log)
    )


INVARIANTS = {
    "an accepted edit is in the log once": lambda state: all(
        state.log.count(index) == 1 for index in _edits_in_phase(state, "accepted")
    ),
    "a refused edit is never in the log": lambda state: (
        not any(index in state.log for index in _edits_in_phase(state, "refused"))
    ),
    "an edit is in the log at most once": lambda state: (
        len(set(state.log)) == len(state.log)
    ),
    "copies follow the log": lambda state: all(
        entry.applied == state.log[: len(entry.applied)] for entry in state.entries
    ),
    "running entries never regress": lambda state: not state.regressed,
}
NO_LOST_UPDATE = {"no lost update": _no_lost_update}
NO_REGRESSION = {
    "no VM regresses": lambda state: all(
        not entry.ready or len(entry.applied) >= entry.served for entry in state.entries
    )
}

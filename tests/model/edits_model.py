"""Model of contract edits and replicas: two entries, one edit at each.

A transaction that was sent takes effect at any later time or never, whatever its sender
has been told. The table can be down for reading and new writes at any time. An entry
can restart once; it then has no copy of the configuration until it loads one.
"""

from typing import NamedTuple


class Edit(NamedTuple):
    """`at`: start, read, write, settle, or how the operator was answered."""

    at: str = "start"
    expected: int = 0
    head: int = 0  # the revision that the transaction compares with


class Entry(NamedTuple):
    applied: tuple = ()
    ready: bool = True
    restarts: int = 0
    served: int = 0  # highest revision that was in force on this VM


class State(NamedTuple):
    log: tuple = ()  # edits by revision; edit i is made at entry i
    down: bool = False
    in_flight: frozenset = frozenset()  # (edit, head compared, row revision compared)
    edits: tuple[Edit, ...] = (Edit(), Edit())
    entries: tuple[Entry, ...] = (Entry(), Entry())
    pushed: frozenset = frozenset()  # (revision, edit)
    went_back: bool = False  # a running entry replaced its copy by an older one


def put(items, index, value):
    return items[:index] + (value,) + items[index + 1 :]


class EditsModel:
    """The rules of design section 7; each of `broken` names one left out.

    With `same_contract` both edits are of one contract. With `from_snapshot` an entry
    that starts while the table is down takes the copy of the other entry.
    """

    BROKEN = (
        "does not compare the row",
        "takes a lost write for a failure",
        "settles by a read alone",
        "reads again without the edit id",
        "pushes before it is durable",
        "applies with gaps",
        "installs older copies",
    )

    def __init__(self, same_contract=True, from_snapshot=True, broken=""):
        assert broken in ("", *self.BROKEN)
        self._same_contract = same_contract
        self._from_snapshot = from_snapshot
        self._broken = broken

    def _row_revision(self, log, edit):
        """Revision of the row that `edit` changes."""
        made = [
            revision
            for revision, other in enumerate(log, 1)
            if self._same_contract or other == edit
        ]
        return made[-1] if made else 0

    def steps(self, state):
        yield "table fails or returns", state._replace(down=not state.down)
        for transaction in state.in_flight:
            edit, head, row = transaction
            if head == len(state.log) and self._holds(state, edit, row):
                yield f"edit {edit} takes effect", self._take_effect(state, edit)
        for index in (0, 1):
            yield from self._edit_steps(state, index)
            yield from self._replica_steps(state, index)

    def _holds(self, state, edit, row):
        if self._broken == "does not compare the row":
            return True
        return row == self._row_revision(state.log, edit)

    @staticmethod
    def _take_effect(state, edit):
        # Every other transaction in flight compares the head, and fails from now on.
        return state._replace(log=state.log + (edit,), in_flight=frozenset())

    def _edit_steps(self, state, index):
        edit, name = state.edits[index], f"edit {index}"

        def go(**changes):
            edits = put(state.edits, index, edit._replace(**changes))
            return state._replace(edits=edits)

        def accept():
            entry = (state.log.index(index) + 1, index)
            return go(at="accepted")._replace(pushed=state.pushed | {entry})

        def send(at, head):
            row = edit.expected
            if self._broken == "does not compare the row":
                row = 0
            transaction = (index, head, row)
            sent = go(at=at, head=head)
            return sent._replace(in_flight=state.in_flight | {transaction})

        match edit.at:
            case "start":
                # The operator has seen some revision, maybe an old one.
                for seen in {0, self._row_revision(state.log, index)}:
                    yield f"{name} begins at {seen}", go(at="read", expected=seen)
            case "read" if not state.down:
                found = self._row_revision(state.log, index)
                forgets = self._broken == "reads again without the edit id"
                if found == edit.expected or (
                    self._broken == "does not compare the row"
                ):
                    yield f"{name} is sent", send("write", len(state.log))
                    if self._broken == "pushes before it is durable":
                        early = (len(state.log) + 1, index)
                        yield (
                            f"{name} is pushed early",
                            send("write", len(state.log))._replace(
                                pushed=state.pushed | {early}
                            ),
                        )
                elif index in state.log and not forgets:
                    yield f"{name} was made before", accept()
                else:
                    yield f"{name} is refused: conflict", go(at="refused")
            case "write":
                yield f"{name} hears nothing", go(at="settle")
                if len(state.log) > edit.head:
                    if state.log[edit.head] == index:
                        yield f"{name} hears success", accept()
                    else:
                        yield f"{name} lost the race", go(at="read")
            case "settle":
                yield f"{name} gives up", go(at="unknown")
                made = len(state.log) > edit.head and state.log[edit.head] == index
                if self._broken == "takes a lost write for a failure":
                    yield f"{name} is refused", go(at="refused")
                if self._broken == "reads again without the edit id":
                    yield f"{name} starts again", go(at="read")
                if state.down:
                    return
                if made:
                    yield f"{name} finds itself in the log", accept()
                elif len(state.log) > edit.head:
                    yield f"{name} lost the race", go(at="read")
                elif self._broken == "settles by a read alone":
                    yield f"{name} is refused: not there", go(at="refused")
                else:
                    yield f"{name} is sent again", send("settle", edit.head)

    def _replica_steps(self, state, index):
        entry, other = state.entries[index], state.entries[1 - index]
        name = f"entry {index}"

        def have(applied, ready=entry.ready):
            served = max(entry.served, len(applied)) if ready else entry.served
            changed = entry._replace(applied=applied, ready=ready, served=served)
            back = entry.ready and len(applied) < len(entry.applied)
            return state._replace(
                entries=put(state.entries, index, changed),
                went_back=state.went_back or back,
            )

        following = len(entry.applied) + 1
        for revision, edit in state.pushed:
            gap = revision > following and self._broken == "applies with gaps"
            if revision == following or gap:
                yield f"{name} applies {revision}", have(entry.applied + (edit,))
        if not state.down and entry.applied != state.log:
            if not entry.ready or len(entry.applied) < len(state.log):
                yield f"{name} reads the table", have(state.log, ready=True)
        if not state.down and not entry.ready:
            yield f"{name} loads the table", have(state.log, ready=True)
        newer = len(other.applied) > len(entry.applied)
        if self._broken == "installs older copies":
            newer = True
        if other.ready and entry.ready and newer:
            yield f"{name} follows the other", have(other.applied)
        if self._from_snapshot and state.down and other.ready and not entry.ready:
            if len(other.applied) >= len(entry.applied):
                yield f"{name} loads a snapshot", have(other.applied, ready=True)
        if entry.restarts == 0:
            again = Entry((), False, 1, entry.served)
            edit = state.edits[index]
            ended = edit
            if edit.at in ("read", "write", "settle"):
                ended = edit._replace(at="unknown")
            yield (
                f"{name} restarts",
                state._replace(
                    entries=put(state.entries, index, again),
                    edits=put(state.edits, index, ended),
                ),
            )


def _answers(state, answer):
    return [index for index, edit in enumerate(state.edits) if edit.at == answer]


def _no_lost_update(state):
    """An edit of a contract was made by one who had seen the value it replaced."""
    return all(
        state.edits[edit].expected == revision
        for revision, edit in enumerate(state.log)
    )


INVARIANTS = {
    "accepted is in the log once": lambda state: all(
        state.log.count(index) == 1 for index in _answers(state, "accepted")
    ),
    "refused is never in the log": lambda state: (
        not any(index in state.log for index in _answers(state, "refused"))
    ),
    "an edit is made at most once": lambda state: len(set(state.log)) == len(state.log),
    "copies follow the log": lambda state: all(
        entry.applied == state.log[: len(entry.applied)] for entry in state.entries
    ),
    "running entries never go back": lambda state: not state.went_back,
}
NO_LOST_UPDATE = {"no lost update": _no_lost_update}
NEVER_BACK = {
    "no VM goes back": lambda state: all(
        not entry.ready or len(entry.applied) >= entry.served for entry in state.entries
    )
}

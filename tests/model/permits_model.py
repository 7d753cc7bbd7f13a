"""Model of permits: one permit, loans, and entries that adopt a script of entry sets.

A script lists, for each version of the entry set, its members, the owner of the permit
and the entries known dead from then on. A partitioned or paused entry adopts and
responds late or never; it may skip versions.
"""

from typing import NamedTuple


class Version(NamedTuple):
    members: frozenset
    owner: int
    dead: frozenset = frozenset()  # known dead when this version is written


class Entry(NamedTuple):
    version: int = 0
    all_acknowledged: bool = False  # all others have acknowledged `version`
    # Earlier versions, each with whether all others acknowledged it.
    history: tuple = ()
    using: tuple | None = None  # (lender, loan); (itself, None) for its own permit
    lent: tuple | None = None  # (borrower, loan)
    asked: tuple | None = None  # (lender, loan) of the pending request
    loans: int = 0
    carried: bool = False  # in use here although the owner has changed
    acks: tuple = ()  # (sender, version, busy), the latest of each sender


class State(NamedTuple):
    newest: int = 0
    entries: tuple[Entry, ...] = ()
    dead: frozenset = frozenset()
    messages: frozenset = frozenset()


def replace_item(items, index, value):
    return items[:index] + (value,) + items[index + 1 :]


class PermitsModel:
    """The rules of design section 8; `mutation` leaves one out."""

    MUTATIONS = (
        "uses a new permit immediately",
        "counts older acknowledgements",
        "omits busy permits from acknowledgements",
        "lists only its own permits",
        "keeps ownership across an interruption",
        "accepts late loans of removed lenders",
        "lender reclaims without a response",
        "declares entries dead after a timeout",
    )

    def __init__(self, script, borrowers=frozenset(), mutation=""):
        assert mutation in ("", *self.MUTATIONS)
        self._script = script
        self._borrowers = borrowers  # each may request one loan
        self._mutation = mutation

    def initial(self):
        """All members of the first version have acknowledged it to each other."""
        members = self._script[0].members
        count = 1 + max(max(version.members) for version in self._script)
        entries = tuple(
            Entry(all_acknowledged=True) if index in members else Entry(version=-1)
            for index in range(count)
        )
        return State(entries=entries)

    def steps(self, state):
        if state.newest + 1 < len(self._script):
            following = self._script[state.newest + 1]
            dead = state.dead | following.dead
            if self._mutation == "declares entries dead after a timeout":
                dead = state.dead
            yield (
                f"entry set {state.newest + 1} is written",
                state._replace(newest=state.newest + 1, dead=dead),
            )
        for index, entry in enumerate(state.entries):
            if index not in state.dead:
                yield from self._adopt(state, index, entry)
                yield from self._use(state, index, entry)
                yield from self._borrow(state, index, entry)
                yield from self._lend(state, index, entry)
        for message in state.messages:
            yield from self._receive(state, message)

    def _known_dead(self, state, index):
        if self._mutation == "declares entries dead after a timeout":
            # The platform's VM list is not consulted; the entry may be alive.
            return any(
                index in version.dead for version in self._script[: state.newest + 1]
            )
        return index in state.dead

    def _adopt(self, state, index, entry):
        if entry.version == state.newest:
            return
        version = self._script[state.newest]
        if index not in version.members and entry.version < 0:
            return  # not started yet
        held = entry.using or entry.lent
        holder = index
        if entry.using and entry.using[0] != index:
            holder = entry.using[0]
        carried = entry.carried
        if held is not None and version.owner != holder:
            carried = True
        if self._mutation == "lists only its own permits" and holder != index:
            carried = False
        asked = entry.asked
        if asked and asked[0] not in version.members:
            if self._mutation != "accepts late loans of removed lenders":
                asked = None
        history = entry.history
        if entry.version >= 0:
            history += ((entry.version, entry.all_acknowledged),)
        adopted = entry._replace(
            version=state.newest,
            all_acknowledged=False,
            history=history,
            carried=carried,
            asked=asked,
        )
        adopted = self._settle(state, index, adopted)
        changed = state._replace(entries=replace_item(state.entries, index, adopted))
        yield f"{index} adopts {state.newest}", self._acknowledge(changed, index)

    def _acknowledge(self, state, index):
        entry = state.entries[index]
        busy = entry.carried
        if self._mutation == "omits busy permits from acknowledgements":
            busy = False
        ack = ("ack", index, entry.version, busy)
        return state._replace(messages=state.messages | {ack})

    def _settle(self, state, index, entry):
        """Record whether all others have acknowledged the current version."""
        required = self._script[entry.version].members - {index}
        known = {sender: version for sender, version, _ in entry.acks}
        if self._mutation == "counts older acknowledgements":
            complete = required <= set(known)
        else:
            complete = all(known.get(other) == entry.version for other in required)
        if complete or entry.all_acknowledged:
            acks = tuple(
                ack
                for ack in entry.acks
                if ack[0] in required or ack[1] > entry.version
            )
            return entry._replace(all_acknowledged=True, acks=acks)
        return entry

    def _usable(self, index, entry):
        if entry.version < 0 or self._script[entry.version].owner != index:
            return False
        if any(busy for _, _, busy in entry.acks):
            return False
        if entry.all_acknowledged or self._mutation == "uses a new permit immediately":
            return True
        for version, all_acknowledged in reversed(entry.history):
            owner = self._script[version].owner == index
            if not owner and self._mutation != "keeps ownership across an interruption":
                return False
            if owner and all_acknowledged:
                return True
        return False

    def _use(self, state, index, entry):
        def update(**changes):
            changed = entry._replace(**changes)
            return state._replace(entries=replace_item(state.entries, index, changed))

        free = entry.using is None and entry.lent is None
        if free and self._usable(index, entry):
            yield f"{index} uses its permit", update(using=(index, None))
        if entry.using is not None:
            lender, loan = entry.using
            ended = update(using=None, carried=False)
            if entry.carried:
                ended = self._acknowledge(ended, index)
            if lender != index:
                message = ("return", lender, loan)
                ended = ended._replace(messages=ended.messages | {message})
            yield f"{index} releases", ended

    def _borrow(self, state, index, entry):
        if index not in self._borrowers or entry.loans or entry.version < 0:
            return
        lender = self._script[entry.version].owner
        if lender == index or entry.using:
            return
        loan = (index, entry.loans)
        asking = entry._replace(asked=(lender, loan), loans=entry.loans + 1)
        yield (
            f"{index} requests a loan from {lender}",
            state._replace(
                entries=replace_item(state.entries, index, asking),
                messages=state.messages | {("borrow", lender, loan)},
            ),
        )

    def _lend(self, state, index, entry):
        """Reclaim a loan whose borrower does not hold it or is known dead."""
        if entry.lent is None:
            return
        borrower, loan = entry.lent
        other = state.entries[borrower]
        unheld = other.using is None or other.using[1] != loan
        reclaimed = self._end_loan(state, index)
        if self._known_dead(state, borrower):
            yield f"{index} recovers a loan of dead {borrower}", reclaimed
        elif borrower not in state.dead and unheld:
            # The borrower cancels its pending request, so that its response is final.
            if other.asked and other.asked[1] == loan:
                waiting = other._replace(asked=None)
                entries = replace_item(reclaimed.entries, borrower, waiting)
                reclaimed = reclaimed._replace(entries=entries)
            yield f"{index} receives from {borrower} that it holds no loan", reclaimed
        if self._mutation == "lender reclaims without a response":
            yield f"{index} reclaims a loan", self._end_loan(state, index)

    def _end_loan(self, state, index):
        entry = state.entries[index]
        ended = entry._replace(lent=None, carried=False)
        changed = state._replace(entries=replace_item(state.entries, index, ended))
        return self._acknowledge(changed, index) if entry.carried else changed

    def _receive(self, state, message):
        match message:
            case ("ack", sender, version, busy):
                for index, entry in enumerate(state.entries):
                    if index != sender and index not in state.dead:
                        yield from self._take_ack(
                            state, index, entry, (sender, version, busy)
                        )
            case ("borrow", lender, loan):
                entry = state.entries[lender]
                free = entry.using is None and entry.lent is None
                # A loan is lent once: connections do not duplicate the request.
                known = ("loan", lender, loan) in state.messages
                if lender not in state.dead and free and not known:
                    if self._usable(lender, entry):
                        lending = entry._replace(lent=(loan[0], loan))
                        yield (
                            f"{lender} lends to {loan[0]}",
                            state._replace(
                                entries=replace_item(state.entries, lender, lending),
                                messages=state.messages | {("loan", lender, loan)},
                            ),
                        )
            case ("loan", lender, loan):
                borrower = state.entries[loan[0]]
                if loan[0] not in state.dead and borrower.asked == (lender, loan):
                    using = borrower._replace(asked=None, using=(lender, loan))
                    if borrower.using is None:
                        yield (
                            f"{loan[0]} uses the loan of {lender}",
                            state._replace(
                                entries=replace_item(state.entries, loan[0], using)
                            ),
                        )
            case ("return", lender, loan):
                if lender not in state.dead:
                    if state.entries[lender].lent == (loan[0], loan):
                        ended = self._end_loan(state, lender)
                        yield f"{lender} gets its permit back", ended

    def _take_ack(self, state, index, entry, ack):
        sender, version, busy = ack
        if entry.version < 0:
            return
        for known_sender, known_version, known_busy in entry.acks:
            # The busy permits of one version only decrease.
            if known_sender == sender and (known_version, not known_busy) >= (
                version,
                not busy,
            ):
                return
        acks = tuple(known for known in entry.acks if known[0] != sender)
        changed = entry._replace(acks=tuple(sorted((*acks, ack))))
        changed = self._settle(state, index, changed)
        yield (
            f"{index} receives the ack of {sender} for {version}, busy: {busy}",
            state._replace(entries=replace_item(state.entries, index, changed)),
        )


def _in_use(state):
    return sum(
        entry.using is not None and index not in state.dead
        for index, entry in enumerate(state.entries)
    )


INVARIANTS = {"at most one use of the permit": lambda state: _in_use(state) <= 1}
A, B, C = range(3)
AB, ABC, BC = frozenset({A, B}), frozenset({A, B, C}), frozenset({B, C})
SCRIPTS = {
    "an entry joins and becomes the owner": (Version(AB, A), Version(ABC, C)),
    "the permit moves away and back": (
        Version(AB, A),
        Version(ABC, C),
        Version(AB, A, frozenset({C})),
    ),
    "the owner dies": (Version(ABC, A), Version(BC, B, frozenset({A}))),
    "the owner dies after a join": (
        Version(AB, A),
        Version(ABC, B),
        Version(BC, C, frozenset({A})),
    ),
}

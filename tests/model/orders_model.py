"""Model of orders: two sidecar incarnations beside one engine, orders that come late.

Both incarnations may be alive, which the slot's port prevents in practice: the older
one was paused and wakes. An order that was sent takes effect at any later time or
never, also after its sender has given up or died. Configurations 0 and 1 have the same
model version and differ in their adapters; 2 has another version.
"""

from typing import NamedTuple

VERSIONS = ("v1", "v1", "v2")


class Sidecar(NamedTuple):
    """`number` is that of its last order; `opened` is what it gives work for."""

    epoch: int = 0
    lease: bool = False
    number: tuple = (0, 0)
    ordered: int | None = None  # configuration of the order it waits for
    obeyed: bool = False  # the engine has answered this order
    opened: int | None = None


class State(NamedTuple):
    desired: int = 0
    changes: int = 0
    epoch: int = 0  # row `upstream-epoch/<id>`
    sidecars: tuple[Sidecar, ...] = (Sidecar(), Sidecar())
    in_flight: frozenset = frozenset()  # orders: (number, configuration)
    engine: int = 0
    highest: tuple = (0, 0)  # number of the last order that the engine obeyed
    stale_result: bool = False  # a request got a result of another configuration
    went_back: bool = False  # the engine obeyed an older order after a newer one


def put(items, index, value):
    return items[:index] + (value,) + items[index + 1 :]


class OrdersModel:
    """The rules of design section 6; each of `broken` names one left out."""

    BROKEN = (
        "opens before the answer",
        "one number for each incarnation",
        "results name the version only",
        "results are not compared",
    )

    def __init__(self, checks_fencing, changes=2, orders=2, broken=""):
        assert broken in ("", *self.BROKEN)
        self._checks_fencing = checks_fencing
        self._changes = changes
        self._orders = orders
        self._broken = broken

    def steps(self, state):
        if state.changes < self._changes:
            for desired in range(len(VERSIONS)):
                if desired != state.desired:
                    yield (
                        f"operator wants {desired}",
                        state._replace(desired=desired, changes=state.changes + 1),
                    )
        for order in state.in_flight:
            yield from self._engine_step(state, *order)
        for index in range(len(state.sidecars)):
            yield from self._sidecar_steps(state, index)

    def _engine_step(self, state, number, configuration):
        left = state._replace(in_flight=state.in_flight - {(number, configuration)})
        older = number < state.highest
        if self._broken == "one number for each incarnation":
            # The engine cannot tell two orders of one incarnation apart.
            older = number[0] < state.highest[0]
        if self._checks_fencing and older:
            yield f"engine refuses {number}", left
            return
        sidecars = tuple(
            sidecar._replace(obeyed=True)
            if sidecar.number == number and sidecar.ordered is not None
            else sidecar
            for sidecar in state.sidecars
        )
        yield (
            f"engine obeys {number}: {configuration}",
            left._replace(
                sidecars=sidecars,
                engine=configuration,
                highest=max(number, state.highest),
                went_back=state.went_back or number < state.highest,
            ),
        )

    def _sidecar_steps(self, state, index):
        sidecar, name = state.sidecars[index], f"sidecar {index}"

        def go(**changes):
            sidecars = put(state.sidecars, index, sidecar._replace(**changes))
            return state._replace(sidecars=sidecars)

        if sidecar.epoch == 0:
            if index == 0 or state.sidecars[0].epoch:
                epoch = state.epoch + 1
                taken = go(epoch=epoch, number=(epoch, 0), lease=True)
                yield f"{name} takes epoch {epoch}", taken._replace(epoch=epoch)
            return
        if sidecar.lease:
            yield f"{name} loses its lease", go(lease=False)
        elif sidecar.epoch == state.epoch:
            yield f"{name} gets a lease", go(lease=True)
        if sidecar.ordered is None:
            if sidecar.opened != state.desired and sidecar.number[1] < self._orders:
                # The check of the lease and the sending are not one step for the world:
                # the order is late, not the check.
                if sidecar.lease:
                    number = (sidecar.epoch, sidecar.number[1] + 1)
                    order = (number, state.desired)
                    closed = go(
                        ordered=state.desired, obeyed=False, opened=None, number=number
                    )
                    yield (
                        f"{name} orders {state.desired}",
                        closed._replace(in_flight=state.in_flight | {order}),
                    )
        else:
            yield f"{name} gives up on its order", go(ordered=None, obeyed=False)
            answered = sidecar.obeyed and state.engine == sidecar.ordered
            if self._broken == "opens before the answer":
                answered = True
            if answered and sidecar.lease and sidecar.epoch == state.epoch:
                opened = go(ordered=None, obeyed=False, opened=sidecar.ordered)
                yield f"{name} opens for {sidecar.ordered}", opened
        if sidecar.opened is not None:
            same = sidecar.opened == state.engine
            accepted = same
            if self._broken == "results name the version only":
                accepted = VERSIONS[sidecar.opened] == VERSIONS[state.engine]
            if self._broken == "results are not compared":
                accepted = True
            if accepted and not same:
                yield f"{name} takes a result", state._replace(stale_result=True)


def _newest_serves(state):
    """The sidecar with the newest epoch is open for what the engine holds."""
    newest = max(state.sidecars, key=lambda sidecar: sidecar.epoch)
    return newest.opened in (None, state.engine)


INVARIANTS = {
    "no stale order takes effect on a request": lambda state: not state.stale_result,
}
# Engines that check the number keep the order of the orders as well.
CHECKING = {
    **INVARIANTS,
    "engine never goes back": lambda state: not state.went_back,
    "newest sidecar serves what the engine holds": _newest_serves,
}

"""Model of orders: two incarnations of a sidecar, one engine and delayed orders.

Both incarnations may be alive, as if the older one was paused and resumes; in practice
the slot's port prevents this. A sent order takes effect at any later time or never,
even after its sender has abandoned it or died. Configurations 0 and 1 have the same
model version and different adapters; 2 has another version.
"""

from typing import NamedTuple

VERSIONS = ("v1", "v1", "v2")


class Sidecar(NamedTuple):
    """`number` is that of its last order; `opened` is the configuration it serves."""

    epoch: int = 0
    lease: bool = False
    number: tuple = (0, 0)
    ordered: int | None = None  # configuration of the pending order
    applied: bool = False  # the engine has confirmed this order
    opened: int | None = None


class State(NamedTuple):
    desired: int = 0
    changes: int = 0
    epoch: int = 0  # row `upstream-epoch/<id>`
    sidecars: tuple[Sidecar, ...] = (Sidecar(), Sidecar())
    in_flight: frozenset = frozenset()  # orders: (number, configuration)
    engine: int = 0
    highest: tuple = (0, 0)  # highest order number that the engine applied
    wrong_result: bool = False  # a request got a result of a wrong configuration
    regressed: bool = False  # the engine applied an older order after a newer one


def replace_item(items, index, value):
    return items[:index] + (value,) + items[index + 1 :]


class OrdersModel:
    """The rules of design section 6; `mutation` leaves one out."""

    MUTATIONS = (
        "opens before the response",
        "uses one number for each incarnation",
        "compares only the version of results",
        "does not compare results",
    )

    def __init__(self, checks_fencing, changes=2, orders=2, mutation=""):
        assert mutation in ("", *self.MUTATIONS)
        self._checks_fencing = checks_fencing
        self._changes = changes
        self._orders = orders
        self._mutation = mutation

    def steps(self, state):
        if state.changes < self._changes:
            for desired in range(len(VERSIONS)):
                if desired != state.desired:
                    yield (
                        f"operator sets {desired}",
                        state._replace(desired=desired, changes=state.changes + 1),
                    )
        for order in state.in_flight:
            yield from self._engine_step(state, *order)
        for index in range(len(state.sidecars)):
            yield from self._sidecar_steps(state, index)

    def _engine_step(self, state, number, configuration):
        delivered = state._replace(
            in_flight=state.in_flight - {(number, configuration)}
        )
        older = number < state.highest
        if self._mutation == "uses one number for each incarnation":
            # The engine cannot order two orders of one incarnation.
            older = number[0] < state.highest[0]
        if self._checks_fencing and older:
            yield f"engine refuses {number}", delivered
            return
        sidecars = tuple(
            sidecar._replace(applied=True)
            if sidecar.number == number and sidecar.ordered is not None
            else sidecar
            for sidecar in state.sidecars
        )
        yield (
            f"engine applies {number}: {configuration}",
            delivered._replace(
                sidecars=sidecars,
                engine=configuration,
                highest=max(number, state.highest),
                regressed=state.regressed or number < state.highest,
            ),
        )

    def _sidecar_steps(self, state, index):
        sidecar, name = state.sidecars[index], f"sidecar {index}"

        def update(**changes):
            sidecars = replace_item(state.sidecars, index, sidecar._replace(**changes))
            return state._replace(sidecars=sidecars)

        if sidecar.epoch == 0:
            if index == 0 or state.sidecars[0].epoch:
                epoch = state.epoch + 1
                taken = update(epoch=epoch, number=(epoch, 0), lease=True)
                yield f"{name} obtains epoch {epoch}", taken._replace(epoch=epoch)
            return
        if sidecar.lease:
            yield f"{name} loses its lease", update(lease=False)
        elif sidecar.epoch == state.epoch:
            yield f"{name} obtains a lease", update(lease=True)
        if sidecar.ordered is None:
            if sidecar.opened != state.desired and sidecar.number[1] < self._orders:
                # Checking the lease and sending are one step here: a delay between them
                # is equivalent to a delay of the order.
                if sidecar.lease:
                    number = (sidecar.epoch, sidecar.number[1] + 1)
                    order = (number, state.desired)
                    closed = update(
                        ordered=state.desired, applied=False, opened=None, number=number
                    )
                    yield (
                        f"{name} orders {state.desired}",
                        closed._replace(in_flight=state.in_flight | {order}),
                    )
        else:
            yield f"{name} abandons its order", update(ordered=None, applied=False)
            answered = sidecar.applied and state.engine == sidecar.ordered
            if self._mutation == "opens before the response":
                answered = True
            if answered and sidecar.lease and sidecar.epoch == state.epoch:
                opened = update(ordered=None, applied=False, opened=sidecar.ordered)
                yield f"{name} opens for {sidecar.ordered}", opened
        if sidecar.opened is not None:
            matching = sidecar.opened == state.engine
            accepted = matching
            if self._mutation == "compares only the version of results":
                accepted = VERSIONS[sidecar.opened] == VERSIONS[state.engine]
            if self._mutation == "does not compare results":
                accepted = True
            if accepted and not matching:
                yield f"{name} accepts a result", state._replace(wrong_result=True)


def _newest_matches_engine(state):
    """The newest sidecar is closed or serves the engine's configuration."""
    newest = max(state.sidecars, key=lambda sidecar: sidecar.epoch)
    return newest.opened in (None, state.engine)


INVARIANTS = {
    "no stale order takes effect on a request": lambda state: not state.wrong_result,
}
# Engines that check fencing numbers also apply orders in sequence.
FENCING_INVARIANTS = {
    **INVARIANTS,
    "engine never regresses": lambda state: not state.regressed,
    "newest sidecar matches the engine": _newest_matches_engine,
}

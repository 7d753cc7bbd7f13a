"""VMs as the platform's list shows them; the list lags behind the truth."""

from enum import StrEnum
from typing import NamedTuple


class VmState(StrEnum):
    LIVE = "live"
    LEAVING = "leaving"


class Vm(NamedTuple):
    """One row of the platform's list. `role` is entry or sidecar."""

    name: str
    address: str
    role: str
    data_centre: str
    region: str
    state: VmState

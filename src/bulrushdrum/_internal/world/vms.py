"""VMs in the platform's list, which may lag behind their actual state."""

from enum import StrEnum
from typing import NamedTuple


class VmState(StrEnum):
    LIVE = "live"
    LEAVING = "leaving"


class Vm(NamedTuple):
    """One row of the platform's VM list; `role` is "entry" or "sidecar"."""

    name: str
    address: str
    role: str
    data_centre: str
    region: str
    state: VmState

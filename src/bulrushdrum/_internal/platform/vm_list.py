"""Client for the platform's list of live and leaving VMs."""

from bulrushdrum._internal.decoding import DECODING_ERRORS
from bulrushdrum._internal.observability.events import Event, log_event
from bulrushdrum._internal.platform.errors import StoreUnavailable
from bulrushdrum._internal.platform.service import PlatformService
from bulrushdrum._internal.world.addresses import parse_address
from bulrushdrum._internal.world.vms import Vm, VmState


def _decode_vm(raw):
    fields = {name: raw[name] for name in Vm._fields}
    for name, value in fields.items():
        if not isinstance(value, str):
            raise ValueError(f"{name}: {value!r} is not a string")
    parse_address(fields["address"])
    return Vm(**{**fields, "state": VmState(fields["state"])})


class VmList:
    """Client for the VM list; `timeout` bounds each request, in seconds."""

    def __init__(self, address: str, timeout: float):
        self._service = PlatformService("VM list", address, timeout)
        self._etag = ""
        self._vms: tuple[Vm, ...] = ()

    def fetch(self) -> tuple[Vm, ...]:
        """Return the current list; raises `StoreUnavailable`.

        A malformed row is logged and skipped, so that it does not hide all other VMs.
        """
        headers = {"If-None-Match": self._etag} if self._etag else {}
        response = self._service.read("/v1/vms", (200, 304), headers)
        if response.status == 304:
            return self._vms
        rows = self._service.decode_json(response, StoreUnavailable).get("vms")
        if not isinstance(rows, list):
            raise StoreUnavailable("VM list: the response has no list of VMs")
        vms = []
        for row in rows:
            try:
                vms.append(_decode_vm(row))
            except DECODING_ERRORS as error:
                log_event(Event.VM_ROW_INVALID, row=str(row)[:200], reason=repr(error))
        self._vms = tuple(vms)
        self._etag = response.headers.get("ETag", "")
        return self._vms

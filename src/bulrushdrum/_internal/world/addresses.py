"""Network addresses of processes, like `10.0.0.7:7100`."""

import ipaddress
import re

# Names that the resolver and the headers of a request can hold, and IPv6 addresses.
_HOST_RE = re.compile(
    r"(?=.{1,253}$)[A-Za-z0-9_-]{1,63}(\.[A-Za-z0-9_-]{1,63})*"
    r"|\[?[0-9A-Fa-f.]*:[0-9A-Fa-f:.]{1,45}\]?"
)
_PORT_RE = re.compile(r"[0-9]{1,5}")


def parse_address(address: str) -> tuple[str, int]:
    """Split `"10.0.0.7:7100"` into host and port; raises `ValueError` otherwise."""
    host, _, port = address.rpartition(":")
    if (
        not _HOST_RE.fullmatch(host)
        or not _PORT_RE.fullmatch(port)
        or not 0 < int(port) < 65536
    ):
        raise ValueError(f"{address!r} is not an address like '10.0.0.7:7100'")
    return host, int(port)


def parse_ipv4_address(address: str) -> tuple[str, int]:
    """Split an address without a host name; raises `ValueError` otherwise.

    For addresses that other processes register: a name would be looked up, which can
    take many seconds, each time that it is used.
    """
    host, port = parse_address(address)
    return str(ipaddress.IPv4Address(host)), port

"""Network addresses of processes, like `10.0.0.7:7100`."""


def parse_address(address: str) -> tuple[str, int]:
    """Split `"10.0.0.7:7100"` into host and port; raises `ValueError` otherwise."""
    host, separator, port = address.rpartition(":")
    if not separator or not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"{address!r} is not an address like '10.0.0.7:7100'")
    return host, int(port)

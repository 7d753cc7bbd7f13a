"""Stand-ins, fault proxy and measurements for development; not part of the product."""

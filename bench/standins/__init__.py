"""Stand-ins for the platform services and the upstreams; not part of the product."""

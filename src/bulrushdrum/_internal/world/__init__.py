"""Domain model: customers, contracts, routes, upstreams, data centres and VMs."""

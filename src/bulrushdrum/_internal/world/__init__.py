"""What the world is made of: customers, contracts, upstreams, data centres, VMs."""

"""Which upstreams run a request, and what happens when they fail."""

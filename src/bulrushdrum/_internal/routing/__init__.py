"""Selects the upstreams that run a request and handles their failures."""

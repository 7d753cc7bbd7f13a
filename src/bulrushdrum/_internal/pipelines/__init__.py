"""Where layers lie and which upstreams a request passes through."""

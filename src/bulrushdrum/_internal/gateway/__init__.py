"""Takes requests from callers and sends them to upstreams."""

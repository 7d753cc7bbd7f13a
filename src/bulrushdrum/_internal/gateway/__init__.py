"""HTTP proxying: accepts requests from callers and forwards them to upstreams."""

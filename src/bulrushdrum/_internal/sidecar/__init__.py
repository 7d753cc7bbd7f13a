"""The sidecar: a process that runs next to one upstream and serves entries."""

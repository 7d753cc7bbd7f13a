"""Concurrency limits, fair queueing and retry limits."""

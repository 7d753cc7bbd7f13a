"""Concurrency permits and fair shares."""

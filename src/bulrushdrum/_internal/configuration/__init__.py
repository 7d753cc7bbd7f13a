"""Configuration: edits, the log, and replication to all entries."""

"""Request records: replication, storage and usage reports."""

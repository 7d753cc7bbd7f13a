"""Contract edits, their log and their spread to all entries."""

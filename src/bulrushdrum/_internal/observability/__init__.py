"""Log events, metrics and state dumps of a process."""

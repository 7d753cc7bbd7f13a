"""Log events, metrics and state dumps."""

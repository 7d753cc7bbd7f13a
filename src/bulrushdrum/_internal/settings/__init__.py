"""Settings in JSON with comments, checked whole at start-up."""

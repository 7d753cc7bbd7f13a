"""Private implementation of bulrushdrum; not a public API."""

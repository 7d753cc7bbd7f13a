"""Implementation of bulrushdrum; nothing here is public."""

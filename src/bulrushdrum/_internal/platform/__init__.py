"""Clients for the platform's table, object store and VM list."""

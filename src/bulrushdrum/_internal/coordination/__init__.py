"""Coordination of routers through the store, announcements and layer orders."""

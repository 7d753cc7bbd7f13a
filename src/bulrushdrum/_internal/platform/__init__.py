"""Clients for the platform's services, and translation of its headers and rows."""

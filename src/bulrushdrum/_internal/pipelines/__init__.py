"""Placement of model layers on engines, and path selection for requests."""

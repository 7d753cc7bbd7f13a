"""Bench: stand-ins, fault proxy, measurements. Not part of the product."""

"""The side that faces callers and operators: HTTP."""

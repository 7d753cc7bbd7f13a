"""What routers have in common: the store's tables, each other, and orders to engines."""

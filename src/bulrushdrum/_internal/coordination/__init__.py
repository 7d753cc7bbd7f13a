"""What routers share: the store's tables, each other, and orders to engines."""

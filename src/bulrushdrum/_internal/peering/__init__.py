"""Messages between the processes of bulrushdrum and the connections that carry them."""

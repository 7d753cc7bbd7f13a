"""Messages between bulrushdrum processes and the connections they are sent on."""

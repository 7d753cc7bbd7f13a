"""What the routers know of the condition of upstreams beyond their registrations."""

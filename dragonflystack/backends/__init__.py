"""Backend servers: slots, owners, health, ramp-up and drain."""

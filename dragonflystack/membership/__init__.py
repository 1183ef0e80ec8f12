"""Entry VMs: incarnations, heartbeats, relays."""

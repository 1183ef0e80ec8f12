"""Ports to the table service, the object store and the VM list."""

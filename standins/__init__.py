"""Stand-ins for the systems around the product, for tests and demos."""

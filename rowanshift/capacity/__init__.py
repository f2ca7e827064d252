"""Capacity planning: the cost of each role by size, measured on loopback and computed from record sizes."""

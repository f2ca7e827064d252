"""Capacity: what each role costs as the system grows, from steps measured on loopback and from record sizes."""

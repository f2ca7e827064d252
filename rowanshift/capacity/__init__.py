"""Capacity: what each role costs as it grows, from steps measured on loopback and from record sizes."""

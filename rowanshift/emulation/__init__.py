"""Emulated servers, platform API and clients, which run on loopback sockets and in the simulated network."""

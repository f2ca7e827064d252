"""Checks of the system's rules over recorded events, which the code calls facts."""

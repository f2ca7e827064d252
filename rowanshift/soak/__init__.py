"""Soak test: runs real processes of the whole system under randomly drawn faults and checks the recorded events."""

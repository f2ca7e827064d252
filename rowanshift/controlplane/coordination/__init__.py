"""State of the coordination service: locks with fencing tokens, increasing numbers, and small keys with watches.

The package does no I/O and reads no clock. ``CoordinationStateMachine`` decides what a call changes and how it is
answered; ``controlplane/coordination_runner.py`` has the state replicated before an answer is returned.
docs/coordination.md describes the service and why it is safe.
"""

"""Locks with fencing tokens, numbers that rise, and small keys with watches, for applications. No I/O, no clock.

``CoordinationStateMachine`` says what a call does and what its answer is; ``controlplane/coordination_runner.py`` has
the state replicated before an answer is given. docs/coordination.md describes the service and why it is safe.
"""

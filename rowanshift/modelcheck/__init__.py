"""A model checker for the replication protocol. It runs `replication.Replica` itself, not a copy of its logic.

A random walk draws every choice from its seed: which message in flight is delivered, lost or duplicated next, which
save reaches the disk, and which machine crashes, loses power or its disk, pauses, is partitioned or has a fast clock.
Walks with an odd seed run under `CONTENDED_TIMING`, in which several candidates are often active at once.
Breadth-first search visits every order of events from a chosen start state. Planted faults verify that the walks
detect violations.

States of the model are append-only lists of four-byte change ids. One state contains the changes of another if it
starts with it.
"""

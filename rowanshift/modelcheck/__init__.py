"""A model checker for the replication protocol: it drives `replication.Replica` itself.

A random walk draws every choice from its seed: which message in flight is delivered next, is lost or is duplicated,
which save reaches the disk, which machine crashes, loses power or its disk, pauses, is partitioned or has a fast clock.
Walks with an odd seed run under `CONTENDED_TIMING`: several candidates are often active at once. Breadth-first search
visits every order of events from a chosen start. Planted faults show that both find what they are meant to find.

States of the model are lists of four-byte ids that only grow, so "contains what was committed" is "starts with it".
"""

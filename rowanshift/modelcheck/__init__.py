"""A model checker for the replication protocol: it drives `replication.Replica` itself.

A walk draws every choice from its seed: which message in flight comes next, is lost or comes twice, which
save lands, who is killed, loses power or its disk, stands still, is cut off or has a clock that runs fast.
Walks with an odd seed run under `CONTENDED` times: several candidates are often under way at once.
States are lists of ids, four bytes each, that only grow, so "holds what was committed" is "begins with it".
"""

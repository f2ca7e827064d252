"""The control plane: replicates the control state, applies operators' changes to it, and serves it to the routers."""

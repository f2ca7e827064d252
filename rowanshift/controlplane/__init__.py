"""The control plane: replicates the control state, applies operators' changes, and publishes it to the routers."""

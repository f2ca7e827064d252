"""The wire format between the processes of a system: record layouts, frames and deltas."""

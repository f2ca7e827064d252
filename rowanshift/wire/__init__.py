"""Records between the processes of one system: their layouts in bytes, frames, and deltas."""

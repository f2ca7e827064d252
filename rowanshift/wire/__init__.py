"""Records between the processes of one system: their layouts in bytes, frames, deltas, and what both ends keep of them."""

"""A single-process proxy in front of cache servers and a slow origin (``rowanshift serve``)."""

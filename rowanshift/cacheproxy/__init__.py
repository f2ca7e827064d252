"""The proxy of one process in front of cache servers and a slow origin (``rowanshift serve``)."""

"""rowanshift: HTTP routers for model servers and caches, with a replicated control plane."""

__version__ = "0.2.0"

"""rowanshift: spreads keys over cache servers before a slow origin."""

__version__ = "0.2.0"

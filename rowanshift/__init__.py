"""rowanshift: spreads keys over cache servers before a slow origin."""

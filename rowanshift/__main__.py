"""Runs the command line: ``python -m rowanshift``."""

from rowanshift.cli import main

if __name__ == "__main__":
    main()

"""Commands for operators, which query a running system over HTTP or read its files."""

"""Commands for operators: they ask a running system over HTTP, or read its files."""

"""Reads batches of events from standard input and writes the reply to each to standard output."""

import sys

from rowanshift.cacheproxy.adapter.wire import WireError, serve

if __name__ == "__main__":
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except WireError as error:
        print(f"rowanshift: {error}", file=sys.stderr)
        sys.exit(2)

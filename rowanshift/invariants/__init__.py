"""The four rules as checks over a stream of facts."""

"""The data plane: accepts requests, forwards each to a model server and relays the response."""

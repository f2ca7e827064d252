"""The data plane: takes requests, sends each to a server and passes its stream on."""

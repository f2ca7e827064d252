"""Common to all processes of the system: the settings file, logging, and the error reported at exit."""

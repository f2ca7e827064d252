"""What each process of the system starts with: its settings file, its log, and the error that ended it."""

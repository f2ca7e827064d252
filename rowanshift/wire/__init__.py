"""Records between the processes of one system: ``struct``, one table of kinds, versions and sizes."""

"""``python3 rowanshift.py ROLE``: runs the program with the dependencies that its build installed in ``target/deps``.

The import of ``rowanshift`` finds the package next to this file, because a package takes precedence over a module in
the same directory. Signal handlers are set here, first of all, so that a role ignores SIGHUP and exits with status 0 on
SIGTERM while it is still importing modules. Signals that arrive while the interpreter itself starts cannot be handled.
"""

import os
import signal
import sys

ROOT = os.path.dirname(os.path.realpath(__file__))
DEPENDENCIES = os.path.join(ROOT, "target", "deps")
ROLES = ("dataplane", "controlplane", "counter", "ledger", "serve")


def exit_successfully(number: int, frame: object) -> None:
    """Exits at once with status 0: no connection or task has been accepted yet."""
    os._exit(0)


if __name__ == "__main__":
    if sys.argv[1:2] and sys.argv[1] in ROLES:
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
        signal.signal(signal.SIGTERM, exit_successfully)
    for index, folder in enumerate((ROOT, DEPENDENCIES)):
        if folder not in sys.path and os.path.isdir(folder):
            sys.path.insert(index, folder)

    from rowanshift.cli import main

    main()

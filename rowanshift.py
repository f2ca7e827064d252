"""``python3 rowanshift.py ROLE``: the program on a machine, with what its build put into ``target/deps``.

The package ``rowanshift`` beside this file goes before it: in one folder, a package is found before a module.
"""

import os
import sys

HERE = os.path.dirname(os.path.realpath(__file__))
DEPENDENCIES = os.path.join(HERE, "target", "deps")

if __name__ == "__main__":
    for at, folder in enumerate((HERE, DEPENDENCIES)):
        if folder not in sys.path and os.path.isdir(folder):
            sys.path.insert(at, folder)

    from rowanshift.cli import main

    main()

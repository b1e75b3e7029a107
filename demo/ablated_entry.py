"""Runs an entry with one mechanism disabled, to show that the demo detects it.

Run it as ``python -m demo.ablated_entry MECHANISM entry ...``. ``MECHANISM`` is a key of
``standins.ablations.ABLATIONS``; the other arguments are those of ``cleatlink``.
"""

import sys

from cleatlink.scripts.main import main
from standins.ablations import ABLATIONS

if __name__ == "__main__":
    ABLATIONS[sys.argv.pop(1)].switch_off()
    main()

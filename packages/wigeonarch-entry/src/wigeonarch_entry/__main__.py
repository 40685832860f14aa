"""Runs the command line of `wigeonarch` as a module: `python -m wigeonarch_entry`."""

import sys

from wigeonarch_entry.cli import main

sys.exit(main())

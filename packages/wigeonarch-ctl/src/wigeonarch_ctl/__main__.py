"""Runs the command line as `python -m wigeonarch_ctl`."""

from __future__ import annotations

import sys

from wigeonarch_ctl.cli import main

if __name__ == "__main__":
    sys.exit(main())

"""The `tallyhall` command: a thin layer over the libraries."""

from __future__ import annotations

import sys

from cleo.application import Application

from .commands import COMMANDS

VERSION = '0.1.0'


def main() -> None:
    """Run the command line and exit with its code."""
    application = Application('tallyhall', VERSION)
    for command in COMMANDS:
        application.add(command())
    sys.exit(application.run())


if __name__ == '__main__':
    main()

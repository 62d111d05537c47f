"""Starts the entry instance from a checkout, with nothing installed."""

import pathlib
import sys

_PACKAGES = (
    'core',
    'membership',
    'dispatch',
    'edge',
    'transport',
    'platform',
    'entry',
)
_ROOT = pathlib.Path(__file__).resolve().parent.parent

sys.path.extend(str(_ROOT / 'packages' / name / 'src') for name in _PACKAGES)

from tallyhall_entry.main import main  # noqa: E402

main()

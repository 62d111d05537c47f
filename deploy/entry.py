"""Starts the entry instance from a checkout, with nothing installed.

Arguments: the folder that holds the packages as build.sh made them. Without
one their sources are taken, as they stand.
"""

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
_SOURCES = tuple(str(_ROOT / 'packages' / name / 'src') for name in _PACKAGES)

_BUILT = tuple(str(_ROOT / folder) for folder in sys.argv[1:])

sys.path.extend(_BUILT or _SOURCES)

from tallyhall_entry.main import main  # noqa: E402

main()

"""Settings for all tests: the same examples every time."""

import os

from hypothesis import HealthCheck, settings

settings.register_profile(
    'fixed',
    derandomize=True,
    deadline=None,
    database=None,
    print_blob=True,
    suppress_health_check=list(HealthCheck),
)
settings.register_profile(
    'search', parent=settings.get_profile('fixed'), derandomize=False
)
settings.load_profile(os.environ.get('HYPOTHESIS_PROFILE', 'fixed'))

"""Settings for all tests: the same examples every time."""

import asyncio
import inspect
import os

import pytest
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


def pytest_pyfunc_call(pyfuncitem: pytest.Function) -> bool | None:
    """Run tests that are coroutines, each in a loop of its own."""
    if not inspect.iscoroutinefunction(pyfuncitem.obj):
        return None
    names = inspect.signature(pyfuncitem.obj).parameters
    given = {name: pyfuncitem.funcargs[name] for name in names}
    asyncio.run(pyfuncitem.obj(**given))
    return True

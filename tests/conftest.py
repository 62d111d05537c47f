"""Settings for all tests: the same examples every time."""

import inspect
import os
from collections.abc import Callable, Coroutine
from typing import Any

import pytest
from hypothesis import HealthCheck, settings

from tests import closing_loop, paused_clock
from tests.known_red import LIST, read_known_red

_Runner = Callable[[Coroutine[Any, Any, Any]], None]

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
    """Run tests that are coroutines, each in a loop of its own.

    Time passes as on the real clock in tests that start processes or are
    marked `real_time`, and is paused in all others.
    """
    if not inspect.iscoroutinefunction(pyfuncitem.obj):
        return None
    names = inspect.signature(pyfuncitem.obj).parameters
    given = {name: pyfuncitem.funcargs[name] for name in names}
    _runner(pyfuncitem)(pyfuncitem.obj(**given))
    return True


def _runner(test: pytest.Function) -> _Runner:
    for marker in ('processes', 'real_time'):
        if test.get_closest_marker(marker):
            return closing_loop.run
    return paused_clock.run


def pytest_collection_modifyitems(
    config: pytest.Config,
    items: list[pytest.Item],  # noqa: WPS110
) -> None:
    """Let the tests that KNOWN-RED.txt lists fail."""
    by_name = {item.nodeid: item for item in items}
    for known in read_known_red(LIST.read_text()):
        for test in known.tests:
            item = by_name.get(test)
            if item is None and config.args == config.getini('testpaths'):
                raise pytest.UsageError(f'KNOWN-RED.txt: no test {test}')
            if item is not None:
                item.add_marker(pytest.mark.xfail(reason=known.cause))


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter,
) -> None:
    """Print the known failures after each run."""
    for known in read_known_red(LIST.read_text()):
        terminalreporter.write_line(f'KNOWN RED {known}')

"""Types of what waits on the virtual clock."""

from __future__ import annotations

from collections.abc import Generator
from typing import Any, TypeVar

from simpy import Event

_Result = TypeVar('_Result')

# A process that yields what it waits for and returns a result; the clock sends
# it the value of what happened.
Waiting = Generator[Event, Any, _Result]

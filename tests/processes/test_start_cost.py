"""What a start of the entry process costs, against the bare interpreter.

It is started as it is deployed, from what the build has made.
"""

import statistics

import pytest
from tallyhall_bench.start_cost import ROOT, imported, measure

# In interpreters.
_MOST_FIRST = 2.4
_MOST_SETTLED = 3.6
_RUNS = 7
# What takes long to import.
_LATE = ('pydantic', 'grpc', 'google', 'prometheus_client', 'yaml')


@pytest.mark.processes
async def test_a_start_costs_little_beside_the_interpreter() -> None:
    """Until the first answer, and all that is loaded by a second after it.

    When the first answer comes is seen late on a busy machine, and the process
    goes on to load meanwhile, so the second counts what the first may miss.
    """
    starts = (await measure([ROOT], _RUNS))[ROOT]
    first = statistics.median(start.first_ratio for start in starts)
    settled = statistics.median(start.settled_ratio for start in starts)
    assert (first < _MOST_FIRST, settled < _MOST_SETTLED) == (True, True), (
        first,
        settled,
    )


def test_nothing_is_imported_that_the_first_answer_does_not_need() -> None:
    packages = set(imported())
    assert 'tallyhall_edge' in packages
    assert packages.isdisjoint(_LATE)

"""The assignment: the owner of each service and the fenced incarnations.

It is one small value in the key-value store, updated only by compare-and-swap.
Every change increments the epoch. Edits are plain data that are applied to
the latest value read, so a lost race is resolved by applying them again. An
edit whose precondition no longer holds leaves the assignment unchanged.
"""

from __future__ import annotations

import dataclasses

import pydantic
from pydantic.dataclasses import dataclass

# Three weeks of fences at 79 instance replacements a day; keeps the stored
# value below 200 kB.
MAX_FENCES = 1800


class BadAssignmentError(ValueError):
    """The text is not a valid assignment."""


@dataclass(frozen=True)
class Tenure:
    """The owner of a service and the epoch since which it owns it."""

    owner: str
    since: int


@dataclass(frozen=True)
class Assignment:
    """One revision of the assignment."""

    epoch: int = 0
    owners: dict[str, Tenure] = dataclasses.field(default_factory=dict)
    fenced: dict[str, str] = dataclasses.field(default_factory=dict)
    change_id: str = ''

    def holder_of(self, home: str) -> str:
        """Return the current successor of `home`, or `home` if not fenced.

        Returns an empty string if the successors form a cycle.
        """
        seen = {home}
        while home in self.fenced:
            home = self.fenced[home]
            if home in seen:
                return ''
            seen.add(home)
        return home


@dataclasses.dataclass(frozen=True, slots=True)
class FenceEdit:
    """Fence `home` in favour of `successor`, unless already fenced."""

    home: str
    successor: str


@dataclasses.dataclass(frozen=True, slots=True)
class OwnerEdit:
    """Assign a service to `owner` if `instead_of` still owns it."""

    service: str
    instead_of: str
    owner: str


Edit = FenceEdit | OwnerEdit

_ADAPTER = pydantic.TypeAdapter(Assignment)


def encode(assignment: Assignment) -> str:
    """Return the JSON text stored in the key-value store."""
    return _ADAPTER.dump_json(assignment).decode()


def decode(text: str) -> Assignment:
    """Parse the JSON text; raise BadAssignmentError if it is invalid."""
    try:
        return _ADAPTER.validate_json(text)
    except pydantic.ValidationError as exc:
        raise BadAssignmentError(str(exc)) from exc


def apply_edits(
    old: Assignment,
    edits: tuple[Edit, ...],
    change_id: str,
) -> Assignment:
    """Return the next assignment, or `old` itself if no edit applies."""
    epoch = old.epoch + 1
    owners = dict(old.owners)
    fenced = dict(old.fenced)
    for edit in edits:
        if isinstance(edit, FenceEdit):
            fenced.setdefault(edit.home, edit.successor)
            continue
        tenure = owners.get(edit.service)
        owner = tenure.owner if tenure else ''
        if owner == edit.instead_of:
            owners[edit.service] = Tenure(edit.owner, epoch)
    if owners == old.owners and fenced == old.fenced:
        return old
    while len(fenced) > MAX_FENCES:
        fenced.pop(next(iter(fenced)))
    return Assignment(epoch, owners, fenced, change_id)

"""The assignment: which incarnation owns each service, and who is fenced.

One small value in the KV, changed only by compare-and-swap. The epoch grows
by one with every change. Edits are plain data applied to the newest value
just read, so that a lost race is settled by applying them again; an edit that
no longer makes sense returns the assignment unchanged.
"""

from __future__ import annotations

import dataclasses

import pydantic
from pydantic.dataclasses import dataclass

# At 79 changes of instance a day, all of them fenced, this is three weeks;
# the value then stays below 200 kB.
MAX_FENCES = 1800


class BadAssignmentError(ValueError):
    """A text that is no assignment."""


@dataclass(frozen=True)
class Tenure:
    """The owner of one service, and the epoch that made it the owner."""

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
        """Return the incarnation that now stands for this home."""
        seen = {home}
        while home in self.fenced:
            home = self.fenced[home]
            if home in seen:
                return ''
            seen.add(home)
        return home


@dataclasses.dataclass(frozen=True, slots=True)
class FenceEdit:
    """Make `successor` the successor of `home`, unless it has one."""

    home: str
    successor: str


@dataclasses.dataclass(frozen=True, slots=True)
class OwnerEdit:
    """Give a service to `owner`, if it still is `instead_of`'s."""

    service: str
    instead_of: str
    owner: str


Edit = FenceEdit | OwnerEdit

_ADAPTER = pydantic.TypeAdapter(Assignment)


def encode(assignment: Assignment) -> str:
    """Return the JSON text kept in the KV."""
    return _ADAPTER.dump_json(assignment).decode()


def decode(text: str) -> Assignment:
    """Read the JSON text; raise BadAssignmentError where it does not fit."""
    try:
        return _ADAPTER.validate_json(text)
    except pydantic.ValidationError as exc:
        raise BadAssignmentError(str(exc)) from exc


def apply_edits(
    old: Assignment,
    edits: tuple[Edit, ...],
    change_id: str,
) -> Assignment:
    """Return the next assignment, or `old` itself where no edit applies."""
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

"""Request identifiers.

A request id names the instance and incarnation that alone may dispatch the
request (its home), and the facts that a takeover needs to be safe: the
assignment epoch and the home's window at minting, and whether a takeover is
allowed at all. Callers build ids from the prefix in a locate answer, so every
field is checked when an id is parsed.
"""

from __future__ import annotations

import dataclasses
import re
import uuid

MARK_TAKEOVER = 't'
MARK_HOME_ONLY = 'n'
INCARNATION_HEX = 12

_PATTERN = re.compile(
    r'(?P<instance>[a-z0-9-]{1,40})\.(?P<incarnation>[0-9a-f]{12})'
    r'\.(?P<epoch>\d{1,15})\.(?P<window>\d{1,9})\.(?P<mark>[tn])'
    r'\.(?P<nonce>[0-9a-f]{8,32})',
)


class BadRequestIdError(ValueError):
    """A text that is not a request id."""


@dataclasses.dataclass(frozen=True, slots=True)
class Home:
    """One run of one instance: its name and its incarnation."""

    instance: str
    incarnation: str

    def __str__(self) -> str:
        """Return the text form, instance and incarnation with a dot."""
        return f'{self.instance}.{self.incarnation}'

    @classmethod
    def parse(cls, text: str) -> Home:
        """Read the text form; raise BadRequestIdError on anything else."""
        instance, _, incarnation = text.partition('.')
        if not instance or not incarnation:
            raise BadRequestIdError(text)
        return cls(instance, incarnation)


@dataclasses.dataclass(frozen=True, slots=True)
class RequestId:
    """The identity of one request for its whole life.

    epoch: assignment epoch that the home knew at minting.
    window: the home's own count of minting windows since it started.
    takeover: whether another instance may take the request over.
    """

    home: Home
    epoch: int
    window: int
    takeover: bool
    nonce: str

    def __str__(self) -> str:
        """Return the text form that travels in headers and messages."""
        return f'{self.prefix}.{self.nonce}'

    @property
    def prefix(self) -> str:
        """Return the part that a locate answer gives to callers."""
        mark = MARK_TAKEOVER if self.takeover else MARK_HOME_ONLY
        return f'{self.home}.{self.epoch}.{self.window}.{mark}'

    @classmethod
    def mint(
        cls,
        home: Home,
        epoch: int,
        window: int,
        *,
        takeover: bool,
    ) -> RequestId:
        """Return a new id with a random nonce."""
        return cls(home, epoch, window, takeover, uuid.uuid4().hex)

    @classmethod
    def parse(cls, text: str) -> RequestId:
        """Read the text form; raise BadRequestIdError on anything else."""
        match = _PATTERN.fullmatch(text)
        if match is None:
            raise BadRequestIdError(text)
        return cls(
            Home(match['instance'], match['incarnation']),
            int(match['epoch']),
            int(match['window']),
            match['mark'] == MARK_TAKEOVER,
            match['nonce'],
        )


def new_incarnation() -> str:
    """Return a name for one run of an instance that no other run has had."""
    return uuid.uuid4().hex[:INCARNATION_HEX]

"""Request identifiers.

A request id contains the home of the request, which is the only instance and
incarnation that may dispatch it. It also contains what a safe takeover needs:
the assignment epoch and the home's minting window when the id was created, and
whether a takeover is allowed. Callers build ids from the prefix in the response
to a locate request, so every field is validated when an id is parsed.
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
    """The text is not a valid request id."""


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceRun:
    """The name of an instance and the incarnation of one of its runs."""

    instance: str
    incarnation: str

    def __str__(self) -> str:
        """Return the text form, `<instance>.<incarnation>`."""
        return f'{self.instance}.{self.incarnation}'

    @classmethod
    def parse(cls, text: str) -> InstanceRun:
        """Parse the text form; raise BadRequestIdError if it is invalid."""
        instance, _, incarnation = text.partition('.')
        if not instance or not incarnation:
            raise BadRequestIdError(text)
        return cls(instance, incarnation)


@dataclasses.dataclass(frozen=True, slots=True)
class RequestId:
    """The identity of a request, constant over its lifetime.

    epoch: the assignment epoch known to the home when the id was created.
    window: the number of minting windows since the home started.
    takeover: whether another instance may take over the request.
    """

    home: InstanceRun
    epoch: int
    window: int
    takeover: bool
    nonce: str

    def __str__(self) -> str:
        """Return the text form used in headers and messages."""
        return f'{self.prefix}.{self.nonce}'

    @property
    def prefix(self) -> str:
        """Return the part that callers get in response to a locate request."""
        mark = MARK_TAKEOVER if self.takeover else MARK_HOME_ONLY
        return f'{self.home}.{self.epoch}.{self.window}.{mark}'

    @classmethod
    def generate(
        cls,
        home: InstanceRun,
        epoch: int,
        window: int,
        *,
        takeover: bool,
    ) -> RequestId:
        """Return a new id with a random nonce."""
        return cls(home, epoch, window, takeover, uuid.uuid4().hex)

    @classmethod
    def parse(cls, text: str) -> RequestId:
        """Parse the text form; raise BadRequestIdError if it is invalid."""
        match = _PATTERN.fullmatch(text)
        if match is None:
            raise BadRequestIdError(text)
        return cls(
            InstanceRun(match['instance'], match['incarnation']),
            int(match['epoch']),
            int(match['window']),
            match['mark'] == MARK_TAKEOVER,
            match['nonce'],
        )


def new_incarnation() -> str:
    """Return a random, unique identifier for one run of an instance."""
    return uuid.uuid4().hex[:INCARNATION_HEX]

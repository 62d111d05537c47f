"""Messages that open a tunnel to an upstream through another instance.

The instance that opens it sends one line of JSON, a `TunnelRequest`, and gets
one line back, a `TunnelReply`. If that says that the upstream is connected, all
further bytes in both directions are those of the connection to the upstream;
those from the upstream come in frames (`tunnel_frames`) if both ask for them.
"""

from __future__ import annotations

import enum

import msgspec

from .errors import InvalidTunnelMessageError, NotSentError

# Maximum length of a line in bytes.
_MAX_LINE_BYTES = 1024
_LINE_END = b'\n'


@enum.unique
class TunnelOutcome(enum.Enum):
    """What became of a request for a tunnel.

    connected: the tunnel is open. refused: nothing listens at the address of
    the upstream. unreachable: the upstream could not be connected otherwise.
    unknown_upstream: the peer knows no such upstream that takes requests.
    isolated: the peer reaches no upstream at all. busy: it takes no further
    tunnels now. lost: the peer did not reply.
    """

    connected = 'connected'
    refused = 'refused'
    unreachable = 'unreachable'
    unknown_upstream = 'unknown_upstream'
    isolated = 'isolated'
    busy = 'busy'
    lost = 'lost'


# Outcomes that say something about the upstream and not about the peer.
VERDICTS = frozenset(
    (
        TunnelOutcome.connected,
        TunnelOutcome.refused,
        TunnelOutcome.unreachable,
    )
)
# Outcomes after which the peer is not asked again for a while.
PEER_FAILURES = frozenset(
    (TunnelOutcome.isolated, TunnelOutcome.busy, TunnelOutcome.lost)
)


class TunnelRequest(msgspec.Struct, frozen=True):
    """A request for a tunnel.

    upstream: incarnation of the upstream. instance: name of the instance that
    asks. tunnel: id of the tunnel, unique among those of this instance.
    framed: whether it reads frames, which an earlier version does not.
    """

    upstream: str
    instance: str
    tunnel: str
    framed: bool = False


class TunnelReply(msgspec.Struct, frozen=True):
    """The reply to a request for a tunnel; framed: whether frames follow."""

    outcome: TunnelOutcome
    framed: bool = False


class TunnelRefusedError(NotSentError):
    """No tunnel was opened; nothing was sent to the upstream."""

    def __init__(self, peer: str, outcome: TunnelOutcome) -> None:
        """Describe what a peer replied."""
        super().__init__(f'no tunnel through {peer}: {outcome.value}')
        self.outcome = outcome


class LineBuffer:
    """Collects the bytes of one line."""

    def __init__(self) -> None:
        """Start empty."""
        self._received = bytearray()

    def feed(self, payload: bytes) -> bytes | None:
        """Return the line without its end once it is complete.

        Raises InvalidTunnelMessageError if it is too long, or if anything
        follows it: both sides wait for each other.
        """
        self._received.extend(payload)
        line, end, rest = self._received.partition(_LINE_END)
        if rest or len(line) > _MAX_LINE_BYTES:
            raise InvalidTunnelMessageError(f'{len(self._received)} bytes')
        return bytes(line) if end else None


def encode_line(message: TunnelRequest | TunnelReply) -> bytes:
    """Encode a message as one line."""
    return msgspec.json.encode(message) + _LINE_END


def decode_request(line: bytes) -> TunnelRequest:
    """Decode a request; raise InvalidTunnelMessageError."""
    try:
        return msgspec.json.decode(line, type=TunnelRequest)
    except msgspec.DecodeError as exc:
        raise InvalidTunnelMessageError(str(exc)) from exc


def decode_reply(line: bytes) -> TunnelReply:
    """Decode a reply; raise InvalidTunnelMessageError."""
    try:
        return msgspec.json.decode(line, type=TunnelReply)
    except msgspec.DecodeError as exc:
        raise InvalidTunnelMessageError(str(exc)) from exc

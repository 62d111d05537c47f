"""Datagrams between instances about where streams began."""

from __future__ import annotations

import msgspec


class StreamBegan(msgspec.Struct, frozen=True, tag=1, array_like=True):
    """A stream began; its caller may come back for `left_ms`."""

    key: bytes
    service: str
    version: str
    left_ms: int


class StreamQuestion(msgspec.Struct, frozen=True, tag=2, array_like=True):
    """Asks where a stream began.

    number: repeated in the answer; hard to guess. service: where the stream is
    to go on. within_ms: time within which it began.
    """

    number: int
    key: bytes
    service: str
    within_ms: int


class StreamAnswer(msgspec.Struct, frozen=True, tag=3, array_like=True):
    """What an instance knows of a stream.

    service, version: where it began, None if the instance has no record.
    is_ambiguous: two streams began under its id at different versions.
    sole_version: the only version that the service had meanwhile, None if it
    had several or the instance cannot tell.
    """

    number: int
    service: str | None = None
    version: str | None = None
    is_ambiguous: bool = False
    sole_version: str | None = None


StreamMessage = StreamBegan | StreamQuestion | StreamAnswer

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(StreamMessage)


def encode_message(message: StreamMessage) -> bytes:
    """Encode a message."""
    return _encoder.encode(message)


def decode_message(raw: bytes) -> StreamMessage | None:
    """Decode a message, None if it is malformed."""
    try:
        return _decoder.decode(raw)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None

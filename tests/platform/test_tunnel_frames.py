"""Frames of what an upstream sends through another instance."""

from hypothesis import given
from hypothesis import strategies as st
from tallyhall_edge.tunnel_frames import (
    FrameDecoder,
    encode_end,
    encode_frame,
)

_payloads = st.lists(st.binary(min_size=1, max_size=300), max_size=6)


@given(_payloads, st.integers(0, 2**63), st.integers(1, 40), st.booleans())
def test_pieces_of_any_size_are_decoded(
    payloads: list[bytes], received: int, size: int, has_end: bool
) -> None:
    raw = b''.join(map(encode_frame, payloads))
    if has_end:
        raw += encode_end(received)
    decoder = FrameDecoder()
    pieces = [raw[at : at + size] for at in range(0, len(raw), size)]
    decoded = [payload for piece in pieces for payload in decoder.feed(piece)]
    assert b''.join(decoded) == b''.join(payloads)
    assert decoder.received_at_end == (received if has_end else None)


def test_a_cut_end_is_no_end() -> None:
    decoder = FrameDecoder()
    assert decoder.feed(encode_frame(b'part') + encode_end(7)[:-1]) == [b'part']
    assert decoder.received_at_end is None

"""Request ids survive a round trip, and malformed ones are rejected."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from tallyhall_core.ids import BadRequestIdError, InstanceRun, RequestId

_HOMES = st.builds(
    InstanceRun,
    st.from_regex('[a-z0-9-]{1,20}', fullmatch=True),
    st.from_regex('[0-9a-f]{12}', fullmatch=True),
)


@given(
    home=_HOMES,
    epoch=st.integers(0, 10**12),
    window=st.integers(0, 10**8),
    takeover=st.booleans(),
)
def test_round_trip(
    home: InstanceRun,
    epoch: int,
    window: int,
    takeover: bool,
) -> None:
    rid = RequestId.generate(home, epoch, window, takeover=takeover)
    assert RequestId.parse(str(rid)) == rid
    assert str(rid).startswith(f'{home}.')


@pytest.mark.parametrize(
    'text',
    [
        '',
        'entry-1',
        'entry-1.abc.1.2.t.00000000',
        'entry-1.0123456789ab.1.2.x.00000000',
        'entry-1.0123456789ab.-1.2.t.00000000',
        'entry-1.0123456789ab.1.2.t.zz',
        'ENTRY.0123456789ab.1.2.t.00000000',
        'entry-1.0123456789ab.1.2.t.00000000\n',
    ],
)
def test_malformed_ids_are_rejected(text: str) -> None:
    with pytest.raises(BadRequestIdError):
        RequestId.parse(text)

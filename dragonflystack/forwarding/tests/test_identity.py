import pytest

from dragonflystack import ids
from dragonflystack.forwarding import _identity
from dragonflystack.forwarding import _messages

_ISSUER = _messages.Issuer(ids.VmId("vm1"), ids.Incarnation("a1"))


def test_key_with_an_issued_prefix_names_its_issuer_and_slice():
    key = ids.RequestKey(_identity.key_prefix(_ISSUER, 7) + "x.y")
    assert _identity.parse_issued_key(key) == _identity.IssuedKey(_ISSUER, 7)


@pytest.mark.parametrize(
    "key",
    [
        "c7a1b2",
        "vm1.a1.7",
        "vm1.a1.7.",
        "vm1.a1.x.y",
        "vm1..7.y",
        ".a1.7.y",
        "vm1.a1.-7.y",
        "vm1.a1.1234567890123.y",
    ],
)
def test_key_of_another_form_has_no_issuer(key):
    assert _identity.parse_issued_key(ids.RequestKey(key)) is None


@pytest.mark.parametrize(
    ("key", "valid"),
    [
        ("a", True),
        ("", False),
        ("a\n", False),
        ("é", False),
        ("a" * 201, False),
    ],
)
def test_key_is_valid_if_printable_ascii_of_limited_length(key, valid):
    assert _identity.is_valid(ids.RequestKey(key)) is valid


def test_issuer_with_a_separator_raises():
    issuer = _messages.Issuer(ids.VmId("vm.1"), ids.Incarnation("a1"))
    with pytest.raises(ValueError, match="issuer.vm: .* found 'vm.1'"):
        _identity.check_issuer(issuer)

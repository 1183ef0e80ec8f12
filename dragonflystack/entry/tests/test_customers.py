"""Tests the look-up of customers by key and the validation of customers."""

import math

import msgspec
import pytest

from dragonflystack import entry
from dragonflystack.entry import _customers
from dragonflystack.entry.tests import builders

_CUSTOMERS = 1_000
_KEYS_EACH = 4


def _many_customers():
    return tuple(
        builders.customer(
            f"c{number}", *(f"k{number}-{place}" for place in range(_KEYS_EACH))
        )
        for number in range(_CUSTOMERS)
    )


class _CountedDigest(str):
    """A digest that counts its hash and comparison operations."""

    hashed = 0
    compared = 0

    def __hash__(self):
        type(self).hashed += 1
        return super().__hash__()

    def __eq__(self, other):
        type(self).compared += 1
        return super().__eq__(other)


@pytest.mark.parametrize(
    ("key", "expected_id"), [("k700-3", "c700"), ("k1000-0", None)]
)
def test_look_up_among_many_keys_hashes_once(key, expected_id):
    table = _customers.CustomerTable(_many_customers())

    class Counted(_CountedDigest):
        pass

    digest = Counted(entry.digest_key(key.encode()))
    found = table.find(entry.KeyDigest(digest))
    assert (None if found is None else found.id) == expected_id
    assert Counted.hashed == 1
    assert Counted.compared <= 1


def test_each_key_of_a_customer_finds_it():
    table = _customers.CustomerTable(_many_customers())
    for customer in _many_customers():
        assert {table.find(key) for key in customer.keys} == {customer}


@pytest.mark.parametrize(
    ("make", "message"),
    [
        pytest.param(
            lambda: builders.customer(""), "customer '': expected", id="no name"
        ),
        pytest.param(
            lambda: builders.customer("a\r\nx-more: 1"),
            "printable ASCII",
            id="a header in the name",
        ),
        pytest.param(
            lambda: builders.customer("a", ""),
            "customer 'a': keys: expected .* found \"\"",
            id="empty key",
        ),
        pytest.param(
            lambda: builders.customer("a", rate=-1.0),
            "customer 'a': rate: expected .* 0 or more, found -1",
            id="negative rate",
        ),
        pytest.param(
            lambda: builders.customer("a", burst=-0.5),
            "customer 'a': burst: expected .* found -0.5",
            id="negative burst",
        ),
        pytest.param(
            lambda: builders.customer("a", rate=math.nan),
            "found nan",
            id="no number",
        ),
        pytest.param(
            lambda: builders.catalogue(
                customers=(
                    builders.customer("a", "secret-1", "secret-2"),
                    builders.customer("b", "secret-2"),
                )
            ),
            "customer 'b': keys: expected .* found one of 'a'",
            id="one key of two",
        ),
        pytest.param(
            lambda: builders.catalogue(
                customers=(
                    builders.customer("a", "secret-1"),
                    builders.customer("a", "secret-2"),
                )
            ),
            "customer 'a': expected a name that no other customer has",
            id="one name of two",
        ),
    ],
)
def test_invalid_customer_errors_do_not_contain_keys(make, message):
    with pytest.raises(entry.InvalidCustomerError, match=message) as caught:
        make()
    assert "secret" not in str(caught.value)


def test_customer_may_list_a_key_twice():
    customer = builders.customer("a", "k", "k")
    assert builders.catalogue(customers=(customer,)).customers == (customer,)


def test_catalogue_contains_digests_instead_of_keys():
    catalogue = builders.catalogue(customers=(builders.customer("a", "hush"),))
    assert "hush" not in repr(catalogue)
    assert b"hush" not in msgspec.json.encode(catalogue)


def test_catalogue_with_many_customers_round_trips():
    catalogue = builders.catalogue(customers=_many_customers())
    for codec in (msgspec.json, msgspec.msgpack):
        data = codec.encode(catalogue)
        assert codec.decode(data, type=entry.Catalogue) == catalogue

import ipaddress
import random

import pytest

from dragonflystack import ids
from dragonflystack import steering

NESTED = [
    ("10.0.0.0/8", 1),
    ("10.1.0.0/16", 2),
    ("10.1.2.0/24", 3),
    ("10.1.2.3/32", 4),
    ("10.255.255.0/24", 1),
    ("255.255.255.0/24", 5),
    ("2001:db8::/32", 6),
    ("2001:db8:1::/48", 7),
    ("ffff::/16", 8),
]
SITES = 9


def _chunks(prefixes):
    blocks = [steering.Block.from_text(p, site) for p, site in prefixes]
    return steering.pack_blocks(blocks)


def _load(chunks, before=None, default=0):
    digests = [steering.digest_of(data) for data in chunks]
    loader = steering.BlockTableLoader(digests, SITES, before)
    by_digest = dict(zip(digests, chunks, strict=True))
    for digest in loader.missing:
        loader.add_chunk(digest, by_digest[digest])
    return loader.build(default)


def _site(table, text):
    return table.site_of(*steering.parse_address(text))


@pytest.mark.parametrize(
    ("text", "site"),
    [
        ("9.255.255.255", 0),
        ("10.0.0.0", 1),
        ("10.1.0.0", 2),
        ("10.1.2.2", 3),
        ("10.1.2.3", 4),
        ("10.1.2.4", 3),
        ("10.1.3.0", 2),
        ("10.2.0.0", 1),
        ("10.255.255.255", 1),
        ("11.0.0.0", 0),
        ("255.255.255.255", 5),
        ("::ffff:10.1.2.3", 4),
        ("2001:db8::1", 6),
        ("2001:db8:1:ffff::1", 7),
        ("2001:db9::", 0),
        ("ffff:ffff:ffff:ffff:ffff:ffff:ffff:ffff", 8),
    ],
)
def test_longest_prefix_wins(text, site):
    assert _site(_load(_chunks(NESTED)), text) == site


def test_agrees_with_a_search_of_all_prefixes():
    rng = random.Random(2)
    prefixes = {}
    for _ in range(300):
        length = rng.randint(4, 32)
        first = rng.getrandbits(32) & -(1 << (32 - length)) & 0xFFFFFFFF
        prefixes[f"{ipaddress.IPv4Address(first)}/{length}"] = rng.randrange(
            SITES
        )
    table = _load(_chunks(prefixes.items()), default=8)
    networks = [(ipaddress.ip_network(p), s) for p, s in prefixes.items()]
    for _ in range(300):
        network, _ = rng.choice(networks)
        edge = rng.choice([network[0], network[-1]])
        address = ipaddress.IPv4Address(
            (int(edge) + rng.randint(-1, 1)) % (1 << 32)
        )
        holding = [(n.prefixlen, s) for n, s in networks if address in n]
        expected = max(holding)[1] if holding else 8
        assert _site(table, str(address)) == expected


def test_an_empty_table_gives_the_default():
    assert _site(_load([], default=3), "192.0.2.1") == 3
    assert _site(_load([], default=3), "2001:db8::1") == 3


def test_a_change_replaces_only_its_chunk():
    rng = random.Random(3)
    base = [(f"{ipaddress.IPv4Address(i << 12)}/20", i % 7) for i in range(99)]
    many = base + [
        (f"{ipaddress.IPv4Address((1 << 30) + (i << 8))}/24", i % 7)
        for i in range(24_000)
    ]
    one = _chunks(many)
    at = rng.randrange(6_000, 18_000)
    many[at] = (many[at][0], 8)
    other = _chunks(many)
    assert len(one) > 3
    assert len(set(other) - set(one)) == 1
    table = _load(one)
    digests = [steering.digest_of(data) for data in other]
    loader = steering.BlockTableLoader(digests, SITES, table)
    assert len(loader.missing) == 1
    assert _site(_load(other, table), many[at][0].partition("/")[0]) == 8
    assert _site(table, many[at][0].partition("/")[0]) != 8


@pytest.mark.parametrize(
    ("prefix", "message"),
    [
        ("10.0.0.1/8", "has host bits set"),
        ("10.0.0.0/33", "10.0.0.0/33"),
        ("2001:db8::/65", "expected a length up to 64"),
        ("example", "'example'"),
    ],
)
def test_refuses_a_wrong_block(prefix, message):
    with pytest.raises(steering.InvalidBlockError, match=message):
        steering.Block.from_text(prefix, 0)


def test_refuses_a_block_with_two_sites():
    with pytest.raises(steering.InvalidBlockError, match="the sites 1 and 2"):
        _chunks([("10.0.0.0/8", 1), ("10.0.0.0/8", 2)])


@pytest.mark.parametrize(
    "text",
    ["", "1.2.3", "1.2.3.256", "1.2.3.04", "1.2.3.-4", "1.2.3.٣", "::g"],
)
def test_refuses_a_wrong_address(text):
    with pytest.raises(steering.InvalidAddressError, match="client address"):
        steering.parse_address(text)


@pytest.mark.parametrize(
    ("change", "message"),
    [
        (lambda d: d[:5], "expected 12 bytes or more, found 5"),
        (lambda d: b"XXXX" + d[4:], "found b'XXXX'"),
        (lambda d: d[:4] + b"\x09" + d[5:], "format 1"),
        (lambda d: d[:-1], "for 3 ranges"),
        (lambda d: d[:12] + d[16:20] + d[12:16] + d[20:], "do not ascend"),
        (lambda d: d[:-4] + b"\x09\x00" + d[-2:], "sites below 9, found 9"),
    ],
)
def test_refuses_a_wrong_chunk(change, message):
    (data,) = _chunks([("10.0.0.0/8", 1)])
    wrong = change(data)
    digest = steering.digest_of(wrong)
    loader = steering.BlockTableLoader([digest], SITES)
    with pytest.raises(steering.InvalidChunkError, match=message):
        loader.add_chunk(digest, wrong)


def test_refuses_other_bytes_than_asked_for():
    one, other = _chunks([("10.0.0.0/8", 1), ("2001:db8::/32", 2)])
    digest = steering.digest_of(one)
    loader = steering.BlockTableLoader([digest], SITES)
    with pytest.raises(steering.InvalidChunkError, match="bytes are others"):
        loader.add_chunk(digest, other)
    with pytest.raises(steering.InvalidChunkError, match="missing"):
        loader.build(ids.SiteId(0))


def test_checks_a_known_chunk_against_fewer_sites():
    chunks = _chunks([("10.0.0.0/8", 5)])
    table = _load(chunks)
    digest = steering.digest_of(chunks[0])
    assert not steering.BlockTableLoader([digest], SITES, table).missing
    assert steering.BlockTableLoader([digest], 5, table).missing == (digest,)


def test_refuses_chunks_in_the_wrong_order():
    many = [
        (f"{ipaddress.IPv4Address(i << 8)}/24", i % 7) for i in range(20_000)
    ]
    with pytest.raises(steering.InvalidChunkError, match="begins before"):
        _load(tuple(reversed(_chunks(many))))

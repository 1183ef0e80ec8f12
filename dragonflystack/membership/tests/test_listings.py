import datetime

import pytest

from benchmarks import _fleet_sim
from dragonflystack import ids
from dragonflystack.membership import _listings
from dragonflystack.membership import _messages
from dragonflystack.membership import _vms

_S = datetime.timedelta(seconds=1)
_OLD = _vms.Listing.from_vms([_fleet_sim.make_vm(0, 0, 0)])
_NEW = _vms.Listing.from_vms([_fleet_sim.make_vm(0, 0, 0, run=1)])


@pytest.mark.parametrize(
    ("is_root", "requests_roster"), [(False, True), (True, False)]
)
def test_parents_list_replaces_own_unless_vm_is_root(is_root, requests_roster):
    sync = _listings.ListingSync(_vms.View(_vms.ViewSettings()))
    sync.on_read(_OLD, is_root, 100 * _S)
    (domain,) = _NEW.rosters
    response = _messages.Response(
        None,
        1,
        ids.DocumentVersion(1),
        listing_age=50 * _S,
        listing_digest=_NEW.digest,
        roster_digests=(
            _messages.RosterDigest(domain, _NEW.rosters[domain].digest),
        ),
    )
    sync.on_response(response, 0 * _S, 101 * _S)
    assert bool(sync.domains_to_request) is requests_roster

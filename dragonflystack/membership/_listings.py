"""Distribution of the VM list down the tree.

The root of the tree reads the list from the platform and adds VMs known from
messages. The other VMs read it once, when they start; then they compare digests
with their parent and request the rosters that differ, so that one restarted VM
costs the roster of its failure domain and not the whole list.
"""

from collections.abc import Iterable
import datetime

from dragonflystack import ids
from dragonflystack.membership import _messages
from dragonflystack.membership import _vms

_STALE_AGE = datetime.timedelta(days=1)
"""Assumed age of a list read only to find a parent, so the parent's wins."""

_EMPTY = _vms.Roster.from_vms(())


class ListingSync:
    """Synchronizes the VM list of one VM with that of its parent."""

    def __init__(self, view: _vms.View):
        self._view = view
        self._read_at: datetime.timedelta | None = None
        self.domains_to_request: tuple[ids.FailureDomainId, ...] = ()
        """Failure domains whose roster the next request asks for."""

    @property
    def has_listing(self) -> bool:
        """Whether a VM list has been received."""
        return self._read_at is not None

    @property
    def digest(self) -> int:
        """The digest of the VM list, 0 if there is none."""
        return self._view.listing.digest if self.has_listing else 0

    def age(self, now: datetime.timedelta) -> datetime.timedelta:
        """Returns an upper bound on the time since the platform gave the list.

        The age is 0 if there is no list.
        """
        if self._read_at is None:
            return datetime.timedelta()
        return now - self._read_at

    def on_read(
        self, listing: _vms.Listing, is_root: bool, now: datetime.timedelta
    ) -> None:
        """Applies a list read from the platform.

        Args:
            listing: the list.
            is_root: whether this VM is the root of the tree; the list of any
                other VM is replaced by that of its parent.
            now: the time on the monotonic clock.
        """
        self._set_listing(listing, now if is_root else now - _STALE_AGE, now)
        if is_root:
            self.add_unlisted(now)

    def add_unlisted(self, now: datetime.timedelta) -> None:
        """Adds VMs that are known from messages only to the list."""
        if self.has_listing and self._view.unlisted():
            self._set_listing(_vms.Listing.from_vms(self._view.vms()), now, now)

    def _set_listing(
        self,
        listing: _vms.Listing,
        read_at: datetime.timedelta,
        now: datetime.timedelta,
    ) -> None:
        self._view.on_listing(listing, now)
        self._read_at = read_at

    def on_response(
        self,
        response: _messages.Response,
        transit: datetime.timedelta,
        now: datetime.timedelta,
    ) -> None:
        """Applies the parent's list if it was read later than this VM's.

        If rosters are missing for that, `domains_to_request` names them.
        """
        requested, self.domains_to_request = self.domains_to_request, ()
        read_at = now - response.listing_age - transit
        if not response.listing_digest:
            return
        if self._read_at is not None and read_at < self._read_at:
            return
        candidate = self._view.listing
        if requested:
            candidate = candidate.with_rosters(dict(response.rosters))
        if response.listing_digest == candidate.digest:
            self._set_listing(candidate, read_at, now)
            return
        self.domains_to_request = _differing(
            self._view.listing, response.roster_digests
        )

    def differs_from(self, digest: int) -> bool:
        """Returns whether this VM has a list and its digest is another one."""
        return self.has_listing and digest != self.digest

    def digests(self) -> tuple[_messages.RosterDigest, ...]:
        """Returns the digest of every roster."""
        return tuple(
            _messages.RosterDigest(domain, roster.digest)
            for domain, roster in self._view.listing.rosters.items()
        )

    def rosters(
        self, domains: Iterable[ids.FailureDomainId]
    ) -> tuple[tuple[ids.FailureDomainId, _vms.Roster], ...]:
        """Returns the rosters of failure domains; unknown ones are empty."""
        rosters = self._view.listing.rosters
        return tuple((d, rosters.get(d, _EMPTY)) for d in domains)


def _differing(
    listing: _vms.Listing, digests: Iterable[_messages.RosterDigest]
) -> tuple[ids.FailureDomainId, ...]:
    theirs = {d.failure_domain: d.digest for d in digests}
    ours = {d: r.digest for d, r in listing.rosters.items()}
    return tuple(
        domain
        for domain in sorted({*theirs, *ours})
        if theirs.get(domain) != ours.get(domain)
    )

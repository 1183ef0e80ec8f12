"""How the VM list travels down the tree.

The first VM of the tree reads it from the platform and adds what traffic has
shown. The others read it once, when they start; then they compare digests with
their parent and ask for the rosters that differ, so that one restarted VM costs
the roster of its failure domain and not the whole list.
"""

from collections.abc import Iterable
import datetime

from dragonflystack import ids
from dragonflystack.membership import _messages
from dragonflystack.membership import _vms

_STALE_AGE = datetime.timedelta(days=1)
"""Counts as the age of a list that a VM read only to find its parent."""

_EMPTY = _vms.Roster.from_vms(())


class ListingSync:
    """The state of that exchange on one VM."""

    def __init__(self, view: _vms.View):
        self._view = view
        self._read_at: datetime.timedelta | None = None
        self.domains_to_request: tuple[ids.FailureDomainId, ...] = ()
        """Failure domains whose roster is to be asked for."""

    @property
    def has_listing(self) -> bool:
        """Whether there is a VM list at all."""
        return self._read_at is not None

    @property
    def digest(self) -> int:
        """The digest of the VM list, 0 if there is none."""
        return self._view.listing.digest if self.has_listing else 0

    def age(self, now: datetime.timedelta) -> datetime.timedelta:
        """Returns the time since the platform gave the list, at least."""
        if self._read_at is None:
            return datetime.timedelta()
        return now - self._read_at

    def on_read(
        self, listing: _vms.Listing, is_root: bool, now: datetime.timedelta
    ) -> None:
        """Takes a list read from the platform.

        Args:
            listing: the list.
            is_root: whether this VM is the first of the tree; the list of any
                other gives way to its parent's.
            now: the time on the monotonic clock.
        """
        self._set_listing(listing, now if is_root else now - _STALE_AGE, now)
        if is_root:
            self.add_unlisted(now)

    def add_unlisted(self, now: datetime.timedelta) -> None:
        """Adds the VMs that traffic has shown to the list."""
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
        """Takes the parent's list if it was read later than this one."""
        requested, self.domains_to_request = self.domains_to_request, ()
        read_at = now - response.listing_age - transit
        if not response.listing_digest:
            return
        if self._read_at is not None and read_at < self._read_at:
            return
        mine = self._view.listing
        if requested:
            mine = mine.with_rosters(dict(response.rosters))
        if response.listing_digest == mine.digest:
            self._set_listing(mine, read_at, now)
            return
        self.domains_to_request = _differing(
            self._view.listing, response.roster_digests
        )

    def differs_from(self, digest: int) -> bool:
        """Returns whether another VM's list is another one than this."""
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
        """Returns the rosters of some failure domains."""
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

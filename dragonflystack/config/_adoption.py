"""Adopts newer versions of the document in one process.

A version is adopted when all its section bodies are present and match their
digests. The version of a process never decreases, in whatever order responses
arrive.
"""

from collections.abc import Mapping
import datetime

from dragonflystack import ids
from dragonflystack import promises
from dragonflystack.config import _document
from dragonflystack.config import _rows
from dragonflystack.config import _sections


class Adoption:
    """The document version that one process has in force."""

    def __init__(self, vm: ids.VmId, ledger: promises.Ledger):
        self._vm = vm
        self._ledger = ledger
        self._head: _rows.Head | None = None
        self._document: _document.Document | None = None
        self._bodies: dict[ids.Digest, bytes] = {}

    @property
    def version(self) -> ids.DocumentVersion:
        """The version in force, 0 before the first."""
        if self._head is None:
            return ids.DocumentVersion(0)
        return self._head.version

    @property
    def head(self) -> _rows.Head | None:
        """The head in force, None before the first."""
        return self._head

    @property
    def document(self) -> _document.Document | None:
        """The document in force, None before the first."""
        return self._document

    @property
    def bodies(self) -> dict[ids.SectionId, bytes]:
        """The body of each section in force."""
        if self._head is None:
            return {}
        return {
            section: self._bodies[entry.digest]
            for section, entry in self._head.sections.items()
        }

    def missing(self, head: _rows.Head) -> tuple[ids.Digest, ...]:
        """Returns the digests of a newer head's objects that must be fetched.

        The tuple is empty for a head that is not newer than the one in force.
        """
        if head.version <= self.version:
            return ()
        needed = {entry.digest for entry in head.sections.values()}
        return tuple(sorted(needed - self._bodies.keys()))

    def on_head(
        self,
        head: _rows.Head,
        fetched: Mapping[ids.Digest, bytes],
        now: datetime.timedelta,
    ) -> bool:
        """Adopts a head if it is newer and complete.

        Args:
            head: the head, from the table service or another VM.
            fetched: the objects that were missing.
            now: the time on the monotonic clock.

        Returns:
            Whether the head was adopted.

        Raises:
            InvalidDocumentError: if the document breaks a rule.
        """
        if head.version <= self.version:
            return False
        bodies = self._complete_bodies(head, fetched)
        if bodies is None:
            return False
        document = _sections.join(bodies)
        self._adopt(head, document, bodies, now)
        return True

    def _complete_bodies(
        self, head: _rows.Head, fetched: Mapping[ids.Digest, bytes]
    ) -> dict[ids.SectionId, bytes] | None:
        """Returns all bodies, or None if one is missing or corrupt."""
        bodies = {}
        for section, entry in head.sections.items():
            body = self._bodies.get(entry.digest)
            if body is None:
                body = fetched.get(entry.digest)
            if body is None or _sections.digest_of(body) != entry.digest:
                return None
            bodies[section] = body
        return bodies

    def _adopt(
        self,
        head: _rows.Head,
        document: _document.Document,
        bodies: dict[ids.SectionId, bytes],
        now: datetime.timedelta,
    ) -> None:
        version_increase = float(head.version - self.version)
        self._ledger.check(
            promises.PromiseId.CONFIGURATION_IN_FORCE,
            version_increase - 1,
            f"{self._vm}: adoption of version {head.version}",
            now,
        )
        self._head = head
        self._document = document
        self._bodies = {
            head.sections[section].digest: body
            for section, body in bodies.items()
        }

    def check_accepted(
        self, accepted: ids.DocumentVersion, now: datetime.timedelta
    ) -> bool:
        """Checks that a serving process has at least the accepted version.

        Args:
            accepted: the version of a receipt that was read while this
                process was serving.
            now: the time on the monotonic clock.

        Returns:
            Whether the promise is kept.
        """
        return self._ledger.check(
            promises.PromiseId.CONFIGURATION_IN_FORCE,
            float(self.version - accepted),
            f"{self._vm}: version {self.version}, accepted {accepted}",
            now,
        )

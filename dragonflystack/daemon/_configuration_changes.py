"""Makes a change: prepares, stores, writes, starts over, settles."""

import dataclasses

import msgspec

from dragonflystack import clock
from dragonflystack import config
from dragonflystack import ids
from dragonflystack import outcomes
from dragonflystack import storage

_TRIES = 12


@dataclasses.dataclass(frozen=True, slots=True)
class Written:
    """The change is written as this version; it is not accepted yet."""

    version: ids.DocumentVersion


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The change is not made, and will not be under this change id."""

    why: config.Decision


@dataclasses.dataclass(frozen=True, slots=True)
class NotWritten:
    """The change is not made; it may be tried again."""

    failure: outcomes.Failure


@dataclasses.dataclass(frozen=True, slots=True)
class MayBeWritten:
    """It is open whether the change is made; repeating it settles that."""

    failure: outcomes.Failure


Outcome = Written | Refused | NotWritten | MayBeWritten


class Changer:
    """Makes changes for operators; keeps no state between them."""

    def __init__(self, store: storage.HttpPlatform, at: clock.Clock):
        self._store = store
        self._clock = at

    async def apply(
        self, change: config.Change, known: dict[ids.SectionId, bytes]
    ) -> Outcome:
        """Makes a change.

        Args:
            change: what is asked for.
            known: section bodies that need not be fetched.
        """
        bodies = {config.digest_of(body): body for body in known.values()}
        unsure: outcomes.Failure | None = None
        for _ in range(_TRIES):
            outcome = await self._try(change, bodies)
            if isinstance(outcome, storage.Conflict):
                continue
            if isinstance(outcome, storage.Unsure):
                unsure = outcome.failure
                continue
            if isinstance(outcome, NotWritten) and unsure is not None:
                return MayBeWritten(outcome.failure)
            return outcome
        if unsure is not None:
            return MayBeWritten(unsure)
        return NotWritten(_failure("the document changes too often"))

    async def check(
        self, change: config.Change, known: dict[ids.SectionId, bytes]
    ) -> config.Decision | NotWritten:
        """Returns what would become of a change, and writes nothing."""
        bodies = {config.digest_of(body): body for body in known.values()}
        stored = await self._store.read(config.CONFIGURATION, config.HEAD)
        if isinstance(stored, storage.Unavailable):
            return NotWritten(stored.failure)
        return await self._prepare(change, stored, bodies)

    async def _try(
        self, change: config.Change, bodies: dict[ids.Digest, bytes]
    ) -> Outcome | storage.Conflict | storage.Unsure:
        stored = await self._store.read(config.CONFIGURATION, config.HEAD)
        if isinstance(stored, storage.Unavailable):
            return NotWritten(stored.failure)
        settled = await self._settle(change, stored)
        if settled is not None:
            return settled
        decision = await self._prepare(change, stored, bodies)
        if isinstance(decision, NotWritten):
            return decision
        if not isinstance(decision, config.Prepared):
            return Refused(decision)
        return await _write(self._store, decision)

    async def _settle(
        self, change: config.Change, stored: storage.Row | None
    ) -> Written | NotWritten | None:
        """Returns what became of an earlier try, None if nothing did.

        Only a section that is not at the base version needs looking at: a
        change that was made moved its section.
        """
        head = config.decode_head(_stored(stored))
        found = head.sections.get(change.section)
        if found is not None and found.change == change.id:
            return Written(found.version)
        if change.base == (0 if found is None else found.version):
            return None
        if not head.record:
            return None
        settlement = config.Settlement(change)
        step: config.ReadRecord | config.Settled
        step = config.ReadRecord(head.record)
        while isinstance(step, config.ReadRecord):
            data = await self._store.get(step.digest)
            if not isinstance(data, bytes):
                return NotWritten(_failure("a record is out of reach"))
            record = msgspec.json.decode(data, type=config.ChangeRecord)
            step = settlement.on_record(record)
        return None if step.version is None else Written(step.version)

    async def _prepare(
        self,
        change: config.Change,
        stored: storage.Row | None,
        bodies: dict[ids.Digest, bytes],
    ) -> config.Decision | NotWritten:
        head = config.decode_head(_stored(stored))
        sections = {}
        for section, found in head.sections.items():
            if found.digest not in bodies:
                data = await self._store.get(found.digest)
                if not isinstance(data, bytes):
                    return NotWritten(_failure(f"{section} is out of reach"))
                bodies[found.digest] = data
            sections[section] = bodies[found.digest]
        utcnow = self._clock.utcnow()
        return config.prepare(change, _stored(stored), sections, utcnow)


async def write_first(
    store: storage.HttpPlatform,
    prepared: config.Prepared,
    change: ids.ChangeId,
) -> Outcome:
    """Writes the first version of the document where there is none.

    Args:
        store: the platform.
        prepared: the first version.
        change: its change id, by which a lost answer is settled.
    """
    unsure: outcomes.Failure | None = None
    for _ in range(_TRIES):
        result = await _write(store, prepared)
        if isinstance(result, storage.Unsure):
            unsure = result.failure
            continue
        if isinstance(result, storage.Conflict):
            return await _settle_first(store, change)
        if isinstance(result, NotWritten) and unsure is not None:
            return MayBeWritten(result.failure)
        return result
    assert unsure is not None
    return MayBeWritten(unsure)


async def _settle_first(
    store: storage.HttpPlatform, change: ids.ChangeId
) -> Outcome:
    """Returns whose change made the first version that is there."""
    stored = await store.read(config.CONFIGURATION, config.HEAD)
    if isinstance(stored, storage.Unavailable):
        return MayBeWritten(stored.failure)
    head = config.decode_head(_stored(stored))
    first = ids.DocumentVersion(1)
    made = [s for s in head.sections.values() if s.change == change]
    if made:
        return Written(first)
    return Refused(config.Invalid("there is a document; change its sections"))


async def _write(
    store: storage.HttpPlatform, prepared: config.Prepared
) -> Written | NotWritten | storage.Conflict | storage.Unsure:
    """Stores the objects and writes the head, once."""
    for digest, data in prepared.objects.items():
        failed = await store.put(digest, data)
        if failed is not None:
            return NotWritten(failed.failure)
    write = prepared.write
    result = await store.write(
        storage.Write(
            write.table, write.key, write.expected_version, write.value
        )
    )
    if isinstance(result, storage.Committed):
        return Written(prepared.version)
    if isinstance(result, storage.Unavailable):
        return NotWritten(result.failure)
    return result


def _stored(row: storage.Row | None) -> config.StoredRow | None:
    return None if row is None else config.StoredRow(row.version, row.value)


def _failure(reason: str) -> outcomes.Failure:
    return outcomes.Failure(outcomes.Step.CONFIGURATION, "platform", reason)

"""An in-memory table service and object store for tests."""

from dragonflystack import config
from dragonflystack import ids


class Store:
    def __init__(self):
        self.rows: dict[tuple[str, str], config.StoredRow] = {}
        self.objects: dict[ids.Digest, bytes] = {}

    def read(self, table: str, key: str) -> config.StoredRow | None:
        return self.rows.get((table, key))

    def serving(self) -> dict[ids.VmId, config.StoredRow]:
        return {
            ids.VmId(key): row
            for (table, key), row in sorted(self.rows.items())
            if table == config.SERVING
        }

    def write(self, writes: tuple[config.RowWrite, ...]) -> bool:
        for write in writes:
            row = self.read(write.table, write.key)
            if write.expected_version != (row.version if row else 0):
                return False
        for write in writes:
            place = (write.table, write.key)
            row = self.rows.pop(place, None)
            if write.value is not None:
                version = row.version + 1 if row else 1
                self.rows[place] = config.StoredRow(version, write.value)
        return True

    def put(self, prepared: config.Prepared) -> bool:
        self.objects.update(prepared.objects)
        return self.write((prepared.write,))

    @property
    def head_row(self) -> config.StoredRow | None:
        return self.read(config.CONFIGURATION, config.HEAD)

    @property
    def head(self) -> config.Head:
        return config.decode_head(self.head_row)

    @property
    def accepted(self) -> ids.DocumentVersion:
        receipt = self.read(config.CONFIGURATION, config.RECEIPT)
        return config.accepted_version(receipt)

    def bodies(self) -> dict[ids.SectionId, bytes]:
        return {
            section: self.objects[entry.digest]
            for section, entry in self.head.sections.items()
        }

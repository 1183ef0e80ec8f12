"""Mutual TLS between daemons, with keys that change while the daemon runs.

Both sides show a certificate that an authority of the fleet signed; whoever
has none cannot join or report a load. A new certificate, key or authority in
the files of the settings counts for connections made after `reload`, so a
rollover is: add the new authority everywhere, then change certificates VM by
VM. An authority that is taken out of its file is trusted until the daemon
restarts, since a context cannot forget one.
"""

import pathlib
import ssl

from dragonflystack.daemon import _settings

_FILES = ("certificate", "key", "authorities")


class PeerTls:
    """The contexts of one daemon for its connections to others."""

    def __init__(self, cfg: _settings.Tls):
        """Loads the files.

        Raises:
            InvalidSettingsError: names the file that is wrong.
        """
        self._cfg = cfg
        self.server = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        self.client = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        for context in (self.server, self.client):
            context.minimum_version = ssl.TLSVersion.TLSv1_3
            context.check_hostname = False
            context.verify_mode = ssl.CERT_REQUIRED
        self._loaded: tuple[bytes, ...] = ()
        self.reload()

    @classmethod
    def from_config(cls, cfg: _settings.Tls | None) -> "PeerTls | None":
        """Returns the contexts, or None if the settings name no keys."""
        return None if cfg is None else cls(cfg)

    def reload(self) -> bool:
        """Loads the files if any has changed; returns whether one had.

        Raises:
            InvalidSettingsError: names the files that are wrong; what was
                loaded before stays in use.
        """
        contents = tuple(self._read(name) for name in _FILES)
        if contents == self._loaded:
            return False
        self._try_out()
        for context in (self.server, self.client):
            self._load_into(context)
        self._loaded = contents
        return True

    def _read(self, name: str) -> bytes:
        path = pathlib.Path(getattr(self._cfg, name))
        try:
            return path.read_bytes()
        except OSError as exc:
            raise _settings.InvalidSettingsError(
                f"$.tls.{name}: {path}: {exc.strerror}"
            ) from exc

    def _try_out(self) -> None:
        """Loads into a context that is thrown away, to find errors first."""
        try:
            self._load_into(ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER))
        except (ssl.SSLError, ValueError) as exc:
            raise _settings.InvalidSettingsError(
                f"$.tls: {self._cfg.certificate}, {self._cfg.key},"
                f" {self._cfg.authorities}: {exc}"
            ) from exc

    def _load_into(self, context: ssl.SSLContext) -> None:
        context.load_cert_chain(self._cfg.certificate, self._cfg.key)
        context.load_verify_locations(self._cfg.authorities)

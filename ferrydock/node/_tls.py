"""TLS for callers and operators, with certificates reloaded without a restart."""

import logging
import os
import ssl

from ..invariants import require
from ..logs import log_event

__all__ = ["CallerTls"]

_LOG = logging.getLogger("ferrydock.node")


class CallerTls:
    """TLS context of the listener for callers and operators.

    Parameters
    ----------
    certificate_path, key_path : str
        PEM files; empty means plain HTTP.

    Attributes
    ----------
    context : ssl.SSLContext or None
        Serves new connections with the certificate last loaded; None for plain HTTP.
    """

    __slots__ = ("_loaded_mtimes_ns", "certificate_path", "context", "key_path")

    def __init__(self, certificate_path: str, key_path: str):
        self.certificate_path = certificate_path
        self.key_path = key_path
        self.context: ssl.SSLContext | None = None
        self._loaded_mtimes_ns = (0, 0)
        if certificate_path:
            self.context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
            self._load()

    def _mtimes_ns(self) -> tuple[int, int]:
        return os.stat(self.certificate_path).st_mtime_ns, os.stat(self.key_path).st_mtime_ns

    def _load(self) -> None:
        self._loaded_mtimes_ns = self._mtimes_ns()
        require(self.context, "the context").load_cert_chain(self.certificate_path, self.key_path)

    def reload_if_changed(self) -> bool:
        """Reload the files if they have changed; return whether a new certificate is in use.

        If a file cannot be read or the key does not match, the old certificate stays in use.
        """
        if self.context is None:
            return False
        try:
            if self._mtimes_ns() == self._loaded_mtimes_ns:
                return False
            self._load()
        except (OSError, ssl.SSLError) as error:
            log_event(_LOG, logging.ERROR, "certificate_not_read", why=error)
            return False
        log_event(_LOG, logging.INFO, "certificate_renewed", path=self.certificate_path)
        return True

"""TLS towards callers and operators, with certificates that are renewed without a restart."""

import logging
import os
import ssl

from ..invariants import require
from ..logs import log_event

__all__ = ["CallerTls"]

_LOG = logging.getLogger("ferrydock.node")


class CallerTls:
    """The TLS context of the listener.

    Parameters
    ----------
    certificate_path, key_path : str
        PEM files; empty means plain HTTP.

    Attributes
    ----------
    context : ssl.SSLContext or None
        Serves new connections with the certificate last read; None for plain HTTP.
    """

    __slots__ = ("_read_ns", "certificate_path", "context", "key_path")

    def __init__(self, certificate_path: str, key_path: str):
        self.certificate_path = certificate_path
        self.key_path = key_path
        self.context: ssl.SSLContext | None = None
        self._read_ns = (0, 0)
        if certificate_path:
            self.context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
            self._read()

    def _changed_ns(self) -> tuple[int, int]:
        return os.stat(self.certificate_path).st_mtime_ns, os.stat(self.key_path).st_mtime_ns

    def _read(self) -> None:
        self._read_ns = self._changed_ns()
        require(self.context, "the context").load_cert_chain(self.certificate_path, self.key_path)

    def renew(self) -> bool:
        """Read the files again if they have changed; return whether they were taken.

        A file that cannot be read, or a key that does not fit, leaves the old certificate in use.
        """
        if self.context is None:
            return False
        try:
            if self._changed_ns() == self._read_ns:
                return False
            self._read()
        except (OSError, ssl.SSLError) as error:
            log_event(_LOG, logging.ERROR, "certificate_not_read", why=error)
            return False
        log_event(_LOG, logging.INFO, "certificate_renewed", path=self.certificate_path)
        return True

"""Runs a route daemon whose connections to the emulated workers pass through links of its own.

``python -m ferrydock.emulator.linked_daemon WORKERS LINKS --settings=FILE``: a connection to a port
of the address WORKERS is made to the same port of the address LINKS, where `_links.DaemonLinks`
forwards it or not. Connections to the store and to other daemons are not affected.
"""

import socket
import sys

from ..route_daemon.__main__ import main

__all__: list[str] = []


def _redirect(workers: str, links: str) -> None:
    """Connect every socket that connects to the address of the workers to the links instead."""
    connect = socket.socket.connect

    def connect_by_link(opened: socket.socket, address) -> None:
        if isinstance(address, tuple) and address[0] == workers:
            address = (links, *address[1:])
        connect(opened, address)

    setattr(socket.socket, "connect", connect_by_link)  # noqa: B010  mypy rejects the assignment


if __name__ == "__main__":
    _redirect(*sys.argv[1:3])
    sys.exit(main([sys.argv[0], *sys.argv[3:]]))

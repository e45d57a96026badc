"""Runs a route daemon whose connections to the targets come from an address of its own.

``python -m tests.sender_daemon TARGETS ADDRESS --settings=FILE``: sockets that connect to the
address TARGETS are bound to ADDRESS first, so that the targets can tell which daemon sent an order.
"""

import socket
import sys

from ferrydock.route_daemon.__main__ import main


def bind_connections(targets, address):
    connect = socket.socket.connect

    def connect_from_address(opened, to):
        if isinstance(to, tuple) and to[0] == targets:
            opened.bind((address, 0))
        connect(opened, to)

    socket.socket.connect = connect_from_address


if __name__ == "__main__":
    bind_connections(*sys.argv[1:3])
    sys.exit(main([sys.argv[0], *sys.argv[3:]]))

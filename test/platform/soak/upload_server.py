"""A backend server that reads bodies and drops them, as a process of its own: ID FAILING. Prints its port.

It closes the connection of FAILING of its requests without an answer.
"""

import random
import socket
import sys
import time

import wire
from quick_server import SLOTS, Server

MOST_BYTES = 1 << 18
WORK_S = 0.02


class UploadServer(Server):
    """Serves each connection on a thread."""

    def _serve(self, connection: socket.socket) -> None:
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        unread = b""
        try:
            while part := connection.recv(MOST_BYTES):
                unread += part
                while b"\r\n\r\n" in unread:
                    head, _, unread = unread.partition(b"\r\n\r\n")
                    lines = head.decode("latin-1").split("\r\n")
                    unread = self._drop_body(connection, lines, unread)
                    connection.sendall(self._reply(lines))
        except OSError:
            pass
        finally:
            connection.close()

    @staticmethod
    def _drop_body(connection: socket.socket, lines: list[str], unread: bytes) -> bytes:
        """Read on to the end of the body; what follows it."""
        left = sum(int(line.partition(":")[2]) for line in lines[1:] if line.lower().startswith("content-length:"))
        while left > len(unread):
            left -= len(unread)
            unread = connection.recv(MOST_BYTES)
            if not unread:
                raise OSError("the request was broken off")
        return unread[left:]

    def _reply(self, lines: list[str]) -> bytes:
        if lines[0].split(" ")[1] != wire.HEALTH_PATH:
            time.sleep(WORK_S)
            if random.random() < self._share:
                raise OSError("fails")
        return super()._answer(lines) or b""


if __name__ == "__main__":
    server = UploadServer(sys.argv[1], float(sys.argv[2]))
    print(server.port, SLOTS, flush=True)
    server.accept()

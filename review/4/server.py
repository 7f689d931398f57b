"""Backend servers as a process of its own: COUNT. Prints their ports on one line.

Each works WORK_S on a request, on SLOTS requests at once, and answers it whole. After a line `endless N` on standard
input, server 0 gives N answers whose body is in chunks and whose first chunk-size line never ends: it sends on,
RATE bytes a second, until its caller closes the connection. Then it is sound again.
"""

import json
import socket
import struct
import sys
import threading
import time

SLOTS = 3
MAX_CONNS = 260
WORK_S = 0.12
RATE = 40_000_000  # bytes a second: under a third of a machine's link (1,000 Mbit/s)
PIECE_S = 0.01
MOST_BYTES = 65536

lock = threading.Lock()
endless_left = 0
held: dict[int, int] = {}  # requests at each server, waiting ones too
opened: dict[int, int] = {}
ran: list[tuple[str, str]] = []
endless: list[dict] = []


def answer(status: str, fields: dict[str, str], body: bytes) -> bytes:
    lines = [f"HTTP/1.1 {status}", f"Content-Length: {len(body)}", *(f"{name}: {value}" for name, value in fields.items())]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def send_endlessly(connection: socket.socket, fields: dict[str, str], request: str) -> None:
    """Begin an answer in chunks; the line with the size of its first chunk goes on until the caller closes."""
    lines = ["HTTP/1.1 200 OK", "Transfer-Encoding: chunked", *(f"{name}: {value}" for name, value in fields.items())]
    begun, sent = time.monotonic(), 0
    told = {"request": request, "begun": begun, "bytes": 0, "ended_s": None}
    endless.append(told)
    try:
        connection.sendall(("\r\n".join(lines) + "\r\n\r\n").encode())
        while True:
            due = int((time.monotonic() - begun) * RATE) - sent
            if due > 0:
                connection.sendall(b"5" * due)
                sent += due
                told["bytes"] = sent
            time.sleep(PIECE_S)
    except OSError:
        told["ended_s"] = time.monotonic() - begun
        raise


def serve(number: int, connection: socket.socket, slots: threading.Semaphore) -> None:
    global endless_left
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    with lock:
        opened[number] = opened.get(number, 0) + 1
        full = opened[number] > MAX_CONNS
    if full:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    unread = b""
    try:
        while not full and (part := connection.recv(MOST_BYTES)):
            unread += part
            while b"\r\n\r\n" in unread:
                head, _, rest = unread.partition(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                fields = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines[1:])}
                length = int(fields.get("content-length", "0"))
                if len(rest) < length:
                    break
                unread = rest[length:]
                now = held.get(number, 0)
                own = {"Sailpath-Server-Load": f"{min(now, SLOTS)},{max(0, now - SLOTS)},{SLOTS},100"}
                if lines[0].split(" ")[1] == "/health":
                    connection.sendall(answer("200 OK", {**own, "Sailpath-Instance-Id": f"i-{number}"}, b""))
                    continue
                request = fields["sailpath-request-id"]
                own |= {"Sailpath-Request-Id": request, "Sailpath-Response-Signature": f"sig.{request}"}
                if fields["sailpath-target-instance"] != f"i-{number}":
                    connection.sendall(answer("421 Misdirected Request", own, b""))
                    continue
                with lock:
                    held[number] = held.get(number, 0) + 1
                with slots:
                    with lock:
                        ran.append((f"i-{number}", request))
                        spoil = number == 0 and endless_left > 0
                        endless_left -= spoil
                    time.sleep(WORK_S)
                with lock:
                    held[number] -= 1
                if spoil:
                    send_endlessly(connection, own, request)
                connection.sendall(answer("200 OK", own, b"done " + request.encode()))
    except OSError:
        pass
    finally:
        with lock:
            opened[number] -= 1
        connection.close()


def accept(number: int, listener: socket.socket) -> None:
    slots = threading.Semaphore(SLOTS)
    while True:
        connection, _ = listener.accept()
        threading.Thread(target=serve, args=(number, connection, slots), daemon=True).start()


def main() -> None:
    global endless_left
    ports = []
    for number in range(int(sys.argv[1])):
        listener = socket.socket()
        listener.bind(("127.0.0.1", 0))
        listener.listen(256)
        ports.append(str(listener.getsockname()[1]))
        threading.Thread(target=accept, args=(number, listener), daemon=True).start()
    print(" ".join(ports), flush=True)
    for line in sys.stdin:
        word, _, count = line.strip().partition(" ")
        if word == "endless":
            endless_left = int(count)
        elif word == "report":
            print(json.dumps({"ran": ran, "endless": endless, "now": time.monotonic()}), flush=True)


main()

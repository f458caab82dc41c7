"""A runner as a process of its own, under a supervisor that starts it again when it has crashed.

Usage: crashing_runner.py IP PORT EVENTS GAP_S FILE. It answers each request with a stream of events
that has no length and ends with its connection, and writes each event to FILE. The supervisor waits before
a new start for the seconds that stand in FILE.delay, if that exists.
"""
import os
import signal
import socket
import sys
import threading
import time

IP, PORT, EVENTS, GAP_S, FILE = sys.argv[1], int(sys.argv[2]), int(sys.argv[3]), float(sys.argv[4]), sys.argv[5]


def note(text):
    with open(FILE, "a") as file:
        file.write(f"{time.time()} {text}\n")


def read_request(connection):
    data = b""
    while b"\r\n\r\n" not in data:
        part = connection.recv(65536)
        if not part:
            return None
        data += part
    head, _, body = data.partition(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    left = int(headers.get("content-length", "0")) - len(body)
    while left > 0:
        part = connection.recv(min(left, 65536))
        if not part:
            return None
        left -= len(part)
    return lines[0].split(" ")[1], headers


def serve(connection, runner):
    try:
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        request = read_request(connection)
        if request is None:
            return
        path, headers = request
        if path == "/healthz":
            connection.sendall(f"HTTP/1.1 200 OK\r\nInstance-Id: {runner}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n".encode())
            return
        attempt = headers.get("attempt-id", "")
        own = f"Attempt-Id: {attempt}\r\nInstance-Id: {runner}\r\nConnection: close\r\n"
        if headers.get("expect-instance", runner) != runner:
            connection.sendall(f"HTTP/1.1 421 Misdirected Request\r\n{own}Not-Executed: 1\r\nContent-Length: 0\r\n\r\n".encode())
            return
        note(f"{runner} runs {attempt}")
        connection.sendall(f"HTTP/1.1 200 OK\r\n{own}Server-Seal: seal.{runner}.{attempt}\r\nContent-Type: text/event-stream\r\n\r\n".encode())
        for number in range(1, EVENTS + 1):
            time.sleep(GAP_S)
            connection.sendall(f"id: {number}\ndata: piece {number} of {EVENTS}\n\n".encode())
            note(f"{runner} sent {attempt} {number}")
        note(f"{runner} ended {attempt}")
    except OSError:
        pass
    finally:
        connection.close()


def run():
    """The runner: a new incarnation with a new id at each start."""
    runner = f"i-{os.urandom(5).hex()}"
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((IP, PORT))
    listener.listen(128)
    note(f"start {runner} {os.getpid()} {int(time.time() * 1000)}")
    while True:
        connection, _ = listener.accept()
        threading.Thread(target=serve, args=(connection, runner), daemon=True).start()


def supervise():
    child = 0

    def stop(*_):
        if child:
            os.kill(child, signal.SIGKILL)
        os._exit(0)

    signal.signal(signal.SIGTERM, stop)
    while True:
        child = os.fork()
        if child == 0:
            signal.signal(signal.SIGTERM, signal.SIG_DFL)
            run()
        os.waitpid(child, 0)
        try:
            with open(FILE + ".delay") as file:
                time.sleep(float(file.read()))
        except OSError:
            pass


supervise()

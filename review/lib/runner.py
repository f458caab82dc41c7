"""A stand-in for a plain runner that follows the platform's pages."""
import http.server
import json
import socket
import socketserver
import threading
import time
import uuid


class Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def log_message(self, *_):
        pass

    def setup(self):
        super().setup()
        self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def do_GET(self):
        self.serve()

    def do_POST(self):
        self.serve()

    def serve(self):
        runner = self.server.runner
        left = int(self.headers.get("Content-Length") or 0)
        while left > 0:
            part = self.rfile.read(min(left, 65536))
            if not part:
                return
            left -= len(part)
        if self.path == "/healthz":
            self.reply(200, b"", {"Instance-Id": runner.id})
            return
        request = self.headers.get("Attempt-Id", "")
        own = {"Attempt-Id": request, "Instance-Id": runner.id}
        if self.headers.get("Expect-Instance", runner.id) != runner.id:
            self.reply(421, b"", {**own, "Not-Executed": "1"})
            return
        with runner.lock:
            runner.runs.append((time.time(), request))
        time.sleep(runner.work_s)
        body = f"answer to {request}".encode()
        self.reply(200, body, {**own, "Server-Seal": f"seal.{runner.id}.{request}"})
        with runner.lock:
            runner.ended.append((time.time(), request))

    def reply(self, status, body, headers):
        try:
            self.send_response(status)
            for name, value in headers.items():
                self.send_header(name, value)
            self.send_header("Content-Length", str(len(body)))
            self.end_headers()
            self.wfile.write(body)
        except OSError:
            self.close_connection = True


class Server(socketserver.ThreadingMixIn, http.server.HTTPServer):
    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 512

    def handle_error(self, *_):
        pass


class Runner:
    def __init__(self, cluster, number=0, work_s=1.0, slots=64):
        self.id = f"i-{uuid.uuid4().hex[:10]}"
        self.cluster, self.work_s, self.slots = cluster, work_s, slots
        self.born, self.seq = int(time.time() * 1000), 0
        self.lock, self.runs, self.ended = threading.Lock(), [], []
        self.address = (f"127.{cluster.net}.1.{200 + number}", cluster.base + 25)
        self.server = Server(self.address, Handler)
        self.server.runner = self
        threading.Thread(target=self.server.serve_forever, daemon=True).start()
        threading.Thread(target=self.announce, daemon=True).start()

    def announce(self):
        while True:
            self.seq += 1
            beat = {
                "service": "desk", "addr": f"{self.address[0]}:{self.address[1]}", "zone": "zone-a",
                "version": "v1", "slots": self.slots, "state": "ready", "cold_left_ms": 0,
                "seq": self.seq, "born": self.born,
            }
            for name in self.cluster.cores:
                path = f"/Instances.Heartbeat/{self.id}"
                if self.cluster.call(name, "POST", path, json.dumps(beat))[0] == 200:
                    break
            time.sleep(1.2)

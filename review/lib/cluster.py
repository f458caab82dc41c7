"""Starts the project's own programs as separate processes on loopback addresses.

The settings are those that the templates of the deploy file give for a small deployment.
This module also holds the stand-in of the operator.
"""
import http.client
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "deploy", "sequoiawing-platform")
ZONES = ["zone-a", "zone-b", "zone-c"]
SECRET = "sequoiawing-on-a-trusted-network"


class CannotRun(Exception):
    """The case could not run; the script exits with 2."""


def free_base(ip):
    """Returns the first of 40 ports that are free at a loopback address."""
    for _ in range(50):
        base = random.randrange(20000, 30000)
        probes = []
        try:
            for port in range(base, base + 40):
                probe = socket.socket()
                probes.append(probe)
                probe.bind((ip, port))
            return base
        except OSError:
            continue
        finally:
            for probe in probes:
                probe.close()
    raise CannotRun("no free ports")


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.start = time.time()
        self.lock = threading.Lock()

    def __call__(self, text):
        line = f"{time.time() - self.start:8.3f} s  {text}"
        with self.lock:
            print(line, flush=True)
            self.file.write(line + "\n")
            self.file.flush()


class Cluster:
    def __init__(self, record, cores=3, edges=0):
        if not os.access(PROGRAM, os.X_OK):
            raise CannotRun("the program of the deploy file is not built")
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.net = random.randrange(10, 250)
        self.base = free_base(f"127.{self.net}.1.1")
        self.settings = {}
        self.process = {}
        self.is_closed = False
        self.cores = [f"core-{i + 1}" for i in range(cores)]
        self.edges = [f"edge-{i + 1}" for i in range(edges)]
        ports = [self.base, self.base + 15]
        control = self.base + 20
        seeds = [f"127.{self.net}.{i + 1}.1:{control}" for i in range(min(3, cores))]
        for i, name in enumerate(self.cores):
            ip = f"127.{self.net}.{i + 1}.1"
            self.settings[name] = {
                "host": name, "centre": ZONES[i % 3], "ip": ip, "control": f"{ip}:{control}",
                "data": os.path.join(self.folder, f"data-{name}"), "ports": ports,
                "seeds": seeds, "bootstrap": True, "secret": SECRET, "losses": 1,
                "heartbeat": 1200, "lease": 3000,
            }
        for i, name in enumerate(self.edges):
            ip = f"127.{self.net}.{i + 1}.100"
            self.settings[name] = {
                "host": name, "centre": ZONES[i % 3], "ip": ip,
                "callers": f"{ip}:{self.base + 21}", "ready": f"{ip}:{self.base + 22}",
                "ports": ports, "seeds": seeds, "secret": SECRET, "retry_ratio": 0.2,
                "retry_slack": 52, "retry_window": 10, "grace": 8,
            }

    def start(self, name):
        if self.is_closed:
            return
        settings = self.settings[name]
        path = os.path.join(self.folder, f"{name}.conf")
        with open(path, "w") as file:
            json.dump(settings, file)
        role = "gateway"
        if "data" in settings:
            role = "controller"
            os.makedirs(settings["data"], exist_ok=True)
        with open(os.path.join(self.folder, f"{name}.log"), "ab") as log:
            self.process[name] = subprocess.Popen(
                [PROGRAM, role, path], cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log)

    def start_all(self):
        for name in self.cores + self.edges:
            self.start(name)
        # What starts later is no first start of the whole system.
        for name in self.cores:
            self.settings[name]["bootstrap"] = False

    def kill(self, name):
        self.process[name].send_signal(signal.SIGKILL)
        self.process[name].wait()

    def lose_disk(self, name):
        shutil.rmtree(self.settings[name]["data"])

    def close(self):
        """Ends all processes that were started."""
        self.is_closed = True
        for name, process in self.process.items():
            if process.poll() is None:
                # The supervisor of a runner ends the runner before itself.
                process.send_signal(signal.SIGTERM if name == "runner" else signal.SIGKILL)
            process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)

    def memory_mb(self, name):
        try:
            with open(f"/proc/{self.process[name].pid}/status") as file:
                for line in file:
                    if line.startswith("VmRSS"):
                        return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0.0

    def disk_mb(self, name):
        total = 0
        for folder, _, files in os.walk(self.settings[name]["data"]):
            for file in files:
                try:
                    total += os.path.getsize(os.path.join(folder, file))
                except OSError:
                    pass
        return total / 1e6

    def call(self, name, method, path, body=None, timeout=1.0):
        """Calls a core machine once; returns the status, or None, and the body."""
        host, port = self.settings[name]["control"].split(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
        try:
            headers = {"Content-Type": "application/json"} if body else {}
            connection.request(method, path, body, headers)
            response = connection.getresponse()
            return response.status, response.read()
        except (OSError, http.client.HTTPException) as error:
            return None, repr(error).encode()
        finally:
            connection.close()

    def replace(self, configuration, names=None, limit=15.0, timeout=2.0):
        """Sends a configuration as the operator does, until it is acknowledged or refused.

        Returns the machine that acknowledged it, or None.
        """
        body = json.dumps(configuration)
        names = list(names or self.cores)
        start = random.randrange(len(names))
        end = time.time() + limit
        turn = 0
        while time.time() < end:
            name = names[(start + turn) % len(names)]
            status, _ = self.call(name, "POST", "/Config.Replace", body, timeout)
            if status == 200:
                return name
            if status in (400, 409, 412, 413, 422):
                return None
            turn += 1
            time.sleep(min(0.05 * turn, 0.5))
        return None

    def read(self, name):
        """Returns the version that a machine reads back, or None without a 200."""
        status, body = self.call(name, "GET", "/Config.Read")
        return json.loads(body)["version"] if status == 200 else None

    def read_any(self, limit):
        """Reads as the operator does at the end of a day; returns the version or None."""
        end = time.time() + limit
        while time.time() < end:
            for name in self.cores:
                version = self.read(name)
                if version is not None:
                    return version
            time.sleep(0.2)
        return None


def route(name, prefix, kind, timeout_ms, attempts, host="desk.example"):
    return {
        "name": name, "host": host, "path_prefix": prefix, "route_kind": kind,
        "timeout_ms": timeout_ms, "target_latency_ms": 1000, "priority": 1, "service": "desk",
        "max_attempts": attempts, "public": False, "sticky": False, "resumable": False,
        "gap_aim_ms": 0,
    }


def configuration(version, extra_routes=0, timeout_ms=1000):
    """Returns a configuration; `timeout_ms` differs between successive versions."""
    routes = [
        route("grant", "/grant/", "non_idempotent", 5000, 1),
        route("check", "/check/", "idempotent", 5000, 2),
        route("read", "/read/", "idempotent", timeout_ms, 2),
    ]
    for i in range(extra_routes):
        routes.append(route(f"r-{i:05}", f"/grown{i:05}/", "idempotent", 1000, 2, "grown.example"))
    service = {"health_path": "/healthz", "protocol": "h1", "tls": False}
    return {
        "version": version, "routes": routes,
        "services": [{"name": "desk", "max_conns": 360, **service}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "paper-1", "api_keys": ["key-of-paper-1"], "priority": 1,
                     "unit": "token_stream", "plain_tokens": 200, "rate_per_s": 0, "burst": 0}],
    }


def main(folder, case):
    """Runs a case; returns the exit code of its script."""
    record = Record(folder)
    # What `timeout` sends; the processes are ended in this case too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    clusters = []

    def make(**sizes):
        clusters.append(Cluster(record, **sizes))
        return clusters[-1]

    try:
        is_broken = case(make, record, trouble)
    except CannotRun as error:
        record(f"the case could not run: {error}")
        return 2
    finally:
        for cluster in clusters:
            cluster.close()
    record("BROKEN" if is_broken else "held")
    return 1 if is_broken else 0

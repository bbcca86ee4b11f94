"""Starts balancers with the deploy file's command, on loopback addresses, and ends all of them."""

import json
import os
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time

from platform_store import PlatformStore

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))


class CannotRun(Exception):
    pass


class Record:
    """record.txt: what was sent, answered and run, each line with the seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.lock = threading.Lock()
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        with self.lock:
            self.file.write(f"{self.now():9.4f} {text}\n")
            self.file.flush()


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class Balancer:
    def __init__(self, name, zone):
        self.name = name
        self.zone = zone
        self.ports = {k: free_port() for k in ("callers", "operators", "peers", "relay", "readiness")}
        self.process = None

    def address(self, kind):
        return f"127.0.0.1:{self.ports[kind]}"

    def is_ready(self, timeout=1.0):
        try:
            with socket.create_connection(("127.0.0.1", self.ports["readiness"]), timeout) as connection:
                connection.settimeout(timeout)
                connection.sendall(b"GET /readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                return connection.recv(64).startswith(b"HTTP/1.1 200")
        except OSError:
            return False


class Fleet:
    """A store and balancers with the settings of platform/settings.template.json for a small deployment."""

    def __init__(self, balancers, record, retry_slack=64):
        self.program = os.path.join(ROOT, "target", "burlreach")
        if not os.access(self.program, os.X_OK):
            raise CannotRun("target/burlreach is missing: run the build line of deploy/system.toml")
        self.folder = tempfile.mkdtemp(prefix="burlreach-review-")
        self.record = record
        self.retry_slack = retry_slack
        self.store = PlatformStore()
        self.balancers = balancers
        self.logs = []

    def settings(self, balancer):
        return {
            "dialect": "platform",
            "instance": {"name": balancer.name, "dataCentre": balancer.zone, "processorShare": 0.2},
            "listen": {
                "callers": balancer.address("callers"),
                "operators": balancer.address("operators"),
                "peers": balancer.address("peers"),
                "relay": balancer.address("relay"),
                "readiness": balancer.address("readiness"),
                "readinessPath": "/readiness",
            },
            "store": {"address": f"127.0.0.1:{self.store.port}"},
            "seeds": [other.address("peers") for other in self.balancers[:3]],
            "stop": {"bound": "6s", "readinessLead": "2500ms"},
            "retries": {"share": 0.2, "slack": self.retry_slack, "window": "10s"},
            "probes": {"perSecond": 60},
            "log": {"format": "json"},
        }

    def start(self, balancer):
        path = os.path.join(self.folder, balancer.name + ".json")
        with open(path, "w") as file:
            json.dump(self.settings(balancer), file)
        log = open(os.path.join(self.folder, balancer.name + ".log"), "a")
        self.logs.append(log)
        balancer.process = subprocess.Popen(
            [self.program, "serve", "--settings", path], cwd=ROOT, stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        self.record.write(f"started {balancer.name}")

    def start_all(self, seconds=15):
        for balancer in self.balancers:
            self.start(balancer)
        end = time.monotonic() + seconds
        while not all(balancer.is_ready() for balancer in self.balancers):
            if time.monotonic() > end:
                raise CannotRun("the balancers did not become ready")
            time.sleep(0.05)
        self.record.write("all balancers are ready")

    def signal(self, balancer, number):
        self.record.write(f"{signal.Signals(number).name} to {balancer.name}")
        balancer.process.send_signal(number)

    def stop(self):
        for balancer in self.balancers:
            if balancer.process and balancer.process.poll() is None:
                balancer.process.kill()
            if balancer.process:
                balancer.process.wait()
        self.store.stop()
        for log in self.logs:
            log.close()
        if os.environ.get("KEEP_LOGS"):
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def route(host, prefix, service, kind, timeout, target, attempts=2, priority=1):
    return {"host": host, "path_prefix": prefix, "service": service, "type": kind, "timeout": timeout,
            "target_latency": target, "max_attempts": attempts, "priority": priority}


def configuration(routes, services):
    return {
        "version": "00000007",
        "routes": routes,
        "services": {name: {"health_check_path": "/health", "max_connections": 260, "protocol": "h1", "tls": False}
                     for name in services},
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout": "3000ms",
                   "idle_timeout": "15000ms"},
    }


def server_record(service, port, zone, slots):
    return {"address": f"127.0.0.1:{port}",
            "info": {"service": service, "version": "v1", "zone": zone, "slots": slots},
            "status": {"state": "ready", "sequence": 1, "cold_remaining": "0ms"}}


def read_message(stream):
    """Reads one HTTP message; returns (first line, headers, body, is_whole) or None at the end of the stream."""
    first = stream.readline()
    if not first:
        return None
    headers = {}
    while True:
        line = stream.readline()
        if line in (b"\r\n", b"\n"):
            break
        if not line:
            return first.decode().strip(), headers, b"", False
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    if "content-length" in headers:
        length = int(headers["content-length"])
        body = stream.read(length)
        return first.decode().strip(), headers, body, len(body) == length
    return first.decode().strip(), headers, b"", True


class Caller:
    """A client's kept connection to one balancer."""

    def __init__(self, port, timeout=15):
        self.connection = socket.create_connection(("127.0.0.1", port), timeout)
        self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.stream = self.connection.makefile("rb")

    def send(self, method, host, path, request_id, deadline_ms, body=b""):
        head = (f"{method} {path} HTTP/1.1\r\nHost: {host}\r\nRequest-Id: {request_id}\r\n"
                f"Deadline-Ms: {deadline_ms}\r\n")
        if body:
            head += f"Content-Length: {len(body)}\r\n"
        self.connection.sendall(head.encode() + b"\r\n" + body)

    def answer(self):
        """Returns (status, headers, body, is_whole); status is None if the connection ended without an answer."""
        try:
            message = read_message(self.stream)
        except OSError:
            message = None
        if not message:
            return None, {}, b"", False
        return int(message[0].split()[1]), message[1], message[2], message[3]

    def close(self):
        try:
            self.stream.close()
            self.connection.close()
        except OSError:
            pass

"""A balancer that lost its path to a server sends through another balancer, which is killed amid an answer without a length."""

import ctypes
import os
import signal
import socket
import struct
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(HERE, "..", "stand_ins"))

from backend import Backend  # noqa: E402
from fleet import Balancer, Caller, CannotRun, Fleet, Record, configuration, route, server_record  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST, PREFIX = "booking.example", "/bookings/"
BODY_BYTES = 3000
CUT_SECONDS = 5.0  # for_s of srv_cut
SO_ATTACH_FILTER, SO_DETACH_FILTER = 26, 27


def whole_body(request_id, instance):
    return f"{request_id} at {instance} ".encode().ljust(BODY_BYTES - 1, b".") + b"\n"


class Cut:
    """Cuts the path from one balancer to one server: connecting to the server gets no answer.

    All come from one loopback address, so the balancer is the only one that runs on processor `cpu`, and the server's
    listening socket drops the SYN segments that were sent there. Nothing of it changes the machine."""

    def __init__(self, server, cpu):
        processor = 0xFFFFF000 + 36  # SKF_AD_OFF + SKF_AD_CPU
        program = [
            (0x30, 0, 0, 13),  # the flags
            (0x54, 0, 0, 0x12),  # SYN and ACK
            (0x15, 0, 3, 0x02),  # not a SYN segment: taken
            (0x20, 0, 0, processor),
            (0x15, 0, 1, cpu),  # another processor: taken
            (0x06, 0, 0, 0),
            (0x06, 0, 0, 0xFFFFFFFF),
        ]
        self.listener = server.listener
        self.code = ctypes.create_string_buffer(b"".join(struct.pack("HBBI", *line) for line in program))
        text = struct.pack("HL", len(program), ctypes.addressof(self.code))
        self.listener.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, text)

    def end(self):
        self.listener.setsockopt(socket.SOL_SOCKET, SO_DETACH_FILTER, 0)


def sockets():
    """(local port, remote port, inode) of each TCP connection."""
    with open("/proc/net/tcp") as file:
        next(file)
        for line in file:
            part = line.split()
            yield int(part[1].split(":")[1], 16), int(part[2].split(":")[1], 16), part[9]


def owner_of(inode, balancers):
    for balancer in balancers:
        folder = f"/proc/{balancer.process.pid}/fd"
        try:
            for name in os.listdir(folder):
                if os.readlink(os.path.join(folder, name)) == f"socket:[{inode}]":
                    return balancer
        except OSError:
            pass
    return None


class Unframed(Backend):
    """Its answers have no length and end with their connection; a body takes 0.3 s to send."""

    half_sent = None

    def success(self, connection, request_id):
        body = whole_body(request_id, self.instance)
        head = (f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\nServer-Signature: {self.instance}.{request_id}\r\n"
                "Connection: close\r\n\r\n")
        connection.sendall(head.encode() + body[:BODY_BYTES // 2])
        self.record.write(f"{self.instance} has sent half of its answer to {request_id}, without a length")
        if Unframed.half_sent:
            Unframed.half_sent(connection, request_id)
        time.sleep(0.3)
        connection.sendall(body[BODY_BYTES // 2:])
        self.record.write(f"{self.instance} has sent all of its answer to {request_id}")
        return False


def main():
    record = Record(os.path.join(HERE, "record.txt"))
    balancers = [Balancer(f"entry-{number}", "hall-a") for number in (1, 2, 3, 4)]
    fleet = Fleet(balancers, record)
    backends = [Unframed(f"i-book{number}", "bookings", "hall-a", record, work=lambda request_id, path: 0.01)
                for number in range(5)]
    mixed = []
    answers = {}
    killed = threading.Event()

    def book(balancer, request_id):
        caller = Caller(balancer.ports["callers"])
        record.write(f"client sends {request_id} to {balancer.name}")
        caller.send("POST", HOST, PREFIX + request_id, request_id, 2500, b"x" * 400)
        status, headers, body, whole = caller.answer()
        caller.close()
        instance = headers.get("server-signature", ".").split(".")[0]
        answers[request_id] = status
        complete = body == whole_body(request_id, instance)
        record.write(f"client gets {request_id}: {status}, {len(body)} bytes as told by Content-Length: {whole}, "
                     f"the server's whole body: {complete}")
        if status == 200 and whole and not complete:
            mixed.append(request_id)
            record.write(f"MIXED {request_id}: a success with {len(body)} of {BODY_BYTES} bytes")

    def kill_relay(connection, request_id):
        """Kills the balancer that relays this answer, once."""
        if connection.getsockname()[1] != backends[0].port or not request_id.startswith("cut") or killed.is_set():
            return
        port = connection.getpeername()[1]
        inode = next((inode for local, remote, inode in sockets() if local == port and remote == backends[0].port), None)
        relay = owner_of(inode, balancers)
        record.write(f"the answer to {request_id} goes to {relay.name if relay else None}")
        if relay and relay is not balancers[0]:
            killed.set()
            time.sleep(0.02)
            fleet.signal(relay, signal.SIGKILL)

    try:
        fleet.store.put("op/config", configuration(
            {"r-book": route(HOST, PREFIX, "bookings", "unsafe", "1200ms", "300ms")}, ["bookings"]))
        for backend in backends:
            fleet.store.put("servers/" + backend.instance, server_record("bookings", backend.port, "hall-a", 3))
        fleet.start_all()
        cpus = sorted(os.sched_getaffinity(0))
        if len(cpus) < 2:
            raise CannotRun("needs two processors")
        for balancer in balancers:
            fleet.pin(balancer, cpus[:1] if balancer is balancers[0] else cpus[1:])
        time.sleep(4)
        threads = []

        def start(request_id):
            thread = threading.Thread(target=book, args=(balancers[0], request_id), daemon=True)
            thread.start()
            threads.append(thread)

        for number in range(10):
            start(f"usual{number}")
            time.sleep(0.1)
        time.sleep(4)  # idle connections end
        cut = None
        if TROUBLE:
            Unframed.half_sent = kill_relay
            cut = Cut(backends[0], cpus[0])
            record.write(f"{balancers[0].name} is cut off from {backends[0].instance}")
        end = time.monotonic() + CUT_SECONDS
        number = 0
        while time.monotonic() < end and not killed.is_set():
            start(f"cut{number}")
            number += 1
            time.sleep(0.05)
        for thread in threads:
            thread.join(4)
        if cut:
            cut.end()
        counted = {status: list(answers.values()).count(status) for status in set(answers.values())}
        text = f"{len(answers)} bookings, answers {counted}; a relay was killed: {killed.is_set()}; mixed: {mixed}"
        record.write(text)
        print(text)
        if TROUBLE and not killed.is_set():
            raise CannotRun("no answer went through another balancer")
        return 1 if mixed else 0
    finally:
        fleet.stop()


if __name__ == "__main__":
    try:
        code = main()
    except CannotRun as problem:
        print(problem)
        code = 2
    sys.stdout.flush()
    os._exit(code)

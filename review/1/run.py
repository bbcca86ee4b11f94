"""A backend sends a second copy of its rejection, late, in the slot of the next answer on the same connection."""

import os
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(HERE, "..", "stand_ins"))

from backend import Backend  # noqa: E402
from fleet import Balancer, Caller, CannotRun, Fleet, Record, configuration, route, server_record  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SLOTS = 3
QUEUE = 3
GARBLE_SECONDS = 5.0  # for_s of the site's trouble
GARBLE_SHARE = 0.03  # x: share of the answers of a garbling backend
HOST, PREFIX = "booking.example", "/bookings/"


class Garbling(Backend):
    """Sends a surplus copy of at most x of its answers: late, before the next answer on that connection."""

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.until = None
        self.counted = 0
        self.spoiled = 0
        self.surplus = {}

    def garble(self):
        self.until = time.monotonic() + GARBLE_SECONDS

    def shed(self, connection, request_id):
        headers = {"Request-Id": request_id, "Not-Executed": "1"}
        with self.lock:
            may_spoil = self.until is not None and time.monotonic() < self.until
            if may_spoil and self.spoiled + 1 <= GARBLE_SHARE * self.counted:
                self.spoiled += 1
                self.surplus[connection] = (request_id, self.encode("503 Service Unavailable", headers, b""))
        return self.reply(connection, "503 Service Unavailable", headers, b"")

    def handle(self, connection, first, headers, body):
        surplus = self.surplus.pop(connection, None)
        if surplus:
            self.arrived(headers.get("request-id", ""))
            self.record.write(f"{self.instance} sends the surplus copy of its rejection of {surplus[0]}, "
                              f"before the answer to {headers.get('request-id', 'a health check')}")
            connection.sendall(surplus[1])
        return super().handle(connection, first, headers, body)

    def reply(self, connection, *arguments):
        with self.lock:
            self.counted += 1 if self.until is not None else 0
        return super().reply(connection, *arguments)


class Filling:
    """Bookings of other clients through the other balancers, which fill the backends until they are let go."""

    def __init__(self):
        self.gates = {}

    def work(self, instance):
        def seconds(request_id, path):
            if request_id.startswith("fill"):
                self.gates[instance].wait(1.0)
                return 0.0
            return 0.1 if request_id.startswith("seat") else 0.02
        return seconds


def main():
    record = Record(os.path.join(HERE, "record.txt"))
    balancers = [Balancer(f"entry-{number}", "hall-a") for number in (1, 2, 3)]
    fleet = Fleet(balancers, record)
    filling = Filling()
    kinds = [Garbling if TROUBLE else Backend, Backend]
    backends = [kind(f"i-book{number}", "bookings", "hall-a", record, slots=SLOTS, queue=QUEUE,
                     work=filling.work(number)) for number, kind in enumerate(kinds)]
    answers = {}
    threads = []

    def book(balancer, request_id):
        caller = Caller(balancer.ports["callers"])
        record.write(f"client sends {request_id} to {balancer.name}")
        caller.send("POST", HOST, PREFIX + request_id, request_id, 2500, b"x" * 400)
        status, headers, body, whole = caller.answer()
        answers[request_id] = status
        record.write(f"client gets {request_id}: {status}")
        caller.close()

    def start(balancer, request_id):
        thread = threading.Thread(target=book, args=(balancer, request_id), daemon=True)
        thread.start()
        threads.append(thread)

    def usual(name, count, pause):
        for number in range(count):
            start(balancers[0], f"{name}{number:03d}")
            time.sleep(pause)

    try:
        fleet.store.put("op/config", configuration(
            {"r-book": route(HOST, PREFIX, "bookings", "unsafe", "1200ms", "300ms")}, ["bookings"]))
        for backend in backends:
            fleet.store.put("servers/" + backend.instance, server_record("bookings", backend.port, "hall-a", SLOTS))
        fleet.start_all()
        time.sleep(4)
        if TROUBLE:
            backends[0].garble()
        usual("usual-a", 90, 1 / 45)
        time.sleep(0.15)
        for number in range(1):
            filling.gates = {0: threading.Event(), 1: threading.Event()}
            for index in range(2 * (SLOTS + QUEUE)):
                start(balancers[1 + index % 2], f"fill{number}-{index}")
            end = time.monotonic() + 0.5
            while any(backend.running < SLOTS or backend.waiting < QUEUE for backend in backends) and time.monotonic() < end:
                time.sleep(0.002)
            record.write(f"running and waiting: {[(backend.running, backend.waiting) for backend in backends]}")
            start(balancers[0], f"seat{number}")
            end = time.monotonic() + 0.2
            while any(f"seat{number}" not in backend.rejected for backend in backends) and time.monotonic() < end:
                time.sleep(0.0005)
            # The work of the others at i-book0 ends now, at i-book1 when i-book0 gets the booking again or 0.1 s later.
            backends[0].arrived = lambda request_id: request_id.startswith("seat") and filling.gates[1].set()
            filling.gates[0].set()
            filling.gates[1].wait(0.1)
            filling.gates[1].set()
            time.sleep(0.5)
        for thread in threads:
            thread.join(5)
        runs = {}
        for backend in backends:
            for request_id in backend.runs:
                runs.setdefault(request_id, []).append(backend.instance)
        twice = {request_id: where for request_id, where in runs.items() if len(where) > 1}
        refused = [request_id for request_id, status in answers.items() if status in (408, 421, 429, 503) and request_id in runs]
        spoiled = f"{backends[0].spoiled} of {backends[0].counted}" if TROUBLE else "none"
        text = f"{len(answers)} bookings; surplus answers of i-book0: {spoiled}; ran twice: {twice}; refused, yet run: {refused}"
        record.write(text)
        print(text)
        return 1 if twice or refused else 0
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

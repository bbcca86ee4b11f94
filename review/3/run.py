"""Faulty backends send bytes that are no answer: a head with a status that does not exist, without id and signature."""

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
GARBLE_SECONDS = 5.5  # for_s
GARBLE_SHARE = 0.02  # x
STATUSES = [299, 250, 218, 210]


class Garbling(Backend):
    """Spoils at most x of its answers."""

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.until = None
        self.counted = 0
        self.spoiled = 0

    def success(self, connection, request_id):
        with self.lock:
            self.counted += 1 if self.until else 0
            spoils = self.until and time.monotonic() < self.until and self.spoiled + 1 <= GARBLE_SHARE * self.counted
            self.spoiled += 1 if spoils else 0
        if not spoils:
            return super().success(connection, request_id)
        status = STATUSES[self.spoiled % len(STATUSES)]
        self.record.write(f"{self.instance} sends for {request_id} bytes that are no answer, status {status}")
        return self.reply(connection, f"{status} q8#", {"X": "7f2e91"}, b"\x07\x91garbled\x00")


def main():
    record = Record(os.path.join(HERE, "record.txt"))
    balancers = [Balancer(f"entry-{number}", "hall-a") for number in (1, 2, 3)]
    fleet = Fleet(balancers, record)
    backends = [(Garbling if TROUBLE and number == 0 else Backend)(
        f"i-book{number}", "bookings", "hall-a", record, queue=12, work=lambda request_id, path: 0.02) for number in range(3)]
    mixed = []
    statuses = {}

    def client(index, end):
        caller = Caller(balancers[index % 3].ports["callers"])
        count = 0
        while time.monotonic() < end:
            request_id = f"seat{index:02d}-{count:03d}"
            count += 1
            record.write(f"client sends {request_id}")
            is_unsafe = count % 2
            caller.send("POST" if is_unsafe else "GET", "booking.example", ("/bookings/" if is_unsafe else "/offers/") + request_id,
                        request_id, 2500, b"x" * 400 if is_unsafe else b"")
            status, headers, body, whole = caller.answer()
            statuses[status] = statuses.get(status, 0) + 1
            signature = headers.get("server-signature")
            record.write(f"client gets {request_id}: {status}, signature {signature}, {len(body)} bytes")
            is_own = signature and signature.endswith("." + request_id) and body.startswith(f"done {request_id} by ".encode())
            if status and 200 <= status < 300 and not is_own:
                mixed.append(request_id)
                record.write(f"MIXED {request_id}: a success {status} without the backend's signature and body")
            if status is None:
                caller = Caller(balancers[index % 3].ports["callers"])
            time.sleep(0.03)
        caller.close()

    try:
        fleet.store.put("op/config", configuration(
            {"r-book": route("booking.example", "/bookings/", "bookings", "unsafe", "1200ms", "300ms"),
             "r-offer": route("booking.example", "/offers/", "bookings", "safe", "1200ms", "300ms")}, ["bookings"]))
        for backend in backends:
            fleet.store.put("servers/" + backend.instance, server_record("bookings", backend.port, "hall-a", 3))
        fleet.start_all()
        time.sleep(4)
        if TROUBLE:
            backends[0].until = time.monotonic() + GARBLE_SECONDS
        end = time.monotonic() + GARBLE_SECONDS
        threads = [threading.Thread(target=client, args=(index, end), daemon=True) for index in range(12)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join(15)
        spoiled = f"{backends[0].spoiled} of {backends[0].counted}" if TROUBLE else "none"
        text = f"answers {statuses}; spoiled by i-book0: {spoiled}; mixed: {mixed}"
        record.write(text)
        print(text)
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

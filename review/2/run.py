"""A planned stop of two of the three balancers of a zone; clients keep coming, as the platform sends them."""

import os
import signal
import sys
import threading
import time
import zlib

HERE = os.path.dirname(os.path.abspath(__file__))
sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(HERE, "..", "stand_ins"))

from backend import Backend  # noqa: E402
from fleet import Balancer, Caller, CannotRun, Fleet, Record, configuration, route, server_record  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
GRACE = 6.0
LOAD_SECONDS = 9.0
PERIOD = 1 / 60  # a new client each: 30 a second of each kind
LONG_EVERY = 8


class Kind:
    def __init__(self, name, method, host, prefix, deadline, timeout, short, long, body):
        self.name, self.method, self.host, self.prefix = name, method, host, prefix
        self.deadline, self.timeout, self.short, self.long, self.body = deadline, timeout, short, long, body


# Deadlines, time-outs and work as of the site's kinds: mean work 0.55 s, at most 4.1 s; mean 0.29 s, at most 2.1 s.
PULL = Kind("pull", "GET", "pull.example", "/bundles/", 10.0, 5.0, 0.06, 4.0, b"")
JOB = Kind("job", "POST", "job.example", "/jobs/", 5.0, 2.5, 0.04, 2.05, b"x" * 1200)


class Ingress:
    """The platform: asks each node once a second, sets aside one that missed twice; uses all if fewer than half are in."""

    def __init__(self, balancers, record):
        self.balancers, self.record = balancers, record
        self.misses = {balancer: 0 for balancer in balancers}
        threading.Thread(target=self.watch, daemon=True).start()

    def watch(self):
        while True:
            for balancer in self.balancers:
                ready = balancer.is_ready(0.3)
                was_in = self.misses[balancer] < 2
                self.misses[balancer] = 0 if ready else self.misses[balancer] + 1
                if was_in != (self.misses[balancer] < 2):
                    self.record.write(f"ingress: {balancer.name} is {'out' if was_in else 'in'}")
            time.sleep(1)

    def choose(self, number):
        inside = [balancer for balancer in self.balancers if self.misses[balancer] < 2]
        nodes = inside if 2 * len(inside) >= len(self.balancers) else self.balancers
        return nodes[zlib.crc32(b"client %d" % number) % len(nodes)]


def main():
    record = Record(os.path.join(HERE, "record.txt"))
    works = {}

    def work(request_id, path):
        return works[request_id]

    balancers = [Balancer(f"entry-{number}", "hall-a") for number in (1, 2, 3)]
    fleet = Fleet(balancers, record)
    backends = [Backend(f"i-{service}{number}", service, "hall-a", record, slots=6, queue=12, work=work)
                for service, count in (("archive", 8), ("convert", 6)) for number in range(count)]
    term_at = {}
    lost = []
    outcomes = {}
    lock = threading.Lock()
    is_over = threading.Event()
    try:
        fleet.store.put("op/config", configuration(
            {"r-pull": route("pull.example", "/bundles/", "archive", "safe", "5000ms", "1500ms"),
             "r-job": route("job.example", "/jobs/", "convert", "unsafe", "2500ms", "800ms")}, ["archive", "convert"]))
        for backend in backends:
            fleet.store.put("servers/" + backend.instance, server_record(backend.service, backend.port, backend.zone, 6))
        fleet.start_all()
        time.sleep(4)  # contact: nothing happened for 3 s
        ingress = Ingress(balancers, record)
        time.sleep(1)

        def client(number, kind, request_id):
            balancer = ingress.choose(number)
            try:
                caller = Caller(balancer.ports["callers"], timeout=1.0)
            except OSError:
                record.write(f"client {request_id}: no connection to {balancer.name}")
                return
            caller.connection.settimeout(kind.deadline + 1)
            sent = record.now()
            record.write(f"client sends {request_id} to {balancer.name}, work {works[request_id]:.2f} s")
            try:
                caller.send(kind.method, kind.host, f"{kind.prefix}{number}", request_id, int(kind.deadline * 1000), kind.body)
            except OSError:
                pass
            status, headers, body, whole = caller.answer()
            ended = record.now()
            caller.close()
            record.write(f"client gets {request_id}: {status if status else 'connection ended without an answer'}"
                         f"{'' if whole or not status else ', not whole'}")
            with lock:
                key = f"{kind.name} {status}"
                outcomes[key] = outcomes.get(key, 0) + 1
                if not (status and whole):
                    judge(request_id, kind, balancer, sent, ended)

        def start_again(balancer):
            """A process that has ended is started again after a short delay."""
            balancer.process.wait()
            record.write(f"{balancer.name} has ended")
            time.sleep(0.3)
            if not is_over.is_set():
                fleet.start(balancer)

        def judge(request_id, kind, balancer, sent, ended):
            """LOST, around planned work, with its excuses."""
            stop = term_at.get(balancer)
            was_passed_on = any(request_id in backend.runs for backend in backends)
            around = stop is not None and ended >= stop and sent <= stop + GRACE + 1
            timed_out = ended - sent >= min(kind.deadline, kind.timeout)
            at_work = sent + works[request_id] >= stop + GRACE * 5 / 6 if around else False
            excused = at_work and around and sent <= stop + 3
            # Whether a request that reached no backend had been read can't be seen from here, so it is not counted.
            if around and not timed_out and not excused and was_passed_on:
                lost.append(request_id)
                record.write(f"LOST {request_id}: sent {sent - stop:.2f} s after SIGTERM, ended {ended - stop:.2f} s after it, "
                             f"passed on: {was_passed_on}, work {works[request_id]:.2f} s")

        threads = []
        first = record.now()
        number = 0
        stops = [(2.0, balancers[0]), (3.3, balancers[1])] if TROUBLE else []
        while record.now() < first + LOAD_SECONDS:
            while stops and record.now() >= first + stops[0][0]:
                balancer = stops.pop(0)[1]
                term_at[balancer] = record.now()
                fleet.signal(balancer, signal.SIGTERM)
                threading.Thread(target=start_again, args=(balancer,), daemon=True).start()
            number += 1
            kind = PULL if number % 2 else JOB
            request_id = f"{kind.name}{number:04d}"
            works[request_id] = kind.short if number // 2 % LONG_EVERY else kind.long
            thread = threading.Thread(target=client, args=(number, kind, request_id), daemon=True)
            thread.start()
            threads.append(thread)
            time.sleep(PERIOD)
        for thread in threads:
            thread.join(12)
        record.write(f"outcomes: {outcomes}; lost: {len(lost)}")
        print(f"{number} requests, outcomes {outcomes}, lost {len(lost)}: {lost}")
        return 1 if lost else 0
    finally:
        is_over.set()
        fleet.stop()


if __name__ == "__main__":
    try:
        code = main()
    except CannotRun as problem:
        print(problem)
        code = 2
    sys.stdout.flush()
    os._exit(code)

"""Stand-in for the platform's metadata store (PROTOCOL.md): linearizable, one revision counter."""

import base64
import json
import threading
import urllib.parse
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

PAGE = 500


class PlatformStore:
    def __init__(self):
        self.lock = threading.Condition()
        self.items = {}
        self.history = []
        self.revision = 0
        store = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def log_message(self, *arguments):
                pass

            def answer(self, status, body):
                data = json.dumps(body).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(data)))
                self.end_headers()
                self.wfile.write(data)

            def do_GET(self):
                target = urllib.parse.urlsplit(self.path)
                query = {k: v[0] for k, v in urllib.parse.parse_qs(target.query).items()}
                if target.path == "/kv-range":
                    return self.answer(200, store.read_range(query))
                if target.path == "/kv-watch":
                    return self.answer(200, store.watch(query))
                if target.path == "/kv-key":
                    with store.lock:
                        item = store.items.get(query["key"])
                        return self.answer(200 if item else 404, {**(item or {}), "at": store.revision})
                return self.answer(404, {})

            def do_POST(self):
                body = json.loads(self.rfile.read(int(self.headers.get("Content-Length", 0))) or b"{}")
                if self.path == "/kv-txn":
                    return self.answer(*store.transact(body))
                return self.answer(404, {})

        class Server(ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 128

            def handle_error(self, request, client_address):
                pass  # a watch may be cut by its caller

        self.server = Server(("127.0.0.1", 0), Handler)
        self.port = self.server.server_address[1]
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def stop(self):
        self.server.shutdown()

    def read_range(self, query):
        with self.lock:
            keys = sorted(k for k in self.items if k.startswith(query.get("path_prefix", "")) and k > query.get("after", ""))
            return {"items": [self.items[k] for k in keys[:PAGE]], "more": len(keys) > PAGE, "at": self.revision}

    def watch(self, query):
        prefix, after = query.get("path_prefix", ""), int(query["after"])
        with self.lock:
            events = lambda: [e for e in self.history if e["revision"] > after and e["key"].startswith(prefix)]
            self.lock.wait_for(events, timeout=int(query["wait_ms"]) / 1000)
            return {"events": events(), "at": self.revision}

    def transact(self, body):
        with self.lock:
            wanted = body.get("expected_revision", [])
            now = {row["key"]: self.items.get(row["key"], {"revision": 0})["revision"] for row in wanted}
            if any(now[row["key"]] != row["revision"] for row in wanted):
                return 412, {"items": [self.items[k] for k in now if k in self.items]}
            self.revision += 1
            for row in body.get("put", []):
                made = self.items.get(row["key"], {"made": self.revision})["made"]
                item = {"key": row["key"], "value": row["value"], "revision": self.revision, "made": made, "lease": 0}
                self.items[row["key"]] = item
                self.history.append(item)
            for key in body.get("remove", []):
                if self.items.pop(key, None):
                    self.history.append({"key": key, "revision": self.revision, "gone": True})
            self.lock.notify_all()
            return 200, {"revision": self.revision}

    def put(self, key, document):
        """A write of the operator or of a backend server; returns once it is acknowledged."""
        value = base64.b64encode(json.dumps(document).encode()).decode()
        return self.transact({"put": [{"key": key, "value": value}]})

    def remove(self, key):
        return self.transact({"remove": [key]})

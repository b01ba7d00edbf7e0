"""Runs a fleet on a fake platform on loopback: the store, backend servers and entry nodes."""

import base64
import http.client
import http.server
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import tempfile
import threading
import time
import urllib.parse

BUILD = os.environ["BANYANRING_BUILD"]
DAEMON = os.path.join(BUILD, "platform", "banyanringd")
HOST = "shop.example"
PORT_RANGE = 4  # Ports of a node in addition to its listen addresses.
HEARTBEAT_S = 0.3  # Interval in which servers renew their registrations.
SLOW_RESPONSE_S = 20  # Longer than any deadline.


def find_free_ports(size=1):
    """Returns the first of `size` consecutive ports that are free for TCP and UDP. They are below the
    ephemeral ports, so that no outgoing connection can take them before they are used."""
    for _ in range(1000):
        first = random.randrange(10000, 30000)
        try:
            for port in range(first, first + size):
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(type=kind) as probe:
                        probe.bind(("127.0.0.1", port))
            return first
        except OSError:
            continue
    raise AssertionError("no free ports")


class QuietHandler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def log_message(self, *_):
        pass

    def respond(self, status, body=b"", headers=()):
        self.send_response(status)
        for name, value in headers:
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)


def serve(handler, port, **attributes):
    """Starts an HTTP server in a background thread."""
    server = http.server.ThreadingHTTPServer(
        ("127.0.0.1", port), type("Handler", (handler,), attributes))
    server.daemon_threads = True
    threading.Thread(target=server.serve_forever, args=(0.05,), daemon=True).start()
    return server


class Store:
    """A fake key-value store with revisions, range reads in pages and watches. It can come back from a
    copy, which starts a new era."""

    def __init__(self, page_size=500):
        self.items, self.events, self.revision, self.era = {}, [], 0, 1
        self.times = []  # When each event happened.
        self.changed, self.unavailable, self.page_size = threading.Condition(), False, page_size
        self.port = find_free_ports()
        self.server = serve(StoreHandler, self.port, store=self)

    def put(self, key, value):
        with self.changed:
            self.revision += 1
            encoded = base64.b64encode(json.dumps(value).encode()).decode()
            self.items[key] = {"key": key, "value": encoded, "mod_revision": self.revision}
            self.events.append(self.items[key])
            self.times.append(time.monotonic())
            self.changed.notify_all()

    def remove(self, key):
        with self.changed:
            self.revision += 1
            self.items.pop(key, None)
            self.events.append({"key": key, "mod_revision": self.revision, "removed": True})
            self.times.append(time.monotonic())
            self.changed.notify_all()

    def restore(self, age_s):
        """Continues from a copy that is `age_s` old: later changes are lost, and their revisions are
        given out again."""
        with self.changed:
            kept = sum(1 for happened in self.times if happened <= time.monotonic() - age_s)
            del self.events[kept:], self.times[kept:]
            self.items = {}
            for event in self.events:
                self.items.pop(event["key"], None)
                if not event.get("removed"):
                    self.items[event["key"]] = event
            self.revision = self.events[-1]["mod_revision"] if self.events else 0
            self.era += 1
            self.changed.notify_all()


class StoreHandler(QuietHandler):
    store = None

    def do_GET(self):
        store = self.store
        if store.unavailable:
            self.respond(503, headers=[("Store-Era", str(store.era))])
            return
        url = urllib.parse.urlsplit(self.path)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        prefix = query.get("prefix", "")
        if url.path == "/api/kv-range":
            after = query.get("after", "")
            with store.changed:
                keys = sorted(k for k in store.items if k.startswith(prefix) and k > after)
                entries = [store.items[k] for k in keys[:store.page_size]]
                body = {"entries": entries, "more_pages": len(keys) > store.page_size,
                        "as_of": store.revision}
                era = store.era
        else:
            after, deadline = int(query["after"]), time.monotonic() + int(query["wait_ms"]) / 1000
            with store.changed:
                asked_in = store.era
                while (store.revision <= after and store.era == asked_in and not store.unavailable
                       and time.monotonic() < deadline):
                    store.changed.wait(0.05)
                era = store.era
                known = after <= store.revision and era == asked_in
                events = [e for e in store.events if e["mod_revision"] > after]
                body = {"events": events, "as_of": store.revision}
            if store.unavailable or not known:
                self.respond(503 if store.unavailable else 410, headers=[("Store-Era", str(era))])
                return
        self.respond(200, json.dumps(body).encode(), [("Store-Era", str(era))])


class Registration:
    """The entry of a backend server in the store, which is renewed until it is `stopped`."""

    def __init__(self, store, name, service, zone, port):
        self.store, self.name, self.service, self.zone = store, name, service, zone
        self.port, self.stopped, self.state = port, False, "ready"
        threading.Thread(target=self.renew_registration, daemon=True).start()

    def renew_registration(self):
        sequence = 0
        while not self.stopped:
            sequence += 1
            self.store.put(f"servers/{self.name}", {
                "service": self.service, "address": f"127.0.0.1:{self.port}", "zone": self.zone,
                "slots": 8, "state": self.state, "cold_left_ms": 0, "seq": sequence})
            time.sleep(HEARTBEAT_S)


class Server(Registration):
    """A fake backend server, which records the requests that it ran. Once `stopped`, it registers no more
    and still serves."""

    def __init__(self, store, name, service, zone):
        self.runs = []
        self.seen = set()  # Attempt ids of all requests that arrived, also those that were not run.
        port = find_free_ports()
        self.server = serve(ServerHandler, port, backend=self)
        super().__init__(store, name, service, zone, port)


class ServerHandler(QuietHandler):
    backend = None

    def do_GET(self):
        self.run()

    def do_POST(self):
        self.run()

    def run(self):
        try:
            self.respond_to_request()
        except ConnectionError:
            self.close_connection = True  # The node has cancelled the request.

    def respond_to_request(self):
        """Runs a request. A behaviour may be the last part of its path: `delay-MS` before the response,
        `silent-MS` within a stream, `unframed`, or `early`, before its body has been read."""
        behaviour, _, number = self.path.rsplit("/", 1)[1].partition("-")
        pause = int(number or 0) / 1000 if behaviour in ("delay", "silent") else 0
        attempt = self.headers["X-Attempt-Id"]
        self.backend.seen.add(attempt)
        length = int(self.headers.get("Content-Length", 0))
        body = b"" if behaviour == "early" else self.rfile.read(length)
        if self.headers["X-Expect-Instance"] != self.backend.name:
            self.respond(421, headers=[("X-Attempt-Id", attempt)])
            return
        self.backend.runs.append({
            "id": self.headers["X-Attempt-Id"], "path": self.path, "body": body.decode(),
            "tenant": self.headers["X-Tenant"], "key": self.headers["Authorization"],
            "left": int(self.headers["X-Deadline-Remaining"])})
        echo = [("X-Attempt-Id", self.headers["X-Attempt-Id"]), ("X-Server-Seal", "seal")]
        if behaviour == "delay" or not self.path.startswith("/draft/"):
            time.sleep(pause)
        if not self.path.startswith("/draft/"):
            time.sleep(SLOW_RESPONSE_S if self.path.endswith("/slow") else 0.03)
            if behaviour == "unframed":
                self.respond_unframed(body + b" done", echo)
                return
            self.respond(200, body + b" done", echo)
            if behaviour == "early":
                time.sleep(0.05)
                self.rfile.read(length)
            return
        first_event = int(self.headers.get("Last-Event-Id", 0)) + 1
        self.send_response(200)
        for name, value in echo + [("Content-Type", "text/event-stream"),
                                   ("Transfer-Encoding", "chunked")]:
            self.send_header(name, value)
        self.end_headers()
        for number in range(first_event, 11):
            event = f"id: {number}\ndata: {number}\n\n".encode()
            if behaviour == "silent" and number == 5:
                time.sleep(pause)
            self.wfile.write(b"%x\r\n%s\r\n" % (len(event), event))
            time.sleep(0.03)
        self.wfile.write(b"0\r\n\r\n")

    def respond_unframed(self, body, headers):
        """Sends a response whose end is the end of the connection."""
        self.send_response(200)
        for name, value in headers:
            self.send_header(name, value)
        self.end_headers()
        self.wfile.write(body)
        self.close_connection = True


class Node:
    """An entry node: a daemon process with its own settings file."""

    def __init__(self, fleet, number):
        self.fleet, self.number, self.process = fleet, number, None
        names = ("front", "ready", "control", "directory")
        first_port = find_free_ports(len(names) + PORT_RANGE)
        self.ports = {name: first_port + index for index, name in enumerate(names)}
        self.range_start = first_port + len(names)
        self.settings = fleet.directory / f"node-{number}.conf"
        self.log = fleet.directory / f"node-{number}.log"

    def start(self):
        seeds = ",".join(f"127.0.0.1:{n.ports['control']}" for n in self.fleet.nodes[:3])
        lines = [f"node_name=node-{self.number}", "ip=127.0.0.1", f"zone=z{self.number % 2}",
                 "region=r", "zones.z0=r", "zones.z1=r", f"seeds={seeds}",
                 f"port_range={self.range_start},{self.range_start + PORT_RANGE - 1}", "bounds.grace_s=8",
                 f"platform.address=127.0.0.1:{self.fleet.store.port}"]
        lines += [f"listen.{name}=127.0.0.1:{port}" for name, port in self.ports.items()]
        if self.fleet.memory_mb is not None:
            lines.append(f"limits.memory_mb={self.fleet.memory_mb}")
        self.settings.write_text("\n".join(lines) + "\n")
        self.process = subprocess.Popen(
            [DAEMON], stdout=open(self.log, "ab"), stderr=subprocess.STDOUT,
            env={"BANYANRING_SETTINGS": str(self.settings)})

    def stop(self, number=signal.SIGTERM):
        self.process.send_signal(number)
        return self.process.wait(timeout=15)

    def ready(self):
        try:
            return get(self.ports["ready"], "/api/readyz")[0] == 200
        except OSError:
            return False

    def addresses(self):
        status, body = get(self.ports["directory"], f"/api/resolve?name={HOST}&region=r&zone=z0")
        return json.loads(body)["addresses"] if status == 200 else []

    def metrics_port(self):
        return self.range_start + 1


def get(port, path, headers=None, timeout=5):
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    try:
        connection.request("GET", path, headers=headers or {})
        response = connection.getresponse()
        return response.status, response.read()
    finally:
        connection.close()


class Fleet:
    """A store, backend servers and nodes; to be used in a `with` block, which ends all of them."""

    def __init__(self, nodes=3, start=True, page_size=500, memory_mb=None):
        self.temporary = tempfile.TemporaryDirectory()
        self.directory = pathlib.Path(self.temporary.name)
        self.store, self.version, self.memory_mb = Store(page_size), 0, memory_mb
        self.keys, self.limits, self.quota = ["key-1"], {}, {}
        self.route_changes = {}  # Fields to change, by the name of the route.
        self.publish()
        self.servers = [Server(self.store, f"i-{service}-{zone}", service, zone)
                        for service in ("llm", "desk") for zone in ("z0", "z1")]
        self.nodes = []
        self.nodes += [Node(self, number) for number in range(nodes)]
        if start:
            for node in self.nodes:
                node.start()

    def publish(self, **extra_routes):
        self.version += 3
        kinds = {"order": ("non_idempotent", "desk"), "lookup": ("idempotent", "desk"),
                 "draft": ("streaming", "llm"), **extra_routes}
        routes = [{"name": f"r-{name}", "hostname": HOST, "prefix": f"/{name}/",
                   "route_type": kind, "timeout_ms": 5000, "target_latency_ms": 500,
                   "priority": 0, "service": service, "max_attempts": 2,
                   "resumable": kind == "streaming", "gap_target_ms": 300,
                   **self.route_changes.get(name, {})}
                  for name, (kind, service) in kinds.items()]
        self.published = {
            "version": self.version, "routes": routes,
            "services": [{"name": "desk"}, {"name": "llm", "engine": {"slots": 8, "stride": 1}}],
            "limits": self.limits,
            "tenants": [{"name": "red", "api_keys": self.keys, **self.quota}]}
        self.store.put("op/config", self.published)

    def wait_until(self, what, condition, seconds=10):
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            if condition():
                return
            time.sleep(0.05)
        raise AssertionError(f"timed out after {seconds} s waiting for: {what}")

    def wait_ready(self, seconds=10):
        self.wait_until("all nodes ready and in the address list of each other", lambda: all(
            n.ready() and len(n.addresses()) == len(self.nodes) for n in self.nodes), seconds)

    def runs(self):
        return [run for server in self.servers for run in server.runs]

    def __enter__(self):
        return self

    def __exit__(self, kind, *_):
        for node in self.nodes:
            if node.process and node.process.poll() is None:
                node.process.kill()
                node.process.wait()
            if kind is not None and node.log.exists():
                print(f"--- {node.log.name}\n" + node.log.read_text()[-4000:])
        for server in self.servers:
            server.stopped = True
        self.temporary.cleanup()

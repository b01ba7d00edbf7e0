"""Stand-ins of the platform for the scripts of this review: the store, backend servers and clients.

All of them run in one asyncio loop of the test's process and speak the protocol of the users' pages.
The nodes are separate processes of the program that the deploy file names.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import signal
import socket
import struct
import subprocess
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = "ficu95.example"
HEARTBEAT_S = 1.2
ZONES = ["surat-a", "surat-b", "surat-c"]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# The bounds of the sheet of nakshi-counter.
BOUNDS = {
    "seed_lag_s": 3, "reuse_after_s": 2, "stable_window_ms": 3000, "ack_ms": 4000,
    "catch_up_s": 4, "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200,
    "config_apply_ms": 2000, "rollback_slack_ms": 250, "max_stretch_ms": 5000,
    "strict_revoke": "false", "revoke_ms": 5000, "retry_budget_ratio": 0.2,
    "budget_window_s": 10, "budget_slack": 58, "quota_window_s": 8, "quota_overshoot": 0.25,
    "quota_slack": 140000, "cold_overshoot": 1.5, "cold_slack": 5, "evacuate_ms": 5000,
    "recover_s": 12, "pass_ms": 120, "reuse_window_s": 7, "ttl_max_s": 5}


def free_ports(count, ip="127.0.0.1"):
    """Returns `count` ports that are free for TCP and UDP."""
    ports = []
    while len(ports) < count:
        port = random.randrange(11000, 31000)
        try:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(type=kind) as probe:
                    probe.bind((ip, port))
        except OSError:
            continue
        if port not in ports:
            ports.append(port)
    return ports


def free_range(size, ip="127.0.0.1"):
    """Returns the first of `size` consecutive free ports."""
    for _ in range(1000):
        first = random.randrange(11000, 31000)
        try:
            for port in range(first, first + size):
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(type=kind) as probe:
                        probe.bind((ip, port))
            return first
        except OSError:
            continue
    raise RuntimeError("no free ports")


def reset(writer):
    """Closes a connection with a reset, as a process does that ends with unread data."""
    connection = writer.get_extra_info("socket")
    if connection is not None and connection.fileno() >= 0:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Record:
    """Writes what was sent, answered and run, with the seconds since the start of the test."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        self.file.write(f"{self.now():9.3f} {text}\n")
        self.file.flush()


async def read_head(reader):
    """Returns the first line and the headers (names in lower case) of a message; None at its end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


class Store:
    """The platform's metadata store: range reads and watches, and restores from a copy."""

    def __init__(self, record, with_era=False):
        self.record, self.items, self.events = record, {}, []
        self.revision, self.era, self.with_era = 1, 1, with_era
        self.down, self.changed = False, asyncio.Event()
        self.writers = set()

    async def start(self):
        self.port = free_ports(1)[0]
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)

    def notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key, value):
        self.revision += 1
        text = base64.b64encode(json.dumps(value).encode()).decode()
        created = self.items.get(key, {}).get("created", self.revision)
        self.items[key] = {"key": key, "value": text, "mod_revision": self.revision,
                           "created": created, "lease": 0}
        self.events.append((time.monotonic(), self.items[key]))
        self.notify()

    def remove(self, key):
        if key not in self.items:
            return
        self.revision += 1
        del self.items[key]
        self.events.append((time.monotonic(),
                            {"key": key, "mod_revision": self.revision, "removed": True}))
        self.notify()

    def restore(self, age_s):
        """Comes back from a copy that is `age_s` old."""
        limit = time.monotonic() - age_s
        self.events = [(at, event) for at, event in self.events if at <= limit]
        self.items = {}
        for _, event in self.events:
            self.items.pop(event["key"], None)
            if not event.get("removed"):
                self.items[event["key"]] = event
        self.revision = self.events[-1][1]["mod_revision"] if self.events else 1
        self.era += 1
        self.notify()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                status, body = await self.answer(head[0].split()[1])
                text = b"" if body is None else json.dumps(body).encode()
                era = f"Store-Era: {self.era}\r\n" if self.with_era else ""
                writer.write(f"HTTP/1.1 {status} X\r\n{era}Content-Type: application/json\r\n"
                             f"Content-Length: {len(text)}\r\n\r\n".encode() + text)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, target):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        if self.down:
            return 503, None
        prefix = query.get("prefix", "")
        if url.path == "/api/kv-range":
            after = query.get("after", "")
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            return 200, {"entries": [self.items[k] for k in keys[:500]],
                         "more_pages": len(keys) > 500, "as_of": self.revision}
        if url.path != "/api/kv-watch":
            return 404, None
        after, era = int(query["after"]), self.era
        deadline = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while not self.down and self.era == era and self.revision <= after:
            left = deadline - time.monotonic()
            if left <= 0:
                break
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass
        if self.down:
            return 503, None
        if self.era != era or after > self.revision:
            return 410, None
        events = [e for _, e in self.events
                  if e["mod_revision"] > after and e["key"].startswith(prefix)]
        return 200, {"events": events, "as_of": self.revision}


class Backend:
    """A backend server: admits up to `slots` requests, registers in the store, and can crash."""

    def __init__(self, store, record, service, zone, slots, cold_ms=0):
        self.store, self.record, self.service, self.zone = store, record, service, zone
        self.slots, self.cold_ms, self.running, self.state = slots, cold_ms, 0, "ready"
        self.writers, self.sequence, self.up = set(), 0, False
        self.port = free_ports(1)[0]
        self.handle = None  # async (backend, request) -> None; writes the response.

    async def start(self):
        self.id = "i-" + "".join(random.choices("0123456789abcdef", k=10))
        self.born, self.sequence, self.running = int(time.time() * 1000), 0, 0
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port,
                                                 reuse_address=True, limit=1 << 20)
        self.up = True
        self.register()
        self.record.write(f"server {self.id} ({self.service}, {self.zone}) starts at {self.port}")

    def register(self):
        self.sequence += 1
        self.store.put(f"servers/{self.id}", {
            "service": self.service, "address": f"127.0.0.1:{self.port}", "zone": self.zone,
            "version": "v1", "slots": self.slots, "state": self.state,
            "cold_left_ms": self.cold_ms if self.sequence == 1 else 0, "born": self.born,
            "phase": "both", "models": [{"name": "m", "version": 1, "adapters": []}],
            "seq": self.sequence})

    def close_all(self):
        self.up = False
        self.server.close()
        for writer in list(self.writers):
            reset(writer)
        self.writers.clear()

    async def crash(self, down_s):
        """Ends at once and starts again after `down_s`, with another id."""
        if not self.up:
            return
        old = self.id
        self.record.write(f"server {old} crashes")
        self.close_all()
        asyncio.get_running_loop().call_later(
            3 * HEARTBEAT_S, lambda: self.store.remove(f"servers/{old}"))
        await asyncio.sleep(down_s)
        await self.start()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                line, headers = head
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                method, target, _ = line.split(" ", 2)
                request = Request(method, target, headers, body, writer, reader)
                if headers.get("x-expect-instance", self.id) != self.id:
                    request.respond(421, b"", [("X-Instance-Id", self.id)])
                elif self.running >= self.slots:
                    request.respond(503, b"", [("X-Not-Executed", "1")])
                else:
                    self.running += 1
                    try:
                        await self.handle(self, request)
                    finally:
                        self.running = max(0, self.running - 1)
                await writer.drain()
                if request.close:
                    return
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Request:
    """A request at a backend server."""

    def __init__(self, method, target, headers, body, writer, reader):
        self.method, self.target, self.headers, self.body = method, target, headers, body
        self.writer, self.reader, self.close = writer, reader, False
        self.id = headers.get("x-attempt-id", "")

    def gone(self):
        """Whether the sender has closed the connection."""
        return self.reader.at_eof() or self.writer.transport.is_closing()

    def respond(self, status, body, headers=()):
        lines = [f"HTTP/1.1 {status} X", f"X-Attempt-Id: {self.id}",
                 f"Content-Length: {len(body)}"]
        lines += [f"{name}: {value}" for name, value in headers]
        self.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)

    def begin_stream(self, headers=()):
        lines = ["HTTP/1.1 200 OK", f"X-Attempt-Id: {self.id}", "X-Server-Seal: s." + self.id,
                 "Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
        lines += [f"{name}: {value}" for name, value in headers]
        self.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())

    def send_event(self, number):
        event = f"id: {number}\ndata: piece {number} of {self.id}\n\n".encode()
        self.writer.write(b"%x\r\n%s\r\n" % (len(event), event))

    def end_stream(self):
        self.writer.write(b"0\r\n\r\n")


class Answer:
    """What a client got: status 0 stands for a closed connection or the client's deadline."""

    def __init__(self):
        self.status, self.headers, self.body, self.complete, self.events = 0, {}, b"", False, []


class Client:
    """Sends requests as the pages say: each on a new connection to a random listed address."""

    def __init__(self, fleet, key):
        self.fleet, self.key = fleet, key

    async def send(self, method, target, deadline_ms, headers=(), body=b"", address=None,
                   attempt=None):
        answer = Answer()
        answer.id = attempt or "%016x" % random.getrandbits(64)
        answer.sent_at = self.fleet.record.now()
        ip, port = address or random.choice(self.fleet.addresses())
        lines = [f"{method} {target} HTTP/1.1", f"Host: {HOST}", f"X-Attempt-Id: {answer.id}",
                 f"X-Deadline-Remaining: {deadline_ms}", f"Authorization: Bearer {self.key}",
                 f"Content-Length: {len(body)}"]
        lines += [f"{name}: {value}" for name, value in headers]
        try:
            await asyncio.wait_for(
                self.exchange(ip, port, ("\r\n".join(lines) + "\r\n\r\n").encode() + body, answer),
                deadline_ms / 1000)
        except (asyncio.TimeoutError, ConnectionError, OSError, asyncio.IncompleteReadError):
            pass
        answer.done_at = self.fleet.record.now()
        return answer

    async def exchange(self, ip, port, data, answer):
        reader, writer = await asyncio.wait_for(asyncio.open_connection(ip, port, limit=1 << 20), 1)
        try:
            writer.write(data)
            head = await read_head(reader)
            if head is None:
                return
            answer.status, answer.headers = int(head[0].split()[1]), head[1]
            if answer.headers.get("transfer-encoding") == "chunked":
                while True:
                    size = int((await reader.readuntil(b"\r\n")).strip(), 16)
                    data = await reader.readexactly(size + 2)
                    if size == 0:
                        break
                    answer.body += data[:-2]
            else:
                answer.body = await reader.readexactly(int(answer.headers["content-length"]))
            answer.complete = True
        finally:
            writer.close()


class Node:
    """A node: a process of the deploy file's program with a settings file of its own."""

    def __init__(self, fleet, number):
        self.fleet, self.number, self.process = fleet, number, None
        self.zone = ZONES[number % len(ZONES)]
        self.ip = f"127.0.{20 + number % 3}.{10 + number // 3}"
        first = free_range(20, self.ip)
        self.ports = {"front": first, "ready": first + 1, "control": first + 2,
                      "directory": first + 3}
        self.range = (first + 4, first + 19)
        self.name = f"front-{self.zone}-{number // 3 + 1}"
        self.settings = fleet.folder / f"{self.name}.conf"
        self.log = fleet.folder / f"{self.name}.log"

    def write_settings(self):
        seeds = ",".join(f"{n.ip}:{n.ports['control']}" for n in self.fleet.nodes[:3])
        lines = [f"node_name={self.name}", "role=entry", "machine_class=front",
                 "serves=front,control,directory", f"ip={self.ip}", f"zone={self.zone}",
                 "region=guj-west", *[f"zones.{zone}=guj-west" for zone in ZONES],
                 *[f"listen.{name}={self.ip}:{port}" for name, port in self.ports.items()],
                 f"port_range={self.range[0]},{self.range[1]}", f"seeds={seeds}",
                 "bootstrap=true", "in_tolerance=false", "limits.cpu_share=0.25",
                 "limits.cpu_cores=1", "limits.memory_mb=110", "limits.max_fds=4100",
                 "limits.link_mbps=1000.0", "limits.disk_mb=0", "discovery=platform",
                 "entry=directory", "heartbeat_ms=1200",
                 "contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,quota,"
                 "places,platform", "fault_tolerance.machines=1", "fault_tolerance.zones=1",
                 "fault_tolerance.regions=0",
                 *[f"bounds.{name}={value}" for name, value in BOUNDS.items()],
                 f"platform.address=127.0.0.1:{self.fleet.store.port}", "platform.form=read",
                 "platform.writes_per_s=400", "platform.reads_per_s=2000",
                 "platform.history_s=20", "platform.value_bytes=1048576",
                 "platform.ttl_min_ms=1000"]
        self.settings.write_text("\n".join(lines) + "\n")

    def start(self):
        self.write_settings()
        self.process = subprocess.Popen(
            self.fleet.command, cwd=ROOT, stdout=open(self.log, "ab"), stderr=subprocess.STDOUT,
            env={"BANYANRING_SETTINGS": str(self.settings), "PATH": os.environ["PATH"],
                 "HOME": str(self.fleet.folder), "LANG": "C.UTF-8"})

    def send_signal(self, number):
        self.process.send_signal(number)

    def running(self):
        return self.process is not None and self.process.poll() is None

    async def ready(self):
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(self.ip, self.ports["ready"]), 1)
            writer.write(b"GET /api/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return head is not None and head[0].split()[1] == "200"
        except (OSError, asyncio.TimeoutError):
            return False


class Fleet:
    """The store, backend servers and nodes of one test; ends all of them on leaving."""

    def __init__(self, folder, nodes=9, with_era=False):
        self.record = Record(folder)
        self.temporary = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self.temporary.name)
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.command = deploy["roles"]["entry"]["run"].split()
        self.store, self.backends, self.version = Store(self.record, with_era), [], 3
        self.node_count, self.nodes, self.tasks = nodes, [], []

    async def __aenter__(self):
        await self.store.start()
        self.nodes += [Node(self, number) for number in range(self.node_count)]
        return self

    async def __aexit__(self, *_):
        for node in self.nodes:
            if node.running():
                node.process.send_signal(signal.SIGCONT)
                node.process.kill()
                node.process.wait()
        for backend in self.backends:
            if backend.up:
                backend.close_all()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for node in self.nodes:
                if node.log.exists():
                    pathlib.Path(keep, node.log.name).write_bytes(node.log.read_bytes())
        self.temporary.cleanup()

    def addresses(self):
        """The addresses that the directory lists: those of the nodes that run and are ready."""
        return [(n.ip, n.ports["front"]) for n in self.nodes if n.running()]

    def publish(self, config):
        config = {"version": self.version, **config}
        self.version += 2
        self.store.put("op/config", config)
        self.record.write(f"operator: configuration {config['version']} is in the store")

    async def add_backend(self, service, zone, slots, handle, cold_ms=0):
        backend = Backend(self.store, self.record, service, zone, slots, cold_ms)
        backend.handle = handle
        await backend.start()
        self.backends.append(backend)
        return backend

    async def start_nodes(self):
        for node in self.nodes:
            node.start()
        deadline = time.monotonic() + 15
        while time.monotonic() < deadline:
            if all([await node.ready() for node in self.nodes]):
                self.record.write(f"{len(self.nodes)} nodes are ready")
                return
            await asyncio.sleep(0.1)
        raise RuntimeError("the nodes did not become ready")


LIMITS = {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
          "idle_timeout_ms": 15000}


def route(name, prefix, kind, service, **fields):
    return {"name": name, "hostname": HOST, "prefix": prefix, "route_type": kind,
            "timeout_ms": 8000, "target_latency_ms": 300, "priority": 1, "service": service,
            "max_attempts": 1, "anonymous": False, "sticky": kind == "streaming",
            "resumable": False, "gap_target_ms": 300, **fields}


def engine_service(name, slots):
    return {"name": name, "health_path": "/healthz", "max_connections": 370, "protocol": "h1",
            "tls": False, "cold_s": 3.0, "cold_per_s": 23.0,
            "engine": {"slots": slots, "kv_capacity": 392296, "kv_bytes": 131072,
                       "link_mbps": 1100000.0, "moves": True, "backups": True, "stride": 11,
                       "most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0,
                       "models": [{"name": "m"}]}}


def plain_service(name):
    return {"name": name, "health_path": "/healthz", "max_connections": 110, "protocol": "h1",
            "tls": False, "cold_s": 0.0, "cold_per_s": 0.0}


def run_test(main, seconds=115):
    """Runs a test. Exit status: 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    try:
        broken = asyncio.run(asyncio.wait_for(main(), seconds))
    except Exception as error:  # pylint: disable=broad-except
        print(f"could not run: {type(error).__name__}: {error}")
        raise SystemExit(2) from error
    raise SystemExit(1 if broken else 0)

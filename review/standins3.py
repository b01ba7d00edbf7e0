"""Stand-ins of the third review: the platform with its machines, store, servers and clients.

Everything runs in one process on loopback addresses; the daemons are started as separate processes
with the command of the deploy file. Each machine has a loopback address of its own.
"""

import asyncio
import base64
import collections
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BROKEN, HELD, NOT_RUN = 1, 0, 2
HOST = "ficu95.example"
HEARTBEAT_S = 1.2
# Ports of every machine, as on the platform's machines.
PORTS = {"directory": 0, "front": 1, "ready": 4, "control": 9}
PORT_RANGE = (20, 35)
# Bounds of culisa-ring.
BOUNDS = {
    "seed_lag_s": 3, "reuse_after_s": 2, "stable_window_ms": 3000, "ack_ms": 4000, "catch_up_s": 4,
    "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200, "config_apply_ms": 2000,
    "rollback_slack_ms": 250, "max_stretch_ms": 5000, "strict_revoke": "false", "revoke_ms": 5000,
    "retry_budget_ratio": 0.2, "budget_window_s": 10, "budget_slack": 54, "quota_window_s": 8,
    "quota_overshoot": 0.25, "quota_slack": 140000, "cold_overshoot": 1.5, "cold_slack": 5,
    "evacuate_ms": 5000, "recover_s": 12, "pass_ms": 120, "reuse_window_s": 10, "ttl_max_s": 5,
}


def now():
    return time.monotonic()


class Record:
    """The record of a run: one line per event, with the time since the start."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")
        self.start = now()

    def write(self, kind, **fields):
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{now() - self.start:8.3f} {kind} {text}\n")

    def say(self, text):
        self.file.write(f"{now() - self.start:8.3f} note {text}\n")
        self.file.flush()
        print(f"{now() - self.start:6.1f} s  {text}", flush=True)


async def read_head(reader):
    """Returns the first line and the fields of a message; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields, until_end=False):
    if fields.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += (await reader.readexactly(size + 2))[:-2]
            if size == 0:
                return body
    if "content-length" in fields:
        return await reader.readexactly(int(fields["content-length"]))
    return await reader.read() if until_end else b""


def message(first, headers, body=b"", length=True):
    lines = [first] + [f"{name}: {value}" for name, value in headers]
    if length:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Store:
    """The platform's store: revisions, pages, watches."""

    def __init__(self, ip, port):
        self.ip, self.port = ip, port
        self.items, self.events, self.revision = {}, collections.deque(maxlen=5000), 0
        self.era, self.available = 1, True

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, self.port, backlog=256)

    async def until_available(self):
        while not self.available:
            await asyncio.sleep(0.02)

    async def put(self, key, value):
        """Writes an item. Returns when it was acknowledged."""
        await self.until_available()
        self.revision += 1
        item = {"key": key, "value": base64.b64encode(json.dumps(value).encode()).decode(),
                "mod_revision": self.revision, "created": self.revision, "lease": 0}
        self.items[key] = item
        self.events.append(item)
        return now()

    async def remove(self, key):
        await self.until_available()
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.events.append({"key": key, "mod_revision": self.revision, "removed": True})
        return now()

    def copy(self):
        return dict(self.items), list(self.events), self.revision

    def restore(self, copy):
        """Continues from a copy: later changes are lost, and their revisions are given out again."""
        self.items, self.revision = dict(copy[0]), copy[2]
        self.events = collections.deque(copy[1], maxlen=5000)
        self.era += 1

    async def answer(self, target):
        path, _, query = target.partition("?")
        from urllib.parse import parse_qsl
        fields = dict(parse_qsl(query, keep_blank_values=True))
        prefix = fields.get("prefix", "")
        if path == "/api/kv-range":
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > fields.get("after", ""))
            return 200, {"entries": [self.items[k] for k in keys[:500]],
                         "more_pages": len(keys) > 500, "as_of": self.revision}
        if path == "/api/kv-watch":
            after, deadline = int(fields["after"]), now() + int(fields["wait_ms"]) / 1000
            era = self.era
            while True:
                if not self.available:
                    return 503, {}
                if era != self.era or after > self.revision or (self.events and len(self.events) == self.events.maxlen
                                             and self.events[0]["mod_revision"] > after + 1):
                    return 410, {}
                events = [e for e in self.events
                          if e["mod_revision"] > after and e["key"].startswith(prefix)]
                if events or now() >= deadline:
                    return 200, {"events": events, "as_of": self.revision}
                await asyncio.sleep(0.01)
        if path == "/api/kv-key":
            item = self.items.get(fields.get("key", ""))
            return (200, {**item, "as_of": self.revision}) if item else (404, {"as_of": self.revision})
        return 404, {}

    async def serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                status, body = await self.answer(head[0].split(" ")[1]) if self.available else (503, {})
                await asyncio.sleep(0.004)
                writer.write(message(f"HTTP/1.1 {status} X",
                                     [("Content-Type", "application/json"), ("Store-Era", str(self.era))],
                                     json.dumps(body).encode()))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class Server:
    """A sound server: runs `slots` requests at once, queues a few more and rejects others."""

    def __init__(self, platform, name, service, zone, slots=11, work_s=0.15, tokens_per_s=0,
                 events=5):
        self.platform, self.name, self.service, self.zone = platform, name, service, zone
        self.slots, self.work_s, self.tokens_per_s = slots, work_s, tokens_per_s
        self.events = events  # Of a stream.
        self.reading = asyncio.Lock()  # Prompts are read one after the other.
        self.born, self.sequence, self.active = int(time.time() * 1000), 0, 0
        self.free = asyncio.Semaphore(slots)
        self.state, self.writers, self.up = "ready", set(), False
        self.cold_until = 0.0

    async def start(self, register=True):
        self.ip = self.platform.new_ip()
        await self.listen()
        if register:
            await self.write_entry()
            self.beat = asyncio.ensure_future(self.renew())

    async def listen(self):
        self.listener = await asyncio.start_server(self.serve, self.ip, self.platform.server_port,
                                                   backlog=256)
        self.up = True

    def entry(self):
        self.sequence += 1
        return {"service": self.service, "address": f"{self.ip}:{self.platform.server_port}",
                "zone": self.zone,
                "version": "v1", "slots": self.slots, "state": self.state,
                "cold_left_ms": max(0, int((self.cold_until - now()) * 1000)), "phase": "both",
                "models": [{"name": "m", "version": 1, "adapters": []}], "seq": self.sequence,
                "born": self.born}

    async def write_entry(self):
        return await self.platform.store.put(f"servers/{self.name}", self.entry())

    async def renew(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            if self.up:
                await self.write_entry()

    async def crash(self):
        """Resets all connections and listens no more; the entry expires by itself."""
        self.up = False
        self.listener.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head[1])
                arrived = now()
                if not await self.answer(head[0], head[1], body, arrived, reader, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def read_prompt(self, fields):
        if self.tokens_per_s and "x-token-counts" in fields:
            async with self.reading:
                await asyncio.sleep(int(fields["x-token-counts"].split(",")[0]) / self.tokens_per_s)

    def base_headers(self, fields):
        headers = [("X-Attempt-Id", fields.get("x-attempt-id", "")), ("Keep-Alive", "timeout=5"),
                   ("X-Server-Load", f"{self.active},0,{self.slots}")]
        return headers

    async def answer(self, first, fields, body, arrived, reader, writer):
        method, target, _ = first.split(" ")
        record = self.platform.record
        attempt = fields.get("x-attempt-id", "")
        if fields.get("x-expect-instance", self.name) != self.name:
            writer.write(message("HTTP/1.1 421 Misdirected Request",
                                 [("X-Attempt-Id", attempt), ("X-Instance-Id", self.name)]))
            return True
        record.write("arrived", server=self.name, id=attempt, target=target)
        left = int(fields.get("x-deadline-remaining", "30000")) / 1000
        try:
            await asyncio.wait_for(self.free.acquire(), left)
        except asyncio.TimeoutError:
            writer.write(message("HTTP/1.1 503 Service Unavailable",
                                 self.base_headers(fields) + [("X-Not-Executed", "1")]))
            return True
        try:
            self.active += 1
            self.platform.on_run(self, fields, target, body, arrived)
            headers = self.base_headers(fields) + [("X-Server-Seal", f"seal.{attempt}")]
            if self.service.startswith("llm"):
                await self.read_prompt(fields)
                writer.write(message("HTTP/1.1 200 OK", headers + [
                    ("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")],
                    length=False))
                first_event = int(fields.get("last-event-id", "0")) + 1
                for number in range(first_event, self.events + 1):
                    await asyncio.sleep(self.work_s / self.events)
                    event = f"id: {number}\ndata: {attempt} {number}\n\n".encode()
                    writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                    await writer.drain()
                writer.write(b"0\r\n\r\n")
            else:
                await asyncio.sleep(self.work_s)
                writer.write(message("HTTP/1.1 200 OK", headers, f"done {attempt}".encode()))
            await writer.drain()
        finally:
            self.active -= 1
            self.free.release()
        return True


class Machine:
    """A machine of the platform, which runs one daemon."""

    def __init__(self, platform, name, zone):
        self.platform, self.name, self.zone, self.process = platform, name, zone, None
        self.ip = platform.new_ip()
        self.settings = platform.folder / f"{name}.conf"
        self.log = platform.folder / f"{name}.log"

    def address(self, what):
        return f"{self.ip}:{self.platform.port + PORTS[what]}"

    def write_settings(self):
        platform = self.platform
        base = platform.port
        fields = {
            "node_name": self.name, "role": "entry", "machine_class": "front",
            "serves": "front,directory,control", "ip": self.ip, "zone": self.zone,
            "region": "ro-central", **{f"zones.{z}": "ro-central" for z in platform.zones},
            **{f"listen.{what}": self.address(what) for what in PORTS},
            "port_range": f"{base + PORT_RANGE[0]},{base + PORT_RANGE[1]}",
            "seeds": ",".join(platform.seeds), "bootstrap": "true", "in_tolerance": "false",
            "limits.cpu_share": 0.25, "limits.cpu_cores": 1, "limits.memory_mb": 260,
            "limits.max_fds": 4100, "limits.link_mbps": 1000.0, "limits.disk_mb": 0,
            "discovery": "platform", "entry": "directory", "heartbeat_ms": int(HEARTBEAT_S * 1000),
            "contracts": "base,drain,config,cost,retry,recover,engine,stream,tenants,quota,places,platform",
            "fault_tolerance.machines": 1, "fault_tolerance.zones": 1, "fault_tolerance.regions": 0,
            **{f"bounds.{name}": value for name, value in platform.bounds.items()},
            "platform.address": f"{platform.store.ip}:{platform.store.port}", "platform.form": "read",
            "platform.writes_per_s": 400, "platform.reads_per_s": 2000, "platform.history_s": 20,
            "platform.value_bytes": 1048576, "platform.ttl_min_ms": 1000,
        }
        self.settings.write_text("".join(f"{k}={v}\n" for k, v in fields.items()))

    def start(self):
        self.write_settings()
        self.process = subprocess.Popen(
            self.platform.command, cwd=ROOT, stdout=open(self.log, "ab"), stderr=subprocess.STDOUT,
            env={"PATH": os.environ.get("PATH", ""), "HOME": os.environ.get("HOME", ""),
                 "BANYANRING_SETTINGS": str(self.settings)})

    def signal(self, number):
        self.process.send_signal(number)

    def kill(self):
        self.process.kill()
        self.process.wait()

    def running(self):
        return self.process is not None and self.process.poll() is None

    async def ready(self):
        try:
            status, _, _ = await call(self.address("ready"), "GET /api/readyz HTTP/1.1", [])
            return status == 200
        except (OSError, asyncio.TimeoutError, EOFError):
            return False

    async def resolve(self, zone):
        target = f"GET /api/resolve?name={HOST}&region=ro-central&zone={zone} HTTP/1.1"
        status, _, body = await call(self.address("directory"), target, [], timeout=1)
        if status != 200:
            raise EOFError
        return json.loads(body)["addresses"]


async def call(address, first, headers, body=b"", timeout=5.0):
    """Sends one request over a connection of its own."""
    async def exchange():
        ip, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(ip, int(port))
        try:
            writer.write(message(first, [("Host", HOST)] + headers, body))
            head = await read_head(reader)
            if head is None:
                raise EOFError("connection closed")
            data = await read_body(reader, head[1], until_end=True)
            return int(head[0].split(" ")[1]), head[1], data
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (asyncio.IncompleteReadError, ValueError) as error:
        raise EOFError("answer cut off") from error


class Platform:
    """Machines, store, servers, operator and clients of a small deployment."""

    def __init__(self, folder, zones, bounds=None):
        self.record = Record(folder)
        self.temporary = pathlib.Path(tempfile.mkdtemp(prefix="banyanring-review-"))
        self.folder = self.temporary
        self.zones, self.bounds = zones, {**BOUNDS, **(bounds or {})}
        self.net, self.next_host = random.randrange(20, 250), 0
        self.machines, self.servers, self.seeds, self.runs = [], [], [], []
        self.sent, self.answers, self.config = {}, {}, None
        deploy = (ROOT / "deploy" / "system.toml").read_text()
        self.command = re.search(r'^run = "([^"]*)"', deploy, re.M).group(1).split(" ")
        if not (ROOT / self.command[0]).exists():
            raise FileNotFoundError(f"{self.command[0]}: run the build of the deploy file first")
        self.port = self.free_port()
        self.store, self.server_port = Store(self.new_ip(), self.port + 50), self.port + 51
        self.attempts = 0

    def free_port(self):
        """Returns the first of a range of ports below the ephemeral ones that are free."""
        for _ in range(200):
            first = random.randrange(10000, 30000)
            try:
                for port in range(first, first + 60):
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        with socket.socket(type=kind) as probe:
                            probe.bind(("0.0.0.0", port))
                return first
            except OSError:
                continue
        raise OSError("no free ports")

    def new_ip(self):
        self.next_host += 1
        return f"127.{self.net}.{self.next_host // 200}.{self.next_host % 200 + 1}"

    def on_run(self, server, fields, target, body, arrived):
        attempt = fields.get("x-attempt-id", "")
        run = {"id": attempt, "server": server.name, "at": arrived, "tenant": fields.get("x-tenant"),
               "target": target, "body": body, "fields": fields}
        self.runs.append(run)
        self.record.write("run", server=server.name, id=attempt, tenant=run["tenant"])

    async def publish(self, config):
        self.config = config
        return await self.store.put("op/config", config)

    async def wait(self, what, condition, seconds):
        deadline = now() + seconds
        while now() < deadline:
            if await condition():
                return
            await asyncio.sleep(0.1)
        raise RuntimeError(f"not within {seconds} s: {what}")

    async def wait_ready(self, machines, listed=None, seconds=15):
        async def condition():
            for machine in machines:
                try:
                    if not await machine.ready():
                        return False
                    if listed and len(await machine.resolve(machine.zone)) != listed:
                        return False
                except (OSError, EOFError, asyncio.TimeoutError):
                    return False
            return True
        await self.wait("machines ready", condition, seconds)

    def new_id(self):
        self.attempts += 1
        return f"{random.getrandbits(40):010x}{self.attempts:06x}"

    async def addresses(self, zone):
        """Asks up to three machines that serve the directory, the nearest first, as clients do."""
        nearest = sorted(self.machines, key=lambda m: (m.zone != zone, random.random()))
        for machine in nearest[:3]:
            try:
                return await machine.resolve(zone)
            except (OSError, EOFError, asyncio.TimeoutError):
                continue
        return []

    async def send(self, address, path, key, deadline_ms, body=b"x", method="POST", tokens=None,
                   headers=()):
        """Sends one client attempt. Returns its id, its status (0: closed) and its answer."""
        attempt = self.new_id()
        fields = [("X-Attempt-Id", attempt), ("X-Deadline-Remaining", str(deadline_ms)),
                  ("Authorization", f"Bearer {key}")]
        if tokens:
            fields += [("X-Model", "m"), ("X-Token-Counts", f"{tokens[0]},{tokens[1]}"),
                       ("X-Prompt-Prefix", f"5c1e07a2:60,{attempt[:8]}:{tokens[0] - 60}")]
        fields += headers
        self.sent[attempt] = {"at": now(), "tokens": sum(tokens) if tokens else 0, "key": key,
                              "address": address, "path": path}
        self.record.write("sent", id=attempt, to=address, path=path, key=key,
                          tokens=self.sent[attempt]["tokens"])
        status, data, head = 0, b"", {}
        try:
            status, head, data = await call(address, f"{method} {path} HTTP/1.1", fields, body,
                                            deadline_ms / 1000)
        except (OSError, EOFError) as error:
            self.record.write("closed", id=attempt, why=type(error).__name__)
        except asyncio.TimeoutError:
            self.record.write("gave_up", id=attempt)
            status = -1
        self.answers[attempt] = {"status": status, "at": now(), "body": data, "head": head}
        self.record.write("answered", id=attempt, status=status, bytes=len(data),
                          sealed="x-server-seal" in head)
        return attempt, status, data

    def close(self):
        for machine in self.machines:
            if machine.running():
                machine.kill()
        for machine in self.machines:
            if machine.log.exists():
                target = os.environ.get("REVIEW_LOGS")
                if target:
                    shutil.copy(machine.log, target)
        shutil.rmtree(self.temporary, ignore_errors=True)
        self.record.file.close()


def quota_check(platform, tenant, rate, burst, window_s, overshoot, slack, since=0.0):
    """The rule QUOTA: tokens of requests that were both sent and ran inside one window."""
    points = sorted((run["at"], platform.sent[run["id"]]["at"], platform.sent[run["id"]]["tokens"])
                    for run in platform.runs
                    if run["tenant"] == tenant and platform.sent[run["id"]]["at"] >= since)
    bound = (rate * window_s + burst) * (1 + overshoot) + slack
    most = 0
    for _, start, _ in points:
        used = sum(tokens for at, sent, tokens in points if sent >= start and at <= start + window_s)
        most = max(most, used)
    return most, bound


def run_case(main):
    """Runs a case and exits with its verdict."""
    async def guarded():
        try:
            verdict = await asyncio.wait_for(main(), 115)
        except Exception as error:  # The case could not run.
            print(f"could not run: {type(error).__name__}: {error}", flush=True)
            verdict = NOT_RUN
        sys.stdout.flush()
        os._exit(verdict)  # Without waiting for tasks of the stand-ins.

    asyncio.run(guarded())

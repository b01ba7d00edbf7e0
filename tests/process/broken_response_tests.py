"""Servers, peers and platforms that send broken responses to daemon processes, and unusual valid ones.
Usage: broken_response_tests.py NAME [SEED], which runs test_NAME."""

import http.client
import itertools
import json
import random
import subprocess
import sys
import time

import fleet as v1
import platform_standin as platform
from raw_server import BROKEN_RESPONSES, RawServer, SEAL, VALID_RESPONSES, VALID_BODY, make_response

REGISTRATIONS = 8  # So that one failure does not leave a service without a server.
DEADLINE_S = 4
PROMPT_S = 2  # Target: a broken response does not keep its caller waiting for the deadline.
UPLOAD_BYTES = 8 << 20  # More than the operating system takes before the server reads.
V1_UPLOAD_BYTES = 6 << 20
UPLOADS = 30
V1_UPLOADS = 10
LOG_INTERVAL_S = 1.1  # The log takes a number of lines a second.
READER_CASES = ("status 000 before a valid response", "status 600", "blank in a name", "blank before the colon",
                "name begins with a blank", "no colon", *VALID_RESPONSES)
EVENTS = b"id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n"
VALID = make_response(), "keep"


class RawService:
    """A platform fleet of one node with a service whose servers all are one raw server."""

    def __enter__(self):
        self.server = RawServer()
        self.fleet = platform.Fleet(nodes=1, start=False).__enter__()
        self.fleet.limits = {"max_body_bytes": 2 * UPLOAD_BYTES}
        self.fleet.publish(raw=("non_idempotent", "raw"), events=("streaming", "raw"))
        self.registrations = [platform.Registration(self.fleet.store, f"i-raw-{number}", "raw", "z0",
                                                    self.server.port) for number in range(REGISTRATIONS)]
        self.fleet.nodes[0].start()
        self.fleet.wait_ready()
        self.count = 0
        self.fleet.wait_until("the raw servers are used", lambda: self.send("/raw/1", VALID)[0] == 200)
        return self

    def __exit__(self, *failure):
        for registration in self.registrations:
            registration.stopped = True
        self.server.stop()
        self.fleet.__exit__(*failure)

    def send(self, path, response, body=b"", last_event_id=None):
        """Returns status, body, whether the body was complete, and the fields of the response."""
        self.server.responses[path] = response
        self.count += 1
        connection = http.client.HTTPConnection("127.0.0.1", self.fleet.nodes[0].ports["front"],
                                                timeout=2 * DEADLINE_S)
        try:
            resumption = {"Last-Event-Id": str(last_event_id)} if last_event_id else {}
            connection.request("POST", path, body, {
                "Host": platform.HOST, "X-Attempt-Id": f"raw-{self.count}", **resumption,
                "X-Deadline-Remaining": str(DEADLINE_S * 1000), "Authorization": "Bearer key-1"})
            response = connection.getresponse()
            try:
                return response.status, response.read(), True, response.headers
            except (OSError, http.client.HTTPException):
                return response.status, b"", False, response.headers
        except (OSError, http.client.HTTPException):
            return 0, b"", False, {}
        finally:
            connection.close()

    def expect_delivered(self, name, path, response, body=b""):
        status, received, complete, fields = self.send(path, response, body)
        assert (status, received, complete) == (200, VALID_BODY, True), (name, status, received, complete)
        assert fields["X-Server-Seal"] == "seal", (name, fields)

    def expect_broken(self, name, path, response, body=b""):
        requests, started = self.server.requests, time.monotonic()
        status, received, complete, _ = self.send(path, response, body)
        assert (status, received, complete) == (502, b"", True), (name, status, received, complete)
        assert time.monotonic() - started < PROMPT_S, f"{name}: the caller waited"
        assert self.server.requests == requests + 1, f"{name}: the request was repeated"
        for _ in range(2):  # Keeps the servers from being set aside.
            self.expect_delivered(f"after {name}", path, VALID)

    def last_steps(self):
        events = map(json.loads, self.fleet.nodes[0].log.read_text().splitlines())
        return [event["steps"] for event in events
                if event["event"] == "request" and event["request_id"] == f"raw-{self.count}"]


def test_platform():
    with RawService() as service:
        for name, response in BROKEN_RESPONSES.items():
            service.expect_broken(name, "/raw/1", response)
        for name, response in VALID_RESPONSES.items():
            service.expect_delivered(name, "/raw/1", response)
        for status in (b"404 Not Found", b"500 Internal Server Error", b"599 Other"):
            received = service.send("/raw/1", (make_response(status), "keep"))
            assert received[:2] == (int(status[:3]), VALID_BODY), received
        for name, reason in (("status 000", "invalid_status"), ("name begins with a blank", "folded_line"),
                             ("blank in a name", "malformed")):
            time.sleep(LOG_INTERVAL_S)
            service.send("/raw/1", BROKEN_RESPONSES[name])
            service.fleet.wait_until("the reason is logged", lambda: any(
                reason in step for steps in service.last_steps() for step in steps))
            _, metrics = platform.get(service.fleet.nodes[0].metrics_port(), "/metrics")
            assert f'event="server_failed_{reason}"'.encode() in metrics, f"{reason} is not counted"


def test_streams():
    stream = SEAL + b"Content-Type: text/event-stream\r\n"
    with RawService() as service:
        whole = service.send("/events/1", (make_response(fields=stream, body=EVENTS, length=False), "finish"))
        assert whole[:3] == (200, EVENTS, True), whole
        for name, response in BROKEN_RESPONSES.items():
            status, received, complete, _ = service.send("/events/1", response)
            assert status in (0, 502, 503) or not complete, (name, status, received)
            service.send("/raw/1", VALID)
        chunked = stream + b"Transfer-Encoding: chunked\r\n"
        chunk = b"%x\r\n%s\r\n" % (len(EVENTS), EVENTS)
        for name, response in {
                "reset without length": (make_response(fields=stream, body=EVENTS, length=False), "reset"),
                "cut between chunks": (make_response(fields=chunked, body=chunk, length=False), "finish"),
                "folded trailer": (make_response(fields=chunked, length=False,
                                          body=chunk + b"0\r\nX-Sum: 1\r\n X-Name: 1\r\n\r\n"), "keep")}.items():
            status, received, complete, _ = service.send("/events/1", response, b"x" * UPLOAD_BYTES)
            assert not complete or status in (502, 503), (name, status, received)


def test_finished():
    """Streams whose server is lost after the last event: complete if the next server has nothing left to send."""
    stream = SEAL + b"Content-Type: text/event-stream\r\n"
    chunked = stream + b"Transfer-Encoding: chunked\r\n"
    chunk = b"%x\r\n%s\r\n" % (len(EVENTS), EVENTS)
    broken = {"reset": (make_response(fields=chunked, body=chunk, length=False), "reset"),
              "no last chunk": (make_response(fields=chunked, body=chunk, length=False), "finish")}
    ended = {"chunks": (make_response(fields=chunked, body=b"0\r\n\r\n", length=False), "keep"),
             "length": (make_response(fields=stream, body=b""), "keep")}
    cut = {"reset": (make_response(fields=chunked, body=b"", length=False), "reset"),
           "no last chunk": (make_response(fields=chunked, body=b"", length=False), "finish"),
           "no framing": (make_response(fields=stream, body=b"", length=False), "finish")}
    with RawService() as service:
        for first_name, first in broken.items():
            for name, response in {**ended, **cut}.items():
                service.server.resumed["/events/1"] = response
                status, _, complete, _ = service.send("/events/1", first)
                assert (status, complete) == (200, name in ended), (first_name, name, status, complete)
                for _ in range(10):  # Fills the budget of retries.
                    service.expect_delivered("between", "/raw/1", VALID)
        for name, response in ended.items():
            service.server.resumed["/events/1"] = response
            received = service.send("/events/1", VALID, last_event_id=2)
            assert received[:3] == (200, b"", True), (name, received)
        for name, response in cut.items():
            service.server.resumed["/events/1"] = response
            status, _, complete, _ = service.send("/events/1", VALID, last_event_id=2)
            assert status != 200 or not complete, (name, status)


def test_uploads(seed=1):
    """Servers respond to a long upload at once, and reset or end the connection at a random time."""
    delays = random.Random(int(seed))
    with RawService() as service:
        upload = b"x" * UPLOAD_BYTES
        for number in range(UPLOADS):
            service.server.reset_delay_s = delays.choice((0, 0.001, 0.05)) * delays.random()
            name = f"upload {number}, reset after {service.server.reset_delay_s:.4f} s"
            part = delays.choice((b"", b"part", b"part" * 20000))
            service.expect_broken(name, "/raw/1", (make_response(body=part, length=False), "reset"), upload)
            service.expect_delivered("whole with length", "/raw/1", (make_response(), "reset"), upload)
            service.expect_delivered("whole without length", "/raw/1", (make_response(length=False), "finish"), upload)


def replace_backends(fleet):
    """Puts one raw server in the place of each backend server; returns them."""
    servers = []
    for name, (_, address, _) in fleet.backends.items():
        fleet.kill(name)
        server = RawServer(address)
        report = json.dumps({"started_at": int(time.time() * 1000), "running": 0}).encode()
        server.default = make_response(fields=b"", body=report), "finish"
        servers.append(server)
    return servers


def expect_v1(name, response, is_valid):
    if is_valid:
        assert (response.status, response.body) == (200, VALID_BODY.decode()), (name, response.status, response.body)
        return
    assert response.status in (502, 503) or not response.complete, (name, response.status, response.body)
    if response.complete:
        assert response.json()["outcome"] == "unknown", (name, response.body)


def test_v1():
    """Plain services and engines of a fleet with the /v1 interface."""
    with v1.Fleet(nodes=1, engines=1, plains=1, slots=64) as fleet:
        fleet.wait_ready()
        servers = replace_backends(fleet)
        caller = v1.Caller(fleet, "red")
        for path in ("/order", "/draft"):
            cases = [(name, response, False) for name, response in BROKEN_RESPONSES.items()]
            cases += [(name, response, True) for name, response in VALID_RESPONSES.items()]
            for number, (name, response, is_valid) in enumerate(cases):
                fleet.wait_until("the servers are used", lambda: fleet.state(1)["ready"] and not any(
                    s["suspected"] for s in fleet.state(1)["servers"].values()))
                for server in servers:
                    server.responses[path] = response
                ticket = caller.ticket(path) if path == "/order" else None
                started = time.monotonic()
                expect_v1(name, caller.send(path, {"number": f"{path} {number}"}, ticket), is_valid)
                assert time.monotonic() - started < PROMPT_S, f"{name}: the caller waited"


def reset_uploads(servers, path, delays, send):
    """Calls `send` while servers respond to uploads at once and reset the connection at a random time."""
    for number in range(V1_UPLOADS):
        part = delays.choice((b"", b"part", b"part" * 20000))
        for server in servers:
            server.reset_delay_s = delays.choice((0, 0.001, 0.05)) * delays.random()
            server.responses[path] = make_response(body=part, length=False), "reset"
        yield f"{path}, upload {number}, part of {len(part)} bytes", send()


def test_v1_uploads(seed=1):
    """Long uploads on /v1, to a backend server and to the owner of a ticket, which reset them: never complete."""
    delays = random.Random(int(seed))
    numbers = itertools.count()  # The same request would become a crash suspect.
    settings = {"ticket_ms": 60000, "lapse_ms": 4000, "body_kb": V1_UPLOAD_BYTES // 512}
    unstarted = v1.Fleet(nodes=2, engines=1, plains=1, slots=64, settings=settings)
    for organisation in unstarted.config["organisations"]:
        organisation.update(rate=UPLOADS * V1_UPLOAD_BYTES, burst=UPLOADS * V1_UPLOAD_BYTES)
    with unstarted as fleet:
        fleet.wait_ready()
        entry, owner = fleet.nodes[1][0], fleet.nodes[2][0]
        caller = v1.Caller(fleet, "red")
        tickets = [caller.ticket("/order", owner) for _ in range(V1_UPLOADS)]
        servers = replace_backends(fleet)

        def make_upload():
            return {"number": next(numbers), "text": "x" * V1_UPLOAD_BYTES}

        def send(path):
            fleet.wait_until("the servers are used", lambda: fleet.state(1)["ready"] and not any(
                s["suspected"] for s in fleet.state(1)["servers"].values()))
            return caller.send(path, make_upload(), caller.ticket(path, entry) if path == "/order" else None, entry)

        for path in ("/order", "/draft"):
            for name, response in reset_uploads(servers, path, delays, lambda: send(path)):
                expect_v1(name, response, False)
            assert sum(server.requests for server in servers) >= V1_UPLOADS, f"{path}: the uploads were not sent"
        fleet.kill("node-2")
        peer = RawServer(owner)
        for name, response in reset_uploads([peer], "/order", delays, lambda: caller.send(
                "/order", make_upload(), tickets.pop(), entry)):
            expect_v1(f"peer, {name}", response, False)
        assert peer.requests >= V1_UPLOADS, "the peer did not get the uploads"


def test_peer():
    """A peer that is asked on behalf of a caller."""
    with v1.Fleet(nodes=2, settings={"lapse_ms": 4000, "ticket_ms": 60000}) as fleet:
        fleet.wait_ready()
        entry, owner = fleet.nodes[1][0], fleet.nodes[2][0]
        caller = v1.Caller(fleet, "red")
        cases = [(name, response, False) for name, response in BROKEN_RESPONSES.items()]
        cases += [(name, response, True) for name, response in VALID_RESPONSES.items()]
        tickets = [caller.ticket("/order", owner) for _ in cases]
        fleet.kill("node-2")
        peer = RawServer(owner)
        for (name, response, is_valid), ticket in zip(cases, tickets):
            peer.responses["/order"] = response
            started = time.monotonic()
            expect_v1(name, caller.send("/order", {}, ticket, address=entry), is_valid)
            assert time.monotonic() - started < PROMPT_S, f"{name}: the caller waited"


def test_reader():
    """The platform of a fleet with the /v1 interface."""
    with v1.Fleet(nodes=1, engines=0, plains=1) as fleet:
        fleet.wait_ready()
        revision = fleet.state(1)["config_revision"]
        fleet.kill("platform")
        server = RawServer(fleet.platform)
        for name in READER_CASES:
            response, ending = {**BROKEN_RESPONSES, **VALID_RESPONSES}[name]
            revision += 1
            manifest = json.dumps({"revision": revision, "shards": {
                shard: revision for shard in fleet.config}}).encode()
            response = response.replace(b"Content-Length: 5\r\n", b"Content-Length: %d\r\n" % len(manifest))
            response = response.replace(b"\r\n5\r\n", b"\r\n%x\r\n" % len(manifest))
            server.responses = {f"/v1/config/{shard}": (make_response(fields=b"", body=json.dumps(
                {"revision": revision, "value": {shard: entries}}).encode()), "finish")
                for shard, entries in fleet.config.items()}
            server.responses["/v1/config"] = response.replace(VALID_BODY, manifest), ending
            if name in VALID_RESPONSES:
                fleet.wait_until(f"{name}: in force",
                                 lambda: fleet.state(1)["config_revision"] == revision, 5)
                continue
            requests = server.requests
            fleet.wait_until(f"{name}: it is asked again", lambda: server.requests > requests + 1, 5)
            assert fleet.state(1)["config_revision"] < revision, f"{name}: was taken for a response"
            assert fleet.state(1)["ready"]


def test_tool():
    """The node that the operators' tool asks."""
    server = RawServer()
    for name, response in {**BROKEN_RESPONSES, **VALID_RESPONSES}.items():
        server.responses["/debug/state"] = response
        result = subprocess.run([str(v1.BUILD / "banyanringctl"), "dump", f"127.0.0.1:{server.port}"],
                                capture_output=True, timeout=2 * PROMPT_S, check=False)
        expected = (0, VALID_BODY) if name in VALID_RESPONSES else (3, b"")
        assert (result.returncode, result.stdout) == expected, (name, result)
        assert result.returncode == 0 or result.stderr, f"{name}: no reason is shown"


if __name__ == "__main__":
    globals()["test_" + sys.argv[1]](*sys.argv[2:])
    print("passed")

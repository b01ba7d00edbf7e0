"""Servers that send bodies without end beside sound ones: a node keeps within its memory, and the requests
of sound servers don't suffer. Usage: endless_response_tests.py [SECONDS [CALLERS]]."""

import collections
import http.client
import socket
import sys
import threading
import time

from platform_standin import HOST, Fleet, Registration

MEMORY_MB = 88  # Target: memory of the smallest VMs.
FAULTY_SERVERS = 6
SOUND_CALLERS = 8
HEADERS = {  # By how the end of the body would be told.
    "length": "Content-Length: 68719476736\r\n",
    "chunks": "Transfer-Encoding: chunked\r\n",
    "close": "",
}


class EndlessServer(Registration):
    """A backend server that responds to each request with bytes until the caller closes."""

    def __init__(self, store, name):
        self.framing = "close"
        self.listener = socket.create_server(("127.0.0.1", 0))
        threading.Thread(target=self.accept, daemon=True).start()
        super().__init__(store, name, "faulty", "z0", self.listener.getsockname()[1])

    def accept(self):
        while True:
            connection, _ = self.listener.accept()
            threading.Thread(target=self.respond, args=(connection,), daemon=True).start()

    def respond(self, connection):
        data = b"x" * 65536
        if self.framing == "chunks":
            data = b"%x\r\n%s\r\n" % (len(data), data)
        try:
            request = connection.recv(65536).decode("latin-1")
            attempt = request.partition("X-Attempt-Id: ")[2].partition("\r\n")[0]
            connection.sendall((f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Server-Seal: seal\r\n"
                                f"{HEADERS[self.framing]}\r\n").encode())
            while True:
                connection.sendall(data)
        except OSError:
            connection.close()


def resident_mb(process):
    with open(f"/proc/{process.pid}/status", encoding="utf-8") as status:
        return next(int(line.split()[1]) / 1024 for line in status if line.startswith("VmRSS"))


def call(node, path, until, outcomes):
    """Sends requests one after another and counts their statuses."""
    while time.monotonic() < until:
        connection = http.client.HTTPConnection("127.0.0.1", node.ports["front"], timeout=9)
        try:
            connection.request("POST", path, "body", {
                "Host": HOST, "X-Attempt-Id": f"{threading.get_ident()}-{time.monotonic_ns()}",
                "X-Deadline-Remaining": "4000", "Authorization": "Bearer key-1"})
            response = connection.getresponse()
            response.read()
            outcomes[response.status] += 1
        except (OSError, http.client.HTTPException) as error:
            outcomes[type(error).__name__] += 1
        connection.close()
        time.sleep(0.002)


def run(seconds, callers):
    with Fleet(nodes=1, memory_mb=MEMORY_MB) as fleet:
        faulty = [EndlessServer(fleet.store, f"i-faulty-{number}") for number in range(FAULTY_SERVERS)]
        fleet.publish(faulty=("idempotent", "faulty"))
        fleet.wait_ready()
        node = fleet.nodes[0]
        time.sleep(1)
        for framing in HEADERS:
            for server in faulty:
                server.framing = framing
            until = time.monotonic() + seconds
            failed, sound = collections.Counter(), collections.Counter()
            threads = [threading.Thread(target=call, args=(node, "/faulty/1", until, failed))
                       for _ in range(callers)]
            threads += [threading.Thread(target=call, args=(node, "/order/1", until, sound))
                        for _ in range(SOUND_CALLERS)]
            for thread in threads:
                thread.start()
            peak = 0
            while time.monotonic() < until:
                peak = max(peak, resident_mb(node.process))
                time.sleep(0.01)
            for thread in threads:
                thread.join()
            print(f"{framing}: {peak:.0f} of {MEMORY_MB} MB, faulty {dict(failed)}, sound {dict(sound)}")
            assert peak <= MEMORY_MB, "the node exceeded its memory"
            assert set(sound) == {200}, "requests to sound servers failed"
            assert set(failed) <= {502, 503}, "a faulty server's bytes were taken for a response"
        for server in faulty:
            server.stopped = True


if __name__ == "__main__":
    run(float(sys.argv[1]) if len(sys.argv) > 1 else 4, int(sys.argv[2]) if len(sys.argv) > 2 else 48)

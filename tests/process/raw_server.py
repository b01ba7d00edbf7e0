"""A server on loopback that sends raw bytes in response to each request."""

import socket
import struct
import threading
import time

SEAL = b"X-Server-Seal: seal\r\n"
VALID_BODY = b"valid"


class RawServer:
    """Responds to a request with the bytes for its path, and then ends the connection: `keep` leaves it open,
    `finish` sends no more and reads on, `reset` resets it. `{id}` in the bytes stands for the attempt's id."""

    def __init__(self, address=None):
        host, port = (address or "127.0.0.1:0").split(":")
        self.listener = socket.create_server((host, int(port)))
        self.port = self.listener.getsockname()[1]
        self.responses, self.default = {}, (b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n", "finish")
        self.resumed = {}  # Responses to requests with Last-Event-Id, if others than to those without.
        self.requests = 0  # Those with a path in `responses`.
        self.reset_delay_s = 0
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        with connection:
            try:
                while self.respond(connection):
                    pass
            except OSError:
                pass

    def respond(self, connection):
        """Serves one request; returns whether the connection stays open for another one."""
        received = b""
        while b"\r\n\r\n" not in received:
            data = connection.recv(4096)
            if not data:
                return False
            received += data
        head, _, body = received.partition(b"\r\n\r\n")
        path = head.split()[1].decode()
        known = next((p for p in self.responses if path.startswith(p)), None)
        self.requests += known is not None
        response, ending = self.responses.get(known, self.default)
        if field_value(head, b"Last-Event-Id"):
            response, ending = self.resumed.get(known, (response, ending))
        connection.sendall(response.replace(b"{id}", field_value(head, b"X-Attempt-Id")))
        if ending == "reset":
            time.sleep(self.reset_delay_s)
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            return False
        if ending == "finish":
            connection.shutdown(socket.SHUT_WR)
        unread = int(field_value(head, b"Content-Length") or 0) - len(body)
        while unread > 0 or ending == "finish":
            data = connection.recv(65536)
            if not data:
                return False
            unread -= len(data)
        return True

    def stop(self):
        self.listener.close()


def field_value(head, name):
    return head.partition(name + b": ")[2].partition(b"\r\n")[0]


def make_response(status=b"200 OK", fields=SEAL, body=VALID_BODY, length=True):
    """Returns a response to the current attempt, with a length unless it ends with the connection."""
    framing = b"Content-Length: %d\r\n" % len(body) if length else b""
    return b"HTTP/1.1 " + status + b"\r\nX-Attempt-Id: {id}\r\n" + fields + framing + b"\r\n" + body


def make_chunked_response(trailer):
    """Returns a response in one chunk with a trailer."""
    return make_response(fields=SEAL + b"Transfer-Encoding: chunked\r\n", length=False,
                         body=b"%x\r\n%s\r\n0\r\n%s\r\n" % (len(VALID_BODY), VALID_BODY, trailer))


BROKEN_RESPONSES = {
    "status 000": (make_response(b"000 Zero"), "finish"),
    "status 000 without body": (make_response(b"000 Zero", body=b""), "keep"),
    "status 000 before a valid response": (make_response(b"000 Zero", body=b"") + make_response(), "keep"),
    "status 000 without length": (make_response(b"000 Zero", length=False), "finish"),
    "status 099": (make_response(b"099 Low"), "keep"),
    "status 101": (make_response(b"101 Switching Protocols", body=b"") + make_response(), "keep"),
    "status 600": (make_response(b"600 Other"), "keep"),
    "status 999": (make_response(b"999 Other"), "keep"),
    "blank in a name": (make_response(fields=SEAL + b"X Name: 1\r\n"), "keep"),
    "blank before the colon": (make_response(fields=SEAL + b"X-Name : 1\r\n"), "keep"),
    "tab before the colon": (make_response(fields=SEAL + b"X-Name\t: 1\r\n"), "keep"),
    "control byte in a name": (make_response(fields=SEAL + b"X\x01Name: 1\r\n"), "keep"),
    "null byte in a name": (make_response(fields=SEAL + b"X\x00Name: 1\r\n"), "keep"),
    "delete byte in a name": (make_response(fields=SEAL + b"X\x7fName: 1\r\n"), "keep"),
    "name begins with a blank": (make_response(fields=SEAL + b" X-Name: 1\r\n"), "keep"),
    "name begins with a tab": (make_response(fields=SEAL + b"\tX-Name: 1\r\n"), "keep"),
    "length behind a blank": (make_response(fields=SEAL + b" Content-Length: 2\r\n", length=False), "finish"),
    "no colon": (make_response(fields=SEAL + b"X-Name\r\n"), "keep"),
    "folded trailer": (make_chunked_response(b"X-Sum: 1\r\n X-Name: 1\r\n"), "keep"),
    "blank in a trailer's name": (make_chunked_response(b"X Sum: 1\r\n"), "keep"),
    "unknown transfer coding": (make_response(fields=SEAL + b"Transfer-Encoding: gzip\r\n", length=False), "finish"),
}
VALID_RESPONSES = {
    "length": (make_response(), "keep"),
    "no length": (make_response(length=False), "finish"),
    "after interim responses": (b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
                                + make_response(), "keep"),
    "chunks and a trailer": (make_chunked_response(b"X-Sum: 1\r\n"), "keep"),
}

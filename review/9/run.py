"""Sound servers that fall silent for a second, beside streams that may be resumed.

Clients on kept connections send requests of a resumable route. Now and then a server falls silent for a
second or a little more and then goes on. No server fails, and all of them finish what they run.
"""

import asyncio
import pathlib
import random
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins2 import (Answer, Fleet, HOST, LIMITS, TROUBLE, ZONES, engine_service,  # noqa: E402
                       read_head, route, run_test)

KEY = "i9n73hh2b9wu3fexd9dn"
PREFIX = "/pufi791/"
EVENTS, EVENT_GAP_S, READ_S = 30, 0.025, 0.08
END_S = 0.06  # From the last event to the end of the stream.
CLIENTS, PAUSE_S, DEADLINE_S = 48, 0.2, 15.0
SILENCE_S, SILENT_EVERY_S = (1.0, 1.3), (5.0, 8.0)
RUN_S = 80
ALLOWED = 3


class Test:
    def __init__(self, fleet):
        self.fleet, self.record = fleet, fleet.record
        self.silent_until, self.passed_on, self.ended = {}, set(), set()
        self.answers, self.silences = [], 0

    async def work(self, backend, seconds):
        """Waits for the work to be done, and for a silence of the server to end."""
        await asyncio.sleep(seconds)
        while (left := self.silent_until.get(backend, 0) - time.monotonic()) > 0:
            await asyncio.sleep(left)

    async def serve(self, backend, request):
        self.passed_on.add(request.id)
        first = int(request.headers.get("last-event-id", 0)) + 1
        self.record.write(f"request {request.id} reaches server {backend.id}, from event {first}")
        await self.work(backend, READ_S)
        if request.gone():
            return
        request.begin_stream()
        for number in range(first, EVENTS + 1):
            request.send_event(number)
            await self.work(backend, EVENT_GAP_S if number < EVENTS else END_S)
            if request.gone():
                self.record.write(f"request {request.id} is closed at server {backend.id} after "
                                  f"event {number} of {EVENTS}")
                return
        request.end_stream()
        self.ended.add(request.id)

    async def fall_silent(self, backend, until):
        while self.record.now() < until:
            await asyncio.sleep(random.uniform(*SILENT_EVERY_S))
            self.silences += 1
            length = random.uniform(*SILENCE_S)
            self.record.write(f"server {backend.id} falls silent for {length:.2f} s")
            self.silent_until[backend] = time.monotonic() + length

    async def call(self, reader, writer):
        """Sends one request on a kept connection; returns its answer."""
        answer = Answer()
        answer.id = "%016x" % random.getrandbits(64)
        own = "%08x" % random.getrandbits(32)
        writer.write("\r\n".join([
            f"POST {PREFIX}{own} HTTP/1.1", f"Host: {HOST}", f"X-Attempt-Id: {answer.id}",
            "X-Model: m", "X-Token-Counts: 320,200", f"X-Prompt-Prefix: 5c1e07a2:60,{own}:260",
            f"X-Deadline-Remaining: {DEADLINE_S * 1000:.0f}", f"Authorization: Bearer {KEY}",
            f"Content-Length: {len(own)}", "", own]).encode())
        head = await read_head(reader)
        if head is None:
            return answer
        answer.status, answer.headers = int(head[0].split()[1]), head[1]
        if answer.headers.get("transfer-encoding") != "chunked":
            answer.body = await reader.readexactly(int(answer.headers["content-length"]))
            answer.complete = True
            return answer
        while size := int((await reader.readuntil(b"\r\n")).strip(), 16):
            answer.body += (await reader.readexactly(size + 2))[:-2]
        await reader.readexactly(2)
        answer.complete = True
        return answer

    async def client(self, until):
        while self.record.now() < until:
            ip, port = random.choice(self.fleet.addresses())
            reader, writer = await asyncio.open_connection(ip, port, limit=1 << 20)
            while self.record.now() < until:
                answer = Answer()
                try:
                    answer = await asyncio.wait_for(self.call(reader, writer), DEADLINE_S)
                except (asyncio.IncompleteReadError, ConnectionError) as error:
                    answer.events = [str(error)]
                except asyncio.TimeoutError:
                    answer.status = -1  # The client's deadline; not counted.
                self.answers.append(answer)
                if not answer.complete or answer.headers.get("connection") == "close":
                    break
                await asyncio.sleep(PAUSE_S)
            writer.close()


async def main():
    async with Fleet(FOLDER, nodes=7) as fleet:
        test = Test(fleet)
        for number in range(12):
            await fleet.add_backend("huvo11a", ZONES[number % 3], 11, test.serve)
        fleet.publish({
            "routes": [route("r-828m82t", PREFIX, "streaming", "huvo11a", timeout_ms=15000,
                             target_latency_ms=300, gap_target_ms=200, resumable=True,
                             max_attempts=2)],
            "services": [engine_service("huvo11a", 11)], "limits": LIMITS,
            "tenants": [{"name": "hule930", "api_keys": [KEY], "priority": 1, "unit": "tokens",
                         "plain_tokens": 200, "rate_per_s": 203784, "burst": 203784}]})
        await fleet.start_nodes()
        await asyncio.sleep(4)
        until = test.record.now() + RUN_S
        tasks = [asyncio.ensure_future(test.client(until)) for _ in range(CLIENTS)]
        if TROUBLE:
            tasks += [asyncio.ensure_future(test.fall_silent(backend, until))
                      for backend in fleet.backends]
        await asyncio.gather(*tasks)
        broken_off = [a for a in test.answers if not a.complete and a.status >= 0]
        text = (f"{test.silences} silences; {len(test.answers)} requests, {len(broken_off)} of them "
                f"passed on to sound servers and closed without a complete answer "
                f"({ALLOWED} allowed)")
        test.record.write("result: " + text)
        print(text)
        return len(broken_off) > ALLOWED


run_test(main)

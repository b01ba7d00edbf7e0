"""A prompt part that crashes servers, beside sound requests that share the first part with it.

The route has one system prompt, which is the first part of all its prompts. Four callers send a sound
request every two seconds. Then requests with a part that crashes servers come three times a second.
"""

import asyncio
import pathlib
import random
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins2 import (Client, Fleet, LIMITS, TROUBLE, ZONES, engine_service,  # noqa: E402
                       route, run_test)

SYSTEM_PART, CRASHING_PART = "5c1e07a2", "91bd3f06"
KEY = "i9n73hh2b9wu3fexd9dn"
PREFIX = "/pufi791/"
SOUND_PERIOD_S, SOUND_CALLERS, CRASHING_PERIOD_S = 2.0, 4, 0.3
CRASHING_DELAY_S = 0.75  # From a sound answer to the first request with the crashing part.
SERVER_DOWN_S = 3.0  # "The server is back after some seconds."
CALM_S, TROUBLE_S = 20, 28
STABLE_WINDOW_S = 3.0
ENOUGH = 20  # Requests in each of the two spans.


class Test:
    def __init__(self, fleet):
        self.fleet, self.record, self.client = fleet, fleet.record, Client(fleet, KEY)
        self.begun, self.crashes, self.sound, self.tasks = set(), [], [], []
        self.sound_answered = asyncio.Event()

    async def serve(self, backend, request):
        parts = [p.split(":")[0] for p in request.headers["x-prompt-prefix"].split(",")]
        await asyncio.sleep(0.06)  # Reads the prompt.
        if request.gone() or not backend.up:
            return
        self.begun.add(request.id)
        self.record.write(f"server {backend.id} begins {request.id}")
        request.begin_stream()
        request.send_event(1)
        if CRASHING_PART in parts[:-1]:
            await asyncio.sleep(0.01)
            self.crashes.append(self.record.now())
            self.tasks.append(asyncio.ensure_future(backend.crash(SERVER_DOWN_S)))
            return
        for number in range(2, 6):
            await asyncio.sleep(0.02)
            request.send_event(number)
        request.end_stream()

    async def send(self, parts, kind):
        own = "%08x" % random.getrandbits(32)  # The last part, of this request alone.
        prefix = ",".join([f"{part}:60" for part in parts] + [f"{own}:200"])
        answer = await self.client.send(
            "POST", PREFIX + own, 8000, [("X-Model", "m"), ("X-Token-Counts", "320,40"),
                                         ("X-Prompt-Prefix", prefix)], own.encode())
        self.record.write(
            f"{kind} request {answer.id} sent at {answer.sent_at:.3f}: status {answer.status}"
            f"{'' if answer.complete else ', not complete'}, "
            f"{'begun' if answer.id in self.begun else 'not begun'}")
        if kind == "sound":
            self.sound.append(answer)
            self.sound_answered.set()

    async def send_sound(self, until):
        while self.record.now() < until:
            for _ in range(SOUND_CALLERS):
                self.tasks.append(asyncio.ensure_future(self.send([SYSTEM_PART], "sound")))
            await asyncio.sleep(SOUND_PERIOD_S)

    async def send_crashing(self, until):
        self.sound_answered.clear()
        await self.sound_answered.wait()
        await asyncio.sleep(CRASHING_DELAY_S)
        while self.record.now() < until:
            self.tasks.append(asyncio.ensure_future(
                self.send([SYSTEM_PART, CRASHING_PART], "crashing")))
            await asyncio.sleep(CRASHING_PERIOD_S)

    def count(self, since, until):
        sent = [answer for answer in self.sound if since <= answer.sent_at < until]
        return sum(answer.id in self.begun for answer in sent), len(sent)


async def main():
    async with Fleet(FOLDER) as fleet:
        test = Test(fleet)
        for number in range(9):
            await fleet.add_backend("huvo11a", ZONES[number % 3], 10, test.serve)
        fleet.publish({
            "routes": [route("r-828m82t", PREFIX, "streaming", "huvo11a")],
            "services": [engine_service("huvo11a", 10)], "limits": LIMITS,
            "tenants": [{"name": "hule930", "api_keys": [KEY], "priority": 1, "unit": "tokens",
                         "plain_tokens": 200, "rate_per_s": 203784, "burst": 203784}]})
        await fleet.start_nodes()
        await asyncio.sleep(4)
        calm_since = test.record.now()
        calm_until = calm_since + CALM_S
        until = calm_until + TROUBLE_S
        sound = asyncio.ensure_future(test.send_sound(until))
        await asyncio.sleep(CALM_S)
        if TROUBLE:
            await test.send_crashing(until)
        await sound
        await asyncio.gather(*test.tasks)
        # From 2 x stable_window_ms after the fifth crash, or the last if there are fewer.
        judged_since = (test.crashes[:5][-1] if test.crashes else calm_until) + 2 * STABLE_WINDOW_S
        calm_begun, calm_sent = test.count(calm_since, calm_until)
        begun, sent = test.count(judged_since, until)
        text = (f"{len(test.crashes)} crashes; sound requests begun: {calm_begun} of {calm_sent} "
                f"before, {begun} of {sent} from {judged_since:.1f} s to {until:.1f} s")
        test.record.write("result: " + text)
        print(text)
        if calm_sent < ENOUGH or sent < ENOUGH or calm_begun == 0:
            raise RuntimeError("too few requests to judge")
        return begun / sent < 0.5 * calm_begun / calm_sent


run_test(main)

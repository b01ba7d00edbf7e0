"""Four of seven machines come back from a loss of power while the three that the seeds name stay down."""

import asyncio
import itertools
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
from standins3 import (BROKEN, HELD, HOST, TROUBLE, Machine, Platform, Server, now, quota_check,
                       run_case)

FOLDER = pathlib.Path(__file__).resolve().parent
ZONES = ["ro-central-a", "ro-central-b", "ro-central-c", "ro-central-d"]
MACHINES = [("a-1", 0), ("b-1", 1), ("c-1", 2), ("a-2", 0), ("b-2", 1), ("c-2", 2), ("d-1", 3)]
RATE, BURST = 36000, 36000  # Tokens a second and tokens; the site's floor_per_s.
USUAL = RATE / 1.8  # The site's quota_x.
HOT_X, HOT_S = 6.0, 11  # A hot_tenant of the site (day scale-2).
TOKENS = (6610, 380)  # Prompt and output tokens of a rider-draft.
CONFIG = {
    "version": 7,
    "routes": [{"name": "r-draft", "hostname": HOST, "prefix": "/lohu930/", "route_type": "streaming",
                "timeout_ms": 15000, "target_latency_ms": 1000, "priority": 0, "service": "llm-huvo",
                "max_attempts": 1, "anonymous": False, "sticky": True, "resumable": False,
                "gap_target_ms": 200}],
    "services": [{"name": "llm-huvo", "health_path": "/healthz", "max_connections": 360,
                  "protocol": "h1", "tls": False, "cold_s": 3.0, "cold_per_s": 13.0,
                  "engine": {"slots": 11, "kv_capacity": 483492, "stride": 5, "models": [{"name": "m"}]}}],
    "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
               "idle_timeout_ms": 15000},
    "tenants": [{"name": "hule930", "api_keys": ["i9n73hh2b9wu3fexd9dn"], "priority": 1,
                 "unit": "tokens", "plain_tokens": 200, "rate_per_s": RATE, "burst": BURST}],
}


async def main():
    platform = Platform(FOLDER, ZONES)
    record = platform.record
    try:
        await platform.store.start()
        await platform.publish(CONFIG)
        platform.machines = [Machine(platform, f"front-ro-central-{name}", ZONES[zone])
                             for name, zone in MACHINES]
        platform.seeds = [machine.address("control") for machine in platform.machines[:3]]
        for number in range(12):
            server = Server(platform, f"i-{number:08x}", "llm-huvo", ZONES[number % 4])
            platform.servers.append(server)
            await server.start()
        for machine in platform.machines:
            machine.start()
        await platform.wait_ready(platform.machines, listed=7)
        record.say("seven machines are ready and know each other")
        await asyncio.sleep(10)  # Traffic starts 10 s after the machines do.
        if TROUBLE:
            for machine in platform.machines:
                machine.process.kill()
            for machine in platform.machines:
                machine.process.wait()
            record.say("all machines have lost power")
            await asyncio.sleep(1.5)
            for machine in platform.machines[3:]:
                machine.start()
            await platform.wait_ready(platform.machines[3:])
            record.say("four machines are back and ready; the three that the seeds name stay down")
        await asyncio.sleep(12)  # Longer than recover_s, and than the window of the quota.

        record.say(f"the tenant sends {HOT_X} times its usual for {HOT_S} s")
        start, tasks = now(), []
        per_second = HOT_X * USUAL / sum(TOKENS)
        directory = {}

        async def one(zone):
            known, asked = directory.get(zone, ([], 0))
            if now() - asked > 1:
                known = await platform.addresses(zone) or known
                directory[zone] = (known, now())
            if known:
                address = known[len(tasks) % len(known)]
                await platform.send(address, "/lohu930/2f", "i9n73hh2b9wu3fexd9dn", 15000,
                                    tokens=TOKENS)

        for number, zone in zip(itertools.count(), itertools.cycle(ZONES)):
            if now() - start > HOT_S:
                break
            tasks.append(asyncio.ensure_future(one(zone)))
            await asyncio.sleep(max(0, start + (number + 1) / per_second - now()))
        await asyncio.gather(*tasks)
        statuses = {}
        for answer in platform.answers.values():
            statuses[answer["status"]] = statuses.get(answer["status"], 0) + 1
        most, bound = quota_check(platform, "hule930", RATE, BURST, 8, 0.25, 140000)
        record.say(f"answers by status: {statuses}")
        record.say(f"most tokens that ran in 8 s: {most}; the rule allows {bound:.0f}")
        return BROKEN if most > bound else HELD
    finally:
        platform.close()


run_case(main)

"""Starts a small fleet, sends requests of each kind, prints what happened, stops everything."""

import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / "tests/process"))
from fleet import Caller, Fleet  # noqa: E402


def show(title, reply):
    body = reply.body if len(reply.body) < 160 else reply.body[:157] + "..."
    print(f"\n== {title}\n   status {reply.status}, request {reply.headers.get('X-Banyan-Request-Id')}")
    print("   " + body.replace("\n\n", " ").strip())


def main():
    with Fleet(nodes=3, engines=2, plains=1) as fleet:
        print("3 daemons, 2 engines, 1 plain service and a platform started; waiting for readiness")
        fleet.wait_ready()
        red = Caller(fleet, "red")
        print(f"red's callers are told to use {red.entry()} first of {red.addresses}")
        stream = red.send("/draft", {"prompt": "rider", "max_tokens": 6})
        show("streamed engine answer", stream)
        lookup = red.send("/lookup", {"account": 7})
        show("plain service answer", lookup)
        ticket = red.ticket("/order")
        first = red.send("/order", {"crates": 2}, ticket)
        show("order with a ticket", first)
        again = red.send("/order", {"crates": 2}, ticket, address=fleet.nodes[3][0])
        show("same ticket again at another node: the same answer, not run again", again)
        assert first.json()["run_id"] == again.json()["run_id"]
        show("order without a ticket", red.send("/order", {"crates": 2}))
        show("unknown key", Caller(fleet, "nobody").send("/lookup", {}, address=fleet.nodes[1][0]))
        runs = fleet.runs()
        print(f"\nbackend servers ran {len(runs)} requests; keys seen by them: "
              f"{sum(run['key_seen'] for run in runs)}")
        assert len(runs) == 3 and stream.body.endswith("data: [DONE]\n\n")
        print("stopping: SIGTERM to each daemon, which finishes what it has")
        for node in fleet.nodes:
            fleet.signal(f"node-{node}", signal.SIGTERM)
        codes = [fleet.wait_exit(f"node-{node}") for node in fleet.nodes]
        print(f"exit codes of the daemons: {codes}")
        assert codes == [0, 0, 0]
    return 0


if __name__ == "__main__":
    sys.exit(main())

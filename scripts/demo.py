"""Starts a small fleet, sends requests of each kind, prints the responses and stops the fleet."""

import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / "tests/process"))
from fleet import Caller, Fleet  # noqa: E402


def print_response(title, response):
    body = response.body if len(response.body) < 160 else response.body[:157] + "..."
    print(f"\n== {title}\n   status {response.status}, request {response.headers.get('X-Banyan-Request-Id')}")
    print("   " + body.replace("\n\n", " ").strip())


def main():
    with Fleet(nodes=3, engines=2, plains=1) as fleet:
        print("started 3 daemons, 2 engines, 1 plain service and a platform; waiting until they are ready")
        fleet.wait_ready()
        red = Caller(fleet, "red")
        print(f"callers of red should use {red.entry()}, the first of {red.addresses}")
        stream = red.send("/draft", {"prompt": "rider", "max_tokens": 6})
        print_response("streamed response of an engine", stream)
        lookup = red.send("/lookup", {"account": 7})
        print_response("response of a plain service", lookup)
        ticket = red.ticket("/order")
        original = red.send("/order", {"crates": 2}, ticket)
        print_response("order with a ticket", original)
        retry = red.send("/order", {"crates": 2}, ticket, address=fleet.nodes[3][0])
        print_response("retry with the same ticket at another node: the stored response, not run again", retry)
        assert original.json()["run_id"] == retry.json()["run_id"]
        print_response("order without a ticket", red.send("/order", {"crates": 2}))
        print_response("unknown key", Caller(fleet, "nobody").send("/lookup", {}, address=fleet.nodes[1][0]))
        runs = fleet.runs()
        print(f"\nbackend servers ran {len(runs)} requests; API keys that they received: "
              f"{sum(run['key_seen'] for run in runs)}")
        assert len(runs) == 3 and stream.body.endswith("data: [DONE]\n\n")
        print("stopping: SIGTERM to each daemon, which completes its open requests")
        for node in fleet.nodes:
            fleet.signal(f"node-{node}", signal.SIGTERM)
        codes = [fleet.wait_exit(f"node-{node}") for node in fleet.nodes]
        print(f"exit statuses of the daemons: {codes}")
        assert codes == [0, 0, 0]
    return 0


if __name__ == "__main__":
    sys.exit(main())

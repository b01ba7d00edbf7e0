"""Checks that the tables of docs/OPERATIONS.md list all log events and metrics. Usage: docs_tests.py ROOT"""

import pathlib
import re
import sys

root = pathlib.Path(sys.argv[1])
code = "\n".join(path.read_text() for directory in ("src/gateway", "src/fleet", "platform")
                 for path in sorted((root / directory).glob("*.cpp")))
code += (root / "src/adapters/log.cpp").read_text()
docs = (root / "docs" / "OPERATIONS.md").read_text()


def documented_names(heading):
    """Returns the names in the first column of the table below a heading."""
    section = docs.split(f"### {heading}\n", 1)[1].split("\n#", 1)[0]
    rows = [row.split("|")[1] for row in section.splitlines() if row.startswith("| `")]
    return {name for row in rows for name in re.findall(r"`([a-z_]+)`", row)}


def check(what, documented, in_code):
    assert documented == in_code, f"{what}: only in the docs {documented - in_code}, only in the code {in_code - documented}"
    print(f"{what}: all {len(in_code)} are documented")


events = set(re.findall(r'(?:logEvent|writeLine)\(\s*"([a-z_]+)"', code))
for alternatives in re.findall(r'logEvent\(\s*\w+ \? "([a-z_]+)" : "([a-z_]+)"', code):
    events.update(alternatives)
check("log events", documented_names("Log events"), events)
metrics = {f"banyanring_{name}" for name in re.findall(r'gauge\(\s*"([a-z_]+)"', code)}
metrics.update(re.findall(r"# TYPE (banyanring_[a-z_]+) ", code))
check("metrics", documented_names("Metrics"), metrics)

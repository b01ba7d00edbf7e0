"""Holds the tables of docs/OPERATIONS.md against the code. Usage: docs_tests.py ROOT"""

import pathlib
import re
import sys

root = pathlib.Path(sys.argv[1])
code = "\n".join(path.read_text() for folder in ("src/gateway", "src/fleet", "platform")
                 for path in sorted((root / folder).glob("*.cpp")))
docs = (root / "docs" / "OPERATIONS.md").read_text()


def table(title):
    """Gives the names in the first column of the table below a title."""
    part = docs.split(f"### {title}\n", 1)[1].split("\n#", 1)[0]
    rows = [row.split("|")[1] for row in part.splitlines() if row.startswith("| `")]
    return {name for row in rows for name in re.findall(r"`([a-z_]+)`", row)}


def check(what, written, coded):
    assert written == coded, f"{what}: only in the page {written - coded}, only in the code {coded - written}"
    print(f"{what}: {len(coded)} as in the code")


events = set(re.findall(r'logEvent\(\s*"([a-z_]+)"', code))
for both in re.findall(r'logEvent\(\s*\w+ \? "([a-z_]+)" : "([a-z_]+)"', code):
    events.update(both)
check("log events", table("Log events"), events)
metrics = {f"banyanring_{name}" for name in re.findall(r'gauge\(\s*"([a-z_]+)"', code)}
metrics.update(re.findall(r"# TYPE (banyanring_[a-z_]+) ", code))
check("metrics", table("Metrics"), metrics)

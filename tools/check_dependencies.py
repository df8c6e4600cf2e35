#!/usr/bin/env python3
"""Checks that each library includes only the libraries it may use, and that decision libraries do no I/O."""
import pathlib
import re
import sys

DECISION = {
    "base": [],
    "testing": ["base"],
    "config": ["base"],
    "platform": ["base"],
    "wire": ["base"],
    "routing": ["base", "config"],
    "admission": ["base", "config"],
    "retry": ["base"],
    "roles": ["base", "config"],
    "authority": ["base", "platform"],
    "orders": ["base", "platform"],
    "publication": ["base", "platform", "config"],
    "membership": ["base"],
    "spread": ["base", "membership"],
    "accounts": ["base"],
    "duties": ["base", "platform"],
    "hedging": ["base"],
    "dispatch": ["accounts", "base", "config"],
    "scaling": ["base", "dispatch"],
    "quarantine": ["base"],
}
SHELL = {
    "net": ["base"],
    "telemetry": ["base"],
    "platform_client": ["base", "net", "platform", "telemetry"],
    "peering": ["base", "net", "wire", "membership", "spread", "telemetry"],
    "order_service": ["base", "net", "orders", "platform", "telemetry"],
    "control": ["base", "net", "authority", "roles", "publication", "platform", "telemetry", "config"],
    "relay": ["accounts", "authority", "base", "config", "control", "dispatch", "duties", "hedging", "net",
              "platform", "quarantine", "scaling", "telemetry", "wire"],
    "adapter": ["accounts", "authority", "base", "config", "control", "dispatch", "duties", "net", "platform",
                "platform_client", "relay", "scaling", "telemetry"],
    "gateway": sorted(DECISION.keys() - {"testing", "dispatch", "accounts", "duties", "hedging", "scaling"})
    + ["net", "telemetry", "platform_client", "peering", "order_service", "control"],
    "cli": sorted(DECISION.keys() - {"testing"})
    + ["net", "telemetry", "platform_client", "peering", "order_service", "control", "gateway", "adapter"],
}
# The platform's words stay in this folder, whose library is the adapter.
ADAPTER_FOLDER = "platform"
ALLOWED = {**DECISION, **SHELL}
OWN_INCLUDE = re.compile(r'#include\s+[<"]masticstep/([a-z_]+)/')
IO_INCLUDE = re.compile(
    r"#include\s+<(boost/asio|boost/beast|glog|sys/|unistd|fcntl|netinet|thread|fstream|filesystem|iostream)"
)
# The checkers of configuration files take text; only the shell opens files.
IO_CALL = re.compile(
    r"(steady_clock|system_clock|high_resolution_clock)::now|random_device|sleep_for|sleep_until|\bstd::rand\b|::time\("
)


def faults_of(path, library):
    """Yields one message for each include or call that the library may not have."""
    is_test = "tests" in path.parts
    for number, line in enumerate(path.read_text().splitlines(), 1):
        found = OWN_INCLUDE.search(line)
        if found and found.group(1) != library:
            used = found.group(1)
            if used not in ALLOWED[library] and not (is_test and used == "testing"):
                yield f"{path}:{number}: library {library} must not use {used}"
        if library in DECISION and library != "testing" and not is_test:
            if IO_INCLUDE.search(line) or IO_CALL.search(line):
                yield f"{path}:{number}: decision library {library} must do no I/O and read no clock"


def faults_below(folder, root, library):
    """Yields the faults of all sources of a library."""
    for path in sorted(folder.rglob("*")):
        if path.suffix in (".hpp", ".cpp"):
            yield from faults_of(path.relative_to(root), library)


def main():
    root = pathlib.Path(__file__).resolve().parent.parent
    faults = []
    for folder in sorted((root / "libs").iterdir()):
        if folder.name not in ALLOWED:
            faults.append(f"{folder}: library is not listed in tools/check_dependencies.py")
            continue
        faults.extend(faults_below(folder, root, folder.name))
    faults.extend(faults_below(root / ADAPTER_FOLDER, root, "adapter"))
    for fault in faults:
        print(fault, file=sys.stderr)
    print("dependencies: " + ("failed" if faults else "ok"))
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main())

#!/usr/bin/env python3
"""Runs the benchmark cases and prints one JSON object a line. Usage: bench.py BUILD_FOLDER [CASE]

Each case is a process of its own, so that its processor time and memory are its own. Cases on virtual time run side
by side; cases that time single decisions or real links run alone afterwards.
"""
import concurrent.futures
import os
import pathlib
import subprocess
import sys

ALONE = ("decision_", "links_")  # prefixes of cases that a busy machine would disturb


def run_case(program, name):
    return subprocess.run([program, name], stdout=subprocess.PIPE, text=True, check=True).stdout


def main():
    program = str(pathlib.Path(sys.argv[1]) / "bin" / "masticstep_bench")
    if len(sys.argv) > 2:
        return subprocess.run([program, sys.argv[2]]).returncode
    names = subprocess.run([program, "--list"], stdout=subprocess.PIPE, text=True, check=True).stdout.split()
    alone = [name for name in names if name.startswith(ALONE)]
    # The longest case first: it decides how long the whole run takes.
    together = sorted((name for name in names if name not in alone), key=lambda name: name != "control_370")
    with concurrent.futures.ThreadPoolExecutor(os.cpu_count()) as pool:
        runs = {name: pool.submit(run_case, program, name) for name in together}
        for name in sorted(together):
            print(runs[name].result(), end="", flush=True)
    for name in alone:
        print(run_case(program, name), end="", flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())

#!/usr/bin/env python3
"""Executes soak runs with consecutive seeds in parallel and prints one JSON line per run.

Usage: soak.py [--build DIR] [--seed N] [--minutes M | --runs N] [--jobs N] [--folder DIR]
               [--regressions] [-- OPTION...]

--regressions runs the seeds of tests/soak/seeds.txt first, with the options that it gives. Options after -- are passed to the
other runs.
The folder of a run is kept only if the run has findings; the exit code is 1 if any run has.
"""
import argparse
import concurrent.futures
import itertools
import json
import os
import pathlib
import shutil
import subprocess
import sys
import time

RUN_LIMIT_S = 400


def run_seed(build, seed, folder, options):
    command = [str(build / "bin" / "soak"), "--seed", str(seed), "--folder", str(folder), *options]
    environment = dict(os.environ, MASTICSTEP_BUILD=str(build))
    try:
        run = subprocess.run(command, capture_output=True, text=True, timeout=RUN_LIMIT_S, env=environment)
    except subprocess.TimeoutExpired:
        return {"seed": seed, "findings": [{"rule": "harness", "text": "the run did not finish within the time limit"}]}
    try:
        result = json.loads(run.stdout)
    except json.JSONDecodeError:
        problem = "exit code %d: %s" % (run.returncode, run.stderr[-500:])
        return {"seed": seed, "findings": [{"rule": "harness", "text": problem}]}
    if not result["findings"]:
        shutil.rmtree(folder, ignore_errors=True)
    return result


def regression_runs():
    """Returns the seeds that failed in the past with their options, which stand before the cause."""
    lines = (pathlib.Path(__file__).resolve().parent.parent / "tests" / "soak" / "seeds.txt").read_text().splitlines()
    runs = []
    for line in lines:
        if line and not line.startswith("#"):
            seed, *words = line.split()
            is_option = lambda word: word.startswith("--") or word.isdigit()
            runs.append((int(seed), list(itertools.takewhile(is_option, words))))
    return runs


def main():
    parser = argparse.ArgumentParser(usage=__doc__)
    parser.add_argument("--build", default="build")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--minutes", type=float, default=0)
    parser.add_argument("--runs", type=int, default=0)
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--folder", default="soak-runs")
    parser.add_argument("--regressions", action="store_true")
    parser.add_argument("options", nargs="*")
    options = parser.parse_args()
    build = pathlib.Path(options.build).resolve()
    folder = pathlib.Path(options.folder)
    end = time.monotonic() + options.minutes * 60
    seeds = iter(range(options.seed, options.seed + options.runs)) if options.runs else itertools.count(options.seed)
    runs = ((seed, options.options) for seed in seeds)
    if options.regressions:
        runs = itertools.chain(regression_runs(), runs)
    failed, count = [], 0
    with concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
        pending = set()
        while True:
            while len(pending) < options.jobs and (options.runs or time.monotonic() < end):
                seed, arguments = next(runs, (None, None))
                if seed is None:
                    break
                pending.add(pool.submit(run_seed, build, seed, folder / str(seed), arguments))
            if not pending:
                break
            done, pending = concurrent.futures.wait(pending, return_when=concurrent.futures.FIRST_COMPLETED)
            for run in done:
                result = run.result()
                count += 1
                if result["findings"]:
                    failed.append(result["seed"])
                print(json.dumps(result), flush=True)
    print(json.dumps({"runs": count, "failed_seeds": sorted(failed)}))
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())

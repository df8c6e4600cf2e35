#!/usr/bin/env python3
"""Runs clang-tidy over the project's own sources. Usage: check_lint.py BUILD_FOLDER [FILE...]

A file passes without a new run if it, the project headers that it includes (directly or not), the settings and
the compile flags are the same as when it last passed.
"""
import concurrent.futures
import hashlib
import json
import os
import pathlib
import re
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
CACHE = pathlib.Path(os.environ.get("XDG_CACHE_HOME", pathlib.Path.home() / ".cache")) / "masticstep-lint"
INCLUDE = re.compile(r'#include\s+"([^"]+)"')


def project_files(*patterns):
    listed = subprocess.run(
        ["git", "ls-files", "-co", "--exclude-standard", "--", *patterns],
        cwd=ROOT, capture_output=True, text=True, check=True)
    return sorted(set(listed.stdout.split()))


def headers_by_ending(headers):
    """Maps each ending of a header's path to the headers that have it."""
    found = {}
    for header in headers:
        parts = header.split("/")
        for n in range(len(parts)):
            found.setdefault("/".join(parts[n:]), []).append(header)
    return found


def closure(path, endings, texts):
    """Returns the file and all project headers that it includes; ambiguous names count with every match."""
    seen, waiting = set(), [path]
    while waiting:
        each = waiting.pop()
        if each in seen:
            continue
        seen.add(each)
        if each not in texts:
            texts[each] = (ROOT / each).read_text()
        for included in INCLUDE.findall(texts[each]):
            waiting.extend(endings.get(included.split("../")[-1], []))
    return sorted(seen)


def lint(path, build, key):
    mark = CACHE / key
    if mark.exists():
        return ""
    run = subprocess.run(["clang-tidy", "--quiet", "-p", build, path], cwd=ROOT, capture_output=True, text=True)
    if run.returncode == 0:
        mark.touch()
        return ""
    return run.stdout or run.stderr


def main():
    build = str(pathlib.Path(sys.argv[1]).resolve())
    commands = {str(pathlib.Path(each["file"]).resolve()): each["command"].replace(str(ROOT), "")
                for each in json.loads((pathlib.Path(build) / "compile_commands.json").read_text())}
    sources = sys.argv[2:] or project_files("*.cpp", ":!:*generated*")
    sources = [each for each in sources if str(ROOT / each) in commands]
    endings = headers_by_ending(project_files("*.hpp", "*.h"))
    settings = (ROOT / ".clang-tidy").read_text()
    texts, failed = {}, 0
    CACHE.mkdir(parents=True, exist_ok=True)
    with concurrent.futures.ThreadPoolExecutor(os.cpu_count()) as pool:
        runs = []
        for source in sources:
            digest = hashlib.sha256((settings + commands[str(ROOT / source)]).encode())
            for each in closure(source, endings, texts):
                digest.update(each.encode() + texts[each].encode())
            runs.append(pool.submit(lint, source, build, digest.hexdigest()))
        for run in concurrent.futures.as_completed(runs):
            if run.result():
                failed += 1
                print(run.result(), flush=True)
    print("lint: %d of %d files failed" % (failed, len(sources)) if failed else "lint: ok (%d files)" % len(sources))
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())

#!/usr/bin/env python3
"""Fails on braced temporaries in the arguments of calls that are awaited.

g++ 12 destroys a braced temporary inside a co_await expression twice. Name the value before the call instead.
Usage: check_coroutines.py [FILE...]; without files it checks the sources under libs/, app/, platform/ and standins/.
"""
import pathlib
import re
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
FOLDERS = ("libs", "app", "platform", "standins")
# Comments, string literals (raw ones first) and character literals; a digit separator is no literal.
OPAQUE = re.compile(
    r'//[^\n]*|/\*.*?\*/|(?:u8|[LuU])?R"(?P<mark>[^()\\\s]{0,16})\(.*?\)(?P=mark)"|"(?:\\.|[^"\\\n])*"'
    r"|(?<![0-9A-Za-z])'(?:\\.|[^'\\\n])+'",
    re.DOTALL,
)
AWAIT = re.compile(r"\bco_await\b")
CLOSERS = {"(": ")", "[": "]", "{": "}"}
# What may stand between the capture list of a lambda and its body, after its parameters.
LAMBDA_TAIL = re.compile(r"(?:mutable|constexpr|consteval|noexcept|static)?(?:\s*->.*)?", re.DOTALL)


def blanked(text):
    """Replaces comments and literals by text of the same length that holds no brackets."""
    def blank(found):
        # A literal keeps its quotes, so that a '[' after it still reads as a subscript.
        return re.sub(r"[^\n]", "_" if found.group(0)[0] != "/" else " ", found.group(0))

    return OPAQUE.sub(blank, text)


def end_of_group(text, start):
    """Returns the position of the bracket that closes the one at start, or the end of the text."""
    opened = []
    for i in range(start, len(text)):
        if text[i] in CLOSERS:
            opened.append(CLOSERS[text[i]])
        elif opened and text[i] == opened[-1]:
            opened.pop()
            if not opened:
                return i
    return len(text)


def lambda_body(text, start):
    """Returns the position of the '{' of the lambda whose capture list opens at start, or None."""
    before = text[:start].rstrip()
    if before and (before[-1].isalnum() or before[-1] in "_)]"):
        return None  # a subscript
    i = end_of_group(text, start) + 1
    while i < len(text) and text[i].isspace():
        i += 1
    if i < len(text) and text[i] == "<":
        i = text.find("(", i)  # a generic lambda has parameters
    if 0 <= i < len(text) and text[i] == "(":
        i = end_of_group(text, i) + 1
    body = text.find("{", i)
    return body if body >= 0 and LAMBDA_TAIL.fullmatch(text[i:body].strip()) else None


def braces_in_await(text, start):
    """Yields the positions of braced initialisers in the expression after a co_await."""
    depth = 0
    i = start
    while i < len(text):
        c = text[i]
        if c == "[" and (body := lambda_body(text, i)) is not None:
            # Captures are checked; the body is code of its own, whose awaits are found by themselves.
            capture_end = end_of_group(text, i)
            yield from (n for n in range(i, capture_end) if text[n] == "{")
            i = end_of_group(text, body) + 1
            continue
        if c == "{":
            yield i
            i = end_of_group(text, i) + 1
            continue
        if c in "([":
            depth += 1
        elif c in ")]}":
            depth -= 1
        if depth < 0 or (depth == 0 and c in ";,"):
            return
        i += 1


def faults_of(text):
    """Returns the line numbers of braced initialisers in awaited expressions."""
    text = blanked(text)
    found = set()
    for keyword in AWAIT.finditer(text):
        found.update(braces_in_await(text, keyword.end()))
    return sorted({text.count("\n", 0, position) + 1 for position in found})


def main(arguments):
    paths = [pathlib.Path(name) for name in arguments]
    if not paths:
        paths = sorted(p for f in FOLDERS for p in (ROOT / f).rglob("*") if p.suffix in (".hpp", ".cpp"))
    faults = [f"{path}:{line}" for path in paths for line in faults_of(path.read_text())]
    for fault in faults:
        print(f"{fault}: braced initialiser inside a co_await expression; name the value first", file=sys.stderr)
    print("coroutines: " + ("failed" if faults else f"ok ({len(paths)} files)"))
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))

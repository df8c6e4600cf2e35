"""Callers of streams: begin a stream, and take it up again at another daemon after a break."""

import asyncio
import os
import time

from standin import read_chunk, read_head


class Outcome:
    def __init__(self):
        self.status = None
        self.events = []  # ids
        self.is_complete = False
        self.retry_after = None
        self.text = ""


def request_text(identity, host, path, headers, method="POST", body=b""):
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}",
             f"Masticstep-Request-Attempt-Id: {identity}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def call(address, text, seconds, on_event=None):
    """One attempt over a new connection. Returns what came, also if the connection broke."""
    outcome = Outcome()
    writer = None

    async def exchange():
        nonlocal writer
        reader, writer = await asyncio.wait_for(asyncio.open_connection(*address), 1)
        writer.write(text)
        await writer.drain()
        head = await read_head(reader)
        if head is None:
            return
        outcome.status = int(head[0].split()[1])
        if "retry-after" in head[1]:
            outcome.retry_after = float(head[1]["retry-after"])
        if head[1].get("transfer-encoding") != "chunked":
            body = await reader.readexactly(int(head[1].get("content-length", 0)))
            outcome.text = body.decode(errors="replace")
            outcome.is_complete = True
            return
        pending = b""
        while True:
            part = await read_chunk(reader)
            if not part:
                outcome.is_complete = True
                return
            pending += part
            while b"\n\n" in pending:
                event, pending = pending.split(b"\n\n", 1)
                for line in event.split(b"\n"):
                    if line.startswith(b"id:"):
                        outcome.events.append(int(line[3:]))
                if on_event:
                    on_event(outcome)

    try:
        await asyncio.wait_for(exchange(), seconds)
    except (OSError, EOFError, asyncio.IncompleteReadError, asyncio.TimeoutError, ValueError):
        pass
    finally:
        if writer is not None:
            writer.close()
    return outcome


class Stream:
    """One stream of a caller: a first attempt, and attempts that take it up."""

    def __init__(self, record, host, path, events, deadline=10.0):
        self.record, self.host, self.path = record, host, path
        self.total, self.deadline = events, deadline
        self.first = os.urandom(8).hex()
        self.events, self.is_complete = [], False
        self.statuses, self.goes_on = [], False

    def headers(self, left):
        part = os.urandom(4).hex()
        return {"Masticstep-Model": "m", "Masticstep-Token-Counts": f"100,{self.total}",
                "Masticstep-Prompt-Prefix": f"1f:40,{part}:60",
                "Masticstep-Deadline-Milliseconds": str(int(left * 1000))}

    async def attempt(self, address, end, on_event=None):
        left = end - time.monotonic()
        if not self.events:
            identity, headers = self.first, self.headers(left)
        else:
            identity, headers = os.urandom(8).hex(), self.headers(left)
            headers["Last-Event-Id"] = str(self.events[-1])
            headers["Resumes"] = self.first
            self.record.write(f"stream {self.first} is taken up after event {self.events[-1]} "
                              f"by {identity} at {address[0]}")
        text = request_text(identity, self.host, self.path, headers)
        before = list(self.events)

        def take(outcome):
            self.events = before + outcome.events  # also if the attempt is cancelled
            self.goes_on = self.goes_on or bool(before)
            if on_event:
                on_event(outcome)

        outcome = await call(address, text, left, take)
        self.statuses.append(outcome.status)
        if outcome.status == 200:
            self.is_complete = outcome.is_complete
        else:
            self.record.write(f"{identity} gets {outcome.status} {outcome.text[:160]}")
        return outcome

    async def run(self, addresses, tries=3, on_event=None):
        """The first attempt goes to the first address, the others to the following ones."""
        end = time.monotonic() + self.deadline
        for number in range(tries):
            outcome = await self.attempt(addresses[number % len(addresses)], end, on_event)
            if self.is_complete or time.monotonic() > end - 0.2:
                return
            if outcome.status not in (None, 200, 502, 503, 504):
                return
            pause = min(outcome.retry_after or 0.05, (end - time.monotonic()) / 3)
            await asyncio.sleep(max(pause, 0))

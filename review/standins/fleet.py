"""Stand-ins for the platform, plain servers, model engines and callers, and a relay daemon as a separate process.

All of them listen on loopback addresses. They speak what PROTOCOL.md says and nothing else.
"""

import asyncio
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
PROGRAM = os.path.join(ROOT, "target", "bin", "masticstep")
CALL_ID = "Masticstep-Request-Attempt-Id"
DEADLINE = "Masticstep-Deadline-Milliseconds"
EXPECTED = "Masticstep-Expected-Instance"
STAMP = "Masticstep-Response-Stamp"
NOT_EXECUTED = "Masticstep-Not-Executed"


# A script that is asked to end ends its daemons first.
signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(2))


class CannotRun(Exception):
    """The case could not be run; says nothing about the rule."""


class Record:
    """Writes one line for each thing that was sent, answered or run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.begin = time.monotonic()

    def now(self):
        return time.monotonic() - self.begin

    def add(self, text):
        self.file.write("%8.3f  %s\n" % (self.now(), text))
        self.file.flush()


def random_ip():
    """Returns a loopback address that no other program is likely to use."""
    return "127.%d.%d.%d" % (random.randint(10, 250), random.randint(1, 250), random.randint(1, 250))


def free_port(ip):
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


class Message:
    def __init__(self, start, headers, body):
        self.start = start
        self.headers = headers
        self.body = body

    def get(self, name, default=""):
        name = name.lower()
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return default


async def read_head(reader):
    """Returns the start line and the headers, or None at the end of input."""
    try:
        text = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    lines = text.decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers.append((name.strip(), value.strip()))
    return Message(lines[0], headers, b"")


async def read_chunks(reader):
    parts = []
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        if size == 0:
            while (await reader.readline()).strip():
                pass
            return b"".join(parts)
        parts.append(await reader.readexactly(size))
        await reader.readexactly(2)


async def read_request(reader):
    message = await read_head(reader)
    if message is None:
        return None
    if message.get("Transfer-Encoding"):
        message.body = await read_chunks(reader)
    elif message.get("Content-Length"):
        message.body = await reader.readexactly(int(message.get("Content-Length")))
    return message


def response(status, headers, body, closes=False):
    lines = ["HTTP/1.1 %d X" % status]
    lines += ["%s: %s" % item for item in headers]
    if body is not None:
        lines.append("Content-Length: %d" % len(body))
    if closes:
        lines.append("Connection: close")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + (body or b"")


class HttpServer:
    """Accepts connections; a subclass answers each request."""

    def __init__(self, ip, port=0):
        self.ip = ip
        self.port = port
        self.server = None
        self.connections = set()

    async def start(self):
        self.server = await asyncio.start_server(self._serve, self.ip, self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    def address(self):
        return "%s:%d" % (self.ip, self.port)

    async def _serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                request = await read_request(reader)
                if request is None or not await self.handle(request, reader, writer):
                    break
        except (ConnectionError, OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def handle(self, request, reader, writer):
        raise NotImplementedError

    def stop(self):
        """Stops listening and ends all connections, as the end of the process does."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()


class Store:
    """The platform's metadata store. Each daemon reaches it through a door of its own."""

    def __init__(self):
        self.revision = 100
        self.objects = {}
        self.events = []
        self.changed = asyncio.Event()

    def _notify(self, kind, item, deleted):
        self.events.append((self.revision, kind, {"object": item, "deleted": deleted}))
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, kind, name, specification):
        old = self.objects.setdefault(kind, {}).get(name)
        if old is not None and old["specification"] == specification:
            return old
        self.revision += 1
        created = old["metadata"]["created"] if old else self.revision
        meta = {
            "name": name,
            "revision": self.revision,
            "created": created,
            "finalizers": [],
            "deleting": False,
        }
        item = {"metadata": meta, "specification": specification, "status": None}
        self.objects[kind][name] = item
        self._notify(kind, item, False)
        return item

    def delete(self, kind, name):
        item = self.objects.get(kind, {}).pop(name, None)
        if item is None:
            return False
        self.revision += 1
        gone = dict(item, metadata=dict(item["metadata"], revision=self.revision))
        self._notify(kind, gone, True)
        return True

    async def call(self, method, target, body):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        parts = [urllib.parse.unquote(it) for it in url.path.split("/")[3:] if it]
        kind = parts[0]
        name = parts[1] if len(parts) > 1 else None
        if method == "GET" and name is None:
            if "watch" in query:
                return await self._watch(kind, int(query["watch"]), int(query.get("waitMs", "0")))
            after = query.get("after", "")
            names = sorted(it for it in self.objects.get(kind, {}) if it > after)
            page = [self.objects[kind][it] for it in names[:500]]
            return 200, {"items": page, "more": len(names) > 500, "asOf": self.revision}
        found = self.objects.get(kind, {}).get(name) if name else None
        if method == "GET":
            return (200, found) if found else (404, {})
        sent = json.loads(body) if body else {}
        if method == "POST":
            name = sent["metadata"]["name"]
            found = self.objects.get(kind, {}).get(name)
            return (409, found) if found else (201, self.put(kind, name, sent.get("specification")))
        if found is None:
            return 404, {}
        expected = query.get("revision") or sent.get("metadata", {}).get("revision")
        if expected is not None and int(expected) != found["metadata"]["revision"]:
            return 409, found
        if method == "DELETE":
            self.delete(kind, name)
            return 200, found
        return 200, self.put(kind, name, sent.get("specification"))

    async def _watch(self, kind, revision, wait_ms):
        end = time.monotonic() + wait_ms / 1000.0
        while True:
            news = [it for at, of, it in self.events if at > revision and of == kind]
            left = end - time.monotonic()
            if news or left <= 0:
                return 200, {"events": news, "asOf": self.revision}
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Door(HttpServer):
    """The address at which one daemon reaches the store. It can turn that daemon away."""

    def __init__(self, store, ip):
        super().__init__(ip)
        self.store = store
        self.mode = "open"  # or busy (503), silent
        self.delay = None  # function of method and target: seconds until the answer is sent

    def shut(self, mode):
        self.mode = mode
        for writer in list(self.connections):
            writer.transport.abort()

    def open(self):
        self.mode = "open"
        for writer in list(self.connections):
            writer.transport.abort()

    async def handle(self, request, reader, writer):
        method, target = request.start.split(" ")[:2]
        if self.mode == "silent":
            await asyncio.sleep(3600)
        if self.mode == "busy":
            writer.write(response(503, [], b"{}"))
            return True
        status, answer = await self.store.call(method, target, request.body)
        body = json.dumps(answer).encode()
        if self.delay is not None:
            await asyncio.sleep(self.delay(method, target))
        if self.mode != "open":
            return False
        writer.write(response(status, [("Content-Type", "application/json")], body))
        await writer.drain()
        return True


class Server(HttpServer):
    """A server of a plain service. It runs a request for work_s and answers with a stamp."""

    def __init__(self, store, record, service, zone, ip, work_s=0.03, slots=6):
        super().__init__(ip)
        self.store = store
        self.record = record
        self.service = service
        self.zone = zone
        self.id = "i-%08x" % random.getrandbits(32)
        self.work_s = work_s
        self.slots = slots
        self.born = int(time.time() * 1000)
        self.is_leaving = False
        self.running = 0
        self.runs = []  # (time, id)
        self.broken = []  # ids of requests that the end of the process broke off
        self.extra_headers = []

    def entry(self, state="ready"):
        return {
            "service": self.service,
            "address": self.address(),
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": state,
            "coldRemainingMs": 0,
            "sequence": 1,
            "born": self.born,
        }

    def register(self, state="ready"):
        self.store.put("servers", self.id, self.entry(state))

    def headers(self, request):
        headers = [
            (CALL_ID, request.get(CALL_ID)),
            (STAMP, "%s.%08x" % (self.id, random.getrandbits(32))),
            ("Masticstep-Instance-Load", "%d,0,%d" % (self.running, self.slots)),
        ]
        if self.is_leaving:
            headers.append(("Server-Leaving", "1"))
        return headers + self.extra_headers

    async def handle(self, request, reader, writer):
        method, target = request.start.split(" ")[:2]
        if target == "/health":
            status = 503 if self.is_leaving else 200
            writer.write(response(status, [("Masticstep-Instance-Id", self.id)], b""))
            return True
        if request.get(EXPECTED) not in ("", self.id):
            writer.write(response(421, [("Masticstep-Instance-Id", self.id)], b""))
            return True
        return await self.run(request, writer)

    async def run(self, request, writer):
        call = request.get(CALL_ID)
        self.runs.append((self.record.now(), call))
        self.record.add("%s runs %s%s" % (self.id, call, " (leaving)" if self.is_leaving else ""))
        self.running += 1
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        if writer.transport.is_closing():
            self.broken.append(call)
            self.record.add("%s cannot answer %s" % (self.id, call))
            return False
        writer.write(response(200, self.headers(request), b"done " + call.encode()))
        await writer.drain()
        return True


class Engine(Server):
    """A model engine: reads prompts, or writes answers as a stream of events, and takes orders."""

    def __init__(self, store, record, service, zone, ip, stage, version="v1"):
        super().__init__(store, record, service, zone, ip, slots=64)
        self.stage = stage
        self.version = version
        self.is_changing = False
        self.pieces = 40
        self.piece_s = 0.15
        self.read_s = 0.005
        self.sequence = 0
        self.fence = 0
        self.orders = []  # (time, holder, fence)

    def entry(self, state="ready"):
        entry = super().entry(state)
        entry["version"] = self.version
        entry["stage"] = self.stage
        entry["models"] = [{"name": "m", "version": 1, "adapters": []}]
        return entry

    def not_executed(self, request):
        headers = [(CALL_ID, request.get(CALL_ID)), (NOT_EXECUTED, "1")]
        return response(503, headers, b"")

    async def change_stage(self, stage):
        self.is_changing = True
        await asyncio.sleep(3.0)  # switchS
        self.stage = stage
        self.is_changing = False
        self.register()

    def take_order(self, request):
        order = json.loads(request.body)
        self.orders.append((self.record.now(), order.get("holder"), order.get("fence")))
        self.record.add("%s gets the order %s" % (self.id, json.dumps(order)))
        if not order.get("holder") or order.get("fence") is None:
            return 400
        if order["fence"] < self.fence:
            return 412
        self.fence = order["fence"]
        if order["stage"] == self.stage and not self.is_changing:
            return 200
        if self.is_changing:
            return 409
        self.sequence += 1
        asyncio.get_running_loop().create_task(self.change_stage(order["stage"]))
        return 202

    def report(self):
        return {
            "stage": self.stage,
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": self.is_changing,
            "sequence": self.sequence,
            "queued": 0,
            "active": self.running,
            "kvUsed": 1000,
            "kvTotal": 469027,
            "kvHandles": 0,
        }

    async def handle(self, request, reader, writer):
        method, target = request.start.split(" ")[:2]
        json_type = [("Content-Type", "application/json")]
        if target == "/masticstep/report":
            writer.write(response(200, json_type, json.dumps(self.report()).encode()))
            return True
        if target.startswith("/masticstep/kv-handle/"):
            writer.write(response(200, [], b""))
            return True
        if target == "/masticstep/order":
            is_other = request.get(EXPECTED) not in ("", self.id)
            status = 421 if is_other else self.take_order(request)
            writer.write(response(status, json_type, b"{}"))
            return True
        return await super().handle(request, reader, writer)

    async def run(self, request, writer):
        if self.is_changing:
            writer.write(self.not_executed(request))
            return True
        is_prefill = request.get("Masticstep-Serving-Stage") == "prefill"
        if is_prefill != (self.stage == "prefill"):
            writer.write(response(421, [(CALL_ID, request.get(CALL_ID))], b""))
            return True
        if is_prefill:
            await asyncio.sleep(self.read_s)
            answer = {"handle": "%012x" % random.getrandbits(48), "tokens": 700, "version": 1}
            headers = self.headers(request) + [("Content-Type", "application/json")]
            writer.write(response(200, headers, json.dumps(answer).encode()))
            return True
        return await self.stream(request, writer)

    async def stream(self, request, writer):
        call = request.get(CALL_ID)
        first = int(request.get("Last-Event-Id", "0") or "0") + 1
        self.runs.append((self.record.now(), call))
        self.record.add(
            "%s of software version %s runs %s from event %d" % (self.id, self.version, call, first)
        )
        headers = self.headers(request) + [
            ("Content-Type", "text/event-stream"),
            ("Transfer-Encoding", "chunked"),
        ]
        self.running += 1
        try:
            writer.write(response(200, headers, None))
            for number in range(first, self.pieces + 1):
                await asyncio.sleep(self.piece_s)
                event = b"id: %d\ndata: %s\n\n" % (number, self.version.encode())
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        finally:
            self.running -= 1
        return True


class Daemon:
    """A relay daemon, started with the command of the deploy file."""

    def __init__(self, number, zone, door, folder, zones, bounds, bootstrap=True):
        self.name = "front-%s-%d" % (zone, number)
        self.zone = zone
        self.zones = zones
        self.door = door
        self.folder = folder
        self.bounds = bounds
        self.bootstrap = bootstrap
        self.ip = random_ip()
        self.front = free_port(self.ip)
        self.ready = free_port(self.ip)
        self.internal = free_port(self.ip)
        self.process = None

    def write_settings(self, extra=""):
        lines = [
            "node=" + self.name,
            "role=relay",
            "machineClass=front",
            "serves=front",
            "ip=" + self.ip,
            "zone=" + self.zone,
            "region=" + self.zones[self.zone],
        ]
        lines += ["zones.%s=%s" % item for item in self.zones.items()]
        lines += [
            "listen.front=%s:%d" % (self.ip, self.front),
            "listen.ready=%s:%d" % (self.ip, self.ready),
            "internalPorts=%d,%d" % (self.internal, self.internal + 15),
            "bootstrap=" + ("true" if self.bootstrap else "false"),
            "limits.cpuShare=0.25",
            "limits.memoryMb=260",
            "limits.fileDescriptors=4200",
            "discovery=platform",
            "heartbeatMs=1200",
        ]
        lines += ["bounds.%s=%s" % item for item in self.bounds.items()]
        lines += ["platform.address=" + self.door.address(), "platform.form=objects", extra]
        path = os.path.join(self.folder, self.name + ".conf")
        with open(path + ".new", "w", encoding="utf-8") as file:
            file.write("\n".join(lines) + "\n")
        os.replace(path + ".new", path)
        return path

    def start(self):
        path = self.write_settings()
        if not os.path.exists(PROGRAM):
            raise CannotRun("no program at target/bin/masticstep; build by the deploy file")
        log = open(os.path.join(self.folder, self.name + ".log"), "ab")
        environment = {"PATH": os.environ.get("PATH", ""), "MASTICSTEP_CONFIG": path}
        self.process = subprocess.Popen(
            ["target/bin/masticstep", "relay"], cwd=ROOT, env=environment, stdout=log, stderr=log
        )

    def send(self, number):
        self.process.send_signal(number)

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def end(self):
        if self.is_running():
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    async def is_ready(self):
        try:
            status, _, _, _ = await call(
                (self.ip, self.ready), "GET", "/masticstep/readiness", [], b"", 0.5
            )
        except OSError:
            return False
        return status == 200


BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "contactMs": 4000,
    "ackMs": 5000,
    "catchUpS": 4,
    "drainMs": 2500,
    "graceS": 8,
    "lossSlackMs": 200,
    "configApplyMs": 2500,
    "rollbackSlackMs": 250,
    "maxSkewMs": 6000,
    "retryBudgetRatio": 0.2,
    "budgetWindowS": 10,
    "retrySlack": 54,
    "recoveryS": 12,
    "transitMs": 300,
    "requireFencing": "true",
    "leaseMs": 3000,
    "thawSlackMs": 300,
}

LIMITS = {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": 4194304,
    "headerTimeoutMs": 3000,
    "idleTimeoutMs": 15000,
}


async def read_answer(reader, parts):
    """Reads an answer into parts. Returns status, headers and whether the answer is complete."""
    head = await read_head(reader)
    if head is None:
        return 0, [], False
    status = int(head.start.split(" ")[1])
    try:
        if head.get("Transfer-Encoding"):
            while True:
                size = int((await reader.readline()).split(b";")[0] or b"x", 16)
                if size == 0:
                    await reader.readline()
                    return status, head.headers, True
                parts.append(await reader.readexactly(size))
                await reader.readexactly(2)
        length = int(head.get("Content-Length", "0"))
        parts.append(await reader.readexactly(length))
    except (asyncio.IncompleteReadError, ConnectionError, OSError, ValueError):
        return status, head.headers, False
    return status, head.headers, True


async def call(address, method, target, headers, body, timeout_s, connection=None):
    """Sends one request. Returns status (0: none), headers, body and whether it is complete."""
    writer = None
    parts = []
    try:
        if connection is None:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(*address), 1.0)
        else:
            reader, writer = connection
        lines = ["%s %s HTTP/1.1" % (method, target)] + ["%s: %s" % it for it in headers]
        if not any(name == "Host" for name, _ in headers):
            lines.append("Host: shop.example")
        if body or method == "POST":
            lines.append("Content-Length: %d" % len(body))
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)
        status, answered, whole = await asyncio.wait_for(read_answer(reader, parts), timeout_s)
        return status, answered, b"".join(parts), whole
    except (asyncio.TimeoutError, ConnectionError, OSError):
        return 0, [], b"".join(parts), False
    finally:
        if writer is not None and connection is None:
            writer.close()


class StreamAnswer:
    """What a caller has of the answer to one attempt of a stream."""

    def __init__(self):
        self.status = 0  # 0: no head of an answer
        self.head_at = None  # when the head came, by time.monotonic
        self.headers = []
        self.events = []  # (id, data)
        self.is_complete = False

    def has(self, name):
        return any(key.lower() == name.lower() for key, _ in self.headers)


async def read_events(reader, patience_s, answer):
    text = b""
    while True:
        line = await asyncio.wait_for(reader.readline(), patience_s)
        size = int(line, 16)
        if size == 0:
            answer.is_complete = not text
            return
        text += await reader.readexactly(size)
        await reader.readexactly(2)
        while b"\n\n" in text:
            event, text = text.split(b"\n\n", 1)
            fields = dict(it.split(b": ", 1) for it in event.split(b"\n"))
            answer.events.append((int(fields[b"id"]), fields[b"data"].decode()))


async def call_stream(address, target, headers, body, patience_s):
    """Sends one attempt of a stream, and abandons it after a pause of patience_s."""
    answer = StreamAnswer()
    writer = None
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(*address), 1.0)
        lines = ["POST %s HTTP/1.1" % target, "Host: shop.example"]
        lines += ["%s: %s" % item for item in headers]
        lines.append("Content-Length: %d" % len(body))
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)
        head = await asyncio.wait_for(read_head(reader), patience_s)
        if head is not None:
            answer.status = int(head.start.split(" ")[1])
            answer.headers = head.headers
            answer.head_at = time.monotonic()
        if answer.status == 200:
            await read_events(reader, patience_s, answer)
    except (asyncio.TimeoutError, asyncio.IncompleteReadError, ConnectionError, OSError, ValueError):
        pass
    finally:
        if writer is not None:
            writer.close()
    return answer


def prompt_headers(name, deadline_s, tokens, parts):
    """Headers of a request with a prompt. Parts are (id, tokens)."""
    return [
        (CALL_ID, name),
        (DEADLINE, "%d" % (deadline_s * 1000)),
        ("Masticstep-Model", "m"),
        ("Masticstep-Token-Counts", tokens),
        ("Masticstep-Prompt-Prefix", ",".join("%x:%d" % item for item in parts)),
    ]


MODEL_TRAITS = {
    "slots": 64,
    "kvCapacityTokens": 469027,
    "tokenKvBytes": 163840,
    "linkMbps": 1200000.0,
    "stride": 9,
    "handleTtlS": 5.0,
    "switchS": 3.0,
    "models": [{"name": "m"}],
}


def model_service(name):
    return {"name": name, "healthPath": "/health", "maxConnections": 360, "engine": MODEL_TRAITS}


def configuration(routes, services, version=3):
    return {"version": version, "routes": routes, "services": services, "limits": LIMITS}


def new_id():
    return "%016x" % random.getrandbits(64)


def temporary_folder():
    return tempfile.TemporaryDirectory(prefix="review-")


async def wait_ready(daemons, timeout_s=8.0):
    end = time.monotonic() + timeout_s
    while time.monotonic() < end:
        if all([await daemon.is_ready() for daemon in daemons]):
            return
        await asyncio.sleep(0.1)
    raise CannotRun("the daemons did not become ready")

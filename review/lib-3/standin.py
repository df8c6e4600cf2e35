"""Stand-ins for the scripts of this review: the platform's metadata store, engines, plain services,
callers and the processes of `masticstep relay`. They speak what PROTOCOL.md says and use only
Python's standard library. All addresses are on the loopback network."""

import asyncio
import json
import os
import signal
import subprocess
import tempfile
import time
from urllib.parse import parse_qs, unquote, urlsplit

REPOSITORY = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(REPOSITORY, "target", "bin", "masticstep")

REASONS = {200: "OK", 201: "Created", 202: "Accepted", 404: "Not Found", 409: "Conflict",
           410: "Gone", 421: "Misdirected Request", 503: "Service Unavailable"}


class Record:
    """Writes what was sent, answered and run, with the time since the start."""

    def __init__(self, folder):
        self.begin = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def write(self, text):
        self.file.write(f"{time.monotonic() - self.begin:8.3f}  {text}\n")
        self.file.flush()

    def say(self, text):
        print(text, flush=True)
        self.write(text)


class Request:
    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = method, target, headers, body
        parts = urlsplit(target)
        self.path = unquote(parts.path)
        self.query = {name: values[0] for name, values in parse_qs(parts.query).items()}

    def get(self, name, default=""):
        return self.headers.get(name.lower(), default)


async def read_head(reader):
    """Returns the first line and the headers (names in lower case) of a message, or None."""
    try:
        text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = text.split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


def head_of(status, headers):
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


class HttpServer:
    """Serves one connection after the other request; `handle` answers a request."""

    def __init__(self):
        self.server = None
        self.writers = set()

    async def start(self, ip, port=0):
        self.server = await asyncio.start_server(self._serve, ip, port, limit=1 << 22)
        self.address = self.server.sockets[0].getsockname()[:2]
        return self.address

    def address_text(self):
        return f"{self.address[0]}:{self.address[1]}"

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                method, target, _ = head[0].split(" ", 2)
                body = await reader.readexactly(int(head[1].get("content-length", 0)))
                if not await self.handle(Request(method, target, head[1], body), reader, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, writer, status, value=None, headers=None):
        body = b"" if value is None else json.dumps(value).encode()
        fields = {"Content-Type": "application/json", "Content-Length": str(len(body))}
        fields.update(headers or {})
        writer.write(head_of(status, fields) + body)
        await writer.drain()
        return True


class Store(HttpServer):
    """The platform's metadata store. `page` bounds the items of one page of a list."""

    LATENCY = 0.004

    def __init__(self, page=500, page_bytes=1 << 20):
        super().__init__()
        self.page, self.page_bytes = page, page_bytes
        self.revision = 1
        self.kinds = {}
        self.history = []
        self.changed = asyncio.Event()
        self.lists = {}  # number of list calls by kind

    def _note(self, kind, item, deleted):
        self.history.append((self.revision, kind, {"object": item, "deleted": deleted}))
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, kind, name, specification):
        self.revision += 1
        items = self.kinds.setdefault(kind, {})
        created = items[name]["metadata"]["created"] if name in items else self.revision
        items[name] = {"metadata": {"name": name, "revision": self.revision, "created": created,
                                    "finalizers": [], "deleting": False},
                       "specification": specification, "status": None}
        self._note(kind, items[name], False)
        return items[name]

    def remove(self, kind, name):
        item = self.kinds.get(kind, {}).pop(name, None)
        if item is not None:
            self.revision += 1
            self._note(kind, item, True)

    def names(self, kind):
        return sorted(self.kinds.get(kind, {}))

    async def handle(self, request, reader, writer):
        await asyncio.sleep(self.LATENCY)
        parts = request.path.split("/")
        if parts[:3] != ["", "masticstep", "objects"] or len(parts) not in (4, 5):
            return await self.answer(writer, 404)
        kind, name = parts[3], parts[4] if len(parts) == 5 else None
        if request.method == "GET" and name is None:
            if "watch" in request.query:
                return await self._watch(request, writer, kind)
            return await self._list(request, writer, kind)
        item = self.kinds.get(kind, {}).get(name) if name else None
        if request.method == "GET":
            return await self.answer(writer, 200 if item else 404, item)
        if request.method == "DELETE":
            if item is None:
                return await self.answer(writer, 404)
            if "revision" in request.query and \
                    int(request.query["revision"]) != item["metadata"]["revision"]:
                return await self.answer(writer, 409, item)
            self.remove(kind, name)
            return await self.answer(writer, 200, item)
        value = json.loads(request.body)
        if request.method == "POST":
            name = value["metadata"]["name"]
            item = self.kinds.get(kind, {}).get(name)
            if item is not None:
                return await self.answer(writer, 409, item)
            return await self.answer(writer, 201, self.put(kind, name, value["specification"]))
        if item is None:
            return await self.answer(writer, 404)
        expected = value["metadata"].get("revision", item["metadata"]["revision"])
        if expected != item["metadata"]["revision"]:
            return await self.answer(writer, 409, item)
        if item["specification"] != value["specification"]:
            item = self.put(kind, name, value["specification"])
        return await self.answer(writer, 200, item)

    async def _list(self, request, writer, kind):
        self.lists[kind] = self.lists.get(kind, 0) + 1
        after = request.query.get("after", "")
        names = [name for name in self.names(kind) if name > after]
        items, size = [], 0
        for name in names:
            item = self.kinds[kind][name]
            size += len(json.dumps(item))
            if len(items) >= self.page or (items and size > self.page_bytes):
                break
            items.append(item)
        return await self.answer(writer, 200, {"items": items, "more": len(items) < len(names),
                                               "asOf": self.revision})

    async def _watch(self, request, writer, kind):
        since = int(request.query["watch"])
        end = time.monotonic() + int(request.query.get("waitMs", 0)) / 1000
        while True:
            events = [event for revision, of, event in self.history
                      if of == kind and revision > since]
            left = end - time.monotonic()
            if events or left <= 0:
                return await self.answer(writer, 200, {"events": events, "asOf": self.revision})
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Engine(HttpServer):
    """A model engine with stages. It reads a prompt in 20 ms and makes an event each `gap`."""

    def __init__(self, record, store, name, service, zone, stage, version="v1", gap=0.05,
                 switch=1.0):
        super().__init__()
        self.record, self.store, self.name, self.service = record, store, name, service
        self.zone, self.stage, self.version, self.gap = zone, stage, version, gap
        self.switch = switch
        self.sequence, self.fence, self.busy = 0, 0, False
        self.handles, self.runs = {}, 0
        self.born = int(time.time() * 1000)

    async def register(self, ip):
        await self.start(ip)
        self.write_entry()

    def write_entry(self, state="ready"):
        self.store.put("servers", self.name, {
            "service": self.service, "address": self.address_text(), "zone": self.zone,
            "version": self.version, "slots": 64, "state": state, "coldRemainingMs": 0,
            "stage": self.stage, "models": [{"name": "m", "version": 1, "adapters": []}],
            "sequence": self.sequence, "born": self.born})

    def stamp(self, identity):
        return {"Masticstep-Request-Attempt-Id": identity,
                "Masticstep-Response-Stamp": f"{self.name}.{identity}",
                "Masticstep-Weight-Versions": "1"}

    async def refuse(self, writer, identity, status=503):
        return await self.answer(writer, status, {}, {
            "Masticstep-Not-Executed": "1", "Masticstep-Request-Attempt-Id": identity})

    async def handle(self, request, reader, writer):
        if request.path == "/health":
            return await self.answer(writer, 200, {}, {"Masticstep-Instance-Id": self.name})
        if request.path == "/masticstep/report":
            return await self.answer(writer, 200, {
                "stage": self.stage, "models": [{"name": "m", "version": 1, "adapters": []}],
                "busy": self.busy, "sequence": self.sequence, "queued": 0, "active": 0,
                "kvUsed": 0, "kvTotal": 400000, "kvHandles": len(self.handles),
                "born": self.born})
        if request.path == "/masticstep/order":
            return await self.order(json.loads(request.body), writer)
        if request.path.startswith("/masticstep/kv-handle/"):
            self.handles.pop(request.path.rsplit("/", 1)[1], None)
            return await self.answer(writer, 200, {})
        identity = request.get("masticstep-request-attempt-id")
        if request.get("masticstep-expected-instance", self.name) != self.name:
            return await self.refuse(writer, identity, 421)
        if request.get("masticstep-serving-stage") == "prefill":
            return await self.prefill(request, identity, writer)
        return await self.decode(request, identity, reader, writer)

    async def order(self, body, writer):
        if "holder" not in body or "fence" not in body or body.get("operation") != "stage":
            return await self.answer(writer, 400, {})
        if body["fence"] < self.fence:
            return await self.answer(writer, 412, {})
        self.fence = body["fence"]
        if self.stage == body["stage"]:
            return await self.answer(writer, 200, {})
        if self.busy or body.get("precondition", self.sequence) != self.sequence:
            return await self.answer(writer, 409, {})
        self.busy, self.sequence = True, self.sequence + 1
        asyncio.ensure_future(self._switch(body["stage"]))
        return await self.answer(writer, 202, {})

    async def _switch(self, stage):
        await asyncio.sleep(self.switch)
        self.stage, self.busy = stage, False
        self.write_entry()

    async def prefill(self, request, identity, writer):
        if self.busy:
            return await self.refuse(writer, identity)
        if self.stage != "prefill":
            return await self.refuse(writer, identity, 421)
        await asyncio.sleep(0.02)
        handle = os.urandom(6).hex()
        self.handles[handle] = identity
        return await self.answer(writer, 200, {"handle": handle, "tokens": 100, "version": 1},
                                 self.stamp(identity))

    async def decode(self, request, identity, reader, writer):
        if self.busy:
            return await self.refuse(writer, identity)
        if self.stage != "decode":
            return await self.refuse(writer, identity, 421)
        last = int(request.get("last-event-id", "0") or 0)
        total = int(request.get("masticstep-token-counts", "100,20").split(",")[1])
        await asyncio.sleep(0.01)
        self.runs += 1
        self.record.write(f"engine {self.name} runs {identity} from event {last + 1}")
        fields = {"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}
        fields.update(self.stamp(identity))
        writer.write(head_of(200, fields))
        for number in range(last + 1, total + 1):
            if reader.at_eof():  # the caller has left
                return False
            event = f"id: {number}\ndata: token {number}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
            await asyncio.sleep(self.gap)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


class Daemon:
    """A process of `masticstep relay`, started as the deploy file says."""

    def __init__(self, folder, record, name, ip, zone, zones, store, extra=None):
        self.folder, self.record, self.name, self.ip = folder, record, name, ip
        self.zone, self.zones, self.store, self.extra = zone, zones, store, extra or {}
        self.process, self.starts = None, 0

    def settings(self):
        fields = {"node": self.name, "role": "relay", "machineClass": "front", "serves": "front",
                  "ip": self.ip, "zone": self.zone, "region": self.zone}
        fields.update({f"zones.{zone}": zone for zone in self.zones})
        fields.update({
            "listen.front": f"{self.ip}:8149", "listen.ready": f"{self.ip}:8141",
            "listen.control": f"{self.ip}:8144", "internalPorts": "7380,7395",
            "bootstrap": "true" if self.starts == 0 else "false", "limits.cpuShare": "0.25",
            "limits.cores": "1", "limits.memoryMb": "260", "limits.fileDescriptors": "4200",
            "limits.linkMbps": "1000.0", "discovery": "platform", "entry": "virtual_ip",
            "heartbeatMs": "1200", "bounds.contactMs": "4000", "bounds.ackMs": "5000",
            "bounds.drainMs": "2500", "bounds.graceS": "8", "bounds.lossSlackMs": "200",
            "bounds.configApplyMs": "2500", "bounds.rollbackSlackMs": "250",
            "bounds.maxSkewMs": "6000", "bounds.retryBudgetRatio": "0.2",
            "bounds.budgetWindowS": "10", "bounds.retrySlack": "54", "bounds.recoveryS": "12",
            "bounds.requireFencing": "true", "bounds.leaseMs": "3000",
            "bounds.thawSlackMs": "300", "platform.address": self.store,
            "platform.form": "objects", "platform.writesPerS": "400",
            "platform.readsPerS": "2000", "platform.historyS": "20",
            "platform.valueBytes": "1048576"})
        fields.update(self.extra)
        return "".join(f"{name}={value}\n" for name, value in fields.items())

    def start(self):
        path = os.path.join(self.folder, self.name + ".conf")
        with open(path + ".new", "w", encoding="utf-8") as file:
            file.write(self.settings())
        os.rename(path + ".new", path)
        self.starts += 1
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG")
                       if name in os.environ}
        environment["MASTICSTEP_CONFIG"] = path
        log = open(os.path.join(self.folder, f"{self.name}.log"), "a", encoding="utf-8")
        self.process = subprocess.Popen([PROGRAM, "relay"], cwd=REPOSITORY, env=environment,
                                        stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        log.close()
        self.record.write(f"{self.name} starts, process {self.process.pid}")

    def kill(self, number=signal.SIGKILL):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)
            self.record.write(f"{self.name} gets {signal.Signals(number).name}")
            if number == signal.SIGKILL:
                self.process.wait()

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def memory_megabytes(self):
        """Resident memory of the process."""
        try:
            with open(f"/proc/{self.process.pid}/status", encoding="ascii") as file:
                for line in file:
                    if line.startswith("VmRSS:"):
                        return int(line.split()[1]) / 1000
        except OSError:
            pass
        return 0.0

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.ip, 8141)
            writer.write(b"GET /masticstep/readiness HTTP/1.1\r\nHost: ready\r\n"
                         b"Connection: close\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return head is not None and " 200 " in head[0]
        except (OSError, asyncio.TimeoutError):
            return False

    async def await_ready(self, seconds=20):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.1)
        return False


async def read_chunk(reader):
    """Returns the next chunk, b'' at the end of the body; raises at an early end."""
    size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
    data = await reader.readexactly(size)
    await reader.readexactly(2)
    return data


def run_case(folder, main):
    """Runs the case in a temporary folder; ends all daemons; returns the exit code."""
    record = Record(folder)
    daemons = []

    async def run():
        kept = os.environ.get("KEEP")  # a folder for the settings and logs of the daemons
        with tempfile.TemporaryDirectory() as temporary:
            temporary = kept or temporary
            try:
                return await main(record, temporary, daemons,
                                  os.environ.get("TROUBLE", "1") != "0")
            finally:
                for daemon in daemons:
                    daemon.kill()

    if not os.path.exists(PROGRAM):
        record.say("the program is not built")
        return 2
    return asyncio.run(run())

"""Stand-ins for the review cases: the platform's store, backend servers and clients,
and the node processes under test. Only the standard library; loopback only.

Everything runs on the real clock. What was sent, answered and run goes to record.txt.
"""
import asyncio
import itertools
import json
import os
import random
import re
import shlex
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# The bounds of sites/dvbi-intake.toml, as the pages print them.
BOUNDS = {
    "contact_s": 3, "ack_s": 4, "sync_s": 4, "drain_s": 2, "grace_s": 6, "loss_slack_s": 0.2,
    "config_apply_s": 2, "back_s": 0.25, "max_stretch_s": 5, "revoke_s": 5,
    "retry_budget_ratio": 0.2, "budget_window_s": 10, "retry_allowance": 49,
    "quota_window_s": 5, "quota_excess": 0.1, "quota_slack": 20, "recovery_s": 15,
}
HEARTBEAT_S = 1.5
REASONS = {200: "OK", 201: "Created", 400: "Bad Request", 404: "Not Found", 409: "Conflict",
           410: "Gone", 421: "Misdirected Request", 500: "Internal Server Error",
           503: "Service Unavailable", 504: "Gateway Timeout"}


class CannotRun(Exception):
    """The case could not be set up; the exit status is 2."""


class Record:
    """The lines of record.txt, with seconds since the start."""

    def __init__(self, folder):
        self.started = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.write(f"TROUBLE={'1' if TROUBLE else '0'}")

    def now(self):
        return time.monotonic() - self.started

    def write(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


# ---- HTTP/1.1 ----------------------------------------------------------------


async def read_head(reader):
    """Returns the first line and the headers (lower-case names), or None at the end."""
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += (await reader.readexactly(size + 2))[:size]
            if size == 0:
                return body
    return await reader.readexactly(int(headers.get("content-length", "0")))


def response(status, headers=None, body=b""):
    text = f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}\r\n"
    for name, value in (headers or {}).items():
        text += f"{name}: {value}\r\n"
    return (text + f"Content-Length: {len(body)}\r\n\r\n").encode() + body


ENDS = (asyncio.IncompleteReadError, ConnectionError, OSError, ValueError)


async def call(address, method, path, headers=None, body=b"", limit=10.0):
    """One request on a new connection. Returns (status, headers, body); status 0 says that the
    connection ended without a complete response, -1 that it could not be established."""
    host, port = address
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(host, port), 1.0)
    except (OSError, asyncio.TimeoutError):
        return -1, {}, b""
    try:
        text = f"{method} {path} HTTP/1.1\r\n"
        for name, value in (headers or {}).items():
            text += f"{name}: {value}\r\n"
        if body or method != "GET":
            text += f"Content-Length: {len(body)}\r\n"
        writer.write((text + "\r\n").encode() + body)
        await writer.drain()
        first, got = await asyncio.wait_for(read_head(reader), limit)
        payload = await asyncio.wait_for(read_body(reader, got), limit)
        return int(first.split(" ")[1]), got, payload
    except ENDS:
        return 0, {}, b""
    except asyncio.TimeoutError:
        return 0, {"timed-out": "1"}, b""
    finally:
        writer.close()


# ---- the platform's store ------------------------------------------------------


class Store:
    """The object API of PROTOCOL.md: lists, reads, watches, and conditional writes."""

    def __init__(self):
        self.kinds = {}
        self.events = []
        self.rev = 1
        self.changed = asyncio.Condition()

    async def start(self, host):
        self.server = await asyncio.start_server(self.serve, host, 0)
        self.address = self.server.sockets[0].getsockname()

    def object(self, kind, name):
        return self.kinds.get(kind, {}).get(name)

    async def set(self, kind, name, spec, deleted=False):
        self.rev += 1
        items = self.kinds.setdefault(kind, {})
        it = items.get(name) or {"metadata": {"name": name, "created": self.rev, "finalizers": [],
                                              "deletion_pending": False}, "status": None}
        it = {"metadata": dict(it["metadata"], rev=self.rev), "spec": spec, "status": it["status"]}
        if deleted:
            items.pop(name, None)
        else:
            items[name] = it
        self.events.append((self.rev, kind, {"deleted": deleted, "object": it}))
        async with self.changed:
            self.changed.notify_all()
        return it

    async def put_config(self, config):
        await self.set("config", "main", config)

    async def serve(self, reader, writer):
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, target, _ = first.split(" ")
                status, answer = await self.answer(method, target, body)
                writer.write(response(status, {"Content-Type": "application/json"},
                                      json.dumps(answer).encode()))
                await writer.drain()
        except ENDS:
            pass
        finally:
            writer.close()

    async def answer(self, method, target, body):
        path, _, query = target.partition("?")
        args = dict(it.split("=", 1) for it in query.split("&") if "=" in it)
        parts = path.split("/")[3:]
        kind, name = parts[0], "/".join(parts[1:])
        if method == "GET" and name:
            it = self.object(kind, name)
            return (200, it) if it else (404, {})
        if method == "GET" and "watch" in args:
            since = int(args["watch"])
            until = time.monotonic() + int(args.get("wait_ms", "0")) / 1000
            while True:
                found = [it for rev, of, it in self.events if rev > since and of == kind]
                left = until - time.monotonic()
                if found or left <= 0:
                    return 200, {"events": found, "at_rev": self.rev}
                try:
                    async with self.changed:
                        await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        if method == "GET":
            items = list(self.kinds.get(kind, {}).values())
            return 200, {"items": items, "has_more": False, "at_rev": self.rev}
        value = json.loads(body) if body else {}
        if method == "POST":
            name = value["metadata"]["name"]
            known = self.object(kind, name)
            return (409, known) if known else (201, await self.set(kind, name, value["spec"]))
        known = self.object(kind, name)
        if known is None:
            return 404, {}
        expected = value.get("metadata", {}).get("rev", args.get("rev"))
        if expected is not None and int(expected) != known["metadata"]["rev"]:
            return 409, known
        if method == "DELETE":
            return 200, await self.set(kind, name, known["spec"], deleted=True)
        return 200, await self.set(kind, name, value["spec"])


# ---- backend servers -----------------------------------------------------------


class Backend:
    """A sound backend server: heartbeats, slots that are never short, one request at a time on a
    connection, X-Expect-Instance, X-Server-Seal and the echoed id. What a request does is the
    coroutine `work(backend, head, headers, body)`, which returns (status, body)."""

    def __init__(self, lab, machine, service, slots=50, work=None):
        self.lab, self.machine, self.service, self.slots = lab, machine, service, slots
        self.id = f"i-{random.getrandbits(32):08x}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.work = work or self.default_work
        self.runs = []  # (request id, started)
        self.connections = set()
        self.beating = None
        lab.backends.append(self)

    async def default_work(self, _, __, ___, ____):
        await asyncio.sleep(0.02)
        return 200, b"ok"

    async def start(self, first_beat_s=0.0):
        self.server = await asyncio.start_server(self.serve, *self.machine.app)
        self.beating = asyncio.create_task(self.beat_forever(first_beat_s))

    def beat_body(self):
        self.sequence += 1
        host, port = self.machine.app
        return {"address": f"{host}:{port}", "born": self.born,
                "info": {"service": self.service, "version": "v1", "zone": self.machine.zone,
                         "concurrency": self.slots},
                "status": {"state": self.state, "sequence": self.sequence, "warmup_left_s": 0}}

    async def send(self, what, body):
        status, _, _ = await call(self.machine.control, "POST", f"/shallotwood/Instances.{what}/{self.id}",
                                  {"Host": "control", "Content-Type": "application/json"},
                                  json.dumps(body).encode(), 1.0)
        return status

    async def beat_forever(self, first_beat_s):
        await asyncio.sleep(first_beat_s)
        while True:
            await self.send("Heartbeat", self.beat_body())
            await asyncio.sleep(HEARTBEAT_S)

    def stop_beating(self):
        if self.beating:
            self.beating.cancel()
            self.beating = None

    async def exit(self):
        """The process ends: no listener, all connections closed."""
        self.stop_beating()
        self.server.close()
        for it in list(self.connections):
            it.transport.abort()

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, target, _ = first.split(" ")
                request = headers.get("x-request-id", "")
                if target == "/health":
                    writer.write(response(200 if self.state == "ready" else 503, {"X-Instance-Id": self.id}))
                    continue
                if headers.get("x-expect-instance", self.id) != self.id:
                    writer.write(response(421, {"X-Instance-Id": self.id}))
                    continue
                if not request:
                    writer.write(response(400, {"X-Not-Executed": "1"}))
                    continue
                self.runs.append((request, self.lab.record.now()))
                self.lab.record.write(f"backend {self.id} ({self.service}) begins to run {request} {method} "
                                      f"{target}, caller service {headers.get('x-caller-service')}")
                work = asyncio.create_task(self.work(self, first, headers, body))
                # A request whose connection closes is dropped.
                gone = asyncio.create_task(self.closed(reader))
                await asyncio.wait({work, gone}, return_when=asyncio.FIRST_COMPLETED)
                if not work.done():
                    work.cancel()
                    self.lab.record.write(f"backend {self.id}: the connection of {request} closed while "
                                          "it was at work")
                    return
                gone.cancel()
                status, payload = work.result()
                self.lab.record.write(f"backend {self.id} answers {request} with {status}")
                writer.write(response(status, {"X-Request-Id": request, "X-Server-Seal": self.id}, payload))
                await writer.drain()
        except ENDS:
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    @staticmethod
    async def closed(reader):
        # StreamReader has no event for the end of input; its state is polled.
        while not reader.at_eof() and reader.exception() is None:
            await asyncio.sleep(0.01)


# ---- machines ------------------------------------------------------------------


class Machine:
    def __init__(self, lab, number, zone, service):
        self.lab, self.zone, self.service = lab, zone, service
        self.name = f"sidecar-{zone}-{number}"
        self.ip = f"127.{lab.net}.0.{number}"
        port = lab.port
        self.inbound, self.outbound = (self.ip, port), (self.ip, port + 1)
        self.readiness, self.control = (self.ip, port + 2), (self.ip, port + 3)
        self.app = (self.ip, port + 4)
        self.process = None
        self.starts = 0

    def settings(self):
        def at(address):
            return f"{address[0]}:{address[1]}"
        return {"node_name": self.name, "zone": self.zone, "service": self.service, "ip": self.ip,
                "app_addr": at(self.app), "seeds": [], "bootstrap": self.starts == 1,
                "listen": {"inbound": at(self.inbound), "outbound": at(self.outbound),
                           "readiness": at(self.readiness), "control": at(self.control)},
                "platform": {"address": at(self.lab.store.address)}, "bounds": BOUNDS,
                "limits": {"max_fds": 4100, "memory_mb": 260}}

    async def start(self):
        self.starts += 1
        file = os.path.join(self.lab.work, self.name + ".settings")
        with open(file, "w") as out:
            out.write(render(self.lab.template, self.settings()))
        log = open(os.path.join(self.lab.work, self.name + ".log"), "a")
        environment = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        environment["SHALLOTWOOD_BOOT"] = file
        self.process = await asyncio.create_subprocess_exec(
            *self.lab.command, cwd=ROOT, env=environment, stdout=log, stderr=log)
        self.lab.record.write(f"node {self.name} starts, pid {self.process.pid}")

    def signal(self, number):
        self.lab.record.write(f"node {self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def restart_after_end(self, delay=0.3):
        """What the platform does: a process that ended is started again after a short delay."""
        status = await self.process.wait()
        self.lab.record.write(f"node {self.name} ended with status {status}")
        await asyncio.sleep(delay)
        if not self.lab.stopping:
            await self.start()

    async def is_ready(self):
        status, _, _ = await call(self.readiness, "GET", "/shallotwood/readiness", {"Host": "platform"}, limit=1.0)
        return status == 200


def render(template, fields):
    """The placeholders of DEPLOY.md that the project's template uses."""
    def value(name):
        it = fields
        for part in name.split("."):
            it = it[part]
        return it

    def section(match):
        items = value(match[1])
        parts = []
        for n, it in enumerate(items):
            comma = "," if n + 1 < len(items) else ""
            parts.append(match[2].replace("{{.}}", str(it)).replace("{{,}}", comma))
        return "".join(parts)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    text = re.sub(r"\{\{([\w.]+)\|json\}\}", lambda m: json.dumps(value(m[1])), text)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda m: str(value(m[1])), text)


class Lab:
    """`machines` lists (zone, service)."""

    def __init__(self, folder, machines):
        self.folder = folder
        self.record = Record(folder)
        self.net = random.randint(20, 250)
        self.work = tempfile.mkdtemp(prefix="shallotwood-review-")
        deploy = tomllib.load(open(os.path.join(ROOT, "deploy", "system.toml"), "rb"))
        role = next(iter(deploy["roles"].values()))
        self.command = shlex.split(os.environ.get("NODE") or role["run"])
        # NODE is for trials with another build, and not for the cases.
        if not os.path.exists(os.path.join(ROOT, self.command[0])):
            raise CannotRun(f"{self.command[0]} is missing: build as the deploy file says")
        self.template = open(os.path.join(ROOT, role["template"])).read()
        self.port = self.free_ports(len(machines))
        self.machines = [Machine(self, n + 1, zone, service) for n, (zone, service) in enumerate(machines)]
        self.requests = itertools.count(1)
        self.stopping = False
        self.backends = []

    def free_ports(self, machines):
        # The template puts the metrics at port 7001 of the machine's own address.
        for _ in range(50):
            port = random.randint(20000, 32000)
            try:
                for n in range(machines):
                    for p in [7001] + list(range(port, port + 5)):
                        with socket.socket() as it:
                            it.bind((f"127.{self.net}.0.{n + 1}", p))
                return port
            except OSError:
                self.net = random.randint(20, 250)
        raise CannotRun("no free ports")

    async def start(self, config):
        self.store = Store()
        await self.store.start(f"127.{self.net}.1.1")
        await self.store.put_config(config)
        for it in self.machines:
            await it.start()
        await self.wait_ready()

    async def wait_ready(self, limit=20.0):
        until = time.monotonic() + limit
        while not all([await it.is_ready() for it in self.machines]):
            if time.monotonic() > until:
                raise CannotRun("the nodes did not become ready")
            await asyncio.sleep(0.1)
        self.record.write("all nodes are ready")

    def new_id(self):
        return f"{random.getrandbits(48):012x}{next(self.requests):04x}"

    async def stop(self):
        """Ends the processes that this run started."""
        self.stopping = True
        for it in self.machines:
            if it.process and it.process.returncode is None:
                it.process.kill()
                await it.process.wait()
        shutil.rmtree(self.work, ignore_errors=True)


def run(file, machines, case):
    """Plays `case(lab)`, which returns True if the rule was broken, and exits."""
    async def main():
        lab = Lab(os.path.dirname(os.path.abspath(file)), machines)
        try:
            return await asyncio.wait_for(case(lab), 115)
        finally:
            await lab.stop()

    try:
        broken = asyncio.run(main())
    except Exception as problem:  # whatever it is, the case says nothing about the rule
        print(f"could not run: {problem!r}", flush=True)
        os._exit(2)
    print("the rule was broken" if broken else "the rule held", flush=True)
    # Without the clean-up of connections that are still open.
    os._exit(1 if broken else 0)


def route(name, host, prefix, service, kind, timeout_s, anonymous=False, objective_s=1.5, max_attempts=2):
    return {"entry_kind": "routes", "metadata": {"name": name},
            "spec": {"host": host, "path_prefix": prefix, "kind": kind, "timeout_s": timeout_s,
                     "target_latency_s": objective_s, "priority": 0, "service": service,
                     "max_attempts": max_attempts, "anonymous": anonymous}}


def service(name):
    return {"entry_kind": "services", "metadata": {"name": name},
            "spec": {"health_path": "/health", "max_connections": 400, "protocol": "h1", "tls": False}}


def tenant(name, key, rate=1000, burst=1000):
    return {"entry_kind": "tenants", "metadata": {"name": name},
            "spec": {"api_keys": [key], "priority": 1, "rate_per_s": rate, "burst": burst}}


def limits(idle_timeout_s=15):
    return {"entry_kind": "limits", "metadata": {},
            "spec": {"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_s": 3,
                     "idle_timeout_s": idle_timeout_s}}


def config(version, *resources):
    return {"version": f"r{version}", "resources": list(resources)}

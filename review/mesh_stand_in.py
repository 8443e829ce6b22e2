"""Stand-ins for the users' platform on loopback: metadata store, application workers, clients and the supervisor of the
daemons. They follow the users' pages; see PROTOCOL.md and DEPLOY.md there."""
import asyncio
import base64
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
DAEMON = ROOT / "target/amaranthladderd"
TEMPLATE = ROOT / "deploy/daemon.ini.in"
PORTS = {"outbound": 8147, "inbound": 8146, "ready": 8141, "control": 8144, "application": 8145, "metrics": 9190,
         "first": 7380, "last": 7395}
STORE_PORT = 8142
HISTORY_LIMIT = 5000


class CannotRun(Exception):
    """The case could not be played: exit status 2."""


async def read_message(reader):
    """Returns (start line, headers, body) of the next request or response with a length or in chunks."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = head.split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    body = b""
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    elif "chunked" in headers.get("transfer-encoding", ""):
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                break
            body += chunk[:-2]
    return lines[0], headers, body


def message(start, headers, body=b""):
    lines = [start] + [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def json_answer(status, body):
    data = json.dumps(body).encode()
    return message(f"HTTP/1.1 {status} X", {"Content-Type": "application/json", "Content-Length": len(data)}, data)


class Store:
    """The platform's metadata store."""

    def __init__(self, ip):
        self.ip, self.revision, self.items, self.events, self.leases = ip, 100, {}, [], {}
        self.changed, self.next_lease = asyncio.Event(), 70000
        self.refuses = set()  # addresses of machines that get 503

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, STORE_PORT, backlog=512)

    def put(self, key, value, lease=0):
        """Writes as the operator does. Returns the revision."""
        self.revision += 1
        created = self.items[key]["create_revision"] if key in self.items else self.revision
        self.items[key] = {"key": key, "value": base64.b64encode(value).decode(), "revision": self.revision,
                           "create_revision": created, "lease": lease}
        self.note(dict(self.items[key]))
        return self.revision

    def remove(self, key):
        if self.items.pop(key, None):
            self.revision += 1
            self.note({"key": key, "revision": self.revision, "deleted": True})

    def note(self, event):
        self.events = (self.events + [event])[-HISTORY_LIMIT:]
        self.changed.set()
        self.changed = asyncio.Event()

    def expire(self):
        for lease, (expires, _) in list(self.leases.items()):
            if expires <= time.monotonic():
                del self.leases[lease]
                for key in [key for key, item in self.items.items() if item["lease"] == lease]:
                    self.remove(key)

    async def serve(self, reader, writer):
        peer = writer.get_extra_info("peername")[0]
        try:
            while True:
                start, _, body = await read_message(reader)
                method, target, _ = start.split(" ")
                path, _, query = target.partition("?")
                fields = {name: values[0] for name, values in urllib.parse.parse_qs(query).items()}
                await asyncio.sleep(0.004)
                if peer in self.refuses:
                    status, answer = 503, {}
                else:
                    status, answer = await self.answer(method, path.removeprefix("/amaranthladder/"), fields, body)
                writer.write(json_answer(status, answer))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, method, path, fields, body):
        self.expire()
        if path == "kv-key":
            item = self.items.get(fields.get("key", ""))
            return (200, dict(item, as_of=self.revision)) if item else (404, {"as_of": self.revision})
        if path == "kv-range":
            keys = sorted(key for key in self.items if key.startswith(fields.get("prefix", ""))
                          and key > fields.get("after", ""))
            return 200, {"items": [self.items[key] for key in keys[:500]], "truncated": len(keys) > 500,
                         "as_of": self.revision}
        if path == "kv-watch":
            return await self.watch(fields.get("prefix", ""), int(fields["after"]), int(fields["wait_ms"]) / 1000)
        content = json.loads(body or b"{}")
        if path == "kv-txn":
            return self.commit(content)
        if path == "kv-lease":
            self.next_lease += 1
            ttl = max(1000, content["ttl_ms"])
            self.leases[self.next_lease] = (time.monotonic() + ttl / 1000, ttl)
            return 200, {"lease": self.next_lease, "ttl_ms": ttl}
        name, _, number = path.partition("/")
        lease = int(number or 0)
        if lease not in self.leases:
            return 404, {}
        if name == "kv-keep":
            ttl = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + ttl / 1000, ttl)
            return 200, {"ttl_ms": ttl}
        self.leases[lease] = (0, 0)
        self.expire()
        return 200, {}

    async def watch(self, prefix, after, wait):
        end = time.monotonic() + wait
        while True:
            found = [event for event in self.events if event["revision"] > after and event["key"].startswith(prefix)]
            left = end - time.monotonic()
            if found or left <= 0:
                return 200, {"events": found, "as_of": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), min(left, 0.5))
            except asyncio.TimeoutError:
                self.expire()

    def commit(self, content):
        rows = content.get("if_revision", [])
        if any(self.items.get(row["key"], {"revision": 0})["revision"] != row["revision"] for row in rows):
            return 412, {"items": [self.items[row["key"]] for row in rows if row["key"] in self.items]}
        writes = content.get("writes", [])
        if any(write.get("lease", 0) not in self.leases for write in writes if write.get("lease", 0)):
            return 404, {}
        if any(write["key"].startswith(("op/", "servers/")) for write in writes):
            return 403, {}
        for write in writes:
            self.put(write["key"], base64.b64decode(write["value"]), write.get("lease", 0))
        for key in content.get("remove", []):
            self.remove(key)
        return 200, {"revision": self.revision}


class Worker:
    """An application worker. Runs `slots` requests at once and keeps a record of all that it runs."""

    def __init__(self, mesh, machine, service, name, work_s=0.03, slots=12, version="v1", host=None):
        self.mesh, self.machine, self.service, self.id = mesh, machine, service, name
        self.work_s, self.slots, self.version, self.host = work_s, slots, version, host or machine.ip
        self.state, self.sequence, self.born = "ready", 0, int(time.time() * 1000)
        self.running, self.waiting, self.connections = 0, 0, set()
        self.is_ended, self.beats, self.limit = False, None, asyncio.Semaphore(slots)

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.host, PORTS["application"], backlog=256)
        self.beats = asyncio.create_task(self.beat())

    async def call_daemon(self, method, body):
        """Sends one call to the control address. Returns its status, or 0."""
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(self.machine.ip, PORTS["control"], local_addr=(self.machine.ip, 0)), 1)
            data = json.dumps(body).encode() if body is not None else b""
            writer.write(message(f"{method} /amaranthladder/instances/{self.id} HTTP/1.1",
                                 {"Host": self.machine.ip, "Content-Type": "application/json",
                                  "Content-Length": len(data), "Connection": "close"}, data))
            start, _, _ = await asyncio.wait_for(read_message(reader), 1)
            writer.close()
            return int(start.split(" ")[1])
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return 0

    def heartbeat(self):
        self.sequence += 1
        return {"address": f"{self.host}:{PORTS['application']}", "born": self.born,
                "info": {"service": self.service, "version": self.version, "zone": self.machine.zone,
                         "slots": self.slots},
                "status": {"state": self.state, "sequence": self.sequence, "cold_ms": 0}}

    async def beat(self):
        await asyncio.sleep(random.uniform(0, 0.3))
        while not self.is_ended:
            await self.call_daemon("PUT", self.heartbeat())
            await asyncio.sleep(self.mesh.heartbeat_s)

    async def leave(self):
        """Says `draining`. Returns the time of the acknowledgement, or None."""
        self.state = "draining"
        status = await self.call_daemon("PUT", self.heartbeat())
        return time.monotonic() if 200 <= status < 300 else None

    async def withdraw(self):
        """Sends DELETE; heartbeats end. Returns the time of the acknowledgement, or None."""
        self.state, self.is_ended = "draining", True
        status = await self.call_daemon("DELETE", None)
        return time.monotonic() if 200 <= status < 300 else None

    def end(self):
        self.is_ended = True
        if self.beats:
            self.beats.cancel()
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()

    def load(self):
        return f"{self.running},{self.waiting},{self.slots}"

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while not self.is_ended or self.state == "draining":
                start, headers, body = await read_message(reader)
                method, path, _ = start.split(" ")
                if path == "/health":
                    ok = self.state == "ready"
                    writer.write(message(f"HTTP/1.1 {200 if ok else 503} X", {
                        "X-Instance-Id": self.id, "X-Server-Load": self.load(), "Content-Length": 0}))
                elif not await self.respond(reader, writer, method, path, headers, body):
                    break
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def respond(self, reader, writer, method, path, headers, body):
        """Answers one request. Returns False to close the connection."""
        name = headers.get("x-request-id", "")
        expected = headers.get("x-expected-instance", self.id)
        if expected != self.id:
            writer.write(message("HTTP/1.1 421 Misdirected Request", {
                "X-Instance-Id": self.id, "X-Request-Id": name, "Content-Length": 0}))
            return True
        if self.waiting >= 4 * self.slots:
            writer.write(message("HTTP/1.1 503 Service Unavailable", {
                "X-Not-Executed": 1, "X-Request-Id": name, "Content-Length": 0}))
            return True
        self.waiting += 1
        async with self.limit:
            self.waiting -= 1
            self.running += 1
            try:
                self.mesh.on_run(self, name, method, path, headers, body)
                await asyncio.sleep(self.work_s)
            finally:
                self.running -= 1
        content = f"{self.service} {self.id} {name}\n".encode()
        writer.write(message("HTTP/1.1 200 OK", {
            "X-Request-Id": name, "X-Response-Signature": f"{self.id}.{name}", "X-Server-Load": self.load(),
            "Content-Length": len(content)}, content))
        return True


class Machine:
    """A sidecar machine: its daemon and its settings."""

    def __init__(self, mesh, number, zone, service):
        self.mesh, self.number, self.zone, self.service = mesh, number, zone, service
        self.ip = f"{mesh.prefix}.{number + 10}"
        self.name, self.process, self.log = f"sidecar-{zone}-{number}", None, None
        self.store = f"{mesh.store.ip}:{STORE_PORT}"
        self.is_offered, self.misses = True, 0  # Whether the platform sends clients here.

    def fields(self):
        bounds = ",".join(f"{name}={value}" for name, value in self.mesh.bounds.items())
        return {"region": "litoral", "zone": self.zone, "node": self.name, "service": self.service, "ip": self.ip,
                "limits.link_mbps": "1000.0", "listen.outbound": f"{self.ip}:{PORTS['outbound']}",
                "listen.inbound": f"{self.ip}:{PORTS['inbound']}", "listen.ready": f"{self.ip}:{PORTS['ready']}",
                "listen.control": f"{self.ip}:{PORTS['control']}", "port_range.0": str(PORTS["first"]),
                "platform.address": self.store, "bounds": bounds,
                "platform.reads_per_s": "2000", "seeds": ",".join(self.mesh.seeds)}

    def write_settings(self):
        fields = self.fields()
        text = TEMPLATE.read_text()
        rows = [row.split("=", 1) for row in fields["bounds"].split(",")]
        listed = ", ".join(f"{name}={value}" for name, value in rows)
        text = re.sub(r"\{\{#bounds\}\}.*?\{\{/bounds\}\}", listed, text)
        text = re.sub(r"\{\{([a-z_.0-9]+)\}\}", lambda found: fields[found.group(1)], text)
        self.settings = self.mesh.folder / f"{self.name}.ini"
        self.settings.write_text(text)

    def start(self):
        self.write_settings()
        self.log = open(self.mesh.folder / f"{self.name}.log", "a")
        self.process = subprocess.Popen([str(DAEMON), "--settings", str(self.settings)], cwd=ROOT, stdout=self.log,
                                        stderr=self.log)

    def send_signal(self, number):
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)

    async def wait_end(self, limit_s):
        end = time.monotonic() + limit_s
        while self.process.poll() is None and time.monotonic() < end:
            await asyncio.sleep(0.01)
        if self.process.poll() is None:
            self.process.kill()
        while self.process.poll() is None:
            await asyncio.sleep(0.01)

    async def restart(self, signal_number=signal.SIGTERM, grace_s=6, down_s=0.3):
        """Stops the daemon as the platform does, and starts it again."""
        self.send_signal(signal_number)
        await self.wait_end(grace_s)
        await asyncio.sleep(down_s)
        self.start()

    async def is_ready(self):
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(self.ip, PORTS["ready"]), 1)
            writer.write(message("GET /amaranthladder/ready HTTP/1.1", {"Host": self.ip, "Connection": "close"}))
            start, _, _ = await asyncio.wait_for(read_message(reader), 1)
            writer.close()
            return " 200 " in start + " "
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False


class Mesh:
    """A small deployment."""

    def __init__(self, bounds=None, heartbeat_s=0.87):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="mesh-"))
        self.prefix = self.free_prefix()
        self.store, self.heartbeat_s = Store(f"{self.prefix}.2"), heartbeat_s
        self.bounds = {"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4,
                       "drain_ms": 2000, "grace_s": 6, "loss_slack_ms": 200, "config_ms": 2000,
                       "rollback_slack_ms": 250, "outer_ms": 5000, "retry_budget_ratio": 0.2, "budget_window_s": 10,
                       "budget_slack": 56, "exposure_share": 0.1, "exposure_slack": 50, "rollback_ms": 5000,
                       "recovery_s": 15, **(bounds or {})}
        self.machines, self.workers, self.seeds, self.runs, self.lines = [], [], [], [], []
        self.started_at = time.monotonic()

    @staticmethod
    def free_prefix():
        for _ in range(50):
            prefix = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"
            try:
                for port in list(PORTS.values()) + [STORE_PORT]:
                    with socket.socket() as probe:
                        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                        probe.bind((f"{prefix}.10", port))
                return prefix
            except OSError:
                continue
        raise CannotRun("no free addresses on loopback")

    def note(self, text):
        self.lines.append(f"{time.monotonic() - self.started_at:8.3f} {text}")

    def on_run(self, worker, name, method, path, headers, body):
        self.runs.append({"at": time.monotonic(), "worker": worker.id, "service": worker.service, "id": name,
                          "method": method, "path": path, "headers": headers, "body": body})
        self.note(f"run {name} worker={worker.id} {method} {path} caller={headers.get('x-caller-service', '')} "
                  f"tenant={headers.get('x-tenant', '')}")

    def add_machine(self, zone, service):
        self.machines.append(Machine(self, len(self.machines), zone, service))
        self.seeds = [f"{machine.ip}:{PORTS['control']}" for machine in self.machines[:3]]
        return self.machines[-1]

    def configure(self, version, routes, services, **more):
        body = {"version": f"{version:08x}", "routes": routes,
                "services": [{"name": name, "health_path": "/health", "max_connections": 110, "protocol": "h1",
                              "tls": False} for name in services],
                "limits": {"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000,
                           "idle_timeout_ms": 15000}, **more}
        self.note(f"configuration version={version}")
        return self.store.put("op/config", json.dumps(body).encode())

    async def wait_ready(self, limit_s=20):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            if all(await asyncio.gather(*(machine.is_ready() for machine in self.machines))):
                self.checks = asyncio.create_task(self.check_readiness())
                return
            await asyncio.sleep(0.1)
        raise CannotRun("the daemons are not ready")

    async def check_readiness(self):
        """Asks each daemon once a second; after two misses its clients get no new work until it says 200 again."""
        while True:
            answers = await asyncio.gather(*(machine.is_ready() for machine in self.machines))
            for machine, is_ready in zip(self.machines, answers):
                machine.misses = 0 if is_ready else machine.misses + 1
                machine.is_offered = machine.misses < 2
            if not any(machine.is_offered for machine in self.machines):
                for machine in self.machines:
                    machine.is_offered = True
            await asyncio.sleep(1)

    def stop(self):
        for machine in self.machines:
            if machine.process and machine.process.poll() is None:
                machine.process.send_signal(signal.SIGCONT)
                machine.process.kill()
                machine.process.wait()
        for worker in self.workers:
            if hasattr(worker, "server"):
                worker.end()
        if os.environ.get("KEEP_LOGS"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class Connection:
    """A client's connection to the daemon of its machine."""

    def __init__(self, machine):
        self.machine, self.reader, self.writer = machine, None, None

    async def open(self):
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(self.machine.ip, PORTS["outbound"], local_addr=(self.machine.ip, 0)), 1)

    async def ask(self, method, path, host, name, deadline_ms, headers=None, body=None):
        """Returns (status, headers, body); status 0 if there was no complete answer."""
        try:
            if self.writer is None:
                await self.open()
            fields = {"Host": host, "X-Request-Id": name, "X-Deadline": deadline_ms, **(headers or {})}
            if body is not None:
                fields["Content-Length"] = len(body)
            self.writer.write(message(f"{method} {path} HTTP/1.1", fields, body or b""))
            start, answered, content = await asyncio.wait_for(read_message(self.reader), deadline_ms / 1000 + 0.5)
            if answered.get("connection", "").lower() == "close":
                self.close()
            return int(start.split(" ")[1]), answered, content
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError) as problem:
            self.close()
            return 0, {"failure": repr(problem)}, b""

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


async def ask_once(machine, *arguments, **named):
    connection = Connection(machine)
    try:
        return await connection.ask(*arguments, **named)
    finally:
        connection.close()


def play(case, record):
    """Runs `case(mesh, is_troubled)`, an async function that returns the list of violations, and exits."""
    is_troubled = os.environ.get("TROUBLE", "1") != "0"

    def end(number, frame):
        raise CannotRun("ended by a signal")

    signal.signal(signal.SIGTERM, end)

    async def run():
        mesh = Mesh(**getattr(case, "mesh_options", {}))
        try:
            await mesh.store.start()
            return await asyncio.wait_for(case(mesh, is_troubled), 112), mesh
        finally:
            mesh.stop()
            pathlib.Path(record).write_text("\n".join(mesh.lines) + "\n")

    try:
        if not DAEMON.exists():
            raise CannotRun("target/amaranthladderd is not built")
        violations, mesh = asyncio.run(run())
    except (CannotRun, OSError, asyncio.TimeoutError) as problem:
        print(f"cannot run: {problem!r}")
        raise SystemExit(2) from problem
    for line in violations:
        print(line)
    with open(record, "a", encoding="utf-8") as file:
        file.writelines(line + "\n" for line in violations or ["the rule held"])
    raise SystemExit(1 if violations else 0)

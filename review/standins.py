"""Stand-ins of the platform for the cases in this folder: its store, workers, clients, and the machines that run the
project's daemon. They follow PROTOCOL.md; where the page is silent they behave like a sound server, client or platform.

All addresses are loopback addresses. Each machine has an address of its own and the same ports, as on the platform.
"""
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
import sys
import tempfile
import time
import traceback
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
REGION = "litoral"
READY_INTERVAL_S = 1.0
MAX_HEAD_BYTES = 65536


class CannotRun(Exception):
    """The case could not be played; the script exits with 2."""


class Record:
    """What was sent, answered and run, with the time in seconds since the start."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.file = open(path, "w", buffering=1)

    def now(self):
        return time.monotonic() - self.start

    def write(self, kind, **fields):
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{self.now():9.3f} {kind} {text}\n")


async def read_head(reader):
    """Reads a message head. Returns (first line, headers with lower-case names), or None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, ConnectionError, OSError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    """Reads a body with a length or in chunks; raises IncompleteReadError if it is cut short."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            part = await reader.readexactly(size + 2)
            if size == 0:
                return b"".join(parts)
            parts.append(part[:-2])
    return await reader.readexactly(int(headers.get("content-length", "0")))


def message(first_line, headers, body=b""):
    lines = [first_line] + [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def reset(writer):
    """Closes a connection with a reset."""
    raw = writer.get_extra_info("socket")
    if raw is not None:
        try:
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
        except OSError:
            pass
    writer.transport.abort()


class Store:
    """The platform's metadata store: linearizable, with leases and watches."""

    def __init__(self, record):
        self.record = record
        self.items = {}  # key -> (value, revision, create_revision, lease)
        self.revision = 100
        self.history = []
        self.leases = {}  # id -> [ttl in s, end]
        self.next_lease = 7000
        self.changed = asyncio.Condition()
        self.era = None
        self.is_serving = lambda peer, path: True

    async def start(self, address, port):
        self.server = await asyncio.start_server(self.serve, address, port, limit=4 << 20)
        asyncio.ensure_future(self.expire_leases())

    async def expire_leases(self):
        while True:
            await asyncio.sleep(0.1)
            ended = [lease for lease, (_, end) in self.leases.items() if end <= time.monotonic()]
            for lease in ended:
                await self.end_lease(lease)

    async def end_lease(self, lease):
        del self.leases[lease]
        await self.apply({}, [key for key, item in self.items.items() if item[3] == lease])

    async def apply(self, writes, removed):
        self.revision += 1
        for key, (value, lease) in writes.items():
            created = self.items[key][2] if key in self.items else self.revision
            self.items[key] = (value, self.revision, created, lease)
            self.history.append((self.revision, key, self.as_json(key)))
        for key in removed:
            if self.items.pop(key, None) is not None:
                self.history.append((self.revision, key, {"key": key, "revision": self.revision, "deleted": True}))
        async with self.changed:
            self.changed.notify_all()

    async def put(self, key, value):
        """Writes as the operator. The return is the acknowledgement."""
        await self.apply({key: (json.dumps(value).encode(), 0)}, [])
        self.record.write("store-put", key=key, revision=self.revision)

    def value(self, key):
        return json.loads(self.items[key][0]) if key in self.items else None

    def as_json(self, key):
        value, revision, created, lease = self.items[key]
        return {"key": key, "value": base64.b64encode(value).decode(), "revision": revision,
                "create_revision": created, "lease": lease}

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                method, target, _ = head[0].split(" ", 2)
                body = await read_body(reader, head[1])
                path, _, query = target.partition("?")
                peer = writer.get_extra_info("peername")[0]
                if not self.is_serving(peer, path):
                    break
                status, answer = await self.answer(method, path, dict(urllib.parse.parse_qsl(query)), body)
                text = json.dumps(answer).encode()
                headers = {"Content-Type": "application/json", "Content-Length": len(text)}
                if self.era is not None:
                    headers["Store-Era"] = self.era
                writer.write(message(f"HTTP/1.1 {status} Answer", headers, text))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        writer.close()

    async def answer(self, method, path, query, body):
        call = path.removeprefix("/amaranthladder/")
        data = json.loads(body) if body else {}
        if call == "kv-key":
            if query["key"] not in self.items:
                return 404, {}
            return 200, dict(self.as_json(query["key"]), as_of=self.revision)
        if call == "kv-range":
            keys = sorted(key for key in self.items if key.startswith(query["prefix"]) and key > query.get("after", ""))
            return 200, {"items": [self.as_json(key) for key in keys[:500]], "truncated": len(keys) > 500,
                         "as_of": self.revision}
        if call == "kv-watch":
            return await self.watch(query["prefix"], int(query["after"]), int(query["wait_ms"]) / 1000)
        if call == "kv-txn":
            return await self.transact(data)
        if call == "kv-lease":
            self.next_lease += 1
            self.leases[self.next_lease] = [data["ttl_ms"] / 1000, time.monotonic() + data["ttl_ms"] / 1000]
            return 200, {"lease": self.next_lease, "ttl_ms": data["ttl_ms"]}
        lease = int(call.rsplit("/", 1)[-1]) if call.rsplit("/", 1)[-1].isdigit() else 0
        if lease not in self.leases:
            return 404, {}
        if call.startswith("kv-keep/"):
            self.leases[lease][1] = time.monotonic() + self.leases[lease][0]
            return 200, {"ttl_ms": int(self.leases[lease][0] * 1000)}
        await self.end_lease(lease)
        return 200, {}

    async def watch(self, prefix, after, wait_s):
        def events():
            return [event for revision, key, event in self.history if revision > after and key.startswith(prefix)]
        if after > self.revision:
            return 410, {}
        if not events():
            try:
                async with self.changed:
                    await asyncio.wait_for(self.changed.wait_for(events), wait_s)
            except asyncio.TimeoutError:
                pass
        return 200, {"events": events(), "as_of": self.revision}

    async def transact(self, data):
        expected = data.get("if_revision", [])
        if any((self.items[row["key"]][1] if row["key"] in self.items else 0) != row["revision"] for row in expected):
            return 412, {"items": [self.as_json(row["key"]) for row in expected if row["key"] in self.items]}
        writes = {}
        for row in data.get("writes", []):
            if row["key"].startswith(("op/", "servers/")):
                return 403, {}
            lease = row.get("lease", 0)
            if lease and lease not in self.leases:
                return 404, {}
            writes[row["key"]] = (base64.b64decode(row["value"]), lease)
        await self.apply(writes, data.get("remove", []))
        return 200, {"revision": self.revision}


class Worker:
    """An application worker: runs requests in slots, queues a few, and sends heartbeats to the daemon beside it."""

    def __init__(self, record, name, machine, service, slots, work_s, version="v1", queue=24, heartbeat_s=0.87):
        self.record, self.name, self.machine, self.service = record, name, machine, service
        self.slots, self.work_s, self.version, self.heartbeat_s = slots, work_s, version, heartbeat_s
        self.queue = queue
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.is_beating = True
        self.limit = None  # Requests a second that it names in its answers.
        self.free = asyncio.Semaphore(slots)
        self.running = self.waiting = 0
        self.arrivals = []  # (time, request id, path): reached this worker
        self.runs = []      # (time, request id, path): began to work on it
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.machine.address, self.machine.ports["application"],
                                                 limit=MAX_HEAD_BYTES)
        self.beats = asyncio.ensure_future(self.beat_forever())

    async def exit(self):
        """Ends the process: all its connections are closed."""
        self.record.write("worker-exit", worker=self.name)
        self.beats.cancel()
        self.server.close()
        for writer in list(self.writers):
            reset(writer)

    def beat_body(self):
        self.sequence += 1
        return {"address": f"{self.machine.address}:{self.machine.ports['application']}", "born": self.born,
                "info": {"service": self.service, "version": self.version, "zone": self.machine.zone,
                         "slots": self.slots},
                "status": {"state": self.state, "sequence": self.sequence, "cold_ms": 0}}

    async def call_control(self, method, body=None):
        """Calls the daemon beside the worker. Returns True if it acknowledged within a second."""
        text = b"" if body is None else json.dumps(body).encode()
        head = message(f"{method} /amaranthladder/instances/{self.name} HTTP/1.1",
                       {"Host": "control", "Content-Type": "application/json", "Content-Length": len(text),
                        "Connection": "close"}, text)
        try:
            answer = await asyncio.wait_for(exchange(self.machine.address, self.machine.ports["control"], head), 1)
        except (asyncio.TimeoutError, ConnectionError, OSError, asyncio.IncompleteReadError):
            answer = None
        status = answer[0] if answer else 0
        detail = f"{body['status']['state']}/{body['status']['sequence']}" if body else "-"
        self.record.write("heartbeat", worker=self.name, method=method, state=detail, status=status)
        return 200 <= status < 300

    async def beat_forever(self):
        while True:
            if self.is_beating:
                await self.call_control("PUT", self.beat_body())
            await asyncio.sleep(self.heartbeat_s)

    async def say_draining(self):
        """Reports that the worker leaves. Returns the time of the acknowledgement, or None."""
        self.state = "draining"
        for _ in range(5):
            if await self.call_control("PUT", self.beat_body()):
                return self.record.now()
            await asyncio.sleep(0.2)
        return None

    async def withdraw(self):
        for _ in range(5):
            if await self.call_control("DELETE"):
                return self.record.now()
            await asyncio.sleep(0.2)
        return None

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                body = await read_body(reader, head[1])
                work = asyncio.ensure_future(self.handle(head[0], head[1], body))
                gone = asyncio.ensure_future(self.wait_for_close(reader))
                await asyncio.wait({work, gone}, return_when=asyncio.FIRST_COMPLETED)
                if not work.done():
                    work.cancel()
                    self.record.write("worker-dropped", worker=self.name, request=head[1].get("x-request-id"))
                    break
                gone.cancel()
                status, headers, answer = work.result()
                headers["Content-Length"] = len(answer)
                if self.state == "draining":
                    headers["Connection"] = "close"
                writer.write(message(f"HTTP/1.1 {status} Answer", headers, answer))
                await writer.drain()
                if self.state == "draining":
                    break
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        self.writers.discard(writer)
        writer.close()

    @staticmethod
    async def wait_for_close(reader):
        while not reader.at_eof() and reader.exception() is None:
            await asyncio.sleep(0.01)

    async def handle(self, first_line, headers, body):
        method, target, _ = first_line.split(" ", 2)
        if target == "/health":
            status = 200 if self.state == "ready" else 503
            return status, {"X-Instance-Id": self.name}, b"{}"
        request = headers.get("x-request-id", "")
        arrived = self.record.now()
        answer = {"X-Request-Id": request, "X-Server-Load": f"{self.running},{self.waiting},{self.slots}"}
        if self.limit is not None:
            answer["Server-Limit"] = self.limit
        if headers.get("x-expected-instance", self.name) != self.name:
            return 421, dict(answer, **{"X-Instance-Id": self.name}), b""
        self.arrivals.append((arrived, request, target))
        self.record.write("worker-arrival", worker=self.name, request=request, path=target,
                          deadline_ms=headers.get("x-deadline"))
        if self.running >= self.slots and self.waiting >= self.queue:
            return 503, dict(answer, **{"X-Not-Executed": "1"}), b""
        self.waiting += 1
        try:
            await self.free.acquire()
        finally:
            self.waiting -= 1
        try:
            self.running += 1
            self.runs.append((self.record.now(), request, target))
            self.record.write("worker-run", worker=self.name, request=request, path=target)
            limit_s = int(headers.get("x-deadline", "60000")) / 1000 - (self.record.now() - arrived)
            work_s = self.work_s(target)
            await asyncio.sleep(min(work_s, max(limit_s, 0)))
            is_late = work_s > limit_s
            self.record.write("worker-done", worker=self.name, request=request, late=is_late)
            text = f"{self.name} {request} {target}\n".encode() + body
            return (504 if is_late else 200), dict(answer, **{"X-Response-Signature": f"sig.{request}"}), text
        finally:
            self.running -= 1
            self.free.release()


async def exchange(address, port, data, source=None):
    """Sends one message on a new connection. Returns (status, headers, body); raises if the answer is incomplete."""
    reader, writer = await asyncio.open_connection(address, port, limit=MAX_HEAD_BYTES,
                                                   local_addr=None if source is None else (source, 0))
    try:
        writer.write(data)
        await writer.drain()
        head = await read_head(reader)
        if head is None:
            raise asyncio.IncompleteReadError(b"", None)
        body = await read_body(reader, head[1])
        return int(head[0].split(" ")[1]), head[1], body
    finally:
        writer.close()


class Result:
    def __init__(self, request, machine, path, sent):
        self.request, self.machine, self.path, self.sent = request, machine, path, sent
        self.ended, self.status, self.headers, self.body = None, None, {}, b""


class Clients:
    """Clients of a machine; each request is one client attempt on a new connection, without retries."""

    def __init__(self, record, host):
        self.record, self.host = record, host
        self.results = []

    async def send(self, machine, method, path, deadline_ms, body=b""):
        request = f"{random.getrandbits(64):016x}"
        result = Result(request, machine, path, self.record.now())
        self.results.append(result)
        head = message(f"{method} {path} HTTP/1.1",
                       {"Host": self.host, "X-Request-Id": request, "X-Deadline": deadline_ms,
                        "Content-Length": len(body)}, body)
        self.record.write("client-sent", request=request, machine=machine.name, method=method, path=path,
                          deadline_ms=deadline_ms)
        try:
            answer = await asyncio.wait_for(exchange(machine.address, machine.ports["outbound"], head),
                                            deadline_ms / 1000 + 1)
            result.status, result.headers, result.body = answer
        except asyncio.TimeoutError:
            result.status = "timeout"
        except (asyncio.IncompleteReadError, ConnectionError, OSError) as problem:
            result.status = f"closed({type(problem).__name__})"
        result.ended = self.record.now()
        self.record.write("client-answer", request=request, machine=machine.name, status=result.status,
                          code=result.headers.get("x-amaranthladder-code", "-"),
                          after_ms=round(1000 * (result.ended - result.sent)))
        return result


class Machine:
    """A machine of the platform: the daemon's process, its settings, and the platform's question whether it is ready."""

    def __init__(self, platform, index, service, zone="rosario-a"):
        self.platform, self.name, self.service, self.zone = platform, f"sidecar-{zone}-{index}", service, zone
        self.address = f"{platform.prefix}.{10 + index}"
        self.ports = platform.ports
        self.process = None
        self.misses, self.is_in, self.started_at, self.asked = 2, False, None, 0
        self.folder = platform.folder / self.name
        self.folder.mkdir()

    def settings(self):
        """Fills in the template of the deploy file."""
        platform = self.platform
        fields = {"region": REGION, "zone": self.zone, "node": self.name, "service": self.service, "ip": self.address,
                  "listen.outbound": f"{self.address}:{self.ports['outbound']}",
                  "listen.inbound": f"{self.address}:{self.ports['inbound']}",
                  "listen.ready": f"{self.address}:{self.ports['ready']}",
                  "listen.control": f"{self.address}:{self.ports['control']}",
                  "port_range.0": str(self.ports["peers"]), "platform.reads_per_s": "2000", "seeds": "",
                  "platform.address": f"{platform.store_address}:{self.ports['store']}"}
        text = (ROOT / "deploy" / "daemon.ini.in").read_text()
        bounds = ",".join(f"{name}={value}" for name, value in platform.bounds.items())
        text = re.sub(r"\{\{#bounds\}\}.*?\{\{/bounds\}\}", bounds, text)
        return re.sub(r"\{\{([^}]+)\}\}", lambda found: fields[found.group(1)], text)

    async def start(self):
        path = self.folder / "boot.conf"
        path.write_text(self.settings())
        log = open(self.folder / "daemon.log", "a")
        self.process = await asyncio.create_subprocess_exec(
            str(ROOT / "target" / "amaranthladderd"), "--settings", str(path), stdout=log, stderr=log,
            env={"PATH": os.environ.get("PATH", ""), "HOME": str(self.folder), "AMARANTHLADDER_CONFIG": str(path)})
        self.started_at = self.platform.record.now()
        self.platform.record.write("daemon-start", machine=self.name, pid=self.process.pid)

    async def kill(self):
        self.platform.record.write("daemon-kill", machine=self.name)
        self.process.kill()
        await self.process.wait()

    async def terminate(self):
        """SIGTERM, then SIGKILL after grace_s. Returns the time at which the process ended."""
        self.platform.record.write("daemon-sigterm", machine=self.name)
        self.process.terminate()
        try:
            await asyncio.wait_for(self.process.wait(), self.platform.bounds["grace_s"])
        except asyncio.TimeoutError:
            self.process.kill()
            await self.process.wait()
        self.platform.record.write("daemon-end", machine=self.name, code=self.process.returncode)
        return self.platform.record.now()

    async def ask_ready(self):
        head = message("GET /amaranthladder/ready HTTP/1.1", {"Host": "ready", "Connection": "close"})
        try:
            answer = await asyncio.wait_for(exchange(self.address, self.ports["ready"], head), 1)
            return answer[0] == 200
        except (asyncio.TimeoutError, ConnectionError, OSError, asyncio.IncompleteReadError):
            return False

    async def ask_forever(self):
        while True:
            is_ready = await self.ask_ready()
            self.misses = 0 if is_ready else self.misses + 1
            is_in = self.misses < 2 and (self.is_in or is_ready)
            if is_in != self.is_in:
                self.platform.record.write("machine-in" if is_in else "machine-out", machine=self.name)
            self.is_in = is_in
            self.asked += 1
            await asyncio.sleep(READY_INTERVAL_S)

    async def wait_for_question(self):
        """Returns just after the platform has asked whether the daemon is ready."""
        asked = self.asked
        while self.asked == asked:
            await asyncio.sleep(0.005)


class Platform:
    """The whole of a small deployment: a store and machines."""

    def __init__(self, case_folder, bounds):
        if not (ROOT / "target" / "amaranthladderd").exists():
            raise CannotRun("target/amaranthladderd is missing; run the build of the deploy file")
        self.record = Record(pathlib.Path(case_folder) / "record.txt")
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.bounds = bounds
        self.prefix = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        self.store_address = f"{self.prefix}.5"
        names = ["outbound", "inbound", "ready", "control", "application", "peers", "store"]
        self.ports = dict(zip(names, random.sample(range(21000, 31000), len(names))))
        self.machines = []
        self.store = Store(self.record)
        self.tasks = []

    def add_machine(self, service, zone="rosario-a"):
        self.machines.append(Machine(self, len(self.machines) + 1, service, zone))
        return self.machines[-1]

    async def start(self, configuration):
        await self.store.start(self.store_address, self.ports["store"])
        await self.store.put("op/config", configuration)
        for machine in self.machines:
            await machine.start()
            self.tasks.append(asyncio.ensure_future(machine.ask_forever()))

    async def wait_until_served(self, probe, limit_s=20):
        """Waits until all machines are in and the probe, a coroutine function, returns True for each of them."""
        end = time.monotonic() + limit_s
        for machine in self.machines:
            while not (machine.is_in and await probe(machine)):
                if time.monotonic() > end:
                    raise CannotRun(f"{machine.name} did not start to serve")
                await asyncio.sleep(0.2)
        self.record.write("all-serve")

    async def stop(self):
        for machine in self.machines:
            if machine.process is not None and machine.process.returncode is None:
                machine.process.kill()
                await machine.process.wait()
        if os.environ.get("KEEP_LOGS"):
            print(f"logs: {self.folder}", file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def route(name, host, prefix, kind, service, target_ms, timeout_ms=None, priority=1, max_attempts=2):
    result = {"name": name, "authority": host, "prefix": prefix, "kind": kind, "target_latency_ms": target_ms,
              "priority": priority, "service": service, "max_attempts": max_attempts}
    if timeout_ms is not None:
        result["timeout_ms"] = timeout_ms
    return result


def service(name):
    return {"name": name, "health_path": "/health", "max_connections": 110, "protocol": "h1", "tls": False}


def configuration(version, routes, services):
    return {"version": f"{version:08x}", "routes": routes, "services": [service(name) for name in services],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000}}


async def play(platform, case):
    try:
        return await asyncio.wait_for(case(platform), 110)
    finally:
        await platform.stop()


def end(code):
    """Ends the process without waiting for the tasks and connections that are left."""
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(code)


def main(case_folder, bounds, case):
    """Plays a case: a coroutine function that returns a list of breaches of the rule. Exits with 0, 1 or 2."""
    for stop_signal in (signal.SIGTERM, signal.SIGINT):
        signal.signal(stop_signal, lambda *_: sys.exit(2))
    platform = None
    try:
        platform = Platform(case_folder, bounds)
        loop = asyncio.new_event_loop()
        asyncio.set_event_loop(loop)
        breaches = loop.run_until_complete(play(platform, case))
    except BaseException as problem:
        print(f"could not run: {problem!r}")
        if not isinstance(problem, CannotRun):
            traceback.print_exc()
        for machine in platform.machines if platform else []:
            if machine.process is not None and machine.process.returncode is None:
                machine.process.kill()
        end(2)
    for breach in breaches[:10]:
        platform.record.write("breach", text=breach)
        print(breach)
    print(f"{len(breaches)} breaches")
    end(1 if breaches else 0)

#!/usr/bin/env python3
"""Randomized soak: real daemons, upstreams and a store as processes, faults from outside, promises checked all the while.

Each seed gives a schedule of faults: daemons stopped, paused, killed and restarted, the store paused, and connections
to callers, upstreams and the store delayed, reset, cut one way or silenced by a loopback proxy. Every fourth seed plays
planned work only. Callers keep their connections open until they break. After the faults all must be well again.
"""
import argparse
import collections
import http.client
import json
import pathlib
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time

from fleet import call, free_ports

DAEMONS = 4
CALLERS = 8
DATA_CENTERS = ["rosario-a", "rosario-b"]
START_TIMEOUT_S = 20
CALM_S = 8  # Longer than it takes to suspect, forget and find a daemon again.
DRAIN_LIMIT_S = 12  # [requests] drain_timeout, the leave notice and a second.
CALLER_TIMEOUT_S = 6
LINK_FAULTS = ["delay", "reset", "cut-to", "cut-back", "silence"]
PROCESS_FAULTS = ["kill", "pause", "restart", "reload", "pause-store"]
PLANNED_FAULTS = ["restart", "reload"]
PROMISES = ["twice", "not-run", "mixed", "regress", "exit", "recovery", "lost"]
REGRESSIONS = pathlib.Path(__file__).with_name("soak_seeds.txt")


class Link:
    """Forwards connections to a port and does them harm."""

    def __init__(self, target):
        self.target, self.fault, self.pairs = target, None, []
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                near, _ = self.listener.accept()
            except OSError:
                return
            try:
                far = socket.create_connection(("127.0.0.1", self.target), timeout=2)
            except OSError:
                self.abort(near)
                continue
            far.settimeout(None)
            pair = {"near": near, "far": far, "silent": False, "open": True}
            self.pairs = [one for one in self.pairs if one["open"]] + [pair]
            for name, start, end in (("cut-to", near, far), ("cut-back", far, near)):
                start.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                threading.Thread(target=self.pump, args=(pair, name, start, end), daemon=True).start()

    def pump(self, pair, name, start, end):
        try:
            while True:
                data = start.recv(65536)
                if not data:
                    break
                if self.fault == "delay":
                    time.sleep(random.uniform(0.05, 0.3))
                while self.fault == name and not pair["silent"]:
                    time.sleep(0.02)
                if not pair["silent"]:
                    end.sendall(data)
            end.shutdown(socket.SHUT_WR)
        except OSError:
            self.abort(start)
            self.abort(end)
            pair["open"] = False

    @staticmethod
    def abort(one):
        try:
            one.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            one.close()
        except OSError:
            pass

    def harm(self, fault):
        for pair in self.pairs if fault in ("reset", "silence") else []:
            if fault == "silence":
                pair["silent"] = True
            else:
                self.abort(pair["near"])
                self.abort(pair["far"])
        self.fault = fault

    def mend(self):
        self.fault = None


class Soak:
    def __init__(self, binaries, seed, seconds, broken):
        self.binaries, self.seed, self.seconds, self.broken = binaries, seed, seconds, broken
        self.random = random.Random(seed)
        self.is_planned = seed % 4 == 0
        self.work = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        self.processes, self.lock = {}, threading.Lock()
        self.results, self.violations, self.counts = [], [], collections.Counter()
        self.over, self.version, self.seen = threading.Event(), 0, {}
        self.expected_ends = set()

    # Processes

    def spawn(self, name, *command):
        log = open(self.work / f"{name}.log", "a")
        self.processes[name] = subprocess.Popen([str(part) for part in command], stdout=log, stderr=log)
        return self.processes[name]

    def start(self):
        ports = free_ports(3 * DAEMONS + DAEMONS + 1)
        self.store_port = ports.pop()
        self.requests, self.control, self.peers, self.upstreams = (ports[i::4] for i in range(4))
        self.spawn("store", self.binaries / "bench/amaranthladder_store_stand_in", "--listen",
                   f"127.0.0.1:{self.store_port}")
        self.caller_links = [Link(port) for port in self.requests]
        self.upstream_links = [Link(port) for port in self.upstreams]
        self.store_links = [Link(self.store_port) for _ in range(DAEMONS)]
        for index in range(DAEMONS):
            self.spawn(f"upstream{index}", self.binaries / "bench/amaranthladder_fake_upstream", "--listen",
                       f"127.0.0.1:{self.upstreams[index]}", "--delay-ms", "20")
            self.start_daemon(index)
        threading.Thread(target=self.announce, daemon=True).start()
        self.publish()
        self.wait(self.is_well, START_TIMEOUT_S, "start")

    def start_daemon(self, index):
        path = self.work / f"daemon{index}.ini"
        seeds = ", ".join(f"127.0.0.1:{port}" for port in self.peers[:2])
        path.write_text(
            f"[daemon]\nmesh = soak\ndata_center = {DATA_CENTERS[index % 2]}\nworker = worker-{index}\n"
            f"[listen]\nrequests = 127.0.0.1:{self.requests[index]}\ncontrol = 127.0.0.1:{self.control[index]}\n"
            f"peers = 127.0.0.1:{self.peers[index]}\n[store]\naddress = 127.0.0.1:{self.store_links[index].port}\n"
            f"[peers]\nseeds = {seeds}\nprobe_interval = 300ms\nprobe_timeout = 150ms\n"
            f"[requests]\ndrain_timeout = 5s\nwarm_up = 1s\n[log]\nfile = -\n")
        self.spawn(f"daemon{index}", self.binaries / "amaranthladderd", "--settings", path)

    def announce(self):
        while not self.over.wait(0.5):
            for index in range(DAEMONS):
                body = {"id": f"tienda-{index}", "service": "tienda", "version": "v1", "slots": 12,
                        "address": f"127.0.0.1:{self.upstream_links[index].port}"}
                try:
                    call(self.control[index], "PUT", "/v1/upstream", json.dumps(body))
                except (OSError, http.client.HTTPException):
                    pass

    def publish(self):
        folder = self.work / "folder"
        folder.mkdir(exist_ok=True)
        routes = "".join(f"[route kits-{number}]\nservice = tienda\npath_prefix = /kits-{number}\n"
                         for number in range(self.version % 5))
        (folder / "10-tienda.ini").write_text("[service tienda]\ntimeout_ms = 2000\nqueue_limit = 16\n"
                                              f"[route all]\nservice = tienda\npath_prefix = /\n{routes}")
        done = subprocess.run([self.binaries / "amaranthladder", "apply", str(folder), "--store",
                               f"127.0.0.1:{self.store_port}"], capture_output=True, text=True, check=False)
        self.version += done.returncode == 0

    def stop(self):
        self.over.set()
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        for link in self.caller_links + self.upstream_links + self.store_links:
            link.listener.close()

    # Promises

    def violate(self, promise, detail):
        with self.lock:
            self.violations.append(f"{promise}: {detail}")

    def status(self, index):
        return json.loads(call(self.control[index], "GET", "/v1/status"))

    def is_well(self):
        shown = [self.status(index) for index in range(DAEMONS)]
        versions = {one["configuration"]["version"] for one in shown}
        return len(versions) == 1 and all(one["upstreams_known"] == DAEMONS for one in shown)

    def wait(self, condition, limit, what):
        deadline = time.monotonic() + limit
        while time.monotonic() < deadline:
            try:
                if condition():
                    return
            except (OSError, ValueError, KeyError, TypeError, http.client.HTTPException):
                pass
            time.sleep(0.1)
        self.violate("recovery", f"{what}: not well after {limit} s")

    def watch(self):
        """Sees daemons that end by themselves and versions that go back within a run."""
        while not self.over.wait(0.2):
            for index in range(DAEMONS):
                process = self.processes[f"daemon{index}"]
                if process.poll() is not None and process.pid not in self.expected_ends:
                    self.expected_ends.add(process.pid)
                    self.violate("exit", f"daemon{index} ended with {process.returncode}")
                try:
                    version = self.status(index)["configuration"]["version"]
                except (OSError, ValueError, KeyError, TypeError, http.client.HTTPException):
                    continue
                if self.broken == "regress" and self.version > 2:
                    version -= self.random.choice((0, 2))
                seen = self.seen.get(process.pid, 0)
                if self.processes[f"daemon{index}"] is process and version < seen:
                    self.violate("regress", f"daemon{index}: {version} after {seen}")
                self.seen[process.pid] = max(version, seen)

    def call_all(self, caller):
        chance = random.Random(f"{self.seed}-{caller}")
        kept, number = {}, 0
        while not self.over.is_set():
            number += 1
            index, name = chance.randrange(DAEMONS), f"{caller}-{number}"
            is_order = chance.random() < 0.5
            size = 1000 + 977 * caller + number % 900
            result = {"id": name, "is_order": is_order, "daemon": index, "status": 0, "outcome": "", "at": time.monotonic()}
            try:
                if index not in kept:
                    kept[index] = http.client.HTTPConnection("127.0.0.1", self.caller_links[index].port,
                                                             timeout=CALLER_TIMEOUT_S)
                headers = {"x-caller-id": name}
                if is_order:
                    kept[index].request("POST", "/order", name, headers)
                else:
                    kept[index].request("GET", f"/bytes/{size}", headers=headers)
                answer = kept[index].getresponse()
                body = answer.read()
                result["status"], result["outcome"] = answer.status, answer.headers.get("x-amaranthladder-outcome", "")
                wanted = name.encode() if is_order else b"b" * size
                if self.broken == "mixed" and number == 50:
                    body = body[:-1]
                if answer.status == 200 and body != wanted:
                    self.violate("mixed", f"{name}: {len(body)} bytes in place of {len(wanted)}")
                if self.broken == "twice" and is_order and answer.status == 200 and number > 50:
                    call(self.requests[index], "POST", "/order", name)
                    kept[index].request("POST", "/order", name, headers)
                    kept[index].getresponse().read()
            except (OSError, http.client.HTTPException):
                broken = kept.pop(index, None)
                if broken is not None:
                    broken.close()
            self.results.append(result)
            time.sleep(chance.uniform(0.01, 0.05))

    def check_results(self):
        ran = collections.Counter()
        for port in self.upstreams:
            for name, times in json.loads(call(port, "GET", "/fake/executed")).items():
                ran[name] += times
        for one in self.results:
            self.counts["good" if one["status"] == 200 else "refused" if one["status"] else "broken"] += 1
            times = ran[one["id"]] + (self.broken == "not-run" and one["outcome"] == "not-run")
            if one["is_order"] and times > 1:
                self.violate("twice", f"{one['id']} ran {times} times")
            if one["outcome"] == "not-run" and times > 0:
                self.violate("not-run", f"{one['id']} was refused as not run and ran")
            is_lost = one["status"] == 0 and times > 0 or self.broken == "lost" and one["id"] == "1-20"
            if self.is_planned and is_lost:
                self.violate("lost", f"{one['id']} ran and its caller got no answer from daemon{one['daemon']}")
            if self.is_planned and one["outcome"] == "may-have-run":
                self.violate("lost", f"{one['id']} failed during planned work at daemon{one['daemon']}")

    # Faults

    def play(self):
        """Faults come in series and overlap: each runs in a thread of its own."""
        running, end = [], time.monotonic() + self.seconds
        while time.monotonic() < end:
            kinds = PLANNED_FAULTS if self.is_planned else PROCESS_FAULTS + LINK_FAULTS
            kind, index = self.random.choice(kinds), self.random.randrange(DAEMONS)
            length, where = self.random.uniform(0.3, 3), self.random.randrange(3)
            if self.random.random() < 0.4:
                self.publish()
            self.counts[kind] += 1
            thread = threading.Thread(target=self.harm, args=(kind, index, length, where), daemon=True)
            thread.start()
            running.append(thread)
            # One planned restart at a time: two at once leave half of the upstreams.
            if self.is_planned:
                thread.join()
            time.sleep(self.random.uniform(0.1, 1.5))
        for thread in running:
            thread.join()

    def harm(self, kind, index, length, where):
        if kind in LINK_FAULTS:
            link = (self.caller_links, self.upstream_links, self.store_links)[where][index]
            link.harm(kind)
            time.sleep(length)
            link.mend()
            return
        process = self.processes["store" if kind == "pause-store" else f"daemon{index}"]
        if process.poll() is not None or process.pid in self.expected_ends:
            return
        if kind in ("pause", "pause-store"):
            process.send_signal(signal.SIGSTOP)
            time.sleep(length)
            process.send_signal(signal.SIGCONT)
        elif kind == "reload":
            process.send_signal(signal.SIGHUP)
        else:
            if self.broken != "exit":
                self.expected_ends.add(process.pid)
            process.send_signal(signal.SIGKILL if kind == "kill" else signal.SIGTERM)
            try:
                process.wait(DRAIN_LIMIT_S)
            except subprocess.TimeoutExpired:
                self.violate("exit", f"daemon{index} did not end within {DRAIN_LIMIT_S} s of SIGTERM")
                process.kill()
            time.sleep(length / 3)
            self.start_daemon(index)

    def run(self):
        try:
            self.start()
            threads = [threading.Thread(target=self.call_all, args=(caller,), daemon=True) for caller in range(CALLERS)]
            threads.append(threading.Thread(target=self.watch, daemon=True))
            for thread in threads:
                thread.start()
            self.play()
            if self.broken == "recovery":
                self.caller_links[0].harm("cut-to")
            time.sleep(CALM_S)
            self.wait(self.is_well, CALM_S, "after the faults")
            self.check_recovery()
            self.over.set()
            for thread in threads:
                thread.join(2 * CALLER_TIMEOUT_S)
            self.check_results()
        finally:
            self.stop()
        return not self.violations

    def check_recovery(self):
        for index in range(DAEMONS):
            for _ in range(10):
                try:
                    connection = http.client.HTTPConnection("127.0.0.1", self.caller_links[index].port, timeout=3)
                    connection.request("GET", "/bytes/100")
                    status = connection.getresponse().status
                except (OSError, http.client.HTTPException) as problem:
                    status = type(problem).__name__
                if status != 200:
                    self.violate("recovery", f"daemon{index} answers {status} after {CALM_S} s without faults")


def regression_seeds():
    lines = REGRESSIONS.read_text().splitlines() if REGRESSIONS.exists() else []
    return [int(line.split()[0]) for line in lines if line.strip() and not line.startswith("#")]


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--binaries", default="build/release", type=pathlib.Path)
    parser.add_argument("--seed", type=int, help="first seed; a fresh one if not given")
    parser.add_argument("--seeds", type=int, default=1, help="number of seeds to play")
    parser.add_argument("--seconds", type=float, default=20, help="time with faults for each seed")
    parser.add_argument("--regressions", action="store_true", help="play the seeds of soak_seeds.txt first")
    parser.add_argument("--break", dest="broken", choices=PROMISES, help="fake the breach of a promise; must be seen")
    given = parser.parse_args()
    first = given.seed if given.seed is not None else random.randrange(1_000_000)
    seeds = (regression_seeds() if given.regressions else []) + list(range(first, first + given.seeds))
    failed = 0
    for seed in seeds:
        soak = Soak(given.binaries, seed, given.seconds, given.broken)
        is_kept = soak.run()
        failed += not is_kept
        print(f"seed {seed}: {'kept' if is_kept else 'BROKEN'} {dict(sorted(soak.counts.items()))}", flush=True)
        for violation in soak.violations[:10]:
            print(f"  {violation}")
        if is_kept:
            shutil.rmtree(soak.work)
        else:
            print(f"  logs in {soak.work}", flush=True)
    if given.broken:
        return 0 if failed else 1
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())

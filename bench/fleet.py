#!/usr/bin/env python3
"""Measures a fleet of daemons on loopback: convergence, control traffic, store calls, processor time and memory.

Starts the store stand-in and N daemons in four data centres, announces one upstream to each daemon, applies edits of
the configuration folder, and prints one CSV row for each N. With --latency, it measures instead the latency that one
and two daemons add, compared with direct calls in the same run. Each run is limited in time and stops all processes
that it started.
"""
import argparse
import http.client
import json
import os
import pathlib
import random
import signal
import socket
import statistics
import subprocess
import sys
import tempfile
import threading
import time
from datetime import datetime

DATA_CENTERS = ["rosario-a", "rosario-b", "santafe-a", "parana-a"]
START_TIMEOUT_S = 60
LISTEN_PORTS = (12000, 32000)
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")


def free_ports(count):
    """Returns ports that are free for TCP and UDP, below the range of the kernel's ephemeral ports."""
    ports = []
    while len(ports) < count:
        port = random.randrange(*LISTEN_PORTS)
        with socket.socket() as tcp, socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
            try:
                tcp.bind(("127.0.0.1", port))
                udp.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in ports:
            ports.append(port)
    return ports


def call(port, method, path, body=None):
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=5)
    try:
        connection.request(method, path, body)
        return connection.getresponse().read()
    finally:
        connection.close()


def parse_time(text):
    return datetime.fromisoformat(text.replace("Z", "+00:00"))


class Fleet:
    """A store stand-in and daemons as processes with free ports, settings and logs in a temporary folder."""

    def __init__(self, binaries, count, log_level):
        self.binaries, self.count, self.log_level = binaries, count, log_level
        self.work = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self.work.name, "folder")
        self.folder.mkdir()
        ports = free_ports(3 * count + 1)
        self.store_port = ports.pop()
        self.requests, self.control, self.peers = ports[:count], ports[count:2 * count], ports[2 * count:]
        self.processes = []
        self.stopping = threading.Event()
        self.addresses = {}

    def spawn(self, *command):
        log = open(pathlib.Path(self.work.name, f"{len(self.processes)}.log"), "w")
        process = subprocess.Popen(command, stdout=log, stderr=log)
        self.processes.append(process)
        return process

    def start_daemon(self, index):
        path = pathlib.Path(self.work.name, f"daemon{index}.ini")
        seeds = ", ".join(f"127.0.0.1:{port}" for port in self.peers[:4])
        path.write_text(
            f"[daemon]\nmesh = litoral\ndata_center = {DATA_CENTERS[index % 4]}\nworker = worker-{index}\n"
            f"[listen]\nrequests = 127.0.0.1:{self.requests[index]}\ncontrol = 127.0.0.1:{self.control[index]}\n"
            f"peers = 127.0.0.1:{self.peers[index]}\n[store]\naddress = 127.0.0.1:{self.store_port}\n"
            f"[peers]\nseeds = {seeds}\n[log]\nlevel = {self.log_level}\n")
        return self.spawn(self.binaries / "amaranthladderd", "--settings", str(path))

    def start(self):
        self.spawn(self.binaries / "bench/amaranthladder_store_stand_in", "--listen", f"127.0.0.1:{self.store_port}")
        time.sleep(0.3)
        self.daemons = [self.start_daemon(index) for index in range(self.count)]

    def announce(self):
        """Announces one upstream to each daemon every second, in the place of the upstreams."""
        def run():
            while not self.stopping.wait(1):
                for index, port in enumerate(self.control):
                    body = {"id": f"tienda-{index}", "service": "tienda", "version": "v1", "slots": 12,
                            "address": self.addresses.get(index, f"127.0.0.1:{20000 + index}")}
                    try:
                        call(port, "PUT", "/v1/upstream", json.dumps(body))
                    except OSError:
                        pass
        threading.Thread(target=run, daemon=True).start()

    def status(self, index):
        return json.loads(call(self.control[index], "GET", "/v1/status"))

    def statuses(self):
        return [self.status(index) for index in range(self.count)]

    def wait(self, condition, description):
        """Waits until the condition holds for the status of each daemon; ends the program if it times out."""
        deadline = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline:
            try:
                if all(condition(status) for status in self.statuses()):
                    return
            except (OSError, ValueError):
                pass
            time.sleep(0.2)
        raise SystemExit(f"condition not met within {START_TIMEOUT_S} s: {description}")

    def apply(self, number):
        """Applies a configuration with number + 1 routes."""
        text = "[service tienda]\ntimeout_ms = 2000\nqueue_limit = 16\n"
        for route in range(number + 1):
            text += f"[route kits-{route}]\nservice = tienda\npath_prefix = /kits-{route}\n"
        (self.folder / "10-tienda.ini").write_text(text)
        subprocess.run([self.binaries / "amaranthladder", "apply", str(self.folder), "--store",
                        f"127.0.0.1:{self.store_port}"], check=True, stdout=subprocess.DEVNULL)

    def convergence_ms(self, version):
        """Waits for the version on all daemons; returns the ms from publishing to applying it for each daemon."""
        self.wait(lambda status: status["configuration"]["version"] >= version, f"version {version} everywhere")
        return [(parse_time(status["configuration"]["applied_at"])
                 - parse_time(status["configuration"]["published_at"])).total_seconds() * 1000
                for status in self.statuses()]

    def usage(self):
        """Returns the processor time in seconds and the resident memory in bytes of each daemon."""
        result = []
        for process in self.daemons:
            fields = pathlib.Path(f"/proc/{process.pid}/stat").read_text().rsplit(")", 1)[1].split()
            result.append(((int(fields[11]) + int(fields[12])) / CLOCK_TICKS,
                           int(fields[21]) * os.sysconf("SC_PAGESIZE")))
        return result

    def stop(self):
        self.stopping.set()
        for process in self.processes:
            process.send_signal(signal.SIGKILL)
        for process in self.processes:
            process.wait()
        self.work.cleanup()


def quantile(values, fraction):
    return sorted(values)[min(len(values) - 1, int(fraction * len(values)))]


def measure(fleet, edits, seconds, settle):
    fleet.start()
    fleet.announce()
    fleet.wait(lambda status: status["peers"].get("alive", 0) == fleet.count, "all members known")
    fleet.apply(0)
    fleet.convergence_ms(1)
    fleet.wait(lambda status: status["upstreams_known"] == fleet.count, "all upstreams known")
    time.sleep(settle)
    statuses_before, usage_before, started = fleet.statuses(), fleet.usage(), time.monotonic()
    time.sleep(seconds)
    statuses_after, usage_after, elapsed = fleet.statuses(), fleet.usage(), time.monotonic() - started
    bytes_per_s = [(a["peers"]["sent_bytes"] + a["peers"]["received_bytes"] - b["peers"]["sent_bytes"]
                    - b["peers"]["received_bytes"]) / elapsed for a, b in zip(statuses_after, statuses_before)]
    calls = sum(a["store"]["calls"] - b["store"]["calls"] for a, b in zip(statuses_after, statuses_before)) / elapsed
    core_percents = [100 * (a[0] - b[0]) / elapsed for a, b in zip(usage_after, usage_before)]
    convergence_times = []
    for number in range(1, edits + 1):
        fleet.apply(number)
        convergence_times += fleet.convergence_ms(number + 1)
    restart_ms = herd_restart(fleet, edits + 2)
    return [fleet.count, round(statistics.median(convergence_times)), round(quantile(convergence_times, 0.99)),
            round(max(convergence_times)), round(restart_ms), round(statistics.mean(bytes_per_s)),
            round(max(bytes_per_s)), round(calls, 2), round(statistics.mean(core_percents), 2),
            round(max(sample[1] for sample in usage_after) / 2**20, 1)]


def herd_restart(fleet, version):
    """Kills all daemons, applies an edit and restarts them; returns the ms until all daemons have applied the edit."""
    for process in fleet.daemons:
        process.kill()
    for process in fleet.daemons:
        process.wait()
    fleet.apply(version)
    started = time.monotonic()
    fleet.daemons = [fleet.start_daemon(index) for index in range(fleet.count)]
    fleet.wait(lambda status: status["configuration"]["version"] >= version, "version after the restart")
    return (time.monotonic() - started) * 1000


def measure_latency(binaries, rates, seconds):
    fleet = Fleet(binaries, 2, "info")
    try:
        fleet.start()
        upstream_port = free_ports(1)[0]
        fleet.spawn(binaries / "bench/amaranthladder_fake_upstream", "--listen", f"127.0.0.1:{upstream_port}",
                    "--daemon", f"127.0.0.1:{fleet.control[0]}", "--id", "tienda-0", "--slots", "100")
        fleet.wait(lambda status: status["peers"].get("alive", 0) == 2, "both members known")
        fleet.apply(0)
        fleet.wait(lambda status: status["upstreams_known"] == 1, "the upstream known")
        for rate in rates:
            command = [binaries / "bench/amaranthladder_load", "--path", "/kits-0/x", "--rate", str(rate), "--seconds",
                       str(seconds), "--target", f"direct=127.0.0.1:{upstream_port}",
                       "--target", f"one-daemon=127.0.0.1:{fleet.requests[0]}",
                       "--target", f"two-daemons=127.0.0.1:{fleet.requests[1]}"]
            print(subprocess.run(command, check=True, capture_output=True, text=True).stdout, end="", flush=True)
    finally:
        fleet.stop()


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--build", default="build/release", help="folder with the programs")
    parser.add_argument("--daemons", type=int, nargs="+", default=[10, 25, 50, 100], help="fleet sizes")
    parser.add_argument("--edits", type=int, default=10, help="number of edits to apply")
    parser.add_argument("--seconds", type=int, default=20, help="duration of each steady-state measurement")
    parser.add_argument("--settle", type=int, default=90,
                        help="seconds before the measurement, since new daemons compare their tables more often")
    parser.add_argument("--latency", type=float, nargs="+",
                        help="rates in calls per second; measures the added latency instead")
    options = parser.parse_args()
    binaries = pathlib.Path(options.build)
    if options.latency:
        measure_latency(binaries, options.latency, options.seconds)
        return
    print("daemons,edit_p50_ms,edit_p99_ms,edit_max_ms,herd_restart_ms,bytes_per_s_mean,bytes_per_s_max,"
          "store_calls_per_s,core_percent_mean,memory_mib_max", flush=True)
    for count in options.daemons:
        fleet = Fleet(binaries, count, "warning")
        try:
            row = measure(fleet, options.edits, options.seconds, options.settle)
            print(",".join(str(value) for value in row), flush=True)
        finally:
            fleet.stop()


if __name__ == "__main__":
    sys.exit(main())

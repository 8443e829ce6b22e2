#!/usr/bin/env python3
"""Runs one bad and one good move with real processes on loopback and prints the outcome of each.

Starts four daemons with one upstream each, two of version v1 and two of v2. Exits with 0 if the bad version is rolled
back and the good one has the whole share by its deadline.
"""
import argparse
import json
import pathlib
import subprocess
import sys
import time
from datetime import datetime, timedelta, timezone

from fleet import Fleet, call, free_ports


def apply(fleet, to_version, seconds, note):
    """Declares the move tienda-NOTE from v1 to to_version, with a deadline in so many seconds."""
    deadline = (datetime.now(timezone.utc) + timedelta(seconds=seconds)).strftime("%Y-%m-%dT%H:%M:%SZ")
    (fleet.folder / "10-tienda.ini").write_text(
        "[service tienda]\ntimeout_ms = 2000\nqueue_limit = 16\n"
        "[route kits]\nservice = tienda\npath_prefix = /kits\n"
        f"[move tienda-{note}]\nservice = tienda\nfrom = v1\nto = {to_version}\ndeadline = {deadline}\n")
    subprocess.run([fleet.binaries / "amaranthladder", "apply", str(fleet.folder), "--store",
                    f"127.0.0.1:{fleet.store_port}"], check=True, stdout=subprocess.DEVNULL)


def explain_move(fleet, name):
    return json.loads(call(fleet.control[0], "GET", f"/v1/explain?move={name}"))


def follow(fleet, name, limit_s):
    """Prints each change of the share or verdict until the move ends; returns its last state."""
    printed, started, last = None, time.monotonic(), {}
    while time.monotonic() - started < limit_s:
        try:
            last = explain_move(fleet, name)
        except (OSError, ValueError):
            continue
        if (last.get("share"), last.get("verdict")) != printed:
            printed = (last.get("share"), last.get("verdict"))
            print(f"  {time.monotonic() - started:5.1f} s  share {last.get('share')}  verdict {last.get('verdict')}  "
                  f"reason {last.get('reason')}", flush=True)
        if last.get("verdict") in ("done", "done-late", "rolled-back", "taken-back") or last.get("share") == 1:
            return last
        time.sleep(0.1)
    return last


def print_report(fleet):
    """Prints the lines about rollbacks in the report of this month, once the outcome is in the store."""
    month = datetime.now(timezone.utc).strftime("%Y-%m")
    command = [fleet.binaries / "amaranthladder", "report", "--mesh", "litoral", "--month", month, "--csv", "--store",
               f"127.0.0.1:{fleet.store_port}"]
    for _ in range(20):
        text = subprocess.run(command, check=True, capture_output=True, text=True).stdout
        rows = [line for line in text.splitlines() if "rolled_back" in line or "rollback" in line]
        if any("rolled_back" in line and ",1" in line for line in rows):
            break
        time.sleep(1)
    print("  report: " + "; ".join(rows), flush=True)


def run_move(binaries, note, fail_percent, seconds):
    fleet = Fleet(binaries, 4, "info")
    try:
        fleet.start()
        for index, port in enumerate(free_ports(4)):
            version = "v1" if index < 2 else "v2"
            fail = "0" if version == "v1" else str(fail_percent)
            fleet.spawn(binaries / "bench/amaranthladder_fake_upstream", "--listen", f"127.0.0.1:{port}", "--daemon",
                        f"127.0.0.1:{fleet.control[index]}", "--id", f"tienda-{index}", "--version", version,
                        "--fail-percent", fail, "--slots", "12")
        fleet.wait(lambda one: one["peers"].get("alive", 0) == 4, "all members known")
        apply(fleet, "v2", seconds, note)
        fleet.wait(lambda one: one["upstreams_known"] == 4, "all upstreams known")
        load = subprocess.Popen([binaries / "bench/amaranthladder_load", "--target",
                                 f"mesh=127.0.0.1:{fleet.requests[0]}", "--path", "/kits/1", "--rate", "100",
                                 "--seconds", str(seconds + 10), "--connections", "20"],
                                stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True)
        print(f"move tienda-{note}: v1 to v2 within {seconds} s, v2 fails {fail_percent}% of its calls", flush=True)
        last = follow(fleet, f"tienda-{note}", seconds + 5)
        load.kill()
        load.wait()
        if last.get("verdict") == "rolled-back":
            print_report(fleet)
        return last
    finally:
        fleet.stop()


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--build", default="build/release", help="folder with the programs")
    parser.add_argument("--seconds", type=int, default=60, help="seconds from the edit to the deadline")
    options = parser.parse_args()
    binaries = pathlib.Path(options.build)
    bad = run_move(binaries, "bad", 50, options.seconds)
    good = run_move(binaries, "good", 0, options.seconds)
    is_bad_taken_back = bad.get("verdict") not in ("under-way", "done", "done-late", None) and bad.get("share") == 0
    is_good_done = good.get("share") == 1
    print(f"bad version taken back: {is_bad_taken_back}; good version has the whole share: {is_good_done}")
    return 0 if is_bad_taken_back and is_good_done else 1


if __name__ == "__main__":
    sys.exit(main())

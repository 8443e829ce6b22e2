"""EXPOSURE of a version that was rolled back, after the next order: see claim.txt."""
import asyncio
import base64
import json
import pathlib
import random
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
sys.dont_write_bytecode = True
from mesh_stand_in import CannotRun, Connection, Worker, message, play  # noqa: E402

HOST, SERVICE = "litoral.example", "tienda"
DURATION_S = 12
BAD_SHARE = 0.5
DRAINS_AFTER_S = 5.0  # "At `rolled_back`, the new workers drain some seconds later."
CLIENTS, PAUSE_S = 24, 0.06


class VersionedWorker(Worker):
    """A worker whose version fails a share of its requests."""

    bad_share = 0.0

    async def respond(self, reader, writer, method, path, headers, body):
        if headers.get("x-expected-instance") != self.id or random.random() >= self.bad_share:
            return await super().respond(reader, writer, method, path, headers, body)
        name = headers.get("x-request-id", "")
        self.mesh.on_run(self, name, method, path, headers, body)
        self.mesh.runs[-1]["is_bad"] = True
        await asyncio.sleep(self.work_s)
        writer.write(message("HTTP/1.1 500 Internal Server Error", {
            "X-Request-Id": name, "X-Response-Signature": f"{self.id}.{name}", "Content-Length": 0}))
        return True


async def start_workers(mesh, machines, version, bad_share=0.0):
    workers = [VersionedWorker(mesh, machine, SERVICE, f"{version}-{machine.number}", version=version)
               for machine in machines]
    for worker in workers:
        worker.bad_share = bad_share
        mesh.workers.append(worker)
        await worker.start()
    return workers


def order(mesh, version):
    mesh.note(f"order {version} within {DURATION_S} s")
    mesh.store.put(f"op/rollout/{SERVICE}", json.dumps({
        "service": SERVICE, "target_version": version, "duration_s": DURATION_S}).encode())
    return time.monotonic()


def state_of(mesh, version):
    item = mesh.store.items.get(f"status/rollout/{SERVICE}")
    status = json.loads(base64.b64decode(item["value"])) if item else {}
    return status.get("state") if status.get("target_version") == version else None


async def drain(mesh, workers):
    """The workers of a version that was rolled back leave."""
    await asyncio.sleep(DRAINS_AFTER_S)
    acknowledged = await asyncio.gather(*(worker.leave() for worker in workers))
    mesh.note(f"v2 drains, acknowledged by {sum(at is not None for at in acknowledged)} of {len(workers)}")
    await asyncio.sleep(mesh.bounds["drain_ms"] / 1000 + 1)
    await asyncio.gather(*(worker.withdraw() for worker in workers))
    for worker in workers:
        worker.end()


async def send(mesh, machines, ended):
    number, client = 0, id(asyncio.current_task()) % 100000
    connections = {}
    while not ended.is_set():
        number += 1
        machine = machines[(client + number) % len(machines)]
        connection = connections.setdefault(machine.number, Connection(machine))
        name = f"{client}-{number}"
        sent = time.monotonic()
        status, _, _ = await connection.ask("GET", "/catalogo/1", HOST, name, 2500)
        mesh.sent[name] = sent
        mesh.note(f"answer {name} {machine.name} {status}")
        await asyncio.sleep(PAUSE_S)


async def case(mesh, is_troubled):
    mesh.sent = {}
    zones = ["rosario-a", "rosario-b"]
    machines = [mesh.add_machine(zones[number % 2], SERVICE) for number in range(9)]
    mesh.configure(1, [{"name": "catalogo", "authority": HOST, "prefix": "/catalogo/", "kind": "safe",
                        "timeout_ms": 1200, "target_latency_ms": 400, "priority": 2, "service": SERVICE,
                        "max_attempts": 2}], [SERVICE])
    for machine in machines:
        machine.start()
    await start_workers(mesh, machines[:3], "v1")
    await mesh.wait_ready()
    await asyncio.sleep(4)
    ended = asyncio.Event()
    clients = [asyncio.create_task(send(mesh, machines[:3], ended)) for _ in range(CLIENTS)]
    await asyncio.sleep(6)
    bad = await start_workers(mesh, machines[3:6], "v2", BAD_SHARE)
    ordered_at = order(mesh, "v2")
    while state_of(mesh, "v2") != "rolled_back":
        if time.monotonic() > ordered_at + DURATION_S:
            raise CannotRun("the bad version was not rolled back")
        await asyncio.sleep(0.05)
    mesh.note("v2 is reported as rolled_back")
    draining = asyncio.create_task(drain(mesh, bad))
    if is_troubled:
        await start_workers(mesh, machines[6:9], "v3")
        order(mesh, "v3")
    await draining
    await asyncio.sleep(max(0, ordered_at + DURATION_S + 1 - time.monotonic()))
    ended.set()
    await asyncio.gather(*clients)
    return check(mesh, ordered_at)


def check(mesh, ordered_at):
    deadline = ordered_at + DURATION_S
    in_time = [name for name, sent in mesh.sent.items() if ordered_at <= sent <= deadline]
    exposed = [run for run in mesh.runs if run["worker"].startswith("v2-")
               and ordered_at <= mesh.sent.get(run["id"], 0) <= deadline]
    allowed = mesh.bounds["exposure_share"] * len(in_time) + mesh.bounds["exposure_slack"]
    mesh.note(f"v2 got {len(exposed)} requests of {len(in_time)}, allowed {allowed:.0f}")
    violations = []
    if len(exposed) > allowed:
        violations.append(f"EXPOSURE: the bad version v2 got {len(exposed)} requests of {len(in_time)} in the time of "
                          f"its rollout; allowed {allowed:.0f}")
    bad = [run["at"] for run in mesh.runs if run.get("is_bad")]
    if len(bad) >= 50:
        limit = bad[49] + mesh.bounds["rollback_ms"] / 1000
        late = [run for run in mesh.runs if run["worker"].startswith("v2-") and mesh.sent.get(run["id"], 0) > limit]
        if late:
            violations.append(f"EXPOSURE: v2 got {len(late)} requests that were sent more than 5 s after its 50th bad "
                              "answer")
    return violations


if __name__ == "__main__":
    play(case, FOLDER / "record.txt")

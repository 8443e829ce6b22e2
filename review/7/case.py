"""DRAIN of a worker that has left, after all daemons were killed: see claim.txt."""
import asyncio
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
sys.dont_write_bytecode = True
from mesh_stand_in import CannotRun, Connection, Worker, play  # noqa: E402

HOST, SERVICE = "litoral.example", "tienda"
MACHINES, CLIENTS = 4, 12
LATE_S = 3.5  # "A heartbeat may arrive seconds late."
KILLED_AFTER_S = 0.2
DOWN_S = 0.6
SERVES_S = 10.0  # "It continues serving for `drain_ms` after the acknowledgement and a little longer (at times many seconds)."


async def case(mesh, is_troubled):
    mesh.sent = {}
    machines = [mesh.add_machine(["rosario-a", "rosario-b"][number % 2], SERVICE) for number in range(MACHINES)]
    mesh.configure(1, [{"name": "catalogo", "authority": HOST, "prefix": "/catalogo/", "kind": "safe",
                        "timeout_ms": 1200, "target_latency_ms": 400, "priority": 2, "service": SERVICE,
                        "max_attempts": 2}], [SERVICE])
    for machine in machines:
        machine.start()
        mesh.workers.append(Worker(mesh, machine, SERVICE, f"i-{machine.number}"))
        await mesh.workers[-1].start()
    await mesh.wait_ready()
    await asyncio.sleep(4)
    ended = asyncio.Event()
    clients = [asyncio.create_task(send(mesh, machines, number, ended)) for number in range(CLIENTS)]
    await asyncio.sleep(3)
    leaving = mesh.workers[0]
    leaving.beats.cancel()
    late = asyncio.create_task(deliver_late(mesh, leaving, leaving.heartbeat()))
    await asyncio.sleep(0.2)
    left_at = await leaving.withdraw()
    if left_at is None:
        raise CannotRun("the withdrawal was not acknowledged")
    mesh.note(f"withdrawal of {leaving.id} acknowledged")
    restarted_at = left_at
    if is_troubled:
        await asyncio.sleep(KILLED_AFTER_S)
        for machine in machines:
            machine.send_signal(signal.SIGKILL)
        mesh.note("all daemons killed")
        await asyncio.gather(*(machine.wait_end(1) for machine in machines))
        await asyncio.sleep(DOWN_S)
        for machine in machines:
            machine.start()
        restarted_at = time.monotonic()
        mesh.note("all daemons started")
    await late
    await asyncio.sleep(max(0, left_at + SERVES_S - time.monotonic()))
    leaving.end()
    mesh.note(f"{leaving.id} ends")
    ended.set()
    await asyncio.gather(*clients)
    return check(mesh, leaving, left_at, restarted_at)


async def deliver_late(mesh, worker, heartbeat):
    """A heartbeat that the worker sent before it left is delayed on its way to the daemon beside it."""
    await asyncio.sleep(LATE_S)
    status = await worker.call_daemon("PUT", heartbeat)
    mesh.note(f"late heartbeat of {worker.id}: state={heartbeat['status']['state']} "
              f"sequence={heartbeat['status']['sequence']} answer={status}")


async def send(mesh, machines, client, ended):
    number, connections = client, {}
    while not ended.is_set():
        number += 1
        machine = machines[number % len(machines)]
        connection = connections.setdefault(machine.number, Connection(machine))
        name = f"{client}-{number}"
        mesh.sent[name] = time.monotonic()
        status, _, _ = await connection.ask("GET", "/catalogo/1", HOST, name, 2500)
        mesh.note(f"answer {name} {machine.name} {status}")
        await asyncio.sleep(0.05)


def check(mesh, leaving, left_at, restarted_at):
    in_touch = restarted_at + mesh.bounds["contact_ms"] / 1000
    bound = left_at + mesh.bounds["drain_ms"] / 1000
    late = [run for run in mesh.runs if run["worker"] == leaving.id and run["at"] > bound
            and mesh.sent[run["id"]] > in_touch]
    mesh.note(f"{len(late)} requests reached {leaving.id} too late")
    if not late:
        return []
    after = [run["at"] - left_at for run in late]
    return [f"DRAIN: {len(late)} requests reached {leaving.id} {min(after):.1f} to {max(after):.1f} s after its "
            "withdrawal was acknowledged, sent by clients when all machines were in touch"]


if __name__ == "__main__":
    play(case, FOLDER / "record.txt")

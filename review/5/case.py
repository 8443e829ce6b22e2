"""DRAIN with a queue: a worker that has turned slow reports that it leaves while requests wait for its slots in the daemon
beside it. Played in rounds, each with a new worker beside that daemon."""
import asyncio
import os
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import standins

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# Bounds and requests of grown/limonada-litoral-grown.toml: pedido on tienda.
BOUNDS = {"contact_ms": 3000, "ack_ms": 5000, "drain_ms": 2500, "grace_s": 6, "config_ms": 2500}
HOST = "ficu95.example"
SERVICE = "tienda"
SLOTS = 12
DEADLINE_MS = 10000
TIMEOUT_MS = 5000
TARGET_MS = 1500
MEAN_WORK_S, SPREAD, MAX_WORK_S = 0.5, 0.5, 3.0
SPEEDS = [0.5, 1.0, 1.0]  # Of speeds = [0.5, 1.0, 1.0, 1.5]; the first worker is the one that leaves.
SLOW_FACTOR = 5.0 if TROUBLE else 1.0
LEAVES_AFTER_S = 1.5  # From the start of the slowness.
SERVES_ON_S = 1.5  # "and a little longer"
REQUESTS_PER_S = 50  # The three workers serve 12 + 24 + 24 a second.
BURST_FACTOR, BURST_S = 1.7, 3.0
ROUNDS = 9


def work_s():
    return min(MEAN_WORK_S * random.lognormvariate(0, SPREAD), MAX_WORK_S)


async def case(platform):
    record = platform.record
    clients = standins.Clients(record, HOST)
    factor = {}
    machines = [platform.add_machine(SERVICE) for _ in SPEEDS]

    async def start_worker(index, name):
        factor[name] = 1.0
        worker = standins.Worker(record, name, machines[index], SERVICE, SLOTS,
                                 lambda path: work_s() / SPEEDS[index] * factor[name])
        await worker.start()
        return worker

    leaving = await start_worker(0, "i-00000001")
    for index in range(1, len(machines)):
        await start_worker(index, f"i-1000000{index}")
    await platform.start(standins.configuration(
        7, [standins.route("pedido", HOST, "/pufi791/", "unsafe", SERVICE, TARGET_MS, TIMEOUT_MS)], [SERVICE]))

    async def probe(machine):
        return (await clients.send(machine, "POST", "/pufi791/probe", 2500, b"order")).status == 200

    await platform.wait_until_served(probe)
    pending = set()
    load = {"factor": 1.0}

    async def send_forever():
        number = 0
        while True:
            number += 1
            task = asyncio.ensure_future(clients.send(machines[number % len(machines)], "POST", f"/pufi791/{number}",
                                                      DEADLINE_MS, b"order"))
            pending.add(task)
            task.add_done_callback(pending.discard)
            await asyncio.sleep(1 / REQUESTS_PER_S / load["factor"])

    traffic = asyncio.ensure_future(send_forever())
    late = []
    for number in range(ROUNDS):
        await asyncio.sleep(2)
        load["factor"] = BURST_FACTOR if TROUBLE else 1.0
        record.write("burst", factor=load["factor"])
        await asyncio.sleep(BURST_S - LEAVES_AFTER_S)
        factor[leaving.name] = SLOW_FACTOR
        record.write("worker-slow", worker=leaving.name, factor=SLOW_FACTOR)
        await asyncio.sleep(LEAVES_AFTER_S)
        acknowledged = await leaving.say_draining()
        load["factor"] = 1.0
        if acknowledged is None:
            raise standins.CannotRun("the leaving was not acknowledged")
        await asyncio.sleep(BOUNDS["drain_ms"] / 1000 + SERVES_ON_S)
        await leaving.withdraw()
        await leaving.exit()
        bound = acknowledged + BOUNDS["drain_ms"] / 1000
        late += [(at - acknowledged, request, leaving.name) for at, request, _ in leaving.arrivals if at > bound]
        record.write("round", worker=leaving.name, acknowledged=f"{acknowledged:.3f}", late=len(late))
        leaving = await start_worker(0, f"i-{number + 2:08x}")
    traffic.cancel()
    if pending:
        await asyncio.wait(pending, timeout=12)
    status = {result.request: result.status for result in clients.results}
    return [f"DRAIN: order {request} reached {name} {after:.2f} s after its leaving was acknowledged; its client got "
            f"{status[request]}" for after, request, name in late]


standins.main(pathlib.Path(__file__).parent, BOUNDS, case)

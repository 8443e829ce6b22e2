"""DRAIN after a restart: a worker withdraws and the daemon beside it acknowledges that. The daemon is killed and started
again, and then a heartbeat of the worker arrives that was sent before its withdrawal."""
import asyncio
import os
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import standins

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# Bounds of sites/limonada-litoral.toml.
BOUNDS = {"contact_ms": 3000, "ack_ms": 4000, "drain_ms": 2000, "grace_s": 6, "config_ms": 2000}
HOST = "ficu95.example"
SERVICE = "tienda"
RESTART_DELAY_S = 1.0
HEARTBEAT_DELAY_S = 3.0  # "A heartbeat may arrive seconds late."
SERVES_ON_S = 7.0        # "at times many seconds"
REQUESTS_PER_S = 30
SLACK_S = 0.3


async def case(platform):
    record = platform.record
    clients = standins.Clients(record, HOST)
    workers = []
    for index in range(3):
        machine = platform.add_machine(SERVICE)
        worker = standins.Worker(record, f"i-{index + 1:08x}", machine, SERVICE, 12, lambda path: 0.12)
        await worker.start()
        workers.append(worker)
    leaving = workers[0]
    await platform.start(standins.configuration(
        7, [standins.route("catalogo", HOST, "/lohu930/", "safe", SERVICE, 400, 1200, priority=2),
            standins.route("pedido", HOST, "/pufi791/", "unsafe", SERVICE, 500, 1500)], [SERVICE]))

    async def probe(machine):
        return (await clients.send(machine, "GET", "/lohu930/probe", 2500)).status == 200

    await platform.wait_until_served(probe)
    await asyncio.sleep(3)  # All machines know all workers.

    async def send_forever():
        number = 0
        pending = set()
        while True:
            for machine in platform.machines:
                if machine.is_in:
                    number += 1
                    call = (("GET", f"/lohu930/{number}", 2500) if number % 2 else
                            ("POST", f"/pufi791/{number}", 3000, b"order"))
                    task = asyncio.ensure_future(clients.send(machine, *call))
                    pending.add(task)
                    task.add_done_callback(pending.discard)
            await asyncio.sleep(len(platform.machines) / REQUESTS_PER_S)

    traffic = asyncio.ensure_future(send_forever())
    await asyncio.sleep(2)

    # The worker sends a heartbeat that the network delays, stops its heartbeats and withdraws.
    leaving.is_beating = False
    await asyncio.sleep(1)
    delayed = leaving.beat_body()
    record.write("heartbeat-delayed", worker=leaving.name, sequence=delayed["status"]["sequence"])
    acknowledged = await leaving.withdraw()
    if acknowledged is None:
        raise standins.CannotRun("the withdrawal was not acknowledged")
    leaving.state = "draining"  # /health answers 503 from now on; the worker goes on to serve.
    machine = leaving.machine
    in_touch_since = acknowledged
    await asyncio.sleep(0.5)
    if TROUBLE:
        await machine.kill()
        await asyncio.sleep(RESTART_DELAY_S)
        await machine.start()
        in_touch_since = machine.started_at + BOUNDS["contact_ms"] / 1000
    await asyncio.sleep(max(0, acknowledged + HEARTBEAT_DELAY_S - record.now()))
    await leaving.call_control("PUT", delayed)
    await asyncio.sleep(max(0, acknowledged + SERVES_ON_S - record.now()))
    await leaving.exit()
    exited = record.now()
    await asyncio.sleep(2)
    traffic.cancel()

    # Only machines in touch count: the restarted one from contact_ms after its start on, the others all the time.
    bound = max(acknowledged + BOUNDS["drain_ms"] / 1000, in_touch_since) + SLACK_S
    sent = {result.request: result for result in clients.results}
    late = [(at, request) for at, request, _ in leaving.arrivals if at > bound and sent[request].sent > bound]
    cut = [result for result in clients.results if result.ended is not None and result.status != 200 and
           result.path.startswith("/pufi791") and abs(result.ended - exited) < 0.3 and
           any(request == result.request for _, request, _ in leaving.arrivals)]
    for result in cut:
        record.write("order-cut-by-exit", request=result.request, status=result.status)
    record.write("judged", acknowledged=f"{acknowledged:.3f}", bound=f"{bound:.3f}", late=len(late))
    return [f"DRAIN: request {request} from {sent[request].machine.name} reached {leaving.name} "
            f"{at - acknowledged:.2f} s after its leaving was acknowledged" for at, request in late]


standins.main(pathlib.Path(__file__).parent, BOUNDS, case)

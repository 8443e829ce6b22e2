"""LOST around a planned stop: a daemon gets SIGTERM while workers are at work on requests that its clients sent."""
import asyncio
import os
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import standins

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# Bounds of large/kufenbach-mesh-large.toml.
BOUNDS = {"contact_ms": 4000, "ack_ms": 5000, "drain_ms": 3000, "grace_s": 10, "loss_slack_ms": 200, "config_ms": 3000}
HOST = "ficu95.example"
SERVICE = "trockenhaus"
DEADLINE_MS = 5000  # drawing-fetch; its route has no timeout_ms.
WORK_S = 3.65  # work_ms.max = 1100 on the slowest worker (0.6) that has just started (cold_x = 2).
# After the first miss of the platform's question, before the second one takes the machine out.
SENT_AFTER_SIGTERM_S = [1.76, 1.80, 1.84, 1.88, 1.92]


async def case(platform):
    record = platform.record
    clients = standins.Clients(record, HOST)
    workers = []
    for index in range(3):
        machine = platform.add_machine(SERVICE)
        worker = standins.Worker(record, f"i-{index + 1:08x}", machine, SERVICE, 5,
                                 lambda path: WORK_S if "large" in path else 0.05)
        await worker.start()
        workers.append(worker)
    await platform.start(standins.configuration(
        7, [standins.route("drawing-fetch", HOST, "/pule252/", "download", SERVICE, 800)], [SERVICE]))

    async def probe(machine):
        return (await clients.send(machine, "GET", "/pule252/probe", 2500)).status == 200

    await platform.wait_until_served(probe)
    await asyncio.sleep(5)  # Longer than contact_ms.

    stopped = platform.machines[0]
    await stopped.wait_for_question()
    term = asyncio.ensure_future(stopped.terminate()) if TROUBLE else None
    term_at = record.now()
    requests = []
    for delay_s in SENT_AFTER_SIGTERM_S:
        await asyncio.sleep(max(0, term_at + delay_s - record.now()))
        # The platform takes a machine out after two questions without a 200.
        if stopped.is_in:
            requests.append(asyncio.ensure_future(
                clients.send(stopped, "GET", f"/pule252/large-{len(requests)}", DEADLINE_MS)))
    results = [await request for request in requests]
    ended_at = await term if TROUBLE else None

    ran_at = {request: (worker, at) for worker in workers for at, request, _ in worker.runs}
    # Excused: the worker was still at work in the last sixth of grace_s. Without the cut these would have ended before.
    last_sixth = term_at + BOUNDS["grace_s"] * 5 / 6
    breaches = []
    for result in results:
        record.write("result", request=result.request, sent_s=f"{result.sent - term_at:.2f}", status=result.status,
                     ended_s=f"{result.ended - term_at:.2f}")
        if isinstance(result.status, int) and result.status == 200:
            continue
        if result.request not in ran_at:
            continue
        worker, started = ran_at[result.request]
        due = started + WORK_S
        is_excused = due >= last_sixth or result.ended >= result.sent + DEADLINE_MS / 1000 - 0.05
        if not is_excused:
            breaches.append(f"LOST: request {result.request}, sent {result.sent - term_at:.2f} s after SIGTERM, ended with "
                            f"{result.status} after {result.ended - term_at:.2f} s while {worker.name} was at work on it")
    record.write("judged", sent=len(results), lost=len(breaches),
                 process_ended_s=None if ended_at is None else f"{ended_at - term_at:.2f}")
    if len(results) < 3:
        raise standins.CannotRun("the machine was out before the requests were sent")
    return breaches


standins.main(pathlib.Path(__file__).parent, BOUNDS, case)

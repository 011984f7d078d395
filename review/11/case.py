"""One entry of another writer in the list of workers ends every host. See
claim.txt."""
import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "stand_ins_3"))

from cell import HOST_HEADER, PREFIX, RESTART_S, CannotRun, Cell  # noqa: E402
from http_wire import call  # noqa: E402
from ledger import Ledger  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
TRAFFIC_S = 12
TROUBLE_AT_S = 4
FINISH_S = 14
# How long clients wait for an answer.
DEADLINE_S = 3
TASKS, TASK_CPU, WORK_S = 4, 2000, 1.0
# A name and a time, where an address should be.
FOREIGN_ADDRESS = "shelf-17:1733612345678"


async def restart_ended(cell, exits):
    """What the platform does: a process that ends is started again."""
    while True:
        await asyncio.sleep(0.05)
        for host in cell.hosts:
            if host.process.poll() is not None:
                exits[host.name] = exits.get(host.name, 0) + 1
                cell.ledger.say("process of %s ended by itself: %d" %
                                (host.name, host.process.returncode))
                await asyncio.sleep(RESTART_S)
                host.start()


async def ask(cell, method, job, body=None, first=0):
    """Asks host after host until one answers in the client's time."""
    until = time.monotonic() + DEADLINE_S
    status, answer = 0, {}
    for i in range(100):
        left = until - time.monotonic()
        if left <= 0 or status in (200, 410):
            break
        host = cell.hosts[(first + i) % len(cell.hosts)]
        status, answer = await call(host.front, method, PREFIX + job, body,
                                    {"Host": HOST_HEADER}, left)
        if status not in (200, 410):
            await asyncio.sleep(0.1)
    cell.ledger.say("%s %s: %d %s" % (method, job, status,
                                      answer.get("state", "")))
    return status, answer


async def traffic(cell, accepted):
    begun, number = time.monotonic(), 0
    while time.monotonic() - begun < TRAFFIC_S:
        number += 1
        job = "%016x" % (0x5c0e7a21d94b0000 + number)
        body = {"spec": "in stock?",
                "steps": [{"count": TASKS, "cpu": TASK_CPU, "mem_mb": 512,
                           "estimate_ms": int(WORK_S * 1000)}]}
        status, _ = await ask(cell, "POST", job, body, number)
        if status == 200:
            accepted.append(job)
        await asyncio.sleep(0.5)


async def put_foreign_entry(cell):
    await asyncio.sleep(TROUBLE_AT_S)
    entry = cell.workers[0].entry()
    entry.update(address=FOREIGN_ADDRESS, machine="shelf-17")
    cell.ledger.say("TROUBLE servers/shelf-17 is %s" % entry)
    cell.store.put("servers", "shelf-17", entry)


def has_task_running(cell, job):
    return any(runs for task, runs in cell.ledger.running.items()
               if task.startswith(job))


async def judge_lost(cell, accepted):
    """LOST, as submissions are asked for finish_s after the traffic."""
    states = {}
    for job in accepted:
        status, answer = await ask(cell, "GET", job)
        if status != 200:
            cell.ledger.breach("LOST: GET %s is answered %s" % (job, status))
        states[job] = answer.get("state")
    waiting = {job for job in accepted if states[job] not in ("done", "failed")}
    until = time.monotonic() + 3
    while waiting and time.monotonic() < until:
        used = sum(TASK_CPU * len(worker.runs) for worker in cell.workers)
        room = sum(worker.capacity["cpu"] for worker in cell.workers)
        busy = used * 2 >= room or room - used < 2 * TASKS * TASK_CPU
        waiting = {job for job in waiting
                   if not busy and not has_task_running(cell, job)}
        await asyncio.sleep(0.05)
    for job in sorted(waiting):
        cell.ledger.breach("LOST: %s, shown as %s, has nothing running for 3 s"
                           " on a fleet that is idle" % (job, states[job]))


async def play(cell, exits):
    await cell.open()
    asyncio.ensure_future(restart_ended(cell, exits))
    await asyncio.sleep(2)
    accepted = []
    if TROUBLE:
        asyncio.ensure_future(put_foreign_entry(cell))
    await traffic(cell, accepted)
    if not accepted:
        raise CannotRun("no submission was accepted")
    await asyncio.sleep(FINISH_S)
    await judge_lost(cell, accepted)
    return len(accepted)


def main():
    with open(os.path.join(HERE, "record.txt"), "w",
              encoding="utf-8") as record:
        ledger, exits, cell = Ledger(record), {}, None
        try:
            cell = Cell(ledger, lambda task, run: (WORK_S, "done"))
            accepted = asyncio.run(asyncio.wait_for(play(cell, exits), 110))
        except (CannotRun, asyncio.TimeoutError) as error:
            print("can't run:", error or "too slow")
            return 2
        finally:
            if cell:
                cell.close()
        ledger.say("processes that ended by themselves: %s" % exits)
        print("accepted:", accepted, dict(ledger.counts),
              "ended by themselves:", exits,
              "breaches:", len(ledger.breaches))
        for breach in ledger.breaches[:5]:
            print(breach)
        return 1 if ledger.breaches else 0


sys.exit(main())

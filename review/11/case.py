"""A large submission's ends are taken note of before they are stored. See
claim.txt."""
import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "stand_ins_3"))

from cell import HOST_HEADER, PREFIX, CannotRun, Cell  # noqa: E402
from http_wire import call  # noqa: E402
from ledger import Ledger  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
JOB = "5c0e7a21d94b36f8"
STEPS, TASKS_PER_STEP = 1200, 2
WORK_S = 0.3
# The dose of platform_slow that the site file lists under "troubles".
SLOW_FACTOR, SLOW_S = 60, 4.5
# As so many tasks have ended, the store turns slow; the leader is killed later.
SLOW_AT_DONE = 1510
KILL_AFTER_SLOW_S = 3.5
LIMIT_S = 100


async def trouble(cell):
    cell.store.on_transaction = lambda host, rows: cell.ledger.say(
        "store: %s writes %d rows" % (host, rows))
    while cell.ledger.counts["done"] < SLOW_AT_DONE:
        await asyncio.sleep(0.02)
    cell.ledger.say("TROUBLE the store is slow")
    cell.store.slow_factor = SLOW_FACTOR
    await asyncio.sleep(KILL_AFTER_SLOW_S)
    leader = cell.last_writer()
    cell.ledger.say("TROUBLE %s is killed" % leader.name)
    restart = asyncio.ensure_future(leader.kill_and_restart())
    await asyncio.sleep(SLOW_S - KILL_AFTER_SLOW_S)
    cell.store.slow_factor = 1
    cell.ledger.say("TROUBLE the store is as usual")
    await restart


async def submit(cell):
    body = {"spec": "refill the shelves",
            "steps": [{"count": TASKS_PER_STEP, "cpu": 8000, "mem_mb": 1024,
                       "estimate_ms": int(WORK_S * 1000)}] * STEPS}
    for i in range(60):
        front = cell.hosts[i % len(cell.hosts)].front
        status, _ = await call(front, "POST", PREFIX + JOB, body,
                               {"Host": HOST_HEADER})
        cell.ledger.say("POST %s: %d" % (JOB, status))
        if status == 200:
            return
        await asyncio.sleep(0.5)
    raise CannotRun("the submission was not accepted")


async def state(cell):
    for host in cell.hosts:
        status, answer = await call(host.front, "GET", PREFIX + JOB,
                                    headers={"Host": HOST_HEADER})
        if status == 200:
            return answer["state"]
    return "no answer"


async def play(cell):
    await cell.open()
    await asyncio.sleep(2)
    await submit(cell)
    begun = time.monotonic()
    troubles = asyncio.ensure_future(trouble(cell) if TROUBLE
                                     else asyncio.sleep(0))
    shown = ""
    while shown != "done" and time.monotonic() - begun < LIMIT_S - 15:
        await asyncio.sleep(0.5)
        shown = await state(cell)
    await troubles
    cell.ledger.say("GET %s: %s" % (JOB, shown))
    await asyncio.sleep(2)
    cell.ledger.judge_repeats()
    return shown


def main():
    with open(os.path.join(HERE, "record.txt"), "w",
              encoding="utf-8") as record:
        ledger = Ledger(record)
        cell = None
        try:
            cell = Cell(ledger, lambda task, run: (WORK_S, "done"))
            shown = asyncio.run(asyncio.wait_for(play(cell), LIMIT_S + 10))
        except (CannotRun, asyncio.TimeoutError) as error:
            print("can't run:", error or "too slow")
            return 2
        finally:
            if cell:
                cell.close()
        ledger.say("counts %s" % dict(ledger.counts))
        print(shown, dict(ledger.counts), "breaches:", len(ledger.breaches))
        for breach in ledger.breaches[:5]:
            print(breach)
        if shown != "done":
            print("can't run: the submission was not done in time")
            return 1 if ledger.breaches else 2
        return 1 if ledger.breaches else 0


sys.exit(main())

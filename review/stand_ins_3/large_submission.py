"""A play of one large submission: many short steps on a small deployment."""
import asyncio
import os
import time

from cell import HOST_HEADER, PREFIX, CannotRun, Cell
from http_wire import call
from ledger import Ledger

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
JOB = "5c0e7a21d94b36f8"
STEPS, TASKS_PER_STEP = 1200, 2
WORK_S = 0.3
# The dose of platform_slow that the site file lists under "troubles".
SLOW_FACTOR, SLOW_S = 60, 4.5
# As so many tasks have ended, the store turns slow; the leader is killed so long
# after that.
SLOW_AT_DONE = 1530
KILL_AFTER_SLOW_S = 2.8
LIMIT_S = 95


async def wait_for_ends(cell, count):
    while cell.ledger.counts["done"] < count:
        await asyncio.sleep(0.02)


async def kill_leader(cell):
    leader = cell.last_writer()
    cell.ledger.say("TROUBLE %s is killed" % leader.name)
    await leader.kill_and_restart()


async def slow_store_and_kill(cell):
    await wait_for_ends(cell, SLOW_AT_DONE)
    cell.ledger.say("TROUBLE the store is slow")
    cell.store.slow_factor = SLOW_FACTOR
    await asyncio.sleep(KILL_AFTER_SLOW_S)
    restart = asyncio.ensure_future(kill_leader(cell))
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


async def play(cell, trouble):
    await cell.open()
    await asyncio.sleep(2)
    await submit(cell)
    begun = time.monotonic()
    troubles = asyncio.ensure_future(trouble(cell) if TROUBLE
                                     else asyncio.sleep(0))
    shown = ""
    while shown not in ("done", "failed") and \
            time.monotonic() - begun < LIMIT_S - 20:
        await asyncio.sleep(0.5)
        shown = await state(cell)
    if not troubles.done():
        troubles.cancel()
        raise CannotRun("the submission ended before the trouble: " + shown)
    await troubles
    cell.ledger.say("GET %s: %s" % (JOB, shown))
    await asyncio.sleep(2)
    cell.ledger.judge_repeats()
    return shown


def run(folder, trouble, plan):
    """The exit code: 1 if the rule was broken, 0 if it held, 2 if the case
    couldn't run."""
    with open(os.path.join(folder, "record.txt"), "w",
              encoding="utf-8") as record:
        ledger = Ledger(record)
        cell = None
        try:
            cell = Cell(ledger, plan)
            shown = asyncio.run(asyncio.wait_for(play(cell, trouble), LIMIT_S))
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
        if ledger.breaches:
            return 1
        if shown != "done":
            print("can't run: the submission was not done in time")
            return 2
        return 0

"""A leader that takes over a large submission whose rows are being split removes
the tasks that are in the old row alone. See claim.txt."""
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "stand_ins_3"))

import large_submission  # noqa: E402

# The second leader is killed when so many tasks have ended.
SECOND_KILL_AT_DONE = 1950
# One task in so many fails once, by its own fault.
FAILS_ONE_IN = 20


def plan(task, run):
    step, index = map(int, task.split(".")[2:])
    fails = (2 * step + index) % FAILS_ONE_IN == 0 and run == 1
    return large_submission.WORK_S, "failed" if fails else "done"


async def trouble(cell):
    await large_submission.slow_store_and_kill(cell)
    await large_submission.wait_for_ends(cell, SECOND_KILL_AT_DONE)
    await large_submission.kill_leader(cell)


sys.exit(large_submission.run(HERE, trouble, plan))

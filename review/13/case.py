"""A large submission's ends are taken note of before they are stored. See
claim.txt."""
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "stand_ins_3"))

import large_submission  # noqa: E402


def plan(_task, _run):
    return large_submission.WORK_S, "done"


sys.exit(large_submission.run(HERE, large_submission.slow_store_and_kill,
                              plan))

"""Halts of the play itself: its stand-ins stand still, and the hosts don't.

On a busy machine that happens by itself. For the hosts the store and all
workers are silent then.
"""
import os
import subprocess
import time

# Longer than a cancelled run may go on.
HALT_S = 6.2
# A run is waited for, whose job was cancelled just now.
WAIT_S = 8
JUST_NOW_S = 0.15
# What the stand-ins do before the next halt.
GAP_S = 9


class Halts:
    def __init__(self, ledger):
        self.ledger = ledger
        self.halts = 0

    def stand_still(self):
        """While a run of a job that was just cancelled is at work."""
        end = time.monotonic() + WAIT_S
        while not self.is_cancelled_run_at_work():
            if time.monotonic() > end:
                return
            time.sleep(0.002)
        self.halts += 1
        with subprocess.Popen(
                ["sh", "-c", "kill -STOP $0; sleep $1; kill -CONT $0",
                 str(os.getpid()), str(HALT_S)]):
            pass
        time.sleep(GAP_S)

    def is_cancelled_run_at_work(self):
        now = time.monotonic()
        with self.ledger.lock:
            for job_id, job in self.ledger.jobs.items():
                if job.cancel_acked and now - job.cancel_acked < JUST_NOW_S \
                        and any(self.ledger.running.get(task)
                                for task in job.tasks(job_id)):
                    return True
        return False

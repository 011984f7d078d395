"""The leader is killed after the failure of one member of a gang is stored."""
import os
import signal
import sys
import threading
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

from standins import Cell, NotRun, play  # noqa: E402

HOSTS = 3
WORKERS = 24
# Two of the workers, of the kind that the gangs require, fail all that they
# start in the first seconds of a round.
GREY_KIND = "b"
GREY = 2
ROUNDS = 4
MAX_ATTEMPTS = 2
# Each member takes most of a worker, so that there is one on each.
GANG = [{"count": GREY, "cpu": 20000, "mem_mb": 256, "estimate_ms": 1000,
         "gang": True, "requires": GREY_KIND}]
FAILS_AFTER_S, WORK_S = 0.1, 1.0
# The answers of the second of the two workers take this long.
SLOW_ANSWER_S = 0.1
DOWN_S = 3.0
ROUND_LIMIT_S = 20


class FailingGang(Cell):
    def __init__(self, folder, record):
        super().__init__(folder, record, HOSTS, WORKERS,
                         max_attempts=MAX_ATTEMPTS)
        for number in range(WORKERS):
            self.add_worker(kind=GREY_KIND if number < GREY else "a")
        self.workers[1].hold_s = SLOW_ANSWER_S
        self.failed_runs = {}  # job -> numbers of the runs that failed
        self.waits_for = None  # the job whose next commit is waited for
        self.committed = threading.Event()
        self.store.on_commit = self.on_commit

    def plan(self, worker, task, run):
        """The first run of each gang fails, on both workers."""
        if run == 1:
            return GANG[0]["cpu"], FAILS_AFTER_S, "failed"
        return GANG[0]["cpu"], WORK_S, "done"

    def on_end(self, worker, run, how):
        if how != "failed":
            return
        job_id = run.task.split(".")[0]
        with self.lock:
            self.failed_runs.setdefault(job_id, set()).add(run.number)
            if worker is self.workers[0]:
                self.waits_for = job_id

    def on_commit(self, body):
        job_id = self.waits_for
        if job_id and any(entry["key"] == job_id
                          for entry in body.get("writes", [])):
            self.record.note("the first failure in %s is stored" % job_id)
            self.waits_for = None
            self.committed.set()

    def play(self, trouble):
        self.start_hosts()
        time.sleep(4)
        for _ in range(ROUNDS):
            self.play_round(trouble)

    def play_round(self, trouble):
        self.committed.clear()
        job_id = self.submit(GANG)
        if not self.committed.wait(ROUND_LIMIT_S):
            raise NotRun("no failure was stored")
        if trouble:
            leader = self.leader()
            leader.kill()
            time.sleep(DOWN_S)
            leader.start()
        end = time.monotonic() + ROUND_LIMIT_S
        while job_id in self.unfinished() and time.monotonic() < end:
            time.sleep(0.5)
        failed = self.failed_runs.get(job_id, set())
        state = self.jobs[job_id].state
        self.record.note("%s is %s, runs that failed: %s" % (
            job_id, state, sorted(failed)))
        if state == "failed" and len(failed) < MAX_ATTEMPTS:
            self.breach("submission %s is shown as failed after %d failed run "
                        "of its gang, of %d attempts" % (
                            job_id, len(failed), MAX_ATTEMPTS))


play(__file__, FailingGang)

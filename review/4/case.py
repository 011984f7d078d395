"""Callers hand work in and cancel it at once; the store answers some writes
late or not at all."""
import os
import sys
import threading
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

from standins import Cell, Job, play  # noqa: E402

HOSTS = 3
WORKERS = 12
# The share of the writes that get no answer, for how long, and how much later
# they are done.
LOST_SHARE, LOST_S = 0.35, 4.5
LATE_S = (1.0, 6.0)
LOST_AT_S = 3
TRAFFIC_S = 9
CALLERS = 10
PAUSE_S = 0.3
STEPS = [{"count": 1, "cpu": 4000, "mem_mb": 256, "estimate_ms": 8000}]
WORK_S = 8.0
CANCEL_TRIES = 12
# Bounds of the site.
CONTACT_S, CANCEL_S, STOP_BOUND_S = 3.0, 3.0, 0.9
WATCH_S = 14


class CancelledWork(Cell):
    def __init__(self, folder, record):
        super().__init__(folder, record, HOSTS, WORKERS)
        self.cancelled = {}  # job -> when its cancellation was acknowledged
        self.calm_at = 0.0  # the store answers all writes since then
        self.shown = set()
        for _ in range(WORKERS):
            self.add_worker()

    def plan(self, worker, task, run):
        return STEPS[0]["cpu"], WORK_S, "done"

    def play(self, trouble):
        self.start_hosts()
        time.sleep(4)
        end = time.monotonic() + TRAFFIC_S
        callers = [threading.Thread(target=self.call_until, args=(end,))
                   for _ in range(CALLERS)]
        for caller in callers:
            caller.start()
        time.sleep(LOST_AT_S)
        if trouble:
            self.record.note("the store loses answers")
            self.store.lose_answers(LOST_SHARE, LATE_S)
            time.sleep(LOST_S)
            self.store.lose_answers(0, LATE_S)
            self.record.note("the store answers again")
        self.calm_at = time.monotonic()
        end = time.monotonic() + WATCH_S
        while time.monotonic() < end:
            self.check_runs()
            time.sleep(0.05)
        for caller in callers:
            caller.join()

    def call_until(self, end):
        while time.monotonic() < end:
            self.submit_and_cancel()
            time.sleep(PAUSE_S)

    def submit_and_cancel(self):
        """One call to hand the work in, whatever its answer, then calls to
        cancel it until one is acknowledged. No other call names the work."""
        job_id = "%016x" % self.random.getrandbits(64)
        self.jobs[job_id] = Job({"spec": "work of " + job_id,
                                 "steps": STEPS})
        status, _ = self.request("POST", job_id, self.jobs[job_id].body)
        self.record.note("POST %s: %d" % (job_id, status))
        for _ in range(CANCEL_TRIES):
            status, _ = self.request("DELETE", job_id)
            self.record.note("DELETE %s: %d" % (job_id, status))
            if status in (200, 410):
                self.cancelled[job_id] = time.monotonic()
                return
            time.sleep(0.3)

    def check_runs(self):
        """Work that runs longer than the rule allows after its cancellation,
        long after the store was disturbed last."""
        now = time.monotonic()
        if now < self.calm_at + CONTACT_S:
            return
        for worker in self.workers:
            for run in list(worker.runs.values()):
                job_id = run.task.split(".")[0]
                acknowledged = self.cancelled.get(job_id, now)
                allowed = acknowledged + CANCEL_S + STOP_BOUND_S
                if now > allowed and job_id not in self.shown:
                    self.shown.add(job_id)
                    self.breach("%s runs on %s, %.1f s after its cancelling "
                                "was acknowledged; it started %.1f s after" % (
                                    run.task, worker.name, now - acknowledged,
                                    run.began_at - acknowledged))


play(__file__, CancelledWork)

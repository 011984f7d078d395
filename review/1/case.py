"""One large submission comes in among the usual small ones."""
import os
import sys
import threading
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

from standins import FINISH_S, Cell, play  # noqa: E402

HOSTS = 3
WORKERS = 48
# Seconds since the start of the traffic.
LARGE_AT_S = 5
TRAFFIC_S = 20
CALLERS = 2
PAUSE_S = 0.5
SMALL = [{"count": 4, "cpu": 1000, "mem_mb": 256, "estimate_ms": 500}]
SMALL_WORK_S = 0.5
# The largest of the class restock-plan in grown/phanviet-ops-grown.toml: three
# steps of 150 tasks that save their work, six times.
LARGE = [{"count": 150, "cpu": 400, "mem_mb": 64, "estimate_ms": 6800,
          "checkpointing": True}] * 3
TIMES, INTERVAL_MS = 6, 1000
# The longest work of the class on the slowest workers (6.8 s at 0.8).
LARGE_WORK_S = 8.5
IDLE_S = 3


class LargeSubmission(Cell):
    def __init__(self, folder, record):
        super().__init__(folder, record, HOSTS, WORKERS)
        self.large = None
        for _ in range(WORKERS):
            self.add_worker()

    def plan(self, worker, task, run):
        if task.split(".")[0] == self.large:
            return LARGE[0]["cpu"], LARGE_WORK_S, "done"
        return SMALL[0]["cpu"], SMALL_WORK_S, "done"

    def on_start(self, worker, run):
        run.checkpointing = run.task.split(".")[0] == self.large

    def play(self, trouble):
        self.start_hosts()
        time.sleep(4)
        end = time.monotonic() + TRAFFIC_S
        callers = [threading.Thread(target=self.submit_until, args=(end,))
                   for _ in range(CALLERS)]
        for caller in callers:
            caller.start()
        time.sleep(LARGE_AT_S)
        if trouble:
            self.large = self.submit(
                LARGE, repeat_count=TIMES, interval_ms=INTERVAL_MS,
                first_ms=int(time.time() * 1000))
        for caller in callers:
            caller.join()
        time.sleep(FINISH_S)
        self.check_nothing_is_stuck()

    def submit_until(self, end):
        while time.monotonic() < end:
            self.submit(SMALL)
            time.sleep(PAUSE_S)

    def running_jobs(self):
        return {run.task.split(".")[0] for worker in self.workers
                for run in list(worker.runs.values())}

    def check_nothing_is_stuck(self):
        idle = set(self.unfinished())
        end = time.monotonic() + IDLE_S
        while time.monotonic() < end:
            idle -= self.running_jobs()
            time.sleep(0.05)
        for job_id, state in self.unfinished().items():
            if job_id in idle:
                self.breach("submission %s is %s and has had nothing running "
                            "for %d s, %d s after the traffic" % (
                                job_id, state, IDLE_S, FINISH_S))


play(__file__, LargeSubmission)

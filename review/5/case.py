"""Work that fills comes in after a lasting submission with a task on each
worker."""
import os
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

from standins import FINISH_S, Cell, play  # noqa: E402

HOSTS = 3
WORKERS = 24
# The lasting submission has this long to start before the traffic begins.
LEAD_S = 5
TRAFFIC_S = 12
PAUSE_S = 0.5
# One task of 1 of the 32 cores on each worker.
LASTING = [{"count": WORKERS, "cpu": 1000, "mem_mb": 256,
            "estimate_ms": 0, "long_running": True, "target_ms": 50,
            "image": "desk-1", "max_per_server": 1, "may_miss": 2}]
FILLING = [{"count": 2, "cpu": 1000, "mem_mb": 256, "estimate_ms": 500,
            "image": "report-1", "fills": True}]
LASTS_S, FILLING_WORK_S = 1000, 0.5
IDLE_S = 3


class FillingWork(Cell):
    def __init__(self, folder, record):
        super().__init__(folder, record, HOSTS, WORKERS)
        self.lasting = None
        for _ in range(WORKERS):
            self.add_worker()

    def plan(self, worker, task, run):
        if task.split(".")[0] == self.lasting:
            return LASTING[0]["cpu"], LASTS_S, "done"
        return 0, FILLING_WORK_S, "done"

    def play(self, trouble):
        self.start_hosts()
        time.sleep(4)
        if trouble:
            self.lasting = self.submit(LASTING)
        time.sleep(LEAD_S)
        self.submit_until(time.monotonic() + TRAFFIC_S)
        time.sleep(FINISH_S)
        self.check_nothing_is_stuck()

    def submit_until(self, end):
        while time.monotonic() < end:
            self.submit(FILLING)
            time.sleep(PAUSE_S)

    def running_jobs(self):
        return {run.task.split(".")[0] for worker in self.workers
                for run in list(worker.runs.values())}

    def check_nothing_is_stuck(self):
        idle = set(self.unfinished()) - {self.lasting}
        end = time.monotonic() + IDLE_S
        while time.monotonic() < end:
            idle -= self.running_jobs()
            time.sleep(0.05)
        used = sum(run.cpu for worker in self.workers
                   for run in list(worker.runs.values()))
        self.record.note("in use: %d of %d thousandths of a core" % (
            used, sum(worker.cpu for worker in self.workers)))
        for job_id, state in self.unfinished().items():
            if job_id in idle:
                self.breach("submission %s is %s and has had nothing running "
                            "for %d s, %d s after the traffic" % (
                                job_id, state, IDLE_S, FINISH_S))


play(__file__, FillingWork)

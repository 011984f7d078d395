"""One submission that can never be done, on a small service."""
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "stand_ins_2"))

from stage import BROKEN, COULD_NOT_RUN, HELD  # noqa: E402
from stage import Stage, run_case, trouble  # noqa: E402

QUEUE = "/plans/"
CPU = 16000
WORKERS = 4
TASK_CPU = 2000
ORDINARY = 24
FINISH_S = 14.0  # finish_s of the sites
IDLE_S = 3.0
WATCHED_S = 12.0


def submit_ordinary(stage, number):
    job = "%016x" % (0xc0 + number)
    stage.submit(QUEUE, job, [{"count": 1, "cpu": TASK_CPU, "mem_mb": 256,
                               "estimate_ms": 400}],
                 lambda _task, _run: (0.4, "done"))
    return job


def submit_wide(stage):
    """A wide submission; its tasks fail by their own fault, if in trouble."""
    how = "failed" if trouble() else "done"
    stage.submit(QUEUE, "%016x" % 0xff, [{"count": 30, "cpu": TASK_CPU,
                                          "mem_mb": 256, "estimate_ms": 600}],
                 lambda _task, _run: (0.6, how))


def watch(stage, jobs):
    """Returns the submission that has nothing running for IDLE_S while the
    service is less than half in use, or None."""
    idle_since = {}
    until = stage.now() + WATCHED_S
    while stage.now() < until:
        used = sum(len(worker.runs) * TASK_CPU for worker in stage.workers)
        running = {task.split(".")[0] for worker in stage.workers
                   for task, _ in list(worker.runs)}
        for job in jobs:
            idle = job not in running and used < WORKERS * CPU / 2 and \
                stage.state(QUEUE, job) in ("queued", "running")
            since = idle_since.setdefault(job, stage.now())
            if not idle:
                del idle_since[job]
            elif stage.now() - since >= IDLE_S:
                return job
        time.sleep(0.25)
    return None


def main():
    stage = Stage(FOLDER, [{"name": "i-%d" % i, "cpu": CPU, "kind": "a"}
                           for i in range(WORKERS)],
                  [{"name": "plans", "path_prefix": QUEUE, "priority": 2,
                    "target_latency_ms": 3000, "max_attempts": 2,
                    "slack_factor": 4.0}])
    stage.wait_until_ready()
    jobs = []
    for number in range(ORDINARY):
        jobs.append(submit_ordinary(stage, number))
        time.sleep(0.1)
    submit_wide(stage)
    time.sleep(0.9)
    for number in range(ORDINARY, ORDINARY + 3):
        jobs.append(submit_ordinary(stage, number))
        time.sleep(0.1)
    stage.note("traffic-ends")
    if not any(event == "run-started" for _, event, _ in stage.events):
        stage.finish(COULD_NOT_RUN, "nothing was started")
    time.sleep(FINISH_S)
    stage.note("submissions-are-asked-for")
    waiting = [job for job in jobs if stage.state(QUEUE, job) != "done"]
    lost = watch(stage, waiting)
    if lost:
        stage.finish(BROKEN, "LOST: %s has nothing running for %.0f s while "
                     "the service is idle" % (lost, IDLE_S))
    stage.finish(HELD, "the submissions were run")


run_case(main)

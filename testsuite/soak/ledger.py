"""What callers and workers saw, and the promises checked against it.

What breaks a check with a time bound is excused by a disturbance of the
worker's own way in the last LATE_S, whose orders may be carried out late, and
by late reads and a lost history in the last CONTACT_S. A start while a worker
drains and a run that goes on are also excused by the disturbance of any host or
of the store in the last CONTACT_S, since an order does not name its host. The
same excuses a halt of the stand-ins, which no host can tell from a silent store
and silent workers; how often they halted is printed.
"""
import threading
import time

from pairs import Pairs

# The bounds of the platform, in seconds.
CONTACT_S = 3.0
CANCEL_S = 3.0
STOP_S = 0.9
DRAIN_S = 2.0
SHOWN_S = 1.0
# The members of a gang wait so long for each other.
GANG_S = 3.0
# After the leader's end another one has taken over within this.
LEAD_S = 2.0
# An order to a worker whose way was disturbed may be carried out so late.
LATE_S = 12.0
# So long a halt of the stand-ins counts as a disturbance of all of them.
HALT_S = 0.5


class Calm:
    """Until when hosts or the store are disturbed, as far as known."""

    def __init__(self):
        self.since = time.monotonic()

    def disturb(self, seconds=0.0):
        self.since = max(self.since, time.monotonic() + seconds)

    def lasts(self, seconds):
        return time.monotonic() - self.since > seconds


class Job:
    def __init__(self, spec, steps, times=0, interval_ms=0):
        self.spec = spec
        self.steps = steps
        self.occurrences = max(1, times)
        self.body = {"spec": spec, "steps": steps}
        if times:
            self.body.update(repeat_count=times, interval_ms=interval_ms,
                             first_ms=int(time.time() * 1000))
        self.accepted = False  # some call was answered 2xx
        self.doubtful = False  # some call got neither 2xx nor a refusal
        self.cancel_sent = False
        self.cancel_acked = None
        self.ended = None
        self.shown_at = None  # when a caller saw that it is over

    def tasks_of(self, job_id, occurrence, step):
        return {"%s.%s.%d.%d" % (job_id, occurrence, step, i)
                for i in range(self.steps[step]["count"])}

    def tasks(self, job_id):
        return set().union(*(self.tasks_of(job_id, occurrence, step)
                             for occurrence in range(self.occurrences)
                             for step in range(len(self.steps))))

    def has(self, occurrence, step, index):
        return int(occurrence) < self.occurrences and \
            int(step) < len(self.steps) and \
            int(index) < self.steps[int(step)]["count"]


class Ledger:
    def __init__(self, max_attempts):
        self.lock = threading.RLock()
        self.max_attempts = max_attempts
        self.calm = Calm()
        self.reads = Calm()  # whole reads and the history of the store
        self.halts = Calm()  # of the stand-ins
        self.halted = 0
        self.pairs = Pairs()
        self.jobs = {}
        self.running = {}  # task -> set of (worker, life, run)
        self.done = set()  # tasks that ended well anywhere
        self.noted = set()  # ... and whose end may be forgotten
        self.failures = {}  # task -> runs whose failure may be forgotten
        self.saved = {}  # task or step of a gang -> its checkpoints
        self.resumed = {}  # (step, run) of a gang -> checkpoint of its start
        self.gangs = {}  # (step, run) -> when its last member came
        self.gangs_done = set()
        # In the calm series only a change of the lead excuses a run that goes
        # on: other hosts that stop or start have no part in its stop.
        self.in_calm_series = False
        self.lead = Calm()
        self.starts = 0
        self.timed_starts = 0  # after a cancelling, with no excuse
        self.cancelled_ends = 0  # of runs, after a cancelling, the same
        self.resumes = 0
        self.latest = {}  # kind -> longest time without an excuse
        self.counts = {}  # kind -> breaches
        self.broken = []

    def breach(self, text, kind="other"):
        with self.lock:
            self.broken.append(text)
            self.counts[kind] = self.counts.get(kind, 0) + 1
            print("BROKEN: " + text, flush=True)

    def timed(self, kind, name, since, bound):
        """Notes that NAME happened so late after SINCE, with no excuse."""
        age = time.monotonic() - since
        self.latest[kind] = max(self.latest.get(kind, 0.0), age)
        if age > bound:
            self.breach("%s: %s, %.2f s" % (name, kind, age), kind)

    def note_halt(self, seconds):
        """A stand-in that finds that it has stood still; all of them may."""
        if seconds <= HALT_S:
            return
        with self.lock:
            if not self.halted or self.halts.lasts(HALT_S):
                self.halted += 1
                print("the play stood still for %.2f s" % seconds, flush=True)
            self.halts.disturb()
            self.calm.disturb()

    def in_touch(self, worker):
        return self.calm.lasts(CONTACT_S) and \
            self.reads.lasts(CONTACT_S) and not late_way(worker)

    def on_start(self, worker, task, run, spec, checkpoint):
        """The entry of the task's step, or None if nobody asked for it."""
        job_id, occurrence, step, index = task.split(".")
        with self.lock:
            self.starts += 1
            job = self.jobs.get(job_id)
            name = "%s run %d on %s" % (task, run, worker.name)
            if job is None or not job.has(occurrence, step, index):
                self.breach("nobody asked for " + name, "never sent")
                return None
            if job.spec != spec:
                self.breach(name + " has another spec", "other spec")
            entry = job.steps[int(step)]
            self.check_checkpoint(name, task, run, entry, checkpoint)
            self.check_turn(name, job, task)
            self.check_times(name, job, worker)
            self.running.setdefault(task, set()).add((worker.name,
                                                      worker.born, run))
            if entry.get("gang") and not self.missing(task, run):
                self.gangs[(owner(task, entry), run)] = time.monotonic()
            return entry

    def check_checkpoint(self, name, task, run, entry, checkpoint):
        if checkpoint:
            self.resumes += 1
            if checkpoint not in self.saved.get(owner(task, entry), set()):
                self.breach(name + " has a checkpoint of another task",
                            "other checkpoint")
        if entry.get("gang"):
            first = self.resumed.setdefault((owner(task, entry), run),
                                            checkpoint)
            if first != checkpoint:
                self.breach(name + " resumes from another checkpoint than "
                            "its gang", "other checkpoint")

    def check_turn(self, name, job, task):
        job_id, occurrence, step, _ = task.split(".")
        if self.running.get(task):
            self.breach("%s runs already on %s" % (name, self.running[task]))
        if task in self.noted:
            self.breach(name + " started after its end was noted",
                        "start after its end")
        if self.failures.get(task, 0) >= self.max_attempts:
            self.breach(name + " started beyond its attempts")
        for earlier in job.steps[int(step)].get("after", []):
            if not job.tasks_of(job_id, occurrence, earlier) <= self.done:
                self.breach(name + " started before its earlier steps")

    def check_times(self, name, job, worker):
        now = time.monotonic()
        # Stricter than the platform: no disturbed host excuses such a start.
        if job.cancel_acked and not late_way(worker) and \
                self.reads.lasts(CONTACT_S) and self.halts.lasts(CONTACT_S):
            self.timed_starts += 1
            self.timed("start after a cancelling", name, job.cancel_acked,
                       CANCEL_S)
        if worker.drained_at and self.in_touch(worker):
            self.timed("start while draining", name, worker.drained_at,
                       DRAIN_S)
        # Neither a lost history nor late reads bring a job back.
        if job.shown_at and not late_way(worker) and \
                (self.calm.lasts(CONTACT_S) or now > job.shown_at + LATE_S):
            bound = CANCEL_S if job.cancel_acked else SHOWN_S
            self.timed("start of a job that is over", name, job.shown_at,
                       bound)

    def check_gone(self, worker, task, run, now=None):
        """Whether the run should be gone by then; said once for each."""
        now = now or time.monotonic()
        job = self.jobs.get(task.split(".")[0])
        if job is None or not job.cancel_acked or late_way(worker):
            return False
        if now < self.stops_since(job) + CANCEL_S + STOP_S:
            return False
        self.timed("run that goes on after a cancelling",
                   "%s run %d on %s" % (task, run, worker.name),
                   job.cancel_acked, 0)
        return True

    def stops_since(self, job):
        """From when on the job's cancelling counts without an excuse."""
        hosts_calm = self.lead.since + LEAD_S if self.in_calm_series \
            else self.calm.since + CONTACT_S
        return max(job.cancel_acked, hosts_calm, self.reads.since + CONTACT_S,
                   self.halts.since + CONTACT_S)

    def note_cancelled_end(self, worker, job):
        """How late it was; whether too late is judged while the run works."""
        if job is None or not job.cancel_acked or late_way(worker):
            return
        self.cancelled_ends += 1
        self.timed("end of a cancelled run", worker.name,
                   self.stops_since(job), float("inf"))

    def on_saved(self, task, checkpoint):
        with self.lock:
            entry = self.jobs[task.split(".")[0]].steps[
                int(task.split(".")[2])]
            self.saved.setdefault(owner(task, entry), set()).add(checkpoint)

    def on_end(self, worker, task, run, how):
        with self.lock:
            self.running.get(task, set()).discard((worker.name, worker.born,
                                                   run))
            self.note_cancelled_end(worker, self.jobs.get(task.split(".")[0]))
            if how != "done":
                return
            job_id, occurrence, step, _ = task.split(".")
            job = self.jobs[job_id]
            if not job.steps[int(step)].get("gang"):
                self.done.add(task)
                return
            # The end of one member of a gang stands for all of them.
            self.done |= job.tasks_of(job_id, occurrence, int(step))
            self.gangs_done.add((task.rsplit(".", 1)[0], run))

    def missing(self, task, run):
        """Members of the task's gang that this run of it doesn't have."""
        job_id, occurrence, step, _ = task.split(".")
        members = self.jobs[job_id].tasks_of(job_id, occurrence, int(step))
        return {member for member in members
                if run not in [entry[2] for entry
                               in self.running.get(member, set())]}

    def gang_end(self, task, run, started, work_s):
        """When and how a gang's member ends: it works only among all."""
        with self.lock:
            key = (task.rsplit(".", 1)[0], run)
            if key in self.gangs_done:
                return 0.0, "done"
            if key not in self.gangs:
                return started + GANG_S, "alone"
            if self.missing(task, run):
                return 0.0, "broken"
            return self.gangs[key] + work_s, "done"

    def on_noted(self, task, how):
        with self.lock:
            if how == "done":
                self.noted.add(task)
            elif how == "failed":
                self.failures[task] = self.failures.get(task, 0) + 1

    def on_shown(self, job_id, state):
        """A caller was told a state; a job may be unknown once it is over."""
        job = self.jobs[job_id]
        with self.lock:
            tasks = job.tasks(job_id)
            over = job.cancel_acked or tasks <= self.done or any(
                self.failures.get(task, 0) >= self.max_attempts
                for task in tasks)
            if state in ("done", "failed", "cancelled") or \
                    state == 410 and over:
                job.ended = job.ended or state
                job.shown_at = job.shown_at or time.monotonic()

    def judge(self):
        started = {task.split(".")[0] for task in
                   set(self.running) | self.done}
        for job_id, job in self.jobs.items():
            if not job.accepted and not job.doubtful and job_id in started:
                self.breach("job %s was refused and ran" % job_id,
                            "never sent")
            if job.ended == "done" and not job.tasks(job_id) <= self.done:
                self.breach("job %s is shown as done" % job_id)
            if job.ended == "cancelled" and not job.cancel_sent:
                self.breach("job %s was cancelled by nobody" % job_id)

    def summary(self):
        lines = ["%s: %d, latest %.2f s" % (kind, self.counts.get(kind, 0),
                                            self.latest.get(kind, 0.0))
                 for kind in sorted(set(self.counts) | set(self.latest))]
        if self.halted:
            lines.append("the play stood still %d times" % self.halted)
        return "\n".join(lines + ["%d starts after a cancelling judged by "
                                  "time, %d starts from a checkpoint, %d "
                                  "ends of cancelled runs" %
                                  (self.timed_starts, self.resumes,
                                   self.cancelled_ends)])


def owner(task, entry):
    return task.rsplit(".", 1)[0] if entry.get("gang") else task


def late_way(worker):
    return time.monotonic() - worker.disturbed_at < LATE_S

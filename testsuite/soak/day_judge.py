"""What targets and callers of a day saw, against every rule.

Rules with a time bound are counted apart where a disturbance was near: the
target's, the sender's or the store's for a start, any for a run that goes on.
"""
import time

CONTACT_S = 3.0
CANCEL_S = 3.0
STOP_S = 0.9
GANG_S = 3.0
DONE_S = 1.0


class Run:
    def __init__(self, target, task, number, host, late):
        self.target, self.task, self.number = target, task, number
        self.host, self.late = host, late
        self.zone, self.target_name = target.zone, target.name
        self.start = time.monotonic()
        self.stop = self.end = self.noted = None
        self.end_how = "-"
        self.ends_at, self.ends_as = float("inf"), "done"
        self.cpu, self.checkpoint, self.checkpointing = 0, "", False
        self.saves_at = 0.0
        self.gang = None
        self.unheard = 0  # stops that never arrived
        self.said = False  # that it goes on for too long
        self.over_s = 0.0  # so long too late it was at work, in calm
        self.over_calm = None  # that began then
        self.strict = None  # when it was at work so long first, if ever

    def at_work(self):
        return self.end is None

    def percent(self, now):
        whole = max(0.1, self.ends_at - self.start)
        return int(max(0, min(99, 100 * (now - self.start) / whole)))

    def __repr__(self):
        def at(moment):
            return "-" if moment is None else "%.2f" % (moment - BEGAN)
        return "[%s run %d on %s (%s) from %s, late %s, start %s stop %s " \
            "end %s %s noted %s]" % (
                self.task, self.number, self.target_name, self.zone,
                self.host, self.late, at(self.start), at(self.stop),
                at(self.end), self.end_how, at(self.noted))


BEGAN = time.monotonic()


class Job:
    def __init__(self, spec, steps):
        self.spec, self.steps = spec, steps
        self.accepted = self.doubtful = self.cancel_sent = False
        self.cancel_acked = self.shown = self.done_shown = None

    def tasks_of(self, job_id, step):
        return {"%s.0.%d.%d" % (job_id, step, i)
                for i in range(self.steps[step]["count"])}

    def tasks(self, job_id):
        return set().union(*(self.tasks_of(job_id, step)
                             for step in range(len(self.steps))))


class Judge:
    def __init__(self, world, max_attempts):
        self.world, self.max_attempts = world, max_attempts
        self.jobs = {}
        self.runs = {}  # task -> [Run]
        self.done, self.failures = set(), {}
        self.saved, self.resumed = {}, {}
        self.gangs = {}  # (step, run) -> {index: Run}
        self.counts, self.near = {}, {}
        self.pairs = []  # of runs at once
        self.starts = self.nameless = 0  # the latter: from an unknown host
        self.longest_over = None  # Run
        self.strict = []  # runs that go on without a disturbance near
        self.calm_since = time.monotonic()  # no disturbance of anything
        self.store_calm_since = time.monotonic()

    def disturbed(self, seconds=0.0, store=False):
        until = time.monotonic() + seconds
        self.calm_since = max(self.calm_since, until)
        if store:
            self.store_calm_since = max(self.store_calm_since, until)

    def breach(self, rule, text):
        self.counts[rule] = self.counts.get(rule, 0) + 1
        print("%+.3f BROKEN %s: %s" % (time.monotonic() - BEGAN, rule, text),
              flush=True)

    def beside(self, rule, text):
        """A disturbance near excuses it."""
        self.near[rule] = self.near.get(rule, 0) + 1
        print("%+.3f beside a disturbance, %s: %s" %
              (time.monotonic() - BEGAN, rule, text), flush=True)

    def on_start(self, run, spec):
        """The entry of the task's step, or None if nobody asked for it."""
        self.starts += 1
        self.nameless += run.host is None
        job_id, _, step, index = run.task.split(".")
        job = self.jobs.get(job_id)
        if job is None or int(step) >= len(job.steps) or \
                int(index) >= job.steps[int(step)]["count"]:
            self.breach("never sent", repr(run))
            return None
        entry = job.steps[int(step)]
        if job.spec != spec:
            self.breach("other spec", repr(run))
        self.check_checkpoint(run, entry)
        self.check_once(run)
        for earlier in entry.get("after", []):
            if not job.tasks_of(job_id, earlier) <= self.done:
                self.breach("before its earlier steps", repr(run))
        if self.failures.get(run.task, 0) >= self.max_attempts:
            self.breach("beyond its attempts", repr(run))
        self.check_cancelled(run, job)
        self.check_shown_as_done(run, job)
        self.runs.setdefault(run.task, []).append(run)
        return entry

    def check_once(self, run):
        for other in self.runs.get(run.task, []):
            if other.at_work() and other.target.up:
                self.breach("two runs at once", "%r while %r" % (other, run))
                self.pairs.append((other, run))
            elif other.end_how == "done" and other.noted:
                self.breach("start after a noted end", "%r then %r"
                            % (other, run))

    def check_checkpoint(self, run, entry):
        owner = run.task.rsplit(".", 1)[0] if entry.get("gang") else run.task
        if run.checkpoint and run.checkpoint not in self.saved.get(owner, ()):
            self.breach("foreign checkpoint", repr(run))
        if entry.get("gang"):
            first = self.resumed.setdefault((owner, run.number),
                                            run.checkpoint)
            if first != run.checkpoint:
                self.breach("checkpoints of a gang differ", repr(run))

    def check_cancelled(self, run, job):
        if job.cancel_acked is None or run.late or \
                run.start <= job.cancel_acked + CANCEL_S:
            return
        (self.breach if self.is_in_contact(run) else self.beside)(
            "start after a cancelling", "%.2f s after it, %r" %
            (run.start - job.cancel_acked, run))

    def check_shown_as_done(self, run, job):
        if job.done_shown is None or run.late or \
                run.start <= job.done_shown + DONE_S:
            return
        (self.breach if self.is_in_contact(run) else self.beside)(
            "start after its job was shown as done", "%.2f s after it, %r" %
            (run.start - job.done_shown, run))

    def is_in_contact(self, run):
        """Whether nothing disturbed the sender, its store or its way."""
        host = self.world.host(run.host)
        return self.store_calm_since + CONTACT_S < run.start and \
            host is not None and \
            host.disturbed_until + CONTACT_S < run.start and \
            self.world.way_calm_since(run.host,
                                      run.target_name) + CONTACT_S < run.start

    def check_gone(self, run):
        job = self.jobs.get(run.task.split(".")[0])
        if job is None or job.cancel_acked is None:
            return
        now, bound = time.monotonic(), CANCEL_S + STOP_S
        since = job.cancel_acked
        if run.late:
            since = max(since, run.start + CONTACT_S)
        self.measure_gone(run, now, since + bound)
        if run.said:
            return
        if now > max(since, self.calm_since + CONTACT_S) + bound:
            run.said = True
            self.breach("run goes on after a cancelling", "%.2f s after it, "
                        "%r, %s" % (now - job.cancel_acked, run,
                                    self.world.ways_to(run.target_name)))
        elif now > since + bound and not hasattr(run, "noticed"):
            run.noticed = True
            self.beside("run goes on after a cancelling", "%r, %s" % (
                run, self.world.ways_to(run.target_name)))

    def measure_gone(self, run, now, due):
        """A narrower reading of the rule: any disturbance excuses for
        CONTACT_S, not for so long and the whole bound."""
        over_s = now - max(due, self.calm_since)
        if over_s > run.over_s:
            run.over_s, run.over_calm = over_s, self.calm_since
            if self.longest_over is None or \
                    over_s > self.longest_over.over_s:
                self.longest_over = run
        if run.strict is None and \
                now > max(due, self.calm_since + CONTACT_S):
            run.strict = now
            self.strict.append(run)
            print("%+.3f strict: at work, %s" % (
                now - BEGAN, self.details(run)), flush=True)

    def details(self, run):
        job = self.jobs[run.task.split(".")[0]]
        return "%.2f s over, acknowledged %.2f, calm since %.2f, %r" % (
            run.over_s, job.cancel_acked - BEGAN, run.over_calm - BEGAN,
            run)

    def latest_end(self):
        """How long after the acknowledgement a cancelled run was at work."""
        ends = [0.0]
        for runs in self.runs.values():
            for run in runs:
                job = self.jobs.get(run.task.split(".")[0])
                if job and job.cancel_acked and run.end:
                    ends.append(run.end - job.cancel_acked)
        return max(ends)

    def report_strict(self):
        """Of runs of cancelled jobs, by measure_gone()."""
        if self.longest_over is not None:
            print("strict: longest " + self.details(self.longest_over))
        print("strict: %d runs went on" % len(self.strict))

    def on_saved(self, run):
        owner = run.task.rsplit(".", 1)[0] if run.gang else run.task
        self.saved.setdefault(owner, set()).add(run.checkpoint)

    def join_gang(self, run, work_s):
        """Members work from when all are there, and wait so long for it."""
        job_id, _, step, index = run.task.split(".")
        key = (run.task.rsplit(".", 1)[0], run.number)
        run.gang = self.gangs.setdefault(key, {})
        run.gang[index] = run
        run.ends_at, run.ends_as = run.start + GANG_S, "alone"
        if len([member for member in run.gang.values()
                if member.at_work()]) == \
                self.jobs[job_id].steps[int(step)]["count"]:
            for member in run.gang.values():
                if member.stop is None:
                    member.ends_at = run.start + work_s
                    member.ends_as = "done"

    def on_end(self, run, how):
        run.end, run.end_how = time.monotonic(), how
        job_id, _, step, _ = run.task.split(".")
        if how == "done":
            self.done.add(run.task)
            if run.gang is not None:
                self.done |= self.jobs[job_id].tasks_of(job_id, int(step))
        for member in (run.gang or {}).values():
            if member.at_work() and member.stop is None:
                member.ends_at = run.end
                member.ends_as = "done" if how == "done" else "broken"

    def on_noted(self, run, lapsed=False):
        """Of an end before a lapse of its target's lease, a caller has no
        promise."""
        if run.noted is not None or lapsed:
            return
        run.noted = time.monotonic()
        if run.end_how == "failed":
            self.failures[run.task] = self.failures.get(run.task, 0) + 1
        if run.end_how != "done":
            return
        for other in self.runs.get(run.task, []):
            if other.start > run.end:
                self.breach("start after an end noted since", "%r then %r"
                            % (run, other))

    def on_shown(self, job_id, state):
        job = self.jobs[job_id]
        if state == "done" and not job.tasks(job_id) <= self.done:
            self.breach("shown as done too early", job_id)
        if state == "done" and job.done_shown is None:
            job.done_shown = time.monotonic()
        if state == "cancelled" and not job.cancel_sent:
            self.breach("cancelled by nobody", job_id)
        if state in ("done", "failed", "cancelled") or \
                state == 410 and job.cancel_acked:
            job.shown = job.shown or state

    def close(self):
        self.report_strict()
        for pair in self.pairs:
            print("at the end: %r while %r" % pair)
        started = {task.split(".")[0] for task in self.runs}
        for job_id, job in self.jobs.items():
            if not job.accepted and not job.doubtful and job_id in started:
                self.breach("refused and ran", job_id)
            if job.accepted and not job.shown and not job.cancel_acked:
                self.breach("never over", job_id)

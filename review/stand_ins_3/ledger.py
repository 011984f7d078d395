"""What the workers saw, and the rule TWICE as RULES.md has it. A worker is named
with the number of its life."""
import time
from collections import defaultdict


class Ledger:
    def __init__(self, record):
        self.begun = time.monotonic()
        self.record = record
        self.starts = defaultdict(list)  # task -> [(time, worker, run)]
        self.running = defaultdict(set)  # task -> {(worker, run)}
        self.done = {}  # task -> [(time, worker, run, number)]
        self.noted = set()  # (worker, number) of ends that count as noted
        self.before_lapse = set()  # ends that were listed when a lease lapsed
        self.open_ends = defaultdict(set)  # worker -> numbers not yet noted
        self.breaches = []
        self.counts = defaultdict(int)

    def say(self, text):
        self.record.write("%8.3f %s\n" % (time.monotonic() - self.begun, text))
        self.record.flush()

    def on_start(self, worker, task, run, _body):
        self.counts["starts"] += 1
        self.say("start %s run %d on %s" % (task, run, worker))
        if self.running[task]:
            self.breach("TWICE: %s starts on %s beside %s" %
                        (task, worker, sorted(self.running[task])))
        self.starts[task].append((time.monotonic(), worker, run))
        self.running[task].add((worker, run))

    def on_end(self, worker, task, run, how, number):
        self.counts[how] += 1
        self.say("end %s run %d on %s %s" % (task, run, worker, how))
        self.running[task].discard((worker, run))
        self.open_ends[worker].add(number)
        if how == "done":
            self.done.setdefault(task, []).append(
                (time.monotonic(), worker, run, number))

    def on_crash(self, worker, task, run):
        self.say("lost %s run %d with %s" % (task, run, worker))
        self.running[task].discard((worker, run))

    def on_noted(self, worker, number, task, run, how):
        self.open_ends[worker].discard(number)
        if (worker, number) not in self.before_lapse:
            self.noted.add((worker, number))
            self.counts["noted " + how] += 1
            self.say("noted %s run %d on %s %s" % (task, run, worker, how))

    def on_lapse(self, worker):
        self.say("lease of %s lapsed" % worker)
        self.before_lapse |= {(worker, number)
                              for number in self.open_ends[worker]}

    def breach(self, text):
        self.breaches.append(text)
        self.say("BROKEN " + text)

    def judge_repeats(self):
        """A start after a run has ended done, if that end was taken note of."""
        for task, ends in sorted(self.done.items()):
            for ended_at, worker, run, number in ends:
                if (worker, number) not in self.noted:
                    continue
                for started_at, other, later in self.starts[task]:
                    if started_at > ended_at:
                        self.breach(
                            "TWICE: %s starts (run %d, %s) %.3f s after run %d"
                            " ended done on %s, an end that was noted" %
                            (task, later, other, started_at - ended_at, run,
                             worker))

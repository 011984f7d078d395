"""Callers that submit jobs, cancel many of them and ask how they are."""
import random
import threading
import time

from ledger import Job
from web import call

TRIES = 8
WAVE_CANCELLED = 0.7
CANCELLED_WITHIN_S = 2.5


class Callers:
    def __init__(self, hosts, ledger, seed, load=1.0,
                 cancelled_within_s=CANCELLED_WITHIN_S,
                 cancelled=WAVE_CANCELLED, waves=None):
        self.hosts = hosts
        self.ledger = ledger
        self.random = random.Random(seed)
        self.cancelled_within_s = cancelled_within_s
        self.cancelled = cancelled
        self.waves = waves  # None: until the end
        self.over = threading.Event()
        self.threads = [threading.Thread(target=self.submit_all, args=(i,))
                        for i in range(round(6 * load))]
        self.threads.append(threading.Thread(target=self.send_waves))
        self.threads.append(threading.Thread(target=self.watch))

    def start(self):
        for thread in self.threads:
            thread.start()

    def stop(self):
        self.over.set()
        for thread in self.threads:
            thread.join()

    def submit_all(self, number):
        chance = random.Random(self.random.random() + number)
        while not self.over.is_set():
            steps = [{"count": chance.randint(1, 4), "cpu": 2000,
                      "mem_mb": 64, "estimate_ms": 500}]
            if chance.random() < 0.5:
                steps[0]["checkpointing"] = True
            if chance.random() < 0.4:
                steps.append(dict(steps[0], after=[0]))
            if chance.random() < 0.2:
                steps[0]["gang"] = True
            times = chance.choice([0, 0, 0, 0, 2])
            job_id, job = self.new_job(chance, steps, times)
            self.submit(job_id, job, chance)
            if job.accepted and chance.random() < 0.15:
                time.sleep(chance.uniform(0, 0.6))
                self.cancel(job_id, job, chance)
            time.sleep(chance.uniform(0, 0.5))

    def send_waves(self):
        sent = 0
        while not self.over.is_set() and sent != self.waves:
            sent += 1
            callers = [threading.Thread(target=self.submit_some,
                                        args=(self.random.random(),))
                       for _ in range(8)]
            for caller in callers:
                caller.start()
            for caller in callers:
                caller.join()
            self.over.wait(self.random.uniform(0.5, 2.5))

    def submit_some(self, seed):
        """A part of a wave."""
        chance = random.Random(seed)
        cancels = []
        for _ in range(chance.randint(1, 6)):
            step = {"count": chance.randint(1, 4), "cpu": 500, "mem_mb": 64,
                    "estimate_ms": 500}
            job_id, job = self.new_job(chance, [step])
            self.submit(job_id, job, chance)
            if job.accepted and chance.random() < self.cancelled:
                at = time.monotonic() + chance.uniform(
                    0, self.cancelled_within_s)
                cancels.append((at, job_id, job))
        for at, job_id, job in sorted(cancels, key=lambda entry: entry[0]):
            time.sleep(max(0.0, at - time.monotonic()))
            self.cancel(job_id, job, chance)

    def new_job(self, chance, steps, times=0):
        job_id = "%016x" % chance.getrandbits(64)
        job = Job("work of " + job_id, steps, times, interval_ms=400)
        with self.ledger.lock:
            self.ledger.jobs[job_id] = job
        return job_id, job

    def call_some_host(self, chance, method, job_id, body=None):
        now = time.monotonic()
        usable = [host for host in self.hosts
                  if host.stopping_at is None or now < host.stopping_at]
        host = chance.choice(usable or self.hosts)
        sent = time.monotonic()
        status, answer = call(host.front, method, "/plans/" + job_id, body,
                              {"Host": "desk.example",
                               "Request-Deadline-Ms": "3000"})
        stopped = host.stopping_at
        cut_off = status == 0 and stopped is not None and \
            sent < stopped and host.disturbed_at < sent - 3 and \
            time.monotonic() - sent < 2.5
        if cut_off:
            self.ledger.breach("%s cut a call off while it stopped"
                               % host.name)
        return status, answer

    def submit(self, job_id, job, chance):
        for _ in range(TRIES):
            status, _ = self.call_some_host(chance, "POST", job_id, job.body)
            if status == 200:
                job.accepted = True
                return
            if status not in (429, 503):
                job.doubtful = True
            time.sleep(chance.uniform(0.1, 0.5))

    def cancel(self, job_id, job, chance):
        job.cancel_sent = True
        for _ in range(TRIES):
            status, _ = self.call_some_host(chance, "DELETE", job_id)
            if status in (200, 410):
                job.cancel_acked = time.monotonic()
                return
            time.sleep(0.3)

    def watch(self):
        """Sees ends before their jobs may be forgotten."""
        while not self.over.wait(0.5):
            self.ask_for_open()

    def ask_for_open(self):
        """State of each accepted job that isn't over."""
        found = {}
        for job_id, job in list(self.ledger.jobs.items()):
            if not job.accepted or job.ended:
                continue
            host = self.random.choice(self.hosts)
            status, answer = call(host.front, "GET", "/plans/" + job_id, None,
                                  {"Host": "desk.example"}, timeout=1.0)
            state = answer.get("state") if status == 200 else status
            self.ledger.on_shown(job_id, state)
            if not job.ended:
                found[job_id] = state
        return found

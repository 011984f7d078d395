"""Callers of a day: jobs of several kinds, some handed in twice, some
cancelled, and all asked for."""
import asyncio
import time

from day_judge import Job
from day_web import call

PREFIX = "/plans/"
TRIES = 10
# Tasks in one step.
WIDEST = 60
# An early cancellation is sent this long after the job is made, and the job
# itself after the other time.
EARLY_CANCEL_S = (0.0, 1.1)
EARLY_SENT_AFTER_S = 0.1


class DayCallers:
    def __init__(self, world, arguments):
        self.world, self.judge, self.random = world, world.judge, world.random
        self.load, self.longest_s = arguments.load, arguments.longest
        self.wide, self.twice = arguments.wide, arguments.twice
        self.cancelled, self.early = arguments.cancelled, arguments.early
        self.over = False

    def port(self):
        return self.random.choice(self.world.living()).front

    async def submit_all(self):
        while not self.over:
            self.world.tasks.begin(self.hand_in())
            await asyncio.sleep(self.random.expovariate(self.load))

    def wide_step(self):
        work_s = self.longest_s * self.random.uniform(0.3, 1)
        return {"count": self.random.randint(20, WIDEST), "cpu": 2000,
                "mem_mb": 64, "estimate_ms": int(work_s * 1000),
                "checkpointing": self.random.random() < 0.5}

    def make_job(self, wide):
        job_id = "%016x" % self.random.getrandbits(64)
        steps = [self.wide_step()] if wide else self.make_steps()
        job = Job("spec of " + job_id, [
            dict(step, work_s=step["estimate_ms"] / 1000) for step in steps])
        self.judge.jobs[job_id] = job
        return job_id, job, {"spec": job.spec, "steps": steps}

    def make_steps(self):
        steps = []
        for number in range(self.random.choice([1, 1, 1, 2, 3])):
            work_s = self.longest_s * self.random.choice([
                self.random.uniform(0.02, 0.13),
                self.random.uniform(0.07, 0.4), self.random.uniform(0.4, 1)])
            step = {"count": self.random.randint(1, 6),
                    "cpu": self.random.choice([2000, 4000, 8000]),
                    "mem_mb": 64, "estimate_ms": int(work_s * 1000)}
            if self.random.random() < 0.4:
                step["checkpointing"] = True
            if self.random.random() < 0.2:
                step["gang"] = True
            if number:
                step["after"] = [number - 1]
            steps.append(step)
        return steps

    async def hand_in(self, wide=False):
        # Without wide jobs, a seed draws the same as ever.
        wide = wide or self.wide > 0 and self.random.random() < self.wide
        job_id, job, body = self.make_job(wide)
        if self.early > 0 and self.random.random() < self.early:
            self.world.tasks.begin(self.cancel_early(job_id, job))
            await asyncio.sleep(EARLY_SENT_AFTER_S)
        for _ in range(TRIES):
            status, _ = await call(self.port(), "POST", PREFIX + job_id, body)
            if 200 <= status < 300:
                job.accepted = True
                break
            if status not in (404, 429, 503):
                job.doubtful = True
            await asyncio.sleep(self.random.uniform(0.1, 0.6))
        if self.random.random() < self.twice and job.accepted:
            self.world.tasks.begin(self.again(job_id, body))
        if self.random.random() < self.cancelled and job.accepted:
            await asyncio.sleep(self.random.uniform(0, 8))
            await self.cancel(job_id, job)

    async def cancel_early(self, job_id, job):
        """Shortly before the job is handed in, or after."""
        await asyncio.sleep(self.random.uniform(*EARLY_CANCEL_S))
        await self.cancel(job_id, job)

    async def again(self, job_id, body):
        await asyncio.sleep(self.random.uniform(0, 4))
        await call(self.port(), "POST", PREFIX + job_id, body)

    async def cancel(self, job_id, job, tries=TRIES):
        job.cancel_sent = True
        for _ in range(tries):
            status, _ = await call(self.port(), "DELETE", PREFIX + job_id)
            if status == 410 or 200 <= status < 300:
                job.cancel_acked = job.cancel_acked or time.monotonic()
                return
            await asyncio.sleep(0.3)

    async def watch(self):
        while not self.over:
            open_jobs = [job_id for job_id, job in self.judge.jobs.items()
                         if job.accepted and not job.shown]
            for job_id in self.random.sample(open_jobs,
                                             min(8, len(open_jobs))):
                self.world.tasks.begin(self.ask(job_id))
            await asyncio.sleep(0.3)

    async def ask(self, job_id):
        status, answer = await call(self.port(), "GET", PREFIX + job_id,
                                    timeout=2.0)
        self.judge.on_shown(job_id, answer.get("state")
                            if status == 200 else status)

    async def settle(self, seconds):
        """Until all accepted jobs are over."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            left = [job_id for job_id, job in self.judge.jobs.items()
                    if job.accepted and not job.shown and
                    not job.cancel_acked]
            if not left:
                return
            await asyncio.gather(*map(self.ask, left[:50]))
            await asyncio.sleep(0.3)

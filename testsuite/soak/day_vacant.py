"""A lead that stays vacant: the store is away, and meanwhile its leader and
another host are lost and come back. Jobs are cancelled before, in and after it,
and the times are told from the store's return on.
"""
import asyncio
import time

import day_web
from day_web import Cut

AWAY_S = (3.0, 5.0)
# A lost host is back so long after it was killed, and before the store is.
LOST_S = (0.3, 0.7)
FROZEN_S = (0.3, 2.5)
HOST_BACK_BEFORE_S = 0.3
# Some are lost just before the store is, so that cancellations are acknowledged
# which no leader reads.
LOST_BEFORE_S = 0.5
LOST_BEFORE_SHARE = 0.7
FROZEN_SHARE = 0.15
ROWS_AWAY = 0.5
ROWS_BACK_S = (0.3, 2.0)
SLOW_SHARE = 0.25
SLOW_S = (0.2, 1.0)
WIDE_JOBS = 3
WIDE_BEFORE_S = (0.3, 1.6)
CANCELLED = 0.5
CANCELS_AROUND_S = 2.0
# So many jobs at once when the leader is lost, and just before the store is.
CANCELS_AT_ONCE = 3
CANCELS_BEFORE_S = 0.05
# Targets out of every host's reach until the store is back.
CUT_SHARE = 0.3
CUT_CHANCE = 0.5
# The store drops its history about its return.
FORGETS_CHANCE = 0.4
FORGETS_AT_S = (-0.3, 1.0)
CALM_S = 9.0
SETTLED_S = 8.5  # after the return


class VacantLead:
    def __init__(self, troubles):
        self.troubles, self.world = troubles, troubles.world
        self.judge, self.random = troubles.judge, troubles.random
        self.back = None  # when the store is

    def begin(self, work):
        self.troubles.tasks.append(self.world.tasks.begin(work))

    async def play(self):
        away_s = self.random.uniform(*AWAY_S)
        cut = self.random.choice([
            Cut(day_web.DOWN), Cut(day_web.BUSY), Cut(day_web.LOST),
            Cut(day_web.RESET), Cut(day_web.SLOW, 1, 1.5),
            Cut(day_web.MUTE, 0.6), Cut(day_web.RESET_BACK, 0.6),
            Cut(day_web.LATE, 0.6, away_s)])
        self.begin(self.cancel_jobs(CANCELS_AROUND_S + away_s))
        for _ in range(WIDE_JOBS):
            self.begin(self.later(
                CANCELS_AROUND_S - self.random.uniform(*WIDE_BEFORE_S),
                self.world.callers.hand_in(wide=True)))
        await asyncio.sleep(CANCELS_AROUND_S - LOST_BEFORE_S)
        lost = self.world.tasks.begin(self.lose_hosts(away_s))
        await asyncio.sleep(LOST_BEFORE_S - CANCELS_BEFORE_S)
        await self.cancel_some()
        await asyncio.sleep(self.random.uniform(0, CANCELS_BEFORE_S))
        self.judge.disturbed()
        for target in self.troubles.some(self.world.targets, ROWS_AWAY):
            self.begin(self.keep_away(target, away_s))
        for target in self.troubles.some(self.world.targets, SLOW_SHARE):
            self.begin(self.slow(target, away_s))
        if self.random.random() < FORGETS_CHANCE:
            for _ in range(3):
                self.begin(self.forget(away_s))
        await asyncio.gather(
            self.troubles.store(self.world.hosts, cut, away_s), lost,
            self.cut_targets(away_s))
        self.back = time.monotonic()
        moment = time.time()
        self.world.note("store back at %s.%03d after %s for %.2f s" % (
            time.strftime("%H:%M:%S", time.gmtime(moment)),
            moment % 1 * 1000, cut.kind, away_s))
        self.begin(self.tell())

    async def cut_targets(self, away_s):
        if self.random.random() < CUT_CHANCE:
            targets = self.troubles.some(self.world.targets, CUT_SHARE)
            cut = Cut(self.random.choice([day_web.LOST, day_web.MUTE,
                                          day_web.HELD]))
            self.world.note("%s: %s" % (cut.kind, " ".join(
                target.name for target in targets)))
            await self.troubles.cut(self.troubles.to_targets(
                self.world.hosts, targets), cut, away_s)

    async def forget(self, away_s):
        await asyncio.sleep(away_s + self.random.uniform(*FORGETS_AT_S))
        self.world.store.forget()

    async def later(self, seconds, work):
        await asyncio.sleep(seconds)
        await work

    async def cancel_jobs(self, until_s):
        """Jobs that are not over, at any moment of the scene."""
        chosen, end = set(), time.monotonic() + until_s + CANCELS_AROUND_S
        while (now := time.monotonic()) < end:
            for job_id, job in list(self.judge.jobs.items()):
                if job.accepted and not job.shown and \
                        not job.cancel_sent and job_id not in chosen:
                    chosen.add(job_id)
                    if self.random.random() < CANCELLED:
                        self.begin(self.later(
                            self.random.uniform(0, end - now),
                            self.cancel(job_id, job)))
            await asyncio.sleep(0.2)

    async def cancel(self, job_id, job):
        if not job.cancel_sent:
            await self.world.callers.cancel(job_id, job, tries=40)

    async def cancel_some(self):
        """Of those with most runs at work."""
        runs = {}
        for target in self.world.targets:
            for run in target.runs.values():
                job_id = run.task.split(".")[0]
                if not self.judge.jobs[job_id].cancel_sent:
                    runs[job_id] = runs.get(job_id, 0) + 1
        for job_id in sorted(runs, key=runs.get)[-CANCELS_AT_ONCE:]:
            self.begin(self.cancel(job_id, self.judge.jobs[job_id]))

    async def lose_hosts(self, away_s):
        """The one that leads at the moment, and others."""
        leaders = self.troubles.leading()
        others = [host for host in self.world.living()
                  if host not in leaders]
        lost = self.random.sample(others, min(
            len(others), self.random.choice([1, 1, 2])))
        await asyncio.gather(
            self.lose(self.troubles.leading, away_s),
            *[self.lose(lambda host=host: [host], away_s) for host in lost])

    def moment(self, away_s, seconds):
        """When a host is lost for so long, from LOST_BEFORE_S before on."""
        if self.random.random() < LOST_BEFORE_SHARE:
            return self.random.uniform(0, LOST_BEFORE_S)
        return LOST_BEFORE_S + self.random.uniform(
            0, away_s - seconds - HOST_BACK_BEFORE_S)

    async def lose(self, find, away_s):
        frozen = self.random.random() < FROZEN_SHARE
        seconds = self.random.uniform(*(FROZEN_S if frozen else LOST_S))
        await asyncio.sleep(self.moment(away_s, seconds))
        hosts = [host for host in find() if host.runs()]
        self.world.note("%s is %s for %.2f s" % (
            " ".join(host.name for host in hosts),
            "frozen" if frozen else "killed", seconds))
        if find == self.troubles.leading:
            self.begin(self.later(CANCELS_BEFORE_S, self.cancel_some()))
        await (self.troubles.freeze if frozen else
               self.troubles.kill_and_start)(hosts, seconds)

    async def keep_away(self, target, away_s):
        """Its row, not the target."""
        before_s = self.random.uniform(0, away_s)
        await asyncio.sleep(before_s)
        target.row_away = True
        target.unlist()
        await asyncio.sleep(away_s - before_s +
                            self.random.uniform(*ROWS_BACK_S))
        target.row_away = False
        if target.up and target in self.world.targets:
            target.report()

    async def slow(self, target, away_s):
        """In its answers; what it is asked for takes effect at once."""
        seconds = self.random.uniform(*SLOW_S)
        field = self.random.choice(["stop_answer_s", "hold_answer_s"])
        setattr(target, field, seconds)
        await asyncio.sleep(away_s + ROWS_BACK_S[1])
        setattr(target, field, 0.0)

    async def tell(self):
        """When the last run of a job that was cancelled by the return was
        asked to stop and gone, and how long it took after it."""
        back = self.back
        at_return = self.cancelled_at_work()
        late = max([0] + [back - ack for _, ack in at_return])
        await asyncio.sleep(SETTLED_S)
        since = [(run, self.acked(run)) for runs in self.judge.runs.values()
                 for run in runs]
        since = [(run, ack) for run, ack in since
                 if ack is not None and ack > back and
                 (run.at_work() or run.end > ack)]
        self.world.note(
            "gap: %d cancelled runs at work at the return, oldest %.2f s, "
            "stop asked %s, gone %s; %d cancelled since, asked %s, gone %s "
            "after the acknowledgement" % (
                len(at_return), late,
                self.last(at_return, "stop", lambda _: back),
                self.last(at_return, "end", lambda _: back), len(since),
                self.last(since, "stop", lambda ack: ack),
                self.last(since, "end", lambda ack: ack)))

    def acked(self, run):
        job = self.judge.jobs.get(run.task.split(".")[0])
        return job and job.cancel_acked

    def cancelled_at_work(self):
        return [(run, self.acked(run)) for runs in self.judge.runs.values()
                for run in runs if run.at_work() and run.target.up and
                self.acked(run) is not None]

    def last(self, runs, field, since):
        """The longest time, or how many of the runs have no such moment."""
        missing = [run for run, _ in runs if getattr(run, field) is None]
        found = [getattr(run, field) - since(ack) for run, ack in runs
                 if getattr(run, field) is not None]
        return "%s%s" % ("%.2f s" % max(found) if found else "-",
                         " (%d not)" % len(missing) if missing else "")

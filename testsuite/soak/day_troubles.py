"""What befalls a deployment in a day, each kind at random moments."""
import asyncio
import random
import signal
import time

import day_web
from day_feeds import LostFeeds
from day_vacant import CALM_S, VacantLead
from day_web import Cut

# Kinds of trouble of a profile; one that is named twice comes twice as often.
# Those in round brackets come one by one, with calm after each.
PROFILES = {
    "mixed-a": ["answers_lost", "applied_late", "targets_err", "targets_hang",
                "leader_cut_one_way", "kill_leader", "kill_leader",
                "freeze_leader", "freeze_leader", "cut_host", "cut_host",
                "kill_hosts", "store_answers_lost", "store_answers_lost",
                "store_slow", "store_down", "store_refuses_some",
                "store_refuses_leader", "store_refuses_leader", "late_reads",
                "replace_leader", "replace_leader", "stop_in_turn",
                "add_host", "scale_in", "scale_in", "crash_targets",
                "cut_zone", "cut_from_targets", "cut_pairs", "cut_pairs",
                "reset_ways", "kill_all"],
    "mixed-b": ["applied_late", "targets_err", "targets_hang",
                "leader_cut", "kill_leader", "kill_hosts", "cut_host",
                "freeze_host", "store_writes_late", "store_writes_late",
                "store_slow", "store_down", "store_refuses_some",
                "store_resets_leader", "late_reads", "replace_leader",
                "replace_leader", "stop_in_turn", "stop_in_turn", "add_host",
                "scale_in", "crash_targets", "reset_zone",
                "deaf_targets", "cut_pairs", "reset_ways", "kill_all"],
    # The lead changes while answers are lost and targets out of reach.
    "lead": ["store_answers_lost", "store_writes_late", "store_refuses_leader",
             "store_resets_leader", "leader_cut_one_way", "kill_leader",
             "freeze_leader", "replace_leader", "cut_from_targets",
             "cut_pairs", "deaf_targets", "leader_cut"],
    # Several disturbances of one leader, and targets that restart beside them.
    "lead-series": ["leader_series", "leader_series", "leader_series",
                    "slow_leader", "slow_leader", "restart_targets",
                    "restart_targets", "cut_pairs", "store_answers_lost"],
    # Targets leave and come back as others while the lead changes.
    "leaving": ["scale_in", "scale_in", "scale_in", "kill_leader",
                "freeze_leader", "cut_pairs", "crash_targets"],
    "unreached": ["kill_leader_unreached"],
    # Played in turn, with calm after each: the leader alone can't reach some
    # targets; nobody leads while the store is away.
    "leader-unreached": ("leader_unreached",),
    "vacant-lead": ("vacant_lead",),
    # Calls for changes get no answer all the time, which excuses nothing.
    "lost-feeds": "lost_feeds",
    "none": [],
}
# Troubles come in groups, each within a lease of a run.
GROUP_S = 8.0
GROUP_GAP_S = (6.0, 11.0)
GROUP_SIZE = (2, 5)
# A host that is slowed is stopped and runs in turns.
SLOWED_STOPPED_S = 0.08
SLOWED_RUNS_S = 0.02


class Troubles:
    def __init__(self, world, seed):
        self.world, self.ways, self.judge = world, world.ways, world.judge
        self.random = random.Random(seed)
        self.tasks = []

    async def play(self, kinds, seconds):
        """Draws all of it before, so that a seed means one plan."""
        if isinstance(kinds, str):
            await getattr(self, kinds)(seconds)
            return
        if isinstance(kinds, tuple):
            await self.play_in_turn(kinds, seconds)
            return
        plan, at = [], self.random.uniform(1, 4)
        while kinds and at < seconds:
            for _ in range(self.random.randint(*GROUP_SIZE)):
                when = at + self.random.uniform(0, GROUP_S)
                plan.append((when, self.random.choice(kinds)))
            at += self.random.uniform(*GROUP_GAP_S)
        passed = 0.0
        for when, kind in sorted(plan):
            if when > seconds:
                break
            await asyncio.sleep(when - passed)
            passed = when
            self.begin(kind)
        await asyncio.sleep(max(0.0, seconds - passed))
        await asyncio.gather(*self.tasks)

    async def play_in_turn(self, kinds, seconds):
        end = time.monotonic() + seconds
        await asyncio.sleep(self.random.uniform(3, 5))
        while time.monotonic() < end:
            self.begin(self.random.choice(kinds))
            await self.tasks[-1]
            await asyncio.sleep(CALM_S)
        await asyncio.gather(*self.tasks)

    def begin(self, kind):
        self.world.note("trouble: " + kind)
        self.tasks.append(self.world.tasks.begin(self.noted(kind)))

    async def noted(self, kind):
        self.judge.disturbed()
        await getattr(self, kind)()
        self.judge.disturbed()

    async def lost_feeds(self, seconds):
        await LostFeeds(self).play(seconds)

    # Ways.

    async def cut(self, ways, cut, seconds):
        ways = set(ways)
        self.world.disturb_ways(ways, seconds)
        self.ways.cut(ways, cut)
        await asyncio.sleep(seconds)
        self.ways.heal(ways, cut)

    def some(self, entries, share):
        entries = list(entries)
        count = max(1, round(share * len(entries)))
        return self.random.sample(entries, min(count, len(entries)))

    def to_store(self, hosts):
        return [(host.name, "store") for host in hosts]

    def to_targets(self, hosts, targets=None):
        return [(host.name, target.name) for host in hosts
                for target in targets or self.world.targets]

    def between(self, some, others):
        return [(one.name, other.name) for one in some for other in others
                if one is not other]

    def all_of(self, hosts, others):
        return self.to_store(hosts) + self.to_targets(hosts) + \
            self.between(hosts, others) + self.between(others, hosts)

    def leading(self):
        return [host for host in [self.world.leader()] if host is not None]

    def silently(self):
        return Cut(self.random.choice([day_web.LOST, day_web.HELD,
                                       day_web.MUTE]))

    async def answers_lost(self):
        targets = self.some(self.world.targets, 0.45)
        await self.cut(self.to_targets(self.world.hosts, targets),
                       Cut(day_web.MUTE, 0.1), 5.5)

    async def applied_late(self):
        targets = self.some(self.world.targets, 0.4)
        await self.cut(self.to_targets(self.world.hosts, targets),
                       Cut(day_web.LATE, 0.1, 5.0), 5.5)

    async def cut_pairs(self):
        """Each pair of host and target for itself."""
        ways = self.some(self.to_targets(self.world.hosts), 0.4)
        await self.cut(ways, self.silently(), self.random.uniform(2, 9))

    async def deaf_targets(self):
        """Out of every host's reach, one way."""
        targets = self.some(self.world.targets, 0.4)
        await self.cut(self.to_targets(self.world.hosts, targets),
                       Cut(day_web.LOST), self.random.uniform(4, 9))

    async def leader_unreached(self):
        """Longer than a cancelled run may go on."""
        targets = self.some(self.world.targets, 0.4)
        await self.cut(self.to_targets(self.leading(), targets),
                       self.silently(), 9)

    async def cut_from_targets(self):
        hosts = self.random.choice([self.leading(),
                                    self.some(self.world.hosts, 0.3)])
        await self.cut(self.to_targets(hosts), self.silently(), 5.5)

    async def leader_cut_one_way(self):
        await self.cut(self.to_store(self.leading()),
                       Cut(self.random.choice([day_web.MUTE, day_web.LOST])),
                       5.5)

    async def leader_cut(self):
        await self.cut(self.to_store(self.leading()), self.silently(),
                       self.random.uniform(3, 6))

    async def cut_host(self):
        hosts = self.random.choice([self.leading(),
                                    self.some(self.world.hosts, 0.17)])
        await self.cut(self.all_of(hosts, self.world.hosts),
                       self.silently(), 5.5)

    async def cut_zone(self):
        await self.cut_one_zone(Cut(day_web.LOST))

    async def reset_zone(self):
        await self.cut_one_zone(Cut(day_web.RESET))

    async def cut_one_zone(self, cut):
        zone = self.random.choice(self.world.zones)
        inside = [host for host in self.world.hosts if host.zone == zone]
        outside = [host for host in self.world.hosts if host.zone != zone]
        near = [target for target in self.world.targets if target.zone == zone]
        far = [target for target in self.world.targets if target.zone != zone]
        ways = self.to_store(inside) + self.between(inside, outside) + \
            self.between(outside, inside)
        ways += self.to_targets(inside, far) if far else []
        ways += self.to_targets(outside, near) if near else []
        await self.cut(ways, cut, 5.5)

    async def reset_ways(self):
        self.world.disturb_ways(self.all_of(self.world.hosts,
                                            self.world.hosts), 0)
        for server in list(self.world.store.servers.values()) + \
                [target.server for target in self.world.targets]:
            for writer in self.some(server.writers, 0.35):
                writer.transport.abort()

    # The store.

    async def store(self, hosts, cut, seconds):
        self.judge.disturbed(seconds, store=True)
        for host in hosts:
            host.disturb(seconds)
        await self.cut(self.to_store(hosts), cut, seconds)
        self.judge.disturbed(store=True)

    async def store_answers_lost(self):
        kind = self.random.choice([day_web.MUTE, day_web.RESET_BACK])
        await self.store(self.world.hosts, Cut(kind, 0.35), 4.5)

    async def store_writes_late(self):
        await self.store(self.world.hosts, Cut(day_web.LATE, 0.35, 4.0), 4.5)

    async def store_slow(self):
        await self.store(self.world.hosts, Cut(day_web.SLOW, 1, 0.25), 4.5)

    async def store_down(self):
        await self.store(self.world.hosts, Cut(self.random.choice(
            [day_web.DOWN, day_web.BUSY, day_web.LOST, day_web.RESET])), 4.5)

    async def store_refuses_some(self):
        await self.store(self.some(self.world.hosts, 0.35), Cut(
            self.random.choice([day_web.DOWN, day_web.BUSY])), 9)

    async def store_refuses_leader(self):
        await self.store(self.leading(), Cut(self.random.choice(
            [day_web.BUSY, day_web.DOWN])), 7)

    async def store_resets_leader(self):
        await self.store(self.leading(), Cut(day_web.RESET), 7)

    async def late_reads(self):
        seconds = self.random.uniform(4, 10)
        self.judge.disturbed(seconds, store=True)
        self.world.store.read_delay = self.random.uniform(0.5, 3)
        for _ in range(int(seconds / 0.7)):
            self.world.store.forget()
            await asyncio.sleep(0.7)
        self.world.store.read_delay = 0.0

    # Hosts.

    async def kill_and_start(self, hosts, seconds):
        for host in hosts:
            host.disturb(seconds)
        self.judge.disturbed(seconds)
        await asyncio.gather(*[host.kill() for host in hosts])
        await asyncio.sleep(seconds)
        for host in hosts:
            if not host.gone and not host.runs():
                host.start(self.world.owners)

    async def kill_leader(self):
        await self.kill_and_start(self.leading(), self.random.uniform(0.2, 4))

    async def kill_leader_unreached(self):
        """While answers of the store are lost and targets out of reach."""
        targets = self.some(self.world.targets, 0.4)
        await asyncio.gather(
            self.store(self.world.hosts, Cut(day_web.RESET_BACK, 0.5), 0.6),
            self.cut(self.to_targets(self.world.hosts, targets),
                     Cut(day_web.LOST), 6),
            self.kill_leader())

    async def vacant_lead(self):
        await VacantLead(self).play()

    async def kill_hosts(self):
        await self.kill_and_start(self.some(self.world.living(), 0.3),
                                  self.random.uniform(1, 4))

    async def kill_all(self):
        await self.kill_and_start(self.world.living(),
                                  self.random.uniform(0.5, 9))

    async def freeze(self, hosts, seconds):
        self.judge.disturbed(seconds)
        for host in hosts:
            host.disturb(seconds)
            host.send(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        for host in hosts:
            host.send(signal.SIGCONT)

    async def freeze_leader(self):
        await self.freeze(self.leading(), self.random.uniform(1, 6))

    async def freeze_host(self):
        await self.freeze(self.some(self.world.living(), 0.15),
                          self.random.uniform(1, 6))

    async def leader_series(self):
        """One leader is stopped, then cut one way, then killed; targets
        restart beside each."""
        for host in self.leading():
            for part in (
                    self.freeze([host], self.random.uniform(0.4, 3)),
                    self.cut(self.to_store([host]), Cut(self.random.choice(
                        [day_web.MUTE, day_web.LOST])),
                             self.random.uniform(0.5, 3)),
                    self.kill_and_start([host], self.random.uniform(0.2, 2))):
                await asyncio.gather(part, self.restart_targets())

    async def slow_leader(self):
        """It gets the processor for a fifth of the time."""
        seconds = self.random.uniform(0.5, 3)
        end = time.monotonic() + seconds
        for host in self.leading():
            self.judge.disturbed(seconds)
            host.disturb(seconds)
            while time.monotonic() < end:
                host.send(signal.SIGSTOP)
                await asyncio.sleep(SLOWED_STOPPED_S)
                host.send(signal.SIGCONT)
                await asyncio.sleep(SLOWED_RUNS_S)

    async def stop_in_turn(self):
        for host in self.some(self.world.living(), 0.45):
            self.judge.disturbed()
            self.tasks.append(self.world.tasks.begin(
                self.stop_and_start(host)))
            await asyncio.sleep(1.3)

    async def stop_and_start(self, host):
        await host.stop()
        self.judge.disturbed()
        if not host.gone and not host.runs():
            host.start(self.world.owners)

    async def replace_leader(self):
        """For good; the former process may live on, cut off from all or from
        the store alone."""
        for host in self.leading():
            if host.gone:
                return  # by another trouble
            host.gone = True
            how = self.random.choice(["killed", "stopped", "cut off",
                                      "cut from the store"])
            if how == "killed":
                await host.kill()
            elif how == "stopped":
                await host.stop()
            await asyncio.sleep(self.random.uniform(0, 2))
            if not self.world.closing:
                await self.world.add_host(host.zone)
            if host.runs():
                ways = self.to_store([host]) if how != "cut off" else \
                    self.all_of([host], self.world.hosts)
                await self.cut(ways, self.silently(),
                               self.random.uniform(6, 20))
                await host.kill()
            if host in self.world.hosts:
                self.world.hosts.remove(host)

    async def add_host(self):
        if len(self.world.hosts) < self.world.most_hosts:
            await self.world.add_host(self.random.choice(self.world.zones))

    # Targets.

    async def targets_err(self):
        await self.keep(self.some(self.world.targets, 0.1), "errors", 6.5)

    async def targets_hang(self):
        await self.keep(self.some(self.world.targets, 0.1), "hangs", 5.5)

    async def keep(self, targets, field, seconds):
        self.world.disturb_targets(targets, seconds)
        for target in targets:
            setattr(target, field, True)
        await asyncio.sleep(seconds)
        for target in targets:
            setattr(target, field, False)

    async def crash_targets(self):
        targets = self.some([target for target in self.world.targets
                             if target.up], 0.14)
        self.world.disturb_targets(targets, 6)
        for target in targets:
            target.die()
        await asyncio.sleep(4.5)
        for target in targets:
            target.unlist()
        await asyncio.sleep(self.random.uniform(0, 3))
        self.come_back(targets)

    async def restart_targets(self):
        """Under their ids, while their rows stay."""
        targets = self.some([target for target in self.world.targets
                             if target.up], 0.2)
        seconds = self.random.uniform(0.3, 0.8)
        self.world.disturb_targets(targets, seconds)
        for target in targets:
            target.die()
        await asyncio.sleep(seconds)
        self.come_back(targets)

    def come_back(self, targets):
        self.world.disturb_targets(targets, 0)
        for target in targets:
            if target in self.world.targets and not target.up:
                target.live()
                target.up = True
                target.report()

    async def scale_in(self):
        """Targets drain and leave; their machines come back as others, some
        while the former still works."""
        staying = [target for target in self.world.targets
                   if not target.draining]
        for target in self.some(staying, 0.1):
            self.tasks.append(self.world.tasks.begin(self.leave(target)))

    async def leave(self, target):
        target.draining = True
        target.report()
        stays_s = self.random.uniform(2, 9)
        follows_s = self.random.choice([self.random.uniform(0, stays_s),
                                        stays_s + 1.5])
        await asyncio.sleep(min(stays_s, follows_s))
        if follows_s < stays_s:
            await self.world.add_target(target.machine, target.zone)
            await asyncio.sleep(stays_s - follows_s)
        self.judge.disturbed()
        target.die()
        target.unlist()
        if target in self.world.targets:
            self.world.targets.remove(target)
        if follows_s > stays_s:
            await asyncio.sleep(follows_s - stays_s)
            await self.world.add_target(target.machine, target.zone)
        self.judge.disturbed()

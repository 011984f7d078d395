#!/usr/bin/env python3
"""Plays a deployment's day with hosts as processes, and judges every rule.

Usage: days.py PROGRAM [--seed N] [--seconds S] [--profile NAME] [--hosts N]
[--zones N] [--targets N] [--load X] [--longest S] [--wide X] [--twice X]
[--cancelled X] [--early X] [--fails X] [--bare-refusals] [--logs FOLDER]

Store, targets and callers are stand-ins in one event loop. Each way from a host
to the store, to a target or to another host can be cut by itself. The verdict
rests on what callers and targets saw. The replies of hosts to each other go
straight, as their address is the one that a host listens at: a cut between two
hosts loses what one asks the other. Ends only processes that it started.
"""
import argparse
import asyncio
import os
import random
import sys
import tempfile
import time

import day_judge
from day_callers import DayCallers
from day_hosts import PORTS, DayHost
from day_judge import Judge
from day_store import DayStore
from day_targets import Target
from day_troubles import PROFILES, Troubles
from day_web import Owners, Tasks, Ways, call
from hosts import free_ports

MAX_ATTEMPTS = 3
READY_S = 30
# After the last trouble every accepted job ends within this.
SETTLE_S = 90
TICK_S = 0.02
# So long a halt of the stand-ins counts as a disturbance of all of them.
STALL_S = 0.5
QUEUE = {"name": "r1", "host": "desk.example", "path_prefix": "/plans/",
         "service": "desk", "priority": 0, "max_attempts": MAX_ATTEMPTS,
         "slack_factor": 2.0, "target_latency_ms": 1000}


class World:
    """All there is in a day."""

    def __init__(self, arguments, folder):
        self.arguments, self.folder = arguments, folder
        self.random = random.Random(arguments.seed)
        self.zones = ["z%d" % i for i in range(arguments.zones)]
        self.tasks = Tasks()
        self.ways = Ways(random.Random(arguments.seed + 1), self.tasks)
        self.owners = Owners()
        self.store = DayStore(arguments.seed, self.ways,
                              arguments.bare_refusals)
        self.most_hosts = arguments.hosts + 2
        self.hosts, self.targets, self.all_hosts = [], [], {}
        self.disturbed_ways = {}  # way or target -> until when
        self.closing = False
        spare = 8 + int(arguments.seconds / 4)
        most_targets = arguments.targets + spare * 8
        self.next_port = free_ports((arguments.hosts + spare) * PORTS +
                                    most_targets)
        self.judge = Judge(self, MAX_ATTEMPTS)
        self.callers = DayCallers(self, arguments)

    def note(self, text):
        print("%+.3f %s" % (time.monotonic() - day_judge.BEGAN, text),
              flush=True)

    def ports(self, count):
        self.next_port += count
        return self.next_port - count

    def host(self, name):
        return self.all_hosts.get(name)

    def living(self):
        return [host for host in self.hosts
                if host.runs() and not host.gone] or self.hosts

    def leader(self):
        name = self.store.leading([host.name for host in self.hosts])
        return self.host(name)

    def disturb_ways(self, ways, seconds):
        until = time.monotonic() + seconds
        self.judge.disturbed(seconds)
        for way in ways:
            self.disturbed_ways[way] = max(until,
                                           self.disturbed_ways.get(way, 0))
            if way[1] == "store" or way[1] in self.all_hosts:
                self.host(way[0]).disturb(seconds)

    def disturb_targets(self, targets, seconds):
        self.judge.disturbed(seconds)
        for target in targets:
            self.disturbed_ways[target.name] = time.monotonic() + seconds

    def ways_to(self, target):
        """Which living hosts' ways to a target are cut now, and which not."""
        names = sorted(host.name for host in self.living())
        cut = [name for name in names if self.ways.cuts.get((name, target))]
        return "cut from %s, open from %s" % (
            " ".join(cut) or "-",
            " ".join(name for name in names if name not in cut) or "-")

    def way_calm_since(self, host, target):
        return max(self.disturbed_ways.get((host, target), 0),
                   self.disturbed_ways.get(target, 0))

    async def add_host(self, zone):
        name = "h%02d-%s" % (len(self.all_hosts), zone)
        host = DayHost(self.arguments.program, self.folder, name, zone,
                       self.ports(PORTS))
        self.all_hosts[name] = host
        await host.prepare(self.store, self.ways, self.owners)
        host.start(self.owners)
        self.hosts.append(host)

    async def add_target(self, machine, zone):
        port = self.ports(1)
        target = Target("i-%05d" % port, machine, zone, port, self)
        await target.server.open()
        target.report()
        self.targets.append(target)

    def configure(self):
        self.store.put("op", "config", {
            "version": 3, "routes": [QUEUE],
            "services": [{"name": "desk", "admission_check": False}],
            "limits": {"max_body_bytes": 262144}})

    async def tick(self):
        last = time.monotonic()
        while True:
            await asyncio.sleep(TICK_S)
            now = time.monotonic()
            if now - last > STALL_S:
                self.stalled(now - last)
            last = now
            for target in list(self.targets):
                target.tick()

    def stalled(self, seconds):
        """All stand-ins stood still, as the machine gave them no time."""
        self.note("the play stood still for %.2f s" % seconds)
        self.judge.disturbed(store=True)
        for host in self.hosts:
            host.disturb()

    async def beat(self):
        """Targets write their rows again."""
        while True:
            for target in list(self.targets):
                await asyncio.sleep(1.5 / max(1, len(self.targets)))
                if target.up and target in self.targets:
                    target.report()

    async def report_leaders(self):
        last = None
        while True:
            await asyncio.sleep(0.1)
            leader = self.leader()
            name = leader.name if leader else None
            if name != last:
                self.note("leader %s" % name)
                last = name

    async def ready(self):
        end = time.monotonic() + READY_S
        while time.monotonic() < end:
            answers = [await call(host.ready, "GET", "/lycheestep/ready")
                       for host in self.hosts]
            if all(status == 200 for status, _ in answers):
                return
            await asyncio.sleep(0.2)
        self.judge.breach("ready", "the hosts do not become ready")

    async def play(self):
        self.configure()
        for i in range(self.arguments.targets):
            await self.add_target("m%d" % i,
                                  self.zones[i % len(self.zones)])
        for i in range(self.arguments.hosts):
            await self.add_host(self.zones[i % len(self.zones)])
        always = [self.tasks.begin(work) for work in (
            self.tick(), self.beat(), self.report_leaders())]
        await self.ready()
        callers = [self.tasks.begin(work) for work in (
            self.callers.submit_all(), self.callers.watch())]
        troubles = Troubles(self, self.arguments.seed)
        await troubles.play(PROFILES[self.arguments.profile],
                            self.arguments.seconds)
        self.callers.over = self.closing = True
        while unfinished := [task for task in troubles.tasks
                             if not task.done()]:
            await asyncio.gather(*unfinished)
        await asyncio.gather(*callers)
        self.note("settling")
        await self.callers.settle(SETTLE_S)
        self.note("settled")
        self.judge.close()
        for task in always:
            task.cancel()

    async def play_whole(self):
        """Until the play is over or any task has failed. Hosts end first, so
        that nobody calls, then the stand-ins, and then all tasks."""
        play = self.tasks.begin(self.play())
        try:
            while not play.done() and self.tasks.error is None:
                await asyncio.sleep(TICK_S)
        finally:
            self.end_all()
            self.store.close()
            for target in self.targets:
                target.server.close()
            for proxy in self.ways.proxies:
                proxy.close()
            await self.tasks.end()
        if self.tasks.error is not None:
            raise self.tasks.error

    def end_all(self):
        for host in self.all_hosts.values():
            if host.runs():
                host.process.kill()
                host.process.wait()

    def summary(self):
        judge = self.judge
        for kinds, what in ((judge.near, "beside a disturbance"),
                            (judge.counts, "BROKEN")):
            for rule, count in sorted(kinds.items()):
                print("%s: %s: %d" % (what, rule, count))
        jobs = judge.jobs.values()
        print("latest end of a cancelled run: %.2f s after the "
              "acknowledgement" % judge.latest_end())
        print("seed %d, %s: %d jobs, %d accepted, %d done, %d cancelled, %d "
              "starts, %d of them from hosts that had ended, %d rules broken" % (
                  self.arguments.seed, self.arguments.profile, len(jobs),
                  sum(job.accepted for job in jobs),
                  sum(job.shown == "done" for job in jobs),
                  sum(job.cancel_acked is not None for job in jobs),
                  judge.starts, judge.nameless, sum(judge.counts.values())))


def parse_arguments():
    parser = argparse.ArgumentParser()
    parser.add_argument("program")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=60)
    parser.add_argument("--profile", default="mixed-a",
                        choices=sorted(PROFILES))
    parser.add_argument("--hosts", type=int, default=6)
    parser.add_argument("--zones", type=int, default=4)
    parser.add_argument("--targets", type=int, default=16)
    parser.add_argument("--load", type=float, default=1.5,
                        help="jobs handed in each second")
    parser.add_argument("--longest", type=float, default=15,
                        help="seconds that the longest tasks work")
    parser.add_argument("--wide", type=float, default=0,
                        help="share of jobs with one wide step")
    parser.add_argument("--twice", type=float, default=0.2,
                        help="share of jobs that are handed in again")
    parser.add_argument("--cancelled", type=float, default=0.25,
                        help="share of jobs that are cancelled at any time")
    parser.add_argument("--early", type=float, default=0,
                        help="share of jobs that are cancelled from 0.1 s "
                        "before they are handed in to 1 s after")
    parser.add_argument("--fails", type=float, default=0.03,
                        help="share of runs that fail")
    parser.add_argument("--bare-refusals", action="store_true",
                        help="the store leaves its clock out of refusals")
    parser.add_argument("--logs", help="keep the hosts' logs in this folder, "
                        "whatever the verdict")
    return parser.parse_args()


def main():
    arguments = parse_arguments()
    folder = arguments.logs or tempfile.mkdtemp(prefix="days-")
    os.makedirs(folder, exist_ok=True)
    world = World(arguments, folder)
    try:
        asyncio.run(world.play_whole())
    except Exception:
        print("logs of the hosts: " + folder)
        raise
    finally:
        world.end_all()
    world.summary()
    if world.judge.counts:
        print("logs of the hosts: " + folder)
        sys.exit(1)
    if not arguments.logs:
        for entry in os.listdir(folder):
            os.remove(os.path.join(folder, entry))
        os.rmdir(folder)


main()

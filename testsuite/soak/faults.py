"""Faults from outside, in series that overlap."""
import contextlib
import random
import signal
import subprocess
import threading
import time

from hosts import GRACE_S

# The time that slow workers take to answer a start, in seconds.
SLOW_S = (0.1, 0.6)
# ... a stop or a hold.
SLOW_STOP_S = (0.1, 0.65)
# The rows of workers that live are away for so long.
ROWS_AWAY_S = 9
# Before that, work begins everywhere.
WORK_BEGINS_AFTER_S = 3
# A new leader is chosen this long after the rows went away.
LEAD_CHANGES_AFTER_S = 0.5
# The row of a single worker is lost for so long, among other faults.
ROW_LOST_S = (1, 8)
# A frozen leader is back after this.
FROZEN_S = 4.5
# Changes of the lead leave time in which a run that goes on has no excuse.
LEAD_STAYS_S = 9
# A second change comes so soon after the first.
LEAD_AGAIN_S = 2
# In a series, planned stops of the leader come after so many seconds.
LEAD_SERIES_GAP_S = (1, 2)
LEAD_SERIES_STOPS = 6


class Faults:
    def __init__(self, hosts, workers, worker_ways, store, ledger, seed):
        self.hosts, self.workers, self.worker_ways = hosts, workers, worker_ways
        self.store, self.ledger = store, ledger
        self.random = random.Random(seed)
        self.leaders_stopped = 0  # in series

    def play(self, seconds, faults):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            fault = self.random.choice(faults)
            print("fault: " + fault.__name__, flush=True)
            fault()
            time.sleep(self.random.uniform(0.2, 2.0))

    def of_calm_times(self):
        """Those that excuse nothing."""
        return [self.slow_worker, self.slow_worker, self.drain_worker,
                self.slow_stops, self.refuse_stops]

    def all(self):
        return self.of_calm_times() + [
            self.kill, self.kill, self.pause, self.stop, self.stop,
            self.reload, self.cut_store_way, self.cut_store_way,
            self.cut_worker_way, self.store_down, self.store_loses,
            self.store_slow, self.store_forgets, self.store_reads_late,
            self.crash_worker, self.hang_worker, self.slow_holds,
            self.lose_row]

    def later(self, seconds, action, *arguments):
        timer = threading.Timer(seconds, action, arguments)
        timer.daemon = True
        timer.start()

    def any_running(self):
        return self.random.choice(
            [host for host in self.hosts if host.process.poll() is None] or
            self.hosts)

    def restart(self, host):
        host.process.wait()
        host.start()

    def kill(self):
        host = self.any_running()
        host.send(signal.SIGKILL)
        seconds = self.random.uniform(0.2, 2)
        self.ledger.calm.disturb(seconds)
        self.later(seconds, self.restart, host)

    def pause(self):
        host = self.any_running()
        host.send(signal.SIGSTOP)
        seconds = self.random.uniform(0.5, 6)
        self.ledger.calm.disturb(seconds)
        self.later(seconds, host.send, signal.SIGCONT)

    def stop(self):
        host = self.any_running()
        if host.stopping_at is not None:
            return
        host.stopping_at = time.monotonic()
        host.send(signal.SIGTERM)
        self.ledger.calm.disturb(GRACE_S)
        self.later(GRACE_S, self.end_and_restart, host, host.process)

    def end_and_restart(self, host, process):
        if process is not host.process:
            return  # another fault has replaced it
        quiet = time.monotonic() - host.disturbed_at > GRACE_S + 3
        if process.poll() is None and quiet:
            self.ledger.breach(host.name + " outlived its grace time")
        host.send(signal.SIGKILL)
        self.restart(host)

    def reload(self):
        self.any_running().send(signal.SIGHUP)

    def disturb_way(self, way):
        """Returns for how long."""
        how = self.random.choice(["delay", "reset", "stall", "there", "back",
                                  "both"])
        if how == "stall":
            way.stall()
        elif how == "delay":
            way.delay = self.random.uniform(0.02, 0.3)
        elif how == "reset":
            way.reset()
        else:
            way.silent = {"there", "back"} if how == "both" else {how}
        seconds = self.random.uniform(0.5, 6)
        self.later(seconds, way.heal)
        return seconds

    def cut_store_way(self):
        host = self.random.choice(self.hosts)
        self.ledger.calm.disturb(self.disturb_way(host.store_way))

    def cut_worker_way(self):
        number = self.random.randrange(len(self.workers))
        self.workers[number].disturbed_at = time.monotonic()
        self.disturb_way(self.worker_ways[number])

    def disturb_store(self, field, value, seconds):
        setattr(self.store, field, value)
        self.ledger.calm.disturb(seconds)
        self.later(seconds, setattr, self.store, field, type(value)(0))

    def store_down(self):
        self.disturb_store("down", True, self.random.uniform(0.5, 5))

    def store_loses(self):
        seconds = self.random.uniform(1, 4)
        self.disturb_store("lost", 0.3, seconds)
        self.disturb_store("crowded", 0.3, seconds)

    def store_slow(self):
        self.disturb_store("delay", self.random.uniform(0.05, 0.25),
                           self.random.uniform(1, 4))

    def store_forgets(self):
        self.store.forget()

    def store_reads_late(self):
        """Drops the history again and again, and answers reads late."""
        self.forget_often(self.random.uniform(4, 8),
                          self.random.uniform(0.05, 0.6))

    def forget_often(self, seconds, read_delay):
        self.store.read_delay = read_delay
        self.ledger.reads.disturb(seconds + read_delay)
        for i in range(int(seconds / 0.7) + 1):
            self.later(i * 0.7, self.store.forget)
        self.later(seconds, setattr, self.store, "read_delay", 0.0)

    def crash_worker(self):
        self.random.choice(self.workers).restart()

    def hang_worker(self):
        worker = self.random.choice(self.workers)
        worker.hangs = True
        self.later(self.random.uniform(1, 6), setattr, worker, "hangs", False)

    def nothing(self):
        pass

    def leading_host(self):
        # Longer names first, as a host that was replaced has the former's name
        # in its own.
        names = sorted((host.leads_as for host in self.hosts), key=len,
                       reverse=True)
        name = self.store.leading(names)
        return next((host for host in self.hosts if host.leads_as == name),
                    None)

    def stop_leader(self, replaced=False):
        """A planned stop, and the process is back at once. If it is replaced,
        a host of another name comes in its place."""
        host = self.leading_host()
        if host is None:
            return
        self.ledger.lead.disturb()
        self.begin_stop(host)
        self.finish_stop(host, replaced)

    def begin_stop(self, host):
        host.stopping_at = time.monotonic()
        host.send(signal.SIGTERM)

    def finish_stop(self, host, replaced):
        with contextlib.suppress(subprocess.TimeoutExpired):
            host.process.wait(GRACE_S)
        if replaced:
            host.rename()
        self.end_and_restart(host, host.process)

    def kill_leader(self, replaced=False):
        host = self.leading_host()
        if host is not None:
            self.ledger.lead.disturb()
            host.send(signal.SIGKILL)
            if replaced:
                host.rename()
            self.restart(host)

    def replace_leader(self):
        """The leader never comes back."""
        self.random.choice([self.stop_leader, self.kill_leader])(replaced=True)
        time.sleep(LEAD_STAYS_S)

    def stop_leaders(self):
        """Planned stops in a row, several within one run. None excuses a run
        that goes on."""
        for _ in range(LEAD_SERIES_STOPS):
            time.sleep(self.random.uniform(*LEAD_SERIES_GAP_S))
            host = self.leading_host()
            others = [other for other in self.hosts
                      if other is not host and other.stopping_at is None]
            if host is None or host.stopping_at is not None or not others:
                continue
            self.begin_stop(host)
            self.leaders_stopped += 1
            threading.Thread(target=self.finish_stop, daemon=True,
                             args=(host, self.random.random() < 0.3)).start()

    def freeze_leader(self):
        host = self.leading_host()
        if host is not None:
            self.ledger.lead.disturb()
            host.send(signal.SIGSTOP)
            self.later(FROZEN_S, host.send, signal.SIGCONT)

    def change_lead(self):
        self.random.choice([self.stop_leader, self.kill_leader])()

    def of_the_lead(self):
        return [self.lead_changes, self.lead_freezes, self.lead_changes_twice,
                self.replace_leader]

    def lead_changes(self):
        self.change_lead()
        time.sleep(LEAD_STAYS_S)

    def lead_freezes(self):
        self.freeze_leader()
        time.sleep(LEAD_STAYS_S)

    def lead_changes_twice(self):
        first, end = self.leading_host(), time.monotonic() + LEAD_AGAIN_S
        self.change_lead()
        while self.leading_host() is first and time.monotonic() < end:
            time.sleep(0.05)
        self.change_lead()
        time.sleep(LEAD_STAYS_S)

    def rows_away(self):
        self.lose_rows("away")

    def rows_damaged(self):
        self.lose_rows("damaged")

    def lose_rows(self, how):
        """The rows of every second worker, while the lead changes."""
        time.sleep(WORK_BEGINS_AFTER_S)
        for worker in self.workers[1::2]:
            worker.keep_row(how)
            self.later(ROWS_AWAY_S, worker.keep_row, "whole")
        time.sleep(LEAD_CHANGES_AFTER_S)
        self.change_lead()
        time.sleep(ROWS_AWAY_S)

    def rows_misplaced(self):
        self.lose_rows("misplaced")

    def refuse_stops(self):
        worker = self.random.choice(self.workers)
        worker.refused_stops = self.random.uniform(0.3, 1.0)
        self.later(self.random.uniform(0.5, 1.5), setattr, worker,
                   "refused_stops", 0.0)

    def lose_row(self):
        worker = self.random.choice(self.workers)
        worker.keep_row(self.random.choice(["away", "away", "damaged",
                                            "moved", "misplaced"]))
        self.later(self.random.uniform(*ROW_LOST_S), worker.keep_row, "whole")

    def slow_worker(self):
        self.slow_down("answer_s", SLOW_S)

    def slow_stops(self):
        self.slow_down("stop_answer_s", SLOW_STOP_S)

    def slow_holds(self):
        self.slow_down("hold_answer_s", SLOW_STOP_S)

    def slow_down(self, kind, seconds):
        """For a while, or for good."""
        worker = self.random.choice(self.workers)
        setattr(worker, kind, self.random.uniform(*seconds))
        if self.random.random() < 0.7:
            self.later(self.random.uniform(2, 6), setattr, worker, kind, 0.0)

    def drain_worker(self):
        worker = self.random.choice(self.workers)
        worker.drain(True)
        self.later(self.random.uniform(3, 6), worker.drain, False)

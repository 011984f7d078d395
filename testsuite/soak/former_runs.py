"""Faults beside which a leader may take a run for over that is at work.

Each is one cause and plays once: work begins, some workers are disturbed, and
time is left in which their runs end.
"""
import random
import signal
import threading
import time

from targets import NOBODYS_PORT, Worker

# Work is at its middle when the fault comes.
WORK_BEGINS_AFTER_S = 4
OUT_OF_REACH_S = 6
SHARE_OUT_OF_REACH = 0.4
# A play that disturbs fewer runs shows nothing.
LEAST_RUNS = 20
# A worker drains so long before the next one on its machine registers.
NEXT_ONE_AFTER_S = 1
# ... and a part of them leave with work on them so long after that.
LEAVES_AFTER_S = 3
SECOND_ENTRY_S = (4, 7)
# An answer that is lost was to a write that took place.
LOST_SHARE = (0.3, 0.6)
LOST_S = (0.6, 4.5)
KILLED_S = 3
BUSY_S = 7
DOWN_S = 4.5
FROZEN_S = 4
RENEWAL_WITHIN_S = 3
# In that time the runs of a former term come to their ends.
ENDS_AFTER_S = 8


class FormerRuns:
    def __init__(self, faults, ports, seed):
        self.faults = faults
        self.store, self.ledger = faults.store, faults.ledger
        self.workers = list(faults.workers)
        self.ports = ports  # for the next workers of their machines
        self.random = random.Random(seed)

    def plays(self):
        return {"successor": self.successors,
                "successor-cut": self.successors_and_cut,
                "second-entry": self.second_entries,
                "second-entry-cut": self.second_entries_and_cut,
                "clockless": self.clockless,
                "clockless-kill": self.clockless_and_kill,
                "clockless-busy": self.clockless_and_busy,
                "clockless-down": self.clockless_and_down,
                "busy": self.busy,
                "lost-kill": self.lost_and_kill,
                "frozen": self.frozen}

    def some(self):
        """Those with most runs, as others show little."""
        count = max(1, round(SHARE_OUT_OF_REACH * len(self.workers)))
        chosen = sorted(self.workers, key=lambda worker: -len(worker.runs))[
            :count]
        runs = sum(len(worker.runs) for worker in chosen)
        if runs < LEAST_RUNS:
            self.ledger.breach("only %d runs were disturbed" % runs)
        return chosen

    def put_out_of_reach(self, workers):
        """Nothing passes, and connections stay open."""
        for worker in workers:
            way = self.faults.worker_ways[self.workers.index(worker)]
            worker.disturbed_at = time.monotonic() + OUT_OF_REACH_S
            way.silent = {"there", "back"}
            self.faults.later(OUT_OF_REACH_S, way.heal)

    def successors(self, cut=False):
        time.sleep(WORK_BEGINS_AFTER_S)
        chosen = self.some()
        for worker in chosen:
            worker.drain(True)
        time.sleep(NEXT_ONE_AFTER_S)
        if cut:
            self.put_out_of_reach(chosen)
        for worker in chosen:
            port = self.ports.pop()
            following = Worker(worker.name + "n", port, port, self.store,
                               self.ledger, self.random.random(),
                               worker.machine)
            following.work_s, following.long_share = worker.work_s, 0
        time.sleep(LEAVES_AFTER_S)
        for number, worker in enumerate(chosen):
            if number % 2 == 0:
                worker.leave()
            else:
                threading.Thread(target=worker.leave_when_idle,
                                 daemon=True).start()
        time.sleep(ENDS_AFTER_S)

    def successors_and_cut(self):
        self.successors(cut=True)

    def second_entries(self, cut=False):
        """Complete ones, with nobody behind them."""
        time.sleep(WORK_BEGINS_AFTER_S)
        chosen = self.some()
        if cut:
            self.put_out_of_reach(chosen)
        for worker in chosen:
            entry = dict(worker.entry(), state="ready",
                         address="127.0.0.1:%d" % NOBODYS_PORT,
                         born=int(time.time() * 1000))
            self.store.put("servers", worker.name + "x", entry)
            self.faults.later(self.random.uniform(*SECOND_ENTRY_S),
                              self.store.put, "servers", worker.name + "x",
                              None)
        time.sleep(ENDS_AFTER_S)

    def second_entries_and_cut(self):
        self.second_entries(cut=True)

    def lose_answers(self, clockless, seconds):
        if clockless:
            self.store.clockless_refusals = True
        self.faults.disturb_store("lost", self.random.uniform(*LOST_SHARE),
                                  seconds)

    def clockless(self):
        """Refusals don't tell the store's time. Nobody is killed."""
        time.sleep(WORK_BEGINS_AFTER_S)
        self.put_out_of_reach(self.some())
        self.lose_answers(True, self.random.uniform(*LOST_S))
        time.sleep(ENDS_AFTER_S)

    def lose_until_renewed(self, clockless, action):
        """Answers are lost until the leader has written its row once after a
        refusal, before that write is answered."""
        done = threading.Event()

        def act():
            action()
            done.set()

        self.store.on_refusal = lambda: setattr(self.store, "on_renewal", act)
        self.lose_answers(clockless, LOST_S[1])
        if not done.wait(LOST_S[1]):
            self.ledger.breach("no write was refused")

    def lose_and_kill(self, clockless):
        time.sleep(WORK_BEGINS_AFTER_S)
        self.put_out_of_reach(self.some())
        leader = self.faults.leading_host()
        self.ledger.lead.disturb(KILLED_S)
        self.ledger.calm.disturb(KILLED_S)
        self.lose_until_renewed(clockless,
                                lambda: leader.send(signal.SIGKILL))
        self.store.lost = 0.0
        self.faults.later(KILLED_S, self.faults.restart, leader)
        time.sleep(ENDS_AFTER_S)

    def clockless_and_down(self):
        """The store is away for all hosts; the leader may lead again."""
        time.sleep(WORK_BEGINS_AFTER_S)
        self.ledger.lead.disturb(DOWN_S)
        self.lose_until_renewed(
            True, lambda: self.faults.disturb_store("down", True, DOWN_S))
        self.store.lost = 0.0
        time.sleep(DOWN_S - 1)
        self.put_out_of_reach(self.some())
        time.sleep(ENDS_AFTER_S)

    def clockless_and_kill(self):
        self.lose_and_kill(True)

    def lost_and_kill(self):
        """Beside it, to see that it takes the answers without a clock."""
        self.lose_and_kill(False)

    def busy(self, lose=False):
        """The store refuses the leader alone, so that the lead changes."""
        time.sleep(WORK_BEGINS_AFTER_S)
        self.put_out_of_reach(self.some())
        leader = self.faults.leading_host()
        self.ledger.lead.disturb(BUSY_S)
        self.ledger.calm.disturb(BUSY_S)
        if lose:
            self.lose_until_renewed(
                True, lambda: self.store.busy_for.add(leader.name))
        self.store.busy_for.add(leader.name)
        self.faults.later(BUSY_S, self.store.busy_for.discard, leader.name)
        time.sleep(ENDS_AFTER_S)

    def clockless_and_busy(self):
        self.busy(lose=True)

    def frozen(self):
        """The answer to its renewal waits for the leader's awakening."""
        time.sleep(WORK_BEGINS_AFTER_S)
        leader = self.faults.leading_host()
        frozen = threading.Event()

        def freeze():
            leader.send(signal.SIGSTOP)
            frozen.set()

        self.ledger.lead.disturb(FROZEN_S)
        self.ledger.calm.disturb(FROZEN_S)
        self.store.on_renewal = freeze
        if not frozen.wait(RENEWAL_WITHIN_S):
            self.ledger.breach("the leader renewed nothing")
            return
        self.put_out_of_reach(self.some())
        self.faults.later(FROZEN_S, leader.send, signal.SIGCONT)
        time.sleep(ENDS_AFTER_S)

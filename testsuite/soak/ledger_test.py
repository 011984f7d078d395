#!/usr/bin/env python3
"""Each promise that the soak's ledger judges is found broken, and kept ones
aren't."""
import contextlib
import io
import types
import unittest
from unittest import mock

import ledger
from ledger import (CANCEL_S, CONTACT_S, DRAIN_S, HALT_S, LATE_S, LEAD_S,
                    STOP_S, Job, Ledger)
from pairs import Pairs

ID = "00000000000000aa"
TASK = ID + ".0.0.0"


class LedgerTest(unittest.TestCase):
    def setUp(self):
        self.now = 1000.0
        clock = mock.patch.object(ledger.time, "monotonic", lambda: self.now)
        clock.start()
        self.addCleanup(clock.stop)
        quiet = contextlib.redirect_stdout(io.StringIO())
        quiet.__enter__()
        self.addCleanup(quiet.__exit__, None, None, None)
        self.ledger = Ledger(max_attempts=3)
        self.job = Job("spec", [{"count": 2, "cpu": 1}])
        self.ledger.jobs[ID] = self.job
        self.worker = types.SimpleNamespace(
            name="w0", born=1, disturbed_at=0.0, drained_at=None)
        self.now += 100

    def start(self, task=TASK, run=1, spec="spec", checkpoint=""):
        self.ledger.on_start(self.worker, task, run, spec, checkpoint)

    def expect(self, **counts):
        wanted = {kind.replace("_", " "): count
                  for kind, count in counts.items()}
        self.assertEqual(self.ledger.counts, wanted)

    def test_asked_for(self):
        self.start()
        self.start(ID + ".0.0.1")
        self.expect()

    def test_never_sent(self):
        self.start("00000000000000bb.0.0.0")  # job
        self.start(ID + ".1.0.0")  # occurrence
        self.start(ID + ".0.1.0")  # step
        self.start(ID + ".0.0.2")  # index
        self.expect(never_sent=4)

    def test_refused_and_ran(self):
        self.start()
        self.ledger.judge()
        self.expect(never_sent=1)

    def test_other_spec(self):
        self.start(spec="another")
        self.expect(other_spec=1)

    def test_checkpoint_of_another_task(self):
        self.ledger.on_saved(ID + ".0.0.1", "c1")
        self.start(checkpoint="c1")
        self.expect(other_checkpoint=1)

    def test_checkpoint_of_the_task(self):
        self.ledger.on_saved(TASK, "c1")
        self.start(checkpoint="c1")
        self.expect()

    def test_checkpoint_of_the_gang(self):
        self.job.steps[0]["gang"] = True
        self.ledger.on_saved(ID + ".0.0.1", "c1")
        self.start(checkpoint="c1")
        self.expect()
        self.start(ID + ".0.0.1")
        self.expect(other_checkpoint=1)

    def cancelled(self):
        self.job.cancel_sent = True
        self.job.cancel_acked = self.now

    def test_start_after_a_cancelling(self):
        self.cancelled()
        self.now += CANCEL_S - 0.1
        self.start()
        self.expect()
        self.now += 0.2
        self.start(ID + ".0.0.1")
        self.expect(start_after_a_cancelling=1)

    def test_a_disturbance_excuses_only_for_a_while(self):
        self.cancelled()
        self.now += CANCEL_S + 1
        self.ledger.reads.disturb()
        self.now += CONTACT_S - 0.1
        self.start()
        self.ledger.on_end(self.worker, TASK, 1, "stopped")
        self.now += 1
        self.worker.disturbed_at = self.now
        self.now += LATE_S - 0.1
        self.start()
        self.expect()
        self.now += 0.2
        self.start(ID + ".0.0.1")
        self.expect(start_after_a_cancelling=1)

    def test_no_disturbed_host_excuses_a_start_after_a_cancelling(self):
        self.cancelled()
        self.ledger.calm.disturb(100)
        self.now += CANCEL_S + 0.1
        self.start()
        self.expect(start_after_a_cancelling=1)

    def test_a_disturbed_host_excuses_a_start_while_draining(self):
        self.worker.drained_at = self.now
        self.now += DRAIN_S + 1
        self.ledger.calm.disturb()
        self.now += CONTACT_S - 0.1
        self.start()
        self.expect()
        self.now += 0.2
        self.start(ID + ".0.0.1")
        self.expect(start_while_draining=1)

    def test_run_that_goes_on(self):
        self.start()
        self.cancelled()
        self.now += CANCEL_S + STOP_S - 0.1
        self.assertFalse(self.ledger.check_gone(self.worker, TASK, 1))
        self.now += 0.2
        self.assertTrue(self.ledger.check_gone(self.worker, TASK, 1))
        self.expect(run_that_goes_on_after_a_cancelling=1)

    def goes_on(self, seconds):
        """Whether a run is found to go on so long after the last event."""
        self.now += seconds
        return self.ledger.check_gone(self.worker, TASK, 1)

    def test_a_change_of_the_lead_excuses_only_for_a_while(self):
        self.start()
        self.ledger.in_calm_series = True
        self.cancelled()
        self.now += CANCEL_S
        self.ledger.lead.disturb()
        self.assertFalse(self.goes_on(LEAD_S + CANCEL_S + STOP_S - 0.1))
        self.assertTrue(self.goes_on(0.2))
        self.expect(run_that_goes_on_after_a_cancelling=1)

    def test_an_earlier_change_of_the_lead_excuses_nothing(self):
        self.start()
        self.ledger.in_calm_series = True
        self.ledger.lead.disturb()
        self.now += LEAD_S
        self.cancelled()
        self.assertFalse(self.goes_on(CANCEL_S + STOP_S - 0.1))
        self.assertTrue(self.goes_on(0.2))

    def test_no_other_host_excuses_a_run_in_the_calm_series(self):
        self.start()
        self.ledger.in_calm_series = True
        self.cancelled()
        self.ledger.calm.disturb(100)
        self.assertTrue(self.goes_on(CANCEL_S + STOP_S + 0.1))

    def test_any_host_excuses_a_run_among_faults(self):
        self.start()
        self.cancelled()
        self.ledger.calm.disturb()
        excused = CONTACT_S + CANCEL_S + STOP_S
        self.assertFalse(self.goes_on(excused - 0.1))
        self.assertTrue(self.goes_on(0.2))

    def test_the_lead_alone_excuses_no_run_among_faults(self):
        self.start()
        self.cancelled()
        self.ledger.lead.disturb(100)
        self.assertTrue(self.goes_on(CANCEL_S + STOP_S + 0.1))

    def test_late_reads_excuse_a_run_in_the_calm_series(self):
        self.start()
        self.ledger.in_calm_series = True
        self.cancelled()
        self.ledger.reads.disturb()
        excused = CONTACT_S + CANCEL_S + STOP_S
        self.assertFalse(self.goes_on(excused - 0.1))
        self.assertTrue(self.goes_on(0.2))

    def test_a_halt_of_the_play_excuses_only_for_a_while(self):
        for in_calm_series in (False, True):
            self.ledger.in_calm_series = in_calm_series
            self.job.cancel_acked = None
            self.start()
            self.cancelled()
            self.now += 6
            self.ledger.note_halt(6)
            excused = CONTACT_S + CANCEL_S + STOP_S
            self.assertFalse(self.goes_on(excused - 0.1))
            self.assertTrue(self.goes_on(0.2))
            self.ledger.on_end(self.worker, TASK, 1, "stopped")
        self.expect(run_that_goes_on_after_a_cancelling=2)
        self.assertEqual(self.ledger.halted, 2)

    def test_a_short_halt_excuses_nothing(self):
        self.start()
        self.cancelled()
        self.now += HALT_S
        self.ledger.note_halt(HALT_S)
        self.assertTrue(self.goes_on(CANCEL_S + STOP_S - HALT_S + 0.1))
        self.assertEqual(self.ledger.halted, 0)

    def test_a_halt_excuses_a_late_start_only_for_a_while(self):
        self.cancelled()
        self.now += CANCEL_S + 1
        self.ledger.note_halt(CANCEL_S)
        self.now += CONTACT_S - 0.1
        self.start()
        self.expect()
        self.now += 0.2
        self.start(ID + ".0.0.1")
        self.expect(start_after_a_cancelling=1)

    def test_stand_ins_that_find_the_same_halt_count_it_once(self):
        self.ledger.note_halt(6)
        self.now += 0.1
        self.ledger.note_halt(6.1)
        self.assertEqual(self.ledger.halted, 1)

    def test_end_of_a_cancelled_run(self):
        self.start()
        self.cancelled()
        self.now += 2.5
        self.ledger.on_end(self.worker, TASK, 1, "stopped")
        self.expect()
        self.assertEqual(self.ledger.cancelled_ends, 1)
        self.assertEqual(self.ledger.latest["end of a cancelled run"], 2.5)

    def test_start_while_draining(self):
        self.worker.drained_at = self.now
        self.now += DRAIN_S - 0.1
        self.start()
        self.expect()
        self.now += 0.2
        self.start(ID + ".0.0.1")
        self.expect(start_while_draining=1)

    def test_late_reads_bring_no_job_back(self):
        self.cancelled()
        self.ledger.on_shown(ID, "cancelled")
        self.ledger.reads.disturb(100)
        self.now += CANCEL_S + 0.1
        self.start()
        self.expect(start_of_a_job_that_is_over=1)

    def test_start_after_its_end_was_noted(self):
        self.start()
        self.ledger.on_end(self.worker, TASK, 1, "done")
        self.ledger.on_noted(TASK, "done")
        self.start(run=2)
        self.expect(start_after_its_end=1)

    def test_lost_job_is_not_over(self):
        self.job.accepted = True
        self.ledger.on_shown(ID, 410)
        self.assertIsNone(self.job.ended)


class PairsTest(unittest.TestCase):
    def setUp(self):
        self.pairs = Pairs()

    def report(self):
        return self.pairs.report({("w0", TASK, 1): "h0",
                                  ("w1", TASK, 2): "h0"})

    def test_one_after_the_other(self):
        self.pairs.on_start("w0", TASK, 1)
        self.pairs.on_end("w0", TASK, 1, "failed")
        self.pairs.on_start("w1", TASK, 2)
        self.assertEqual(self.pairs.found, [])

    def test_two_at_once(self):
        self.pairs.on_start("w0", TASK, 1)
        self.pairs.on_start("w1", TASK, 2)
        self.pairs.on_end("w0", TASK, 1, "done")
        self.pairs.on_noted("w0", TASK, 1)
        self.assertIn("run 1 on w0 from h0, late false", self.report())
        self.assertIn("1 pairs, first runs: no stop 1, noted 1, ends: done 1; "
                      "same host 1, most in a second 1", self.report())

    def test_stopped_and_not_noted(self):
        self.pairs.on_start("w0", TASK, 1)
        self.pairs.on_start("w1", TASK, 2)
        self.pairs.on_stop("w0", TASK, 1)
        self.pairs.on_end("w0", TASK, 1, "died")
        self.assertIn("1 pairs, first runs: no stop 0, noted 0, ends: died 1;",
                      self.report())

    def test_late_start_and_unknown_host(self):
        self.pairs.on_start("w0", TASK, 3, late=True)
        self.pairs.on_start("w1", TASK, 2)
        self.assertIn("run 3 on w0 from -, late true", self.report())


if __name__ == "__main__":
    unittest.main()

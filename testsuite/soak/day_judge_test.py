#!/usr/bin/env python3
"""Checks that the judge of a day names each rule that is broken, once."""
import contextlib
import io
import time
import types
import unittest
from unittest import mock

from day_judge import BEGAN, Job, Judge, Run

JOB = "0123456789abcdef"
TASK = JOB + ".0.0.0"


class DayJudgeTest(unittest.TestCase):
    def setUp(self):
        self.now = time.monotonic()
        patched = mock.patch("time.monotonic", lambda: self.now)
        patched.start()
        self.addCleanup(patched.stop)
        self.host = types.SimpleNamespace(disturbed_until=self.now)
        world = types.SimpleNamespace(host=lambda _: self.host,
                                      ways_to=lambda _: "",
                                      way_calm_since=lambda *_: self.way)
        self.way = self.now
        self.judge = Judge(world, max_attempts=3)
        self.job = Job("spec", [{"count": 2}, {"count": 1, "after": [0]}])
        self.job.accepted = True
        self.judge.jobs[JOB] = self.job
        self.now += 100

    def target(self, name):
        return types.SimpleNamespace(name=name, zone="z1", up=True)

    def start(self, task=TASK, number=1, target=None, spec="spec",
              late=False, checkpoint=""):
        run = Run(target or self.target("t1"), task, number, "h1", late)
        run.checkpoint = checkpoint
        self.quietly(self.judge.on_start, run, spec)
        return run

    def quietly(self, work, *arguments):
        with contextlib.redirect_stdout(io.StringIO()):
            work(*arguments)

    def test_two_runs_on_living_targets(self):
        self.start()
        self.start(number=2, target=self.target("t2"))
        self.assertEqual(self.judge.counts, {"two runs at once": 1})

    def test_second_run_beside_a_target_that_is_gone(self):
        first = self.start()
        first.target.up = False
        self.start(number=2)
        self.assertEqual(self.judge.counts, {})

    def test_start_after_a_noted_end(self):
        first = self.start()
        self.judge.on_end(first, "done")
        self.judge.on_noted(first)
        self.now += 1
        self.start(number=2)
        self.assertEqual(self.judge.counts, {"start after a noted end": 1})

    def test_end_that_is_noted_after_a_second_start(self):
        first = self.start()
        self.judge.on_end(first, "done")
        self.now += 1
        self.start(number=2)
        self.assertEqual(self.judge.counts, {})
        self.quietly(self.judge.on_noted, first)
        self.assertEqual(self.judge.counts,
                         {"start after an end noted since": 1})

    def test_start_after_its_job_was_shown_as_done(self):
        for index in range(2):
            self.judge.on_end(self.start(JOB + ".0.0.%d" % index), "done")
        self.judge.on_end(self.start(JOB + ".0.1.0"), "done")
        self.judge.on_shown(JOB, "done")
        self.now += 1
        self.judge.on_end(self.start(number=2), "stopped")
        self.assertEqual(self.judge.counts, {})
        self.now += 0.1
        self.judge.on_end(self.start(number=3, late=True), "stopped")
        self.start(JOB + ".0.0.1", number=2)
        self.assertEqual(self.judge.counts,
                         {"start after its job was shown as done": 1})

    def test_start_of_a_disturbed_host_after_its_job_was_shown_as_done(self):
        self.judge.on_shown(JOB, "done")
        self.judge.counts.clear()
        self.now += 5
        self.host.disturbed_until = self.now
        self.start()
        self.assertEqual(self.judge.counts, {})
        self.assertEqual(self.judge.near,
                         {"start after its job was shown as done": 1})

    def test_starts_that_nobody_sent(self):
        self.start(task="f" * 16 + ".0.0.0")
        self.start(task=JOB + ".0.0.2")
        self.start(spec="other")
        self.start(task=JOB + ".0.0.1", checkpoint="0" * 16)
        self.assertEqual(self.judge.counts, {"never sent": 2, "other spec": 1,
                                             "foreign checkpoint": 1})

    def test_start_before_its_earlier_steps(self):
        self.start(task=JOB + ".0.1.0")
        self.assertEqual(self.judge.counts, {"before its earlier steps": 1})

    def test_start_after_a_cancelling(self):
        self.job.cancel_acked = self.now
        self.now += 2.9
        self.start()
        self.assertEqual(self.judge.counts, {})
        self.now += 0.2
        self.start(number=1, task=JOB + ".0.0.1")
        self.assertEqual(self.judge.counts, {"start after a cancelling": 1})

    def test_start_after_a_cancelling_beside_a_disturbance(self):
        self.job.cancel_acked = self.now
        self.now += 4
        self.host.disturbed_until = self.now - 1
        self.start()
        self.assertEqual(self.judge.counts, {})
        self.assertEqual(self.judge.near, {"start after a cancelling": 1})

    def test_run_that_goes_on_after_a_cancelling(self):
        run = self.start()
        self.job.cancel_acked = self.now
        self.now += 3.8
        self.quietly(self.judge.check_gone, run)
        self.assertEqual(self.judge.counts, {})
        self.now += 0.2
        self.quietly(self.judge.check_gone, run)
        self.quietly(self.judge.check_gone, run)
        self.assertEqual(self.judge.counts,
                         {"run goes on after a cancelling": 1})

    def test_run_that_goes_on_beside_a_disturbance(self):
        run = self.start()
        self.job.cancel_acked = self.now
        self.now += 4
        self.judge.disturbed()
        self.quietly(self.judge.check_gone, run)
        self.assertEqual(self.judge.counts, {})
        self.now += 7
        self.quietly(self.judge.check_gone, run)
        self.assertEqual(self.judge.counts,
                         {"run goes on after a cancelling": 1})

    def test_run_that_goes_on_in_calm_is_measured(self):
        run = self.start()
        self.job.cancel_acked = self.now
        self.now += 2
        self.judge.disturbed()
        self.now += 2.9
        self.quietly(self.judge.check_gone, run)
        self.assertAlmostEqual(run.over_s, 1.0)
        self.assertEqual(self.judge.strict, [])
        self.now += 0.2
        self.quietly(self.judge.check_gone, run)
        self.quietly(self.judge.check_gone, run)
        self.assertAlmostEqual(run.over_s, 1.2)
        self.assertEqual(self.judge.strict, [run])
        self.assertEqual(self.judge.counts, {})
        self.assertIn("1 runs went on", self.strict_lines()[1])

    def test_run_within_its_bound_is_not_measured(self):
        run = self.start()
        self.job.cancel_acked = self.now
        self.now += 3.8
        self.quietly(self.judge.check_gone, run)
        self.assertEqual(run.over_s, 0)
        self.assertEqual(self.strict_lines(), ["strict: 0 runs went on"])

    def test_run_beside_a_disturbance_to_come_is_not_measured(self):
        run = self.start()
        self.job.cancel_acked = self.now
        self.now += 10
        self.judge.disturbed(1)
        self.now += 3.9
        self.quietly(self.judge.check_gone, run)
        self.assertEqual(self.judge.strict, [])
        self.assertAlmostEqual(run.over_s, 2.9)

    def test_longest_of_several_and_after_a_breach(self):
        first, second = self.start(), self.start(JOB + ".0.0.1")
        self.job.cancel_acked = self.now
        self.now += 5
        self.quietly(self.judge.check_gone, first)
        self.quietly(self.judge.check_gone, second)
        self.now += 5
        self.quietly(self.judge.check_gone, second)
        self.assertIs(self.judge.longest_over, second)
        self.assertAlmostEqual(second.over_s, 6.1)
        calm_since = self.judge.calm_since
        self.judge.disturbed()
        self.assertIn("longest 6.10 s over, acknowledged %.2f, calm since "
                      "%.2f, " % (self.job.cancel_acked - BEGAN,
                                  calm_since - BEGAN), self.strict_lines()[0])
        self.assertEqual(self.judge.strict, [first, second])

    def strict_lines(self):
        output = io.StringIO()
        with contextlib.redirect_stdout(output):
            self.judge.report_strict()
        return output.getvalue().splitlines()

    def test_job_that_is_shown_as_done_too_early(self):
        self.quietly(self.judge.on_shown, JOB, "done")
        self.assertEqual(self.judge.counts, {"shown as done too early": 1})

    def test_jobs_at_the_end(self):
        self.quietly(self.judge.close)
        self.assertEqual(self.judge.counts, {"never over": 1})
        self.judge.counts.clear()
        self.job.accepted = False
        self.start()
        self.quietly(self.judge.close)
        self.assertEqual(self.judge.counts, {"refused and ran": 1})


unittest.main()

#!/usr/bin/env python3
"""Checks that ports are given to one process at a time."""
import os
import subprocess
import sys
import tempfile
import unittest
from unittest import mock

from hosts import PORT_BLOCK, free_ports, reserve

COUNT = 130
# Looks where this test looks, tells what it got, and lives until told to end.
OTHER = """
import sys
from unittest import mock
with mock.patch("os.getpid", lambda: 7):
    from hosts import free_ports
    print(free_ports(%d), flush=True)
sys.stdin.read()
""" % COUNT


class PortsTest(unittest.TestCase):
    def setUp(self):
        patched = mock.patch("os.getpid", lambda: 7)
        patched.start()
        self.addCleanup(patched.stop)

    def other(self):
        """The first port of another process that lives as long as the test."""
        process = subprocess.Popen(
            [sys.executable, "-c", OTHER], stdin=subprocess.PIPE,
            stdout=subprocess.PIPE, text=True,
            cwd=os.path.dirname(os.path.abspath(__file__)))
        self.addCleanup(process.communicate)
        return int(process.stdout.readline())

    def assert_apart(self, *firsts):
        firsts = sorted(firsts)
        for one, next_one in zip(firsts, firsts[1:]):
            self.assertGreaterEqual(next_one, one + COUNT)

    def test_processes_get_different_ports(self):
        self.assert_apart(self.other(), self.other(), free_ports(COUNT))

    def test_one_process_gets_different_ports(self):
        self.assert_apart(free_ports(COUNT), free_ports(COUNT))

    def test_all_blocks_that_a_range_touches_are_reserved(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        with mock.patch("tempfile.gettempdir", lambda: folder.name):
            first = 20 * PORT_BLOCK - 1
            locks = reserve(range(first, first + 2))
            self.assertFalse(reserve(range(first - 9, first)))
            self.assertFalse(reserve(range(first + 9, first + 99)))
            for lock in locks:
                lock.close()
            for lock in reserve(range(first - 9, first + 99)):
                self.addCleanup(lock.close)
                locks.append(lock)
            self.assertEqual(len(locks), 2 + 3)


unittest.main()

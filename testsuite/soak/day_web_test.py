#!/usr/bin/env python3
"""Checks that a day's tasks end without a word, and their errors are kept."""
import asyncio
import types
import unittest
from unittest import mock

from day_web import PeerProxy, Tasks, Ways
from hosts import free_ports


class DayWebTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.tasks, self.said = Tasks(), []
        asyncio.get_running_loop().set_exception_handler(
            lambda _, context: self.said.append(context))

    async def test_connection_that_is_being_made_as_the_day_ends(self):
        port = free_ports(2)
        owners = types.SimpleNamespace(of=lambda _: "h1")
        proxy = PeerProxy("h2", port, port + 1, Ways(None, self.tasks), owners)
        await proxy.open()
        connect, made = asyncio.open_connection, asyncio.Event()
        with mock.patch("asyncio.open_connection",
                        lambda *_: made.wait()):
            _, writer = await connect("127.0.0.1", port)
            while not self.tasks.open:
                await asyncio.sleep(0.01)
            await asyncio.sleep(0.01)
            proxy.close()
            await self.tasks.end()
        writer.transport.abort()
        await asyncio.sleep(0.01)
        self.assertEqual(self.said, [])
        self.assertIsNone(self.tasks.error)

    async def test_first_error_of_a_task_is_kept(self):
        async def fail(error):
            raise error
        first = KeyError("first")
        await asyncio.wait([self.tasks.begin(fail(first)),
                            self.tasks.begin(fail(KeyError("second")))])
        await self.tasks.end()
        self.assertIs(self.tasks.error, first)

    async def test_task_that_passes_over_its_first_end_is_ended(self):
        async def stay():
            try:
                await asyncio.sleep(60)
            except asyncio.CancelledError:
                await asyncio.sleep(60)
        self.tasks.begin(stay())
        await asyncio.sleep(0)
        await self.tasks.end()
        self.assertFalse(self.tasks.open)


unittest.main()

"""Calls for the changes of a table that get no answer, any number in a row, while
everything else works: calls of one table at a time, or all its answers late.
Targets may not hear the first stops of a run. None of it excuses a rule.
"""
import asyncio

TABLES = ["cancels", "cancels", "jobs"]
PAUSE_S = (0.2, 4.0)
# Calls in a row; a call takes a second or two.
MOST_CALLS = 12
MANY_CALLS_SHARE = 0.3
FEW_CALLS = 4
LATE_SHARE = 0.25
LATE_S = 0.6
LATE_FOR_S = (1.0, 6.0)
MOST_UNHEARD_STOPS = 2


class FeedFaults:
    """What befalls the calls for changes of each table."""

    def __init__(self, chance):
        self.random = chance
        self.unanswered = {}  # table -> how many of the next calls
        self.late_s = {}  # table -> the longest that an answer is late
        self.lost = 0

    def takes(self, table):
        """Whether the next call gets no answer."""
        left = self.unanswered.get(table, 0)
        self.unanswered[table] = max(0, left - 1)
        self.lost += left > 0
        return left > 0

    async def delay(self, table):
        await asyncio.sleep(self.random.uniform(0, self.late_s.get(table, 0)))


class LostFeeds:
    def __init__(self, troubles):
        self.world, self.random = troubles.world, troubles.random
        self.faults = self.world.store.feed_faults

    async def play(self, seconds):
        unheard = self.random.randint(0, MOST_UNHEARD_STOPS)
        self.world.note("unheard stops of a run: %d" % unheard)
        for target in self.world.targets:
            target.unheard_stops = unheard
        try:
            await asyncio.wait_for(self.play_on(), seconds)
        except asyncio.TimeoutError:
            pass
        self.faults.unanswered.clear()
        self.faults.late_s.clear()
        self.world.note("calls for changes without an answer: %d" %
                        self.faults.lost)

    async def play_on(self):
        while True:
            await asyncio.sleep(self.random.uniform(*PAUSE_S))
            table = self.random.choice(TABLES)
            if self.random.random() < LATE_SHARE:
                self.faults.late_s[table] = LATE_S
                await asyncio.sleep(self.random.uniform(*LATE_FOR_S))
                self.faults.late_s[table] = 0
                continue
            many = self.random.random() < MANY_CALLS_SHARE
            self.faults.unanswered[table] = self.random.randint(
                1, MOST_CALLS if many else FEW_CALLS)
            while self.faults.unanswered[table]:
                await asyncio.sleep(0.1)

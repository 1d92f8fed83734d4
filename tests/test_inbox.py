"""Tests of the inbox: order, cancelled readers and several threads."""

import random
import threading
import unittest

import curio

from fuchsiatrestle import inbox

ITEM_COUNT = 3000
THREAD_COUNT = 3


class InboxTest(unittest.TestCase):
    def test_cancelled_readers_lose_no_item_and_keep_the_order(self):
        async def scenario(rng):
            queue = inbox.Inbox()
            received_items = []

            async def read():
                while True:
                    received_items.append(await queue.get())

            reader = await curio.spawn(read)
            for item in range(ITEM_COUNT):
                queue.put(item)
                for _ in range(rng.randrange(4)):
                    await curio.sleep(0)
                if rng.random() < 0.5:
                    await reader.cancel(blocking=False)
                    reader = await curio.spawn(read)
            while len(received_items) < ITEM_COUNT:
                await curio.sleep(0.001)
            await reader.cancel()
            self.assertEqual(list(range(ITEM_COUNT)), received_items)
            self.assertFalse(queue._wakeups)

        for seed in range(5):
            with self.subTest(seed=seed):
                curio.run(
                    curio.timeout_after, 30, scenario, random.Random(seed)
                )

    def test_items_of_other_threads_arrive_once_and_in_order(self):
        queue = inbox.Inbox()

        def put_items(thread_number):
            for item in range(ITEM_COUNT):
                queue.put((thread_number, item))

        async def scenario():
            threads = [
                threading.Thread(target=put_items, args=(number,))
                for number in range(THREAD_COUNT)
            ]
            for thread in threads:
                thread.start()
            received_items = [[] for _ in threads]
            for _ in range(ITEM_COUNT * THREAD_COUNT):
                thread_number, item = await queue.get()
                received_items[thread_number].append(item)
            self.assertEqual(
                [list(range(ITEM_COUNT))] * THREAD_COUNT, received_items
            )

        curio.run(curio.timeout_after, 30, scenario)

    def test_readers_that_time_out_leave_nothing_behind(self):
        async def scenario():
            queue = inbox.Inbox()
            for _ in range(20):
                async with curio.ignore_after(0.001):
                    await queue.get()
            self.assertFalse(queue._wakeups)
            queue.put('item')
            self.assertEqual('item', await queue.get())

        curio.run(curio.timeout_after, 30, scenario)

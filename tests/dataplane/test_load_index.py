"""How much servers still have to read, summed over counters: the sums alone, and over the virtual network."""

import random
import unittest

import trio
from loguru import logger

from rowanshift.dataplane.load_index import (
    ASK_WITHIN,
    AVOIDED,
    FORMAT,
    KEPT,
    MAGIC,
    MOST_KEPT,
    MOST_TOKENS,
    RECORD,
    DatagramKind,
    LoadIndex,
    Sums,
)
from rowanshift.dataplane.ownership import owner_of
from rowanshift.dataplane.server_health import COUNT_HALF_LIFE_SECONDS
from rowanshift.placement.hash_ring import stable_hash
from rowanshift.simulation.clock import Determined, VirtualClock
from rowanshift.simulation.network import Network, Paths
from rowanshift.wire.machine_ids import ip_from_machine_id, machine_id_from_ip

PORT = 7002
PLAIN = dict(within=0.001, across=0.001, jitter=0.0, partial=0.0, lost=0.0, doubled=0.0, late=0.0)
SERVERS = [f"i-{n}" for n in range(12)]
ONE, OTHER = ("10.0.0.1", PORT), ("10.0.0.2", PORT)


def setUpModule():
    logger.disable("rowanshift")


def tearDownModule():
    logger.enable("rowanshift")


class Alone(unittest.TestCase):
    def setUp(self):
        self.sums = Sums()

    def test_what_is_added_and_done(self):
        self.sums.add(ONE, 1, 7, 100, 0.0)
        self.sums.add(ONE, 2, 7, 20, 0.0)
        self.sums.add(OTHER, 1, 7, 3, 0.0)
        self.sums.add(OTHER, 2, 8, 5, 0.0)
        self.assertEqual((self.sums.of(7, 1.0), self.sums.of(8, 1.0), self.sums.of(9, 1.0)), (123, 5, 0))
        self.sums.done(ONE, 1)
        self.assertEqual(self.sums.of(7, 1.0), 23)

    def test_done_twice_or_without_an_add(self):
        self.sums.add(ONE, 1, 7, 100, 0.0)
        self.sums.add(ONE, 2, 7, 20, 0.0)
        for _ in range(3):
            self.sums.done(ONE, 1)
            self.sums.done(OTHER, 1)
            self.sums.done(ONE, 9)
        self.assertEqual(self.sums.of(7, 0.0), 20)

    def test_an_add_that_comes_twice_counts_once(self):
        self.sums.add(ONE, 1, 7, 100, 0.0)
        self.sums.add(ONE, 1, 7, 100, 0.0)
        self.assertEqual(self.sums.of(7, 0.0), 100)
        self.sums.add(ONE, 1, 8, 50, 0.0)
        self.assertEqual((self.sums.of(7, 0.0), self.sums.of(8, 0.0)), (0, 50))

    def test_it_expires(self):
        self.sums.add(ONE, 1, 7, 100, 1.0)
        self.sums.add(ONE, 2, 7, 20, 2.0)
        self.assertEqual(self.sums.of(7, 1.0 + KEPT), 120)
        self.assertEqual(self.sums.of(7, 1.01 + KEPT), 20)
        self.assertEqual(self.sums.of(7, 2.01 + KEPT), 0)
        self.sums.done(ONE, 1)
        self.assertEqual((self.sums.open, self.sums.tokens), ({}, {}))

    def test_what_has_expired_goes_though_nobody_asks(self):
        for n in range(500):
            self.sums.add(ONE, n, n, 1, float(n))
        self.assertLessEqual(len(self.sums.open), KEPT + 2)
        self.assertEqual(len(self.sums.tokens), len(self.sums.open))

    def test_it_is_bounded(self):
        for n in range(MOST_KEPT + 50):
            self.sums.add(ONE, n, n % 3, 1, 0.0)
        self.assertEqual(len(self.sums.open), MOST_KEPT)
        self.assertEqual(sum(self.sums.tokens.values()), MOST_KEPT)
        self.assertNotIn((ONE, 49), self.sums.open)  # the oldest

    def test_a_server_that_lets_requests_wait_is_avoided(self):
        for n in range(4):
            self.sums.add(ONE, n, 7, 1, 0.1 * n)
            self.sums.add(OTHER, n, 8, 1, 0.1 * n)
            self.sums.ended(OTHER, n, DatagramKind.DONE, 0.1 * n + 0.05)
        self.assertEqual([self.sums.told(server, 0.35, False) for server in (7, 8)], [4, 0])
        self.assertEqual([self.sums.told(server, 0.75, False) for server in (7, 8)], [AVOIDED + 4, 0])

    def test_one_probe_at_a_time(self):
        for n in range(4):
            self.sums.add(ONE, n, 7, 1, 0.0)
            self.sums.ended(ONE, n, DatagramKind.FAILED, 0.1)
        told = [self.sums.told(7, at, wanted) for at, wanted in ((0.2, False), (0.2, True), (0.2, True), (0.75, True))]
        self.assertEqual(told, [AVOIDED, 0, AVOIDED, 0])

    def test_it_is_tried_again_by_itself(self):
        for n in range(4):
            self.sums.add(ONE, n, 7, 1, 0.0)
            self.sums.ended(ONE, n, DatagramKind.FAILED, 0.1)
        self.assertEqual([self.sums.told(7, at, False) for at in (1.0, 2.0)], [AVOIDED, 0])

    def test_an_answer_that_comes_after_it_was_overdue_counts_once_and_badly(self):
        self.sums.add(ONE, 1, 7, 1, 0.0)
        self.sums.told(7, 1.0, False)
        self.sums.ended(ONE, 1, DatagramKind.DONE, 1.0)
        health = self.sums.health.servers[7]
        self.assertEqual((health.succeeded, health.failed), (0, 1))
        self.assertEqual((self.sums.open, self.sums.tokens, self.sums.overdue), ({}, {}, {}))

    def test_a_slow_server_that_answers_others_meanwhile_is_not_avoided(self):
        for n in range(9):
            self.sums.add(ONE, n, 7, 1, 0.0)
        for n in range(3):
            self.sums.ended(ONE, n, DatagramKind.DONE, 0.3)
        self.assertEqual(self.sums.told(7, 0.9, False), 6)
        for n in range(3, 9):
            self.sums.ended(ONE, n, DatagramKind.FAILED, 1.0)
        self.assertEqual(self.sums.told(7, 1.0, False), AVOIDED)

    def test_those_that_may_become_overdue_are_bounded(self):
        self.sums.add(ONE, 0, 7, MOST_TOKENS, 0.0)  # due in a day: those behind it wait
        waiting = []
        for n in range(1, MOST_KEPT + 50):
            self.sums.add(ONE, n, 7, 1, 0.1)
            self.sums.done(ONE, n)
            waiting.append(len(self.sums.in_time))
        self.assertEqual(max(waiting), MOST_KEPT)

    def test_one_that_is_never_due_holds_others_up_no_longer_than_it_is_kept(self):
        self.sums.add(ONE, 0, 7, MOST_TOKENS, 0.0)
        self.sums.add(ONE, 1, 8, 1, 0.1)
        self.sums.add(OTHER, 0, 9, 1, 1.0 + KEPT)
        self.assertEqual(len(self.sums.in_time), 1)

    def test_what_says_nothing_of_the_server(self):
        for n in range(9):
            self.sums.add(ONE, n, 7, 1, 0.0)
            self.sums.ended(ONE, n, DatagramKind.DROPPED, 0.1)
        self.assertEqual(self.sums.health.servers, {})

    def test_drawn_calls_against_a_plain_sum(self):
        random_source, now, kept = random.Random(1), 0.0, {}
        for _ in range(5000):
            now += random_source.expovariate(20)
            who, call = random_source.choice((ONE, OTHER)), random_source.randrange(200)
            if random_source.random() < 0.6:
                kept[who, call] = random_source.randrange(4), random_source.randrange(3000), now + KEPT
                self.sums.add(who, call, *kept[who, call][:2], now)
            else:
                kept.pop((who, call), None)
                self.sums.done(who, call)
            server = random_source.randrange(4)
            expected = sum(tokens for of, tokens, until in kept.values() if of == server and until >= now)
            self.assertEqual(self.sums.of(server, now), expected)


class Members(unittest.TestCase):
    def test_members_that_change_move_only_their_keys(self):
        members = [machine_id_from_ip(f"10.0.0.{n}") for n in range(1, 8)]
        before = {f"k{n}": owner_of(f"k{n}", members) for n in range(2000)}
        for gone in members:
            left = [member for member in members if member != gone]
            share = sum(member == gone for member in before.values())
            self.assertTrue(180 < share < 400, share)
            for key, had in before.items():
                moved = owner_of(key, reversed(left))
                self.assertTrue(moved == had if had != gone else moved in left)

    def test_no_members(self):
        self.assertIsNone(owner_of("k", ()))


class Shared(unittest.TestCase):
    def run_all(self, main, count=3, **paths):
        """Runs ``main(network, loads)`` with so many counters, each on its machine."""
        clock = VirtualClock()
        network = Network(clock, "t", Paths(**PLAIN | paths))

        async def all_of():
            machines = [network.machine(f"c{n}", n) for n in range(count)]
            loads = [
                LoadIndex(machine, (machine.address, PORT), machine_id_from_ip(machine.address)) for machine in machines
            ]
            async with trio.open_nursery() as nursery:
                for machine, one in zip(machines, loads, strict=True):
                    one.meet(tuple(other.machine for other in loads))
                    nursery.start_soon(machine.run, one.run)
                await trio.sleep(0.01)
                result = await main(network, loads)
                nursery.cancel_scope.cancel()
            return result

        with Determined("t"):
            return trio.run(all_of, clock=clock)

    def held_by(self, one, loads):
        """The servers whose sums that counter keeps."""
        return [server for server in SERVERS if owner_of(server, one.peers or loads[0].peers) == one.machine]

    def test_several_counters_agree(self):
        async def main(network, loads):
            told, random_source, expected = [], random.Random(1), dict.fromkeys(SERVERS, 0)
            for one in loads:
                for server in SERVERS:
                    tokens = random_source.randrange(1, 5000)
                    told.append((one, await one.add(server, tokens), tokens))
                    expected[server] += tokens
            await trio.sleep(0.1)
            self.assertEqual([await one.ask(SERVERS) for one in loads], [expected] * len(loads))
            for one, call, tokens in told[::2]:
                await one.ended(call, DatagramKind.DONE)
                await one.ended(call, DatagramKind.DONE)
                expected[call[0]] -= tokens
            await trio.sleep(0.1)
            self.assertEqual([await one.ask(SERVERS) for one in loads], [expected] * len(loads))
            await trio.sleep(KEPT + 0.1)
            self.assertIn(AVOIDED, (await loads[0].ask(SERVERS)).values())  # some were overdue
            await trio.sleep(4 * COUNT_HALF_LIFE_SECONDS)
            nothing = dict.fromkeys(SERVERS, 0)
            self.assertEqual([await one.ask(SERVERS) for one in loads], [nothing] * len(loads))
            self.assertEqual([(one.lost, one.waits) for one in loads], [(0, {})] * len(loads))

        self.run_all(main)

    def test_a_dead_holder_costs_at_most_the_wait(self):
        async def main(network, loads):
            dead = loads[1]
            dead.host.kill()
            for how in ("refused", "away"):
                dead.host.away = how == "away"
                at = trio.current_time()
                found = await loads[0].ask(SERVERS)
                took = trio.current_time() - at
                self.assertLessEqual(took, ASK_WITHIN + 1e-6)
                self.assertEqual(set(found), set(SERVERS) - set(self.held_by(dead, loads)))
            self.assertEqual((loads[0].lost, loads[0].waits), (2, {}))
            await loads[0].ended(await loads[0].add(self.held_by(dead, loads)[0], 5), DatagramKind.DONE)

        self.run_all(main)

    def test_no_wait_for_what_is_held_here(self):
        async def main(network, loads):
            server = self.held_by(loads[0], loads)[0]
            await loads[0].add(server, 5)
            at = trio.current_time()
            self.assertEqual(await loads[0].ask([server]), {server: 5})
            self.assertEqual(trio.current_time(), at)

        self.run_all(main)

    def test_an_answer_that_comes_too_late_is_dropped(self):
        async def main(network, loads):
            found = await loads[0].ask(SERVERS)
            self.assertEqual(set(found), set(self.held_by(loads[0], loads)))
            await trio.sleep(0.5)
            self.assertEqual((loads[0].waits, loads[0].lost), ({}, 1))

        self.run_all(main, across=0.02)

    def test_one_who_gives_up_leaves_nothing_behind(self):
        async def main(network, loads):
            loads[1].host.kill()
            with trio.move_on_after(ASK_WITHIN / 2):
                await loads[0].ask(SERVERS)
            self.assertEqual(loads[0].waits, {})

        self.run_all(main)

    def test_a_counter_that_is_no_member_shares_nothing(self):
        async def main(network, loads):
            loads[0].meet(tuple(one.machine for one in loads[1:]))
            self.assertEqual(await loads[0].ask(SERVERS), {})
            await loads[0].ended(await loads[0].add(SERVERS[0], 5), DatagramKind.DONE)
            await trio.sleep(0.1)
            self.assertEqual([one.sums.tokens for one in loads], [{}] * len(loads))

        self.run_all(main)

    def test_a_member_that_goes_moves_only_its_keys(self):
        async def main(network, loads):
            for server in SERVERS:
                await loads[0].add(server, 5)
            await trio.sleep(0.1)
            lost = self.held_by(loads[2], loads)
            for one in loads[:2]:
                one.meet(tuple(other.machine for other in loads[:2]))
            expected = {server: 0 if server in lost else 5 for server in SERVERS}
            self.assertTrue(0 < len(lost) < len(SERVERS))
            self.assertEqual([await one.ask(SERVERS) for one in loads[:2]], [expected] * 2)

        self.run_all(main)

    def test_foreign_datagrams_change_nothing(self):
        async def main(network, loads):
            await loads[0].add(self.held_by(loads[0], loads)[0], 5)
            stranger = network.machine("stranger", 9)
            stranger.running = True
            port, to, random_source = stranger.port((stranger.address, PORT)), loads[0].address, random.Random(2)
            mark = stable_hash(SERVERS[0])
            good = RECORD.pack(MAGIC, FORMAT, DatagramKind.ADD, 1, mark, 100)
            wrong = [
                b"",
                good[:-1],
                good + b"\0",
                b"RS" + good[2:],
                good[:2] + bytes([FORMAT + 1]) + good[3:],
                good[:3] + b"\x09" + good[4:],
                RECORD.pack(MAGIC, FORMAT, DatagramKind.TOLD, 1, mark, 100),
                RECORD.pack(MAGIC, FORMAT, DatagramKind.DONE, 1, mark, 0),
            ]
            wrong += [random_source.randbytes(random_source.randrange(40)) for _ in range(1000)]
            before = dict(loads[0].sums.tokens)
            for payload in wrong:
                await port.send(payload, to)
                await trio.sleep(0.0001)
            await trio.sleep(0.1)
            self.assertEqual(loads[0].sums.tokens, before)
            self.assertEqual(loads[0].waits, {})
            await port.send(RECORD.pack(MAGIC, FORMAT, DatagramKind.ASK, 77, mark, 0), to)
            with trio.fail_after(1):
                answer, _ = await port.receive(100)
            self.assertEqual(RECORD.unpack(answer)[2:5], (DatagramKind.TOLD, 77, mark))

        self.run_all(main)

    def test_an_answer_of_another_server_is_not_taken(self):
        async def main(network, loads):
            server = self.held_by(loads[1], loads)[0]
            loads[1].host.kill()
            async with trio.open_nursery() as nursery:
                found = []

                async def ask():
                    found.append(await loads[0].ask([server]))

                nursery.start_soon(ask)
                await trio.sleep(ASK_WITHIN / 4)
                (call,) = loads[0].waits
                await loads[2]._send(loads[0].address, DatagramKind.TOLD, call, stable_hash("i-foreign"), 9)
                await loads[2]._send(loads[0].address, DatagramKind.TOLD, call + 1, stable_hash(server), 9)
            self.assertEqual(found, [{}])

        self.run_all(main)

    def test_more_tokens_than_a_datagram_holds(self):
        async def main(network, loads):
            server = self.held_by(loads[1], loads)[0]
            await loads[0].add(server, 10**30)
            await loads[2].add(server, 10**30)
            await trio.sleep(0.1)
            self.assertEqual((await loads[0].ask([server]))[server], MOST_TOKENS)
            self.assertEqual((await loads[1].ask([server]))[server], 2 * MOST_TOKENS)

        self.run_all(main)

    def test_on_bad_paths_answers_are_right_or_missing(self):
        async def main(network, loads):
            for server in SERVERS:
                await loads[0].add(server, 5)
            await trio.sleep(0.5)
            for _ in range(50):
                found = await loads[2].ask(SERVERS)
                self.assertLessEqual(set(found.values()), {0, 5})
            self.assertEqual(loads[2].waits, {})

        self.run_all(main, lost=0.2, doubled=0.2, late=0.1, jitter=0.5)

    def test_addresses_and_machines(self):
        for ip in ("0.0.0.0", "10.0.0.1", "127.1.0.3", "255.255.255.255"):
            self.assertEqual(ip_from_machine_id(machine_id_from_ip(ip)), ip)


if __name__ == "__main__":
    unittest.main()

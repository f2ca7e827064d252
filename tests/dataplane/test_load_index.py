"""The load index of several routers, over the simulated network."""

import random
import unittest

import trio
from loguru import logger

from rowanshift.dataplane.load_datagrams import (
    FORMAT,
    MAX_DATAGRAM_TOKENS,
    DatagramKind,
    decode_datagram,
    encode_datagram,
)
from rowanshift.dataplane.load_index import QUERY_TIMEOUT_SECONDS, LoadIndex
from rowanshift.dataplane.ownership import owner_of
from rowanshift.dataplane.server_health import COUNT_HALF_LIFE_SECONDS
from rowanshift.dataplane.server_loads import AVOIDED_SERVER_TOKENS, PENDING_REQUEST_TTL_SECONDS
from rowanshift.placement.hash_ring import stable_hash
from rowanshift.simulation.clock import DeterministicScheduling, VirtualClock
from rowanshift.simulation.network import Network, Paths
from rowanshift.wire.machine_ids import ip_from_machine_id, machine_id_from_ip

PORT = 7002
PLAIN = dict(within=0.001, across=0.001, jitter=0.0, partial=0.0, lost=0.0, doubled=0.0, late=0.0)
SERVERS = [f"i-{n}" for n in range(12)]


def setUpModule():
    logger.disable("rowanshift")


def tearDownModule():
    logger.enable("rowanshift")


class LoadIndexTest(unittest.TestCase):
    def run_all(self, main, count=3, **paths):
        """Run ``main(network, loads)`` with ``count`` routers, each on its own machine."""
        clock = VirtualClock()
        network = Network(clock, "t", Paths(**PLAIN | paths))

        async def run_routers():
            machines = [network.machine(f"c{n}", n) for n in range(count)]
            loads = [
                LoadIndex(machine, (machine.address, PORT), machine_id_from_ip(machine.address)) for machine in machines
            ]
            async with trio.open_nursery() as nursery:
                for machine, one in zip(machines, loads, strict=True):
                    one.set_peers(tuple(other.machine for other in loads))
                    nursery.start_soon(machine.run, one.run)
                await trio.sleep(0.01)
                result = await main(network, loads)
                nursery.cancel_scope.cancel()
            return result

        with DeterministicScheduling("t"):
            return trio.run(run_routers, clock=clock)

    def owned_by(self, one, loads):
        """The servers whose loads the router ``one`` owns."""
        return [server for server in SERVERS if owner_of(server, one.peers or loads[0].peers) == one.machine]

    def test_all_routers_get_the_same_loads(self):
        async def main(network, loads):
            reported, random_source, expected = [], random.Random(1), dict.fromkeys(SERVERS, 0)
            for one in loads:
                for server in SERVERS:
                    tokens = random_source.randrange(1, 5000)
                    reported.append((one, await one.report_sent(server, tokens), tokens))
                    expected[server] += tokens
            await trio.sleep(0.1)
            self.assertEqual([await one.query(SERVERS) for one in loads], [expected] * len(loads))
            for one, request, tokens in reported[::2]:
                await one.report_end(request, DatagramKind.FIRST_BYTES_RECEIVED)
                await one.report_end(request, DatagramKind.FIRST_BYTES_RECEIVED)
                expected[request[0]] -= tokens
            await trio.sleep(0.1)
            self.assertEqual([await one.query(SERVERS) for one in loads], [expected] * len(loads))
            await trio.sleep(PENDING_REQUEST_TTL_SECONDS + 0.1)
            self.assertIn(
                AVOIDED_SERVER_TOKENS, (await loads[0].query(SERVERS)).values()
            )  # expired requests count as failures
            await trio.sleep(4 * COUNT_HALF_LIFE_SECONDS)
            nothing = dict.fromkeys(SERVERS, 0)
            self.assertEqual([await one.query(SERVERS) for one in loads], [nothing] * len(loads))
            self.assertEqual([(one.incomplete_queries, one.queries) for one in loads], [(0, {})] * len(loads))

        self.run_all(main)

    def test_a_dead_owner_delays_a_query_by_its_timeout_at_most(self):
        async def main(network, loads):
            dead = loads[1]
            dead.runtime.kill()
            for how in ("refused", "away"):
                dead.runtime.away = how == "away"
                started_at = trio.current_time()
                found = await loads[0].query(SERVERS)
                duration = trio.current_time() - started_at
                self.assertLessEqual(duration, QUERY_TIMEOUT_SECONDS + 1e-6)
                self.assertEqual(set(found), set(SERVERS) - set(self.owned_by(dead, loads)))
            self.assertEqual((loads[0].incomplete_queries, loads[0].queries), (2, {}))
            await loads[0].report_end(
                await loads[0].report_sent(self.owned_by(dead, loads)[0], 5), DatagramKind.FIRST_BYTES_RECEIVED
            )

        self.run_all(main)

    def test_a_query_of_a_load_owned_by_the_router_itself_does_not_wait(self):
        async def main(network, loads):
            server = self.owned_by(loads[0], loads)[0]
            await loads[0].report_sent(server, 5)
            started_at = trio.current_time()
            self.assertEqual(await loads[0].query([server]), {server: 5})
            self.assertEqual(trio.current_time(), started_at)

        self.run_all(main)

    def test_a_late_response_is_dropped(self):
        async def main(network, loads):
            found = await loads[0].query(SERVERS)
            self.assertEqual(set(found), set(self.owned_by(loads[0], loads)))
            await trio.sleep(0.5)
            self.assertEqual((loads[0].queries, loads[0].incomplete_queries), ({}, 1))

        self.run_all(main, across=0.02)

    def test_a_cancelled_query_is_removed(self):
        async def main(network, loads):
            loads[1].runtime.kill()
            with trio.move_on_after(QUERY_TIMEOUT_SECONDS / 2):
                await loads[0].query(SERVERS)
            self.assertEqual(loads[0].queries, {})

        self.run_all(main)

    def test_a_router_that_is_not_a_member_neither_reports_nor_queries(self):
        async def main(network, loads):
            loads[0].set_peers(tuple(one.machine for one in loads[1:]))
            self.assertEqual(await loads[0].query(SERVERS), {})
            await loads[0].report_end(await loads[0].report_sent(SERVERS[0], 5), DatagramKind.FIRST_BYTES_RECEIVED)
            await trio.sleep(0.1)
            self.assertEqual([one.server_loads.tokens for one in loads], [{}] * len(loads))

        self.run_all(main)

    def test_when_a_member_leaves_only_its_loads_change_owner(self):
        async def main(network, loads):
            for server in SERVERS:
                await loads[0].report_sent(server, 5)
            await trio.sleep(0.1)
            lost = self.owned_by(loads[2], loads)
            for one in loads[:2]:
                one.set_peers(tuple(other.machine for other in loads[:2]))
            expected = {server: 0 if server in lost else 5 for server in SERVERS}
            self.assertTrue(0 < len(lost) < len(SERVERS))
            self.assertEqual([await one.query(SERVERS) for one in loads[:2]], [expected] * 2)

        self.run_all(main)

    def test_invalid_and_unexpected_datagrams_have_no_effect(self):
        async def main(network, loads):
            await loads[0].report_sent(self.owned_by(loads[0], loads)[0], 5)
            stranger = network.machine("stranger", 9)
            stranger.running = True
            port, to, random_source = stranger.port((stranger.address, PORT)), loads[0].address, random.Random(2)
            server_hash = stable_hash(SERVERS[0])
            valid = encode_datagram(DatagramKind.REQUEST_SENT, 1, server_hash, 100)
            ignored = [
                b"",
                valid[:-1],
                valid + b"\0",
                b"RS" + valid[2:],
                valid[:2] + bytes([FORMAT + 1]) + valid[3:],
                valid[:3] + b"\x09" + valid[4:],
                encode_datagram(DatagramKind.QUERY_RESPONSE, 1, server_hash, 100),
                encode_datagram(DatagramKind.FIRST_BYTES_RECEIVED, 1, server_hash, 0),
            ]
            ignored += [random_source.randbytes(random_source.randrange(40)) for _ in range(1000)]
            before = dict(loads[0].server_loads.tokens)
            for payload in ignored:
                await port.send(payload, to)
                await trio.sleep(0.0001)
            await trio.sleep(0.1)
            self.assertEqual(loads[0].server_loads.tokens, before)
            self.assertEqual(loads[0].queries, {})
            await port.send(encode_datagram(DatagramKind.QUERY, 77, server_hash, 0), to)
            with trio.fail_after(1):
                answer, _ = await port.receive(100)
            self.assertEqual(decode_datagram(answer)[:3], (DatagramKind.QUERY_RESPONSE, 77, server_hash))

        self.run_all(main)

    def test_a_response_about_another_server_or_query_is_ignored(self):
        async def main(network, loads):
            server = self.owned_by(loads[1], loads)[0]
            loads[1].runtime.kill()
            async with trio.open_nursery() as nursery:
                found = []

                async def ask():
                    found.append(await loads[0].query([server]))

                nursery.start_soon(ask)
                await trio.sleep(QUERY_TIMEOUT_SECONDS / 4)
                (number,) = loads[0].queries
                await loads[2]._send(loads[0].address, DatagramKind.QUERY_RESPONSE, number, stable_hash("i-foreign"), 9)
                await loads[2]._send(loads[0].address, DatagramKind.QUERY_RESPONSE, number + 1, stable_hash(server), 9)
            self.assertEqual(found, [{}])

        self.run_all(main)

    def test_token_counts_are_capped_at_the_maximum_of_a_datagram(self):
        async def main(network, loads):
            server = self.owned_by(loads[1], loads)[0]
            await loads[0].report_sent(server, 10**30)
            await loads[2].report_sent(server, 10**30)
            await trio.sleep(0.1)
            self.assertEqual((await loads[0].query([server]))[server], MAX_DATAGRAM_TOKENS)
            self.assertEqual((await loads[1].query([server]))[server], 2 * MAX_DATAGRAM_TOKENS)

        self.run_all(main)

    def test_on_an_unreliable_network_responses_are_correct_or_missing(self):
        async def main(network, loads):
            for server in SERVERS:
                await loads[0].report_sent(server, 5)
            await trio.sleep(0.5)
            for _ in range(50):
                found = await loads[2].query(SERVERS)
                self.assertLessEqual(set(found.values()), {0, 5})
            self.assertEqual(loads[2].queries, {})

        self.run_all(main, lost=0.2, doubled=0.2, late=0.1, jitter=0.5)

    def test_machine_ids_convert_back_to_addresses(self):
        for ip in ("0.0.0.0", "10.0.0.1", "127.1.0.3", "255.255.255.255"):
            self.assertEqual(ip_from_machine_id(machine_id_from_ip(ip)), ip)


if __name__ == "__main__":
    unittest.main()

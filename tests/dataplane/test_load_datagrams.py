"""The layout of the datagrams between routers."""

import unittest

from rowanshift.dataplane.load_datagrams import (
    DATAGRAM_BYTES,
    MAX_DATAGRAM_TOKENS,
    DatagramKind,
    LoadDatagram,
    decode_datagram,
    encode_datagram,
)

BYTES = bytes.fromhex("524c01 02 00000007 0102030405060708 000003e8")


class Layout(unittest.TestCase):
    def test_layout(self) -> None:
        datagram = LoadDatagram(DatagramKind.REQUEST_SENT, 7, 0x0102030405060708, 1000)
        self.assertEqual(encode_datagram(DatagramKind.REQUEST_SENT, 7, 0x0102030405060708, 1000), BYTES)
        self.assertEqual(decode_datagram(BYTES), datagram)
        self.assertEqual(len(BYTES), DATAGRAM_BYTES)

    def test_numbers_of_the_kinds(self) -> None:
        names = "QUERY", "QUERY_RESPONSE", "REQUEST_SENT", "FIRST_BYTES_RECEIVED", "REQUEST_FAILED", "REQUEST_ABANDONED"
        self.assertEqual([(kind.value, kind.name) for kind in DatagramKind], list(enumerate(names)))

    def test_the_number_of_tokens_is_capped(self) -> None:
        payload = encode_datagram(DatagramKind.QUERY_RESPONSE, 1, 2, 10**30)
        self.assertEqual(decode_datagram(payload), (1, 1, 2, MAX_DATAGRAM_TOKENS))

    def test_bytes_of_another_format(self) -> None:
        for payload in (b"", BYTES[:-1], BYTES + b"\0", b"RS" + BYTES[2:], BYTES[:2] + b"\x02" + BYTES[3:]):
            with self.subTest(payload=payload):
                self.assertIsNone(decode_datagram(payload))


if __name__ == "__main__":
    unittest.main()

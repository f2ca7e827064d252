"""Records and frames: round trips at the limits of each field type, and malformed bytes."""

import random
import unittest
from contextlib import suppress
from pathlib import Path

import msgspec
import orjson

from rowanshift.controlplane import record_kinds, replication
from rowanshift.controlplane.control_state import unpack
from rowanshift.wire import control_updates
from rowanshift.wire.codec import FORMAT, FRAME_HEADER, MAGIC, MAX_RECORD_BYTES, Codec, FrameDecoder
from rowanshift.wire.errors import MalformedRecord
from rowanshift.wire.field_types import (
    BOOL,
    BYTES,
    FLOAT64,
    TEXT,
    UINT64,
    UINT64_LIST,
    UINT64_PAIR,
    VERSION_MAP,
    ByteReader,
    RecordLayout,
    RecordListType,
)

UINT64_MAX = 2**64 - 1
NUMBERS = (0, 1, 255, 2**32, 2**53, UINT64_MAX)
TEXTS = ("", "a", "naïve ☃ 𝄞", "\x00", "x" * 65_535)


class Measured(msgspec.Struct, frozen=True):
    """A record with a floating-point number, which no registered kind has."""

    value: float


def random_value(random_source, field_type):
    match field_type:
        case RecordLayout():
            return field_type.record_type(
                *(random_value(random_source, part_type) for part_type in field_type.field_types.values())
            )
        case RecordListType():
            return tuple(random_value(random_source, field_type.layout) for _ in range(random_source.choice((0, 1, 3))))
    if field_type is UINT64:
        return random_source.choice((*NUMBERS, random_source.getrandbits(64)))
    if field_type is BOOL:
        return random_source.random() < 0.5
    if field_type is TEXT:
        return random_source.choice(TEXTS[:4])
    if field_type is BYTES:
        return random_source.randbytes(random_source.choice((0, 1, 7, 300)))
    if field_type is UINT64_PAIR:
        return random_source.choice(NUMBERS), random_source.getrandbits(64)
    if field_type is UINT64_LIST:
        return tuple(random_source.choice(NUMBERS) for _ in range(random_source.choice((0, 1, 5))))
    if field_type is VERSION_MAP:
        return {f"m{n}": random_source.choice(NUMBERS) for n in range(random_source.choice((0, 1, 4)))}
    raise TypeError(f"no random values for field type {field_type}")


def random_records(random_source, count):
    """``count`` random records of each kind."""
    return [random_value(random_source, layout) for layout in record_kinds.CODEC.layouts.values() for _ in range(count)]


def layouts_of(codec):
    """The layouts of all kinds of a codec and of the records nested in them."""
    pending, found = [*codec.layouts.values()], []
    while pending:
        layout = pending.pop()
        found.append(layout)
        for field_type in layout.field_types.values():
            inner = field_type.layout if isinstance(field_type, RecordListType) else field_type
            if isinstance(inner, RecordLayout):
                pending.append(inner)
    return found


def decode_frame(data):
    ((kind, call, body),) = FrameDecoder().feed(data)
    return record_kinds.CODEC.unpack(kind, body), call


class RoundTrip(unittest.TestCase):
    def test_every_kind_with_random_fields(self):
        for n, record in enumerate(random_records(random.Random(1), 40)):
            self.assertEqual(decode_frame(record_kinds.CODEC.pack(record, n)), (record, n))

    def test_a_layout_names_all_fields_in_order(self):
        for layout in layouts_of(record_kinds.CODEC):
            self.assertEqual([*layout.record_type.__struct_fields__], [*layout.field_types])
        with self.assertRaisesRegex(TypeError, "Redirect"):
            RecordLayout(control_updates.Redirect, core_machines=UINT64_LIST, primary=UINT64)
        with self.assertRaisesRegex(TypeError, "Redirect"):
            RecordLayout(control_updates.Redirect, primary=UINT64)

    def test_routers_and_core_machines_use_the_same_number_for_a_kind(self):
        layouts = record_kinds.CODEC.layouts
        self.assertEqual({**layouts, **control_updates.CONTROL_UPDATE_LAYOUTS}, layouts)
        self.assertEqual(len(record_kinds.CODEC.kinds), len(layouts))
        poll = control_updates.Poll(1, 2, (3, 4), 5, (6, 7), (8, 9), (10, 11), 500)
        self.assertEqual(control_updates.CONTROL_UPDATE_CODEC.pack(poll, 9), record_kinds.CODEC.pack(poll, 9))

    def test_the_minimum_size_is_that_of_an_empty_record(self):
        empty = {UINT64: 0, BOOL: False, TEXT: "", BYTES: b"", UINT64_PAIR: (0, 0), UINT64_LIST: (), VERSION_MAP: {}}
        for layout in record_kinds.CODEC.layouts.values():
            if not any(isinstance(field_type, RecordLayout) for field_type in layout.field_types.values()):
                record = layout.record_type(*(empty.get(part_type, ()) for part_type in layout.field_types.values()))
                self.assertEqual(len(layout.encode(record)), layout.minimum_size, layout.record_type)

    def test_integers_at_their_limits(self):
        for number in NUMBERS:
            record = record_kinds.Hello(number)
            self.assertEqual(decode_frame(record_kinds.CODEC.pack(record))[0], record)

    def test_call_numbers_at_their_limits(self):
        for call in (0, 1, 2**32 - 1):
            self.assertEqual(decode_frame(record_kinds.CODEC.pack(record_kinds.Hello(1), call))[1], call)

    def test_texts_at_their_limits(self):
        for text in TEXTS:
            server = control_updates.ServerRecord(
                text, "s", "a:1", "", 1, control_updates.SERVER_UP | control_updates.SERVER_LOADING, {text: UINT64_MAX}
            )
            update = control_updates.Update((0, 0), 0, False, 0, b"", {}, (1, 1), True, (server,))
            self.assertEqual(decode_frame(control_updates.CONTROL_UPDATE_CODEC.pack(update))[0], update)

    def test_the_longest_tuple_and_dict(self):
        redirect = control_updates.Redirect(0, tuple(range(65_535)))
        self.assertEqual(decode_frame(record_kinds.CODEC.pack(redirect))[0], redirect)
        versions = {str(n): n for n in range(65_535)}
        update = control_updates.Update((0, 0), 0, False, 0, b"", versions, (0, 0), False)
        self.assertEqual(decode_frame(record_kinds.CODEC.pack(update))[0], update)

    def test_a_large_body(self):
        store = replication.Store(1, replication.StateVersion(2, 3), random.Random(1).randbytes(3 << 20))
        self.assertEqual(decode_frame(record_kinds.CODEC.pack(store))[0], store)

    def test_floating_point_numbers(self):
        codec = Codec({1: RecordLayout(Measured, value=FLOAT64)})
        for value in (0.0, -0.0, 1e-308, -1.5, 1.7976931348623157e308, float("inf")):
            body = codec.pack(Measured(value))[FRAME_HEADER.size :]
            self.assertEqual(repr(codec.unpack(1, body).value), repr(value))

    def test_pre_encoded_records_give_the_same_bytes(self):
        server = control_updates.ServerRecord("i", "s", "a:1", "z", 2, control_updates.SERVER_DRAINING, {"m": 3})
        fields = ((1, 2), 3, True, 4, b"c", {"m": 1}, (5, 6), True)
        encoded = control_updates.SERVER_RECORDS.encode((server, server))
        self.assertEqual(
            control_updates.CONTROL_UPDATE_CODEC.pack(control_updates.Update(*fields, encoded)),
            control_updates.CONTROL_UPDATE_CODEC.pack(control_updates.Update(*fields, (server, server))),
        )


class FramesInPieces(unittest.TestCase):
    def setUp(self):
        self.records = random_records(random.Random(2), 4)
        self.data = b"".join(record_kinds.CODEC.pack(record, n) for n, record in enumerate(self.records))

    def decode_all(self, pieces):
        frames = FrameDecoder()
        decoded = [frame for piece in pieces for frame in frames.feed(piece)]
        self.assertEqual(bytes(frames.buffer), b"")
        self.assertEqual([call for _, call, _ in decoded], list(range(len(self.records))))
        return [record_kinds.CODEC.unpack(kind, body) for kind, _, body in decoded]

    def test_byte_by_byte(self):
        self.assertEqual(
            self.decode_all(self.data[offset : offset + 1] for offset in range(len(self.data))), self.records
        )

    def test_all_at_once(self):
        self.assertEqual(self.decode_all([self.data]), self.records)

    def test_pieces_of_random_sizes(self):
        for seed in range(50):
            random_source, offset, pieces = random.Random(seed), 0, []
            while offset < len(self.data):
                size = random_source.choice((0, 1, 3, 11, 12, 13, 97, 1000))
                pieces.append(memoryview(self.data)[offset : offset + size])
                offset += size
            self.assertEqual(self.decode_all(pieces), self.records)

    def test_an_incomplete_frame_is_not_returned(self):
        frame, frames = record_kinds.CODEC.pack(record_kinds.Hello(7)), FrameDecoder()
        self.assertEqual(frames.feed(frame[:-1]), [])
        self.assertEqual(len(frames.feed(frame[-1:])), 1)


class MalformedFrames(unittest.TestCase):
    def assert_refused(self, magic=MAGIC, frame_format=FORMAT, size=8):
        with self.assertRaises(MalformedRecord):
            FrameDecoder().feed(FRAME_HEADER.pack(magic, frame_format, 16, 0, size))

    def test_another_magic_number(self):
        for magic in (b"RL", b"\0\0", b"SR", b"HT"):
            self.assert_refused(magic=magic)

    def test_another_format(self):
        for frame_format in (0, FORMAT + 1, 255):
            self.assert_refused(frame_format=frame_format)
        frame = bytearray(record_kinds.CODEC.pack(record_kinds.Hello(7)))
        frame[2] = FORMAT + 1
        with self.assertRaises(MalformedRecord):
            FrameDecoder().feed(bytes(frame))

    def test_a_frame_of_another_format_after_a_valid_frame(self):
        frames, good = FrameDecoder(), record_kinds.CODEC.pack(record_kinds.Hello(7))
        self.assertEqual(len(frames.feed(good)), 1)
        with self.assertRaises(MalformedRecord):
            frames.feed(good[:2] + bytes([FORMAT + 1]) + good[3:])

    def test_a_body_that_is_too_long(self):
        self.assert_refused(size=MAX_RECORD_BYTES + 1)
        self.assert_refused(size=2**32 - 1)
        frames = FrameDecoder()
        self.assertEqual(frames.feed(FRAME_HEADER.pack(MAGIC, FORMAT, 16, 0, MAX_RECORD_BYTES)), [])

    def test_random_bytes(self):
        random_source, refused = random.Random(3), 0
        for _ in range(3000):
            try:
                FrameDecoder().feed(random_source.randbytes(random_source.randrange(40)))
            except MalformedRecord:
                refused += 1
        self.assertGreater(refused, 1500)


class MalformedRecords(unittest.TestCase):
    def bodies(self, count=3):
        return [
            (*FrameDecoder().feed(record_kinds.CODEC.pack(record))[0][::2], record)
            for record in random_records(random.Random(4), count)
        ]

    def test_unknown_kinds(self):
        for kind in set(range(256)) - set(record_kinds.CODEC.layouts):
            with self.assertRaises(MalformedRecord):
                record_kinds.CODEC.unpack(kind, b"")
        for kind in record_kinds.REPLICATION_LAYOUTS:
            with self.assertRaises(MalformedRecord):
                control_updates.CONTROL_UPDATE_CODEC.unpack(kind, bytes(8))

    def test_records_truncated_at_each_byte(self):
        for kind, body, _ in self.bodies():
            for end in range(len(body)):
                with self.assertRaises(MalformedRecord):
                    record_kinds.CODEC.unpack(kind, body[:end])

    def test_surplus_bytes(self):
        for kind, body, _ in self.bodies():
            for surplus in (b"\0", b"\0" * 8, b"\xff" * 3):
                with self.assertRaises(MalformedRecord):
                    record_kinds.CODEC.unpack(kind, body + surplus)

    def test_wrong_lengths(self):
        for body in (b"\0" * 8 + b"\xff\xff", b"\0" * 8 + b"\0\2" + bytes(8), b"\0" * 8 + b"\0\0" + bytes(8)):
            with self.assertRaises(MalformedRecord):
                record_kinds.CODEC.unpack(3, body)
        for wrong_length in (b"\xff\xff\xff\xff", b"\0\0\1\0"):
            with self.assertRaises(MalformedRecord):
                control_updates.SERVER_RECORDS.decode(ByteReader(wrong_length + bytes(40)))
            with self.assertRaises(MalformedRecord):
                BYTES.decode(ByteReader(wrong_length + bytes(40)))

    def test_text_that_is_not_utf8(self):
        update = control_updates.Update((0, 0), 0, False, 0, b"", {"ab": 1}, (0, 0), False)
        ((kind, _, body),) = FrameDecoder().feed(control_updates.CONTROL_UPDATE_CODEC.pack(update))
        with self.assertRaises(MalformedRecord):
            control_updates.CONTROL_UPDATE_CODEC.unpack(kind, body.replace(b"ab", b"\xff\xfe"))

    def test_random_bytes_of_each_kind(self):
        random_source, refused, kinds = random.Random(5), 0, sorted(record_kinds.CODEC.layouts)
        for _ in range(8000):
            kind = random_source.choice(kinds)
            body = random_source.randbytes(random_source.randrange(120))
            try:
                record = record_kinds.CODEC.unpack(kind, body)
            except MalformedRecord:
                refused += 1
            else:  # the bytes were valid, so the record survives a round trip
                self.assertEqual(decode_frame(record_kinds.CODEC.pack(record))[0], record)
        self.assertGreater(refused, 4000)

    def test_records_with_one_changed_byte(self):
        random_source, bodies = random.Random(6), self.bodies()
        for _ in range(8000):
            kind, body, _ = random_source.choice(bodies)
            damaged = bytearray(body)
            damaged[random_source.randrange(len(damaged))] = random_source.randrange(256)
            with suppress(MalformedRecord):
                record_kinds.CODEC.unpack(kind, bytes(damaged))


class FramesBeforeRenaming(unittest.TestCase):
    """Frames and disk records written by the program before its types and fields were renamed."""

    written = orjson.loads((Path(__file__).parents[1] / "data" / "frames-before-rename.json").read_bytes())

    def test_former_frames_are_decoded_and_encoded_with_identical_bytes(self):
        for name, frame in self.written.items():
            with self.subTest(name):
                record, call = decode_frame(bytes.fromhex(frame))
                self.assertEqual(record_kinds.CODEC.pack(record, call).hex(), frame)

    def test_a_former_disk_record_is_decoded(self):
        durable, _ = decode_frame(bytes.fromhex(self.written["durable_state"]))
        self.assertEqual((durable.promised, durable.version.epoch, durable.version.sequence), (7, 7, 3))
        self.assertEqual(durable.accepted.former, (2, 3, 4))
        self.assertEqual(unpack(durable.state).versions, {"m": 2})


if __name__ == "__main__":
    unittest.main()

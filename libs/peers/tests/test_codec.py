import unittest

from hypothesis import given
from hypothesis import strategies as st
from thrift.protocol import fastbinary
from thrift.Thrift import TType

from zinnia_model import messages as m
from zinnia_model.members import Member, MemberList
from zinnia_model.reasons import Outcome, Reason
from zinnia_model.subrequests import Batch, SubRequest, SubResult
from zinnia_peers.codec import _STRUCTS, MESSAGE_TYPES, MessageRole, ProtocolError, decode, encode

MEMBER = Member(seat=3, vm="vm-3", incarnation="i", peer_address="127.0.0.1:1", data_centre="east")
MEMBERS = MemberList(epoch=4, members=(MEMBER,))
FACT = m.FactRecord("veto", "s", "vm-1", 2**40, "{}", 1.5)
RESULT = SubResult("a", Outcome.ANSWERED, "s", "r", None, b"\xff{}", "n", "i", "v", 0.5, 1, 2, True)
EXAMPLES = [
    m.Hello("vm-1", "i"),
    m.Heartbeat("vm-1", "i", 4, -(2**62), 9, 7, True, (FACT,), True, "127.0.0.1:1", "east"),
    m.HeartbeatReply("vm-2", 4, 5, 9, "j", True, True, ("vm-3",), 7, (FACT,), True),
    m.SubmitBatch(
        Batch("q", "s", "r", "n", b"\x00\xff", 0.2, False, "f", (SubRequest("a", "s", "r"),), "k")
    ),
    m.Results((RESULT,)),
    m.Cancel(("a", "b")),
    m.ConfigPull("vm-1", 7),
    m.ConfigPush("vm-1", 7, b"{}", (b"{}",), MEMBERS),
    m.FactPush("vm-1", (FACT,)),
    m.Handover("vm-1", "i", (m.HandedReplica("r", False, True, 2, 1, "s", "v"),)),
    m.SeatTransfer(4, "vm-1", MEMBER),
    m.ClaimQuery("vm-1", "s", "k", "a"),
    m.ClaimReply(True, "done", b"{}"),
    m.MemberPull("vm-1"),
    m.MemberPush("vm-1", MEMBERS, 7),
    m.Acknowledgement(False, "no"),
]


class CodecTest(unittest.TestCase):
    def test_every_message_type_is_unchanged_after_encoding_and_decoding(self):
        self.assertEqual(set(MESSAGE_TYPES), {type(message) for message in EXAMPLES})
        for message in EXAMPLES:
            envelope = decode(encode(message, MessageRole.CALL, 77))
            self.assertEqual((message, MessageRole.CALL, 77), (envelope.message, envelope.role, 77))

    def test_decoding_returns_the_enum_members_themselves(self):
        # Guards against the C decoder changing an enum member instead of looking it up.
        for outcome in Outcome:
            for reason in Reason:
                result = SubResult("a", outcome, "s", "r", reason)
                (found,) = decode(encode(m.Results((result,)))).message.results
                self.assertIs(outcome, found.outcome)
                self.assertIs(reason, found.reason)
        self.assertEqual("unknown", Outcome.UNKNOWN.value)

    def test_fields_and_messages_of_a_newer_version_are_skipped(self):
        newer_fields = (
            None,
            (1, TType.STRING, "vm", "UTF8", None),
            (2, TType.I64, "revision", None, None),
            (9, TType.LIST, "extra", (TType.STRING, "UTF8", True), None),
        )

        class Newer:
            vm, revision, extra = "vm-1", 7, ("x", "y")

        body = fastbinary.encode_binary(Newer(), [Newer, newer_fields])
        payload = encode(m.ConfigPull("", 0))
        prefix = payload[: payload.index(b"ConfigPull") + len("ConfigPull") + 4]
        self.assertEqual(m.ConfigPull("vm-1", 7), decode(prefix + body).message)
        self.assertIsNone(decode(prefix.replace(b"ConfigPull", b"ConfigPuff") + body).message)

    def test_field_that_an_older_version_did_not_send_keeps_its_default(self):
        class Older:
            vm = "vm-1"

        spec = (None, (1, TType.STRING, "vm", "UTF8", None))
        body = fastbinary.encode_binary(Older(), [Older, spec])
        payload = encode(m.Hello("", ""))
        prefix = payload[: payload.index(b"Hello") + len("Hello") + 4]
        self.assertEqual(m.Hello("vm-1", ""), decode(prefix + body).message)

    def test_heartbeat_without_later_added_fields_is_decoded(self):
        # Guards against VMs of two versions that reject each other's heartbeats during a rollout,
        # because the older version does not send the fields that were added later.
        class Older:
            vm, incarnation, epoch, view, sequence = "vm-1", "i", 4, 5, 9
            config_revision, leaving, facts = 7, True, ()

        current_fields = _STRUCTS[m.Heartbeat][1][1]
        body = fastbinary.encode_binary(Older(), [Older, current_fields[:9]])
        payload = encode(m.Heartbeat("", "", 0, 0, 0))
        prefix = payload[: payload.index(b"hb") + len("hb") + 4]
        found = decode(prefix + body).message
        self.assertEqual(m.Heartbeat("vm-1", "i", 4, 5, 9, 7, True), found)

    @given(st.sampled_from(EXAMPLES), st.data())
    def test_malformed_payloads_raise_only_protocol_errors(self, message, data):
        payload = bytearray(encode(message))
        position = data.draw(st.integers(0, len(payload) - 1))
        payload[position] = data.draw(st.integers(0, 255))
        cut_at = data.draw(st.integers(0, len(payload)))
        for malformed in (bytes(payload), bytes(payload[:cut_at])):
            try:
                decode(malformed)
            except ProtocolError:
                continue

    def test_error_for_a_field_of_wrong_type_names_the_message_type(self):
        with self.assertRaisesRegex(ProtocolError, "ConfigPull"):
            encode(m.ConfigPull("vm-1", "seven"))


if __name__ == "__main__":
    unittest.main()

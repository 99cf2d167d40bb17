import json
import unittest

from hypothesis import given
from hypothesis import strategies as st

from zinnia_model.errors import RefusedError
from zinnia_model.ids import RequestId, ShardId, SnapshotId
from zinnia_model.queries import Answer, Coverage
from zinnia_model.reasons import Outcome, Reason
from zinniarouterd.requests import encode_answer, encode_refusal, parse_request, read_key


class ParseRequestTest(unittest.TestCase):
    def assert_refused(self, value, part: str):
        body = value if isinstance(value, bytes) else json.dumps(value).encode()
        with self.assertRaises(RefusedError) as caught:
            parse_request(body, 1000)
        self.assertIs(Reason.BAD_REQUEST, caught.exception.reason)
        self.assertIs(Outcome.NOT_RUN, caught.exception.outcome)
        self.assertIn(part, str(caught.exception))

    def test_refusal_of_missing_deadline_names_the_key(self):
        self.assert_refused({"service": "s", "route": "r"}, "deadline_ms")

    def test_deadline_out_of_range_is_refused(self):
        for deadline in (0, -1, 1001, 1.5, "soon"):
            with self.subTest(deadline=deadline):
                value = {"service": "s", "route": "r", "deadline_ms": deadline}
                self.assert_refused(value, "deadline_ms")

    def test_unknown_key_is_refused(self):
        value = {"service": "s", "route": "r", "deadline_ms": 1, "sevrice": 1}
        self.assert_refused(value, "sevrice")

    @given(st.binary(max_size=60))
    def test_arbitrary_bytes_are_parsed_or_refused_as_bad_request(self, body):
        try:
            parse_request(body, 1000)
        except RefusedError as error:
            self.assertIs(Reason.BAD_REQUEST, error.reason)

    def test_overlong_key_is_refused(self):
        with self.assertRaises(RefusedError):
            read_key({b"idempotency-key": b"k" * 201})


class EncodeTest(unittest.TestCase):
    def test_answer_is_valid_json_with_unchanged_bodies_of_shards(self):
        results = {ShardId('quo"te'): b'{"a":1}', ShardId("01"): b"[2]"}
        answer = Answer(RequestId("r"), SnapshotId("s1"), Coverage(2, 3, (ShardId("x"),)), results)
        value = json.loads(encode_answer(answer).body)
        self.assertEqual({'quo"te': {"a": 1}, "01": [2]}, value["results"])
        self.assertEqual({"answered": 2, "asked": 3, "missing": ["x"]}, value["coverage"])

    def test_unknown_outcome_is_a_gateway_timeout_and_not_reported_as_not_run(self):
        error = RefusedError(Reason.PEER_LOST, Outcome.UNKNOWN, "m")
        response = encode_refusal(error, "r", "/v1/outcomes/s/k")
        self.assertEqual(504, response.status)
        self.assertEqual("unknown", json.loads(response.body)["outcome"])


if __name__ == "__main__":
    unittest.main()

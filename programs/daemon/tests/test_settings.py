import tempfile
import unittest
from pathlib import Path

from zinnia_model.errors import SettingsError
from zinniarouterd.settings import load_settings

VALID = """
vm: vm-1
data_centre: taipei
listen: {callers: "127.0.0.1:1", admin: "127.0.0.1:2", peers: "127.0.0.1:3"}
platform: {url: "http://127.0.0.1:9"}
"""


class SettingsTest(unittest.TestCase):
    def load(self, text: str):
        with tempfile.TemporaryDirectory() as directory:
            path = Path(directory) / "settings.yaml"
            path.write_text(text)
            return load_settings(path)

    def assert_refused(self, text: str, *parts: str):
        with self.assertRaises(SettingsError) as caught:
            self.load(text)
        for part in ("settings.yaml", *parts):
            self.assertIn(part, str(caught.exception))

    def test_defaults_are_filled_in(self):
        settings = self.load(VALID)
        self.assertEqual(1_000_000, settings.limits.body_bytes)
        self.assertTrue(settings.switches.hedging)

    def test_misspelt_key_is_named_and_not_ignored(self):
        self.assert_refused(VALID + "shutdwon: {}\n", "shutdwon", "remove it")

    def test_every_bad_key_is_listed_at_once(self):
        text = VALID.replace("vm: vm-1", "vm: '!'") + "limits: {body_bytes: -1}\n"
        self.assert_refused(text, "vm:", "limits.body_bytes")

    def test_host_name_is_refused_because_peers_use_ip_addresses(self):
        self.assert_refused(VALID.replace('"127.0.0.1:1"', '"localhost:1"'), "listen.callers")

    def test_missing_key_is_named(self):
        self.assert_refused(VALID.replace("data_centre: taipei", ""), "data_centre: missing")

    def test_invalid_yaml_and_non_mappings_are_refused_with_the_file_name(self):
        for text in ("a: [", "- 1", "", "\x00"):
            with self.subTest(text=text):
                self.assert_refused(text)

    def test_missing_file_is_refused(self):
        with self.assertRaises(SettingsError):
            load_settings(Path("/nonexistent/settings.yaml"))


if __name__ == "__main__":
    unittest.main()

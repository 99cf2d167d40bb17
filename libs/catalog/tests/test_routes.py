import unittest

from zinnia_catalog.routes import CallerLimits, Configuration, Repeatability, Route


def make_route(name, host, prefix):
    return Route(name, host, prefix, Repeatability.IDEMPOTENT, 1.0, 0.1, 0, 2)


class ConfigurationTest(unittest.TestCase):
    def setUp(self):
        routes = (
            make_route("short", "a.example", "/x/"),
            make_route("long", "a.example", "/x/y/"),
            make_route("other", "b.example", "/"),
        )
        self.configuration = Configuration(1, routes, {}, CallerLimits())

    def find(self, host, path):
        route = self.configuration.find_route(host, path)
        return route.name if route else None

    def test_longest_prefix_of_the_host_wins(self):
        """Guards against sending a request to the service of a shorter prefix."""
        self.assertEqual("long", self.find("a.example", "/x/y/z"))
        self.assertEqual("short", self.find("a.example", "/x/yz"))
        self.assertEqual("other", self.find("b.example", "/x/y/z"))

    def test_host_is_compared_without_case_and_port(self):
        """Guards against a 404 for a host in other case or with a port."""
        self.assertEqual("short", self.find("A.Example:8080", "/x/1"))

    def test_path_without_a_route_finds_none(self):
        """Guards against sending a request by the route of another host."""
        self.assertIsNone(self.find("a.example", "/z/"))
        self.assertIsNone(self.find("c.example", "/x/"))

import unittest

from zinnia_catalog.members import Member
from zinnia_catalog.routes import CallerLimits, Configuration, Repeatability, Route
from zinnia_entry.shares import PartRunners, RetryShares

SHARDS = tuple(f"s{number}" for number in range(90))
VMS = 72
SLACK_SENDS = 184


def make_members():
    members = {}
    for number in range(VMS):
        data_centre = f"dc{number % 3}"
        members[f"vm-{number}"] = Member(
            f"vm-{number}", "h:1", data_centre, 2.15 if number < 6 else 0.5
        )
    return members


def make_configuration(shards=SHARDS):
    route = Route("r", "h", "/", Repeatability.IDEMPOTENT, 1.0, 0.1, 0, 2, (), shards, 10, 0.9)
    return Configuration(1, (route,), {}, CallerLimits())


class RetrySharesTest(unittest.TestCase):
    def get_shares(self, service, members=None, configuration=None, has_listed=True):
        members = make_members() if members is None else members
        configuration = configuration or make_configuration()
        return [
            RetryShares(
                f"vm-{number}",
                lambda: VMS,
                PartRunners(lambda: members, lambda: configuration, 48),
                lambda: has_listed,
            ).get_share(service)
            for number in range(VMS)
        ]

    def test_shares_of_all_vms_sum_to_one(self):
        """Guards against more retries from all VMs together than the limit of a service."""
        for service in ("s3", "single"):
            self.assertAlmostEqual(1.0, sum(self.get_shares(service)))

    def test_vms_that_run_parts_get_most_of_the_retries_of_a_shard(self):
        """Load pattern: 4 in 10 answers are lost for seconds, at 72 VMs and fan-outs of 90.

        Guards against too few retries for the few VMs that send to the shards.
        """
        shares = self.get_shares("s3")
        self.assertGreater(SLACK_SENDS * min(shares[:6]), 12)
        self.assertGreater(SLACK_SENDS * min(shares[6:]), 1)

    def test_other_services_are_shared_equally(self):
        """Guards against VMs without retries for requests that are not delegated."""
        self.assertEqual({1 / VMS}, set(self.get_shares("single")))
        small = make_configuration(SHARDS[:20])
        self.assertEqual({1 / VMS}, set(self.get_shares("s3", configuration=small)))

    def test_vm_that_knows_no_other_vm_takes_an_equal_share(self):
        """Load pattern: all VMs start at once, and none has read the list of VMs yet.

        Guards against each VM taking the whole limit of a service.
        """
        self.assertEqual({1 / VMS}, set(self.get_shares("s3", members={})))

    def test_vm_that_could_not_list_the_vms_uses_no_slack(self):
        """Load pattern: 72 VMs start again together while the store is away for a minute.

        Guards against a sixth of the limit for each, the number of VMs that is expected.
        """
        self.assertEqual({0.0}, set(self.get_shares("s3", members={}, has_listed=False)))

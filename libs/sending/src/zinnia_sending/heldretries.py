"""Retries of a fan-out that wait until the request is known not to crash all replicas."""

from zinnia_sending.attempts import ShardProgress, WantedSend

# Shards without an answer whose replicas crashed, from which on further retries are held.
HOLD_FROM_CRASHES = 3


class HeldRetries:
    """The retries of one run that are held, and the crashes that are the reason.

    ``has_probed`` is set once a held retry was sent although the request has no answer.
    """

    def __init__(self) -> None:
        self.has_probed = False
        self._crashes = 0
        self._waiting: list[tuple[ShardProgress, WantedSend]] = []

    @property
    def has_crashed_many(self) -> bool:
        """Whether so many attempts ended with a crash that further retries are held."""
        return self._crashes >= HOLD_FROM_CRASHES

    @property
    def is_waiting(self) -> bool:
        """Whether any retry is held."""
        return bool(self._waiting)

    def count_crash(self, shard: ShardProgress) -> None:
        """Count an attempt that a replica ended without an answer."""
        shard.has_crashed = True
        shard.is_probe = False
        self._crashes += 1

    def add(self, shard: ShardProgress, wanted: WantedSend) -> None:
        """Hold a retry."""
        shard.is_held = True
        self._waiting.append((shard, wanted))

    def take_first(self) -> tuple[ShardProgress, WantedSend]:
        """Remove the retry that was held first and return it."""
        shard, wanted = self._waiting.pop(0)
        shard.is_held = False
        return shard, wanted

    def take_all(self) -> list[tuple[ShardProgress, WantedSend]]:
        """Remove all retries that are held and return them."""
        return [self.take_first() for _ in range(len(self._waiting))]

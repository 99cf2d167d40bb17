"""Descriptions of backend server replicas, read from ``deployment.yaml``."""

from pathlib import Path

from pydantic import BaseModel, ConfigDict, Field, ValidationError
from ruamel.yaml import YAML
from ruamel.yaml.error import YAMLError

from zinnia_model.errors import SettingsError


class ColdSettings(BaseModel):
    """Cold start of a replica.

    ``answers`` or ``seconds`` after a start it is warm. Beyond ``concurrency`` requests at a time a
    cold replica crashes, or answers 503 ``cold`` if ``sheds``. Service times are longer by
    ``slow_factor``.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    at_start: bool = True
    concurrency: int = 1
    answers: int = 20
    seconds: float = 30.0
    slow_factor: float = 2.0
    sheds: bool = False


class ReplicaSpec(BaseModel):
    """One replica; ``port`` 0 takes any free port, times are in milliseconds."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    id: str
    port: int = 0
    service: str
    shards: tuple[str, ...]
    snapshots: tuple[str, ...] = ("s1",)
    slots: int = 2
    queue: int = 2
    connections: int = 25
    connect_ms: float = 6.0
    version: str = "v1"
    data_centre: str = "dc-a"
    median_ms: float = 10.0
    sigma: float = 0.2
    restart_ms: float = 500.0
    cold: ColdSettings = ColdSettings()
    seed: int = 0


class Deployment(BaseModel):
    """All replicas that one process serves."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    replicas: list[ReplicaSpec] = Field(min_length=1)


def read_deployment(path: Path) -> Deployment:
    """Read a deployment; the file is a list of replicas.

    Raises
    ------
    SettingsError
        The file is missing or invalid.
    """
    try:
        return Deployment(replicas=YAML(typ="safe").load(path))
    except (OSError, YAMLError, ValidationError) as error:
        raise SettingsError(f"deployment {path} is invalid; correct it: {error}") from error

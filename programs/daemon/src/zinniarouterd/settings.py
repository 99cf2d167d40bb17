"""Settings of the daemon, read from a YAML file and validated before anything starts."""

from pathlib import Path
from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, StringConstraints, ValidationError
from ruamel.yaml import YAML
from ruamel.yaml.error import YAMLError

from zinnia_model.errors import SettingsError

Address = Annotated[
    str, StringConstraints(pattern=r"^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$")
]
Name = Annotated[str, StringConstraints(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")]


class Section(BaseModel):
    """Base class of all sections; rejects unknown keys."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class ListenSettings(Section):
    """Addresses (``ip:port``) that the daemon listens on."""

    callers: Address
    admin: Address
    peers: Address


class PlatformSettings(Section):
    """URL of the platform's object API, timeout of one call and poll interval (seconds)."""

    url: Annotated[str, StringConstraints(pattern=r"^http://[^/\s]+$")]
    timeout_s: float = Field(default=2.0, gt=0, le=30)
    poll_s: float = Field(default=1.0, gt=0, le=60)


class LimitSettings(Section):
    """Limits on callers' requests."""

    body_bytes: int = Field(default=1_000_000, ge=1, le=4_000_000)
    max_deadline_ms: int = Field(default=30_000, ge=1, le=600_000)


class ShutdownSettings(Section):
    """Times of a graceful shutdown (seconds).

    ``ready_grace_s`` is how long the daemon reports not ready before it refuses requests;
    ``drain_limit_s`` limits the shutdown up to the handover of its replicas.
    """

    ready_grace_s: float = Field(default=1.0, ge=0, le=60)
    drain_limit_s: float = Field(default=30.0, ge=0, le=600)


class LogSettings(Section):
    """Log level and format; ``json_lines`` writes one JSON object per line."""

    level: Annotated[str, StringConstraints(pattern=r"^(DEBUG|INFO|WARNING|ERROR)$")] = "INFO"
    json_lines: bool = True


class Switches(Section):
    """Features that a measurement may turn off; leave all of them on in production.

    ``baseline_timeout_ms`` is the fixed timeout of the ``round_robin`` baseline.
    """

    hedging: bool = True
    load_aware: bool = True
    admission: bool = True
    baseline: Annotated[str, StringConstraints(pattern=r"^(|random|round_robin)$")] = ""
    baseline_timeout_ms: int = Field(default=50, ge=1, le=60_000)


class Settings(Section):
    """All settings of one daemon.

    ``peers`` maps the ids of other VMs to their peer addresses; a new VM asks these for the member
    list when the platform is down. ``seed`` seeds all random choices; 0 means a seed from the
    operating system.
    """

    vm: Name
    data_centre: Name
    listen: ListenSettings
    platform: PlatformSettings
    peers: dict[Name, Address] = Field(default_factory=dict)
    limits: LimitSettings = LimitSettings()
    shutdown: ShutdownSettings = ShutdownSettings()
    log: LogSettings = LogSettings()
    switches: Switches = Switches()
    seed: int = Field(default=0, ge=0)


def load_settings(path: Path) -> Settings:
    """Read and validate a settings file.

    Raises
    ------
    SettingsError
        If the file cannot be read or is invalid. The message names the file, every invalid key and
        the remedy.
    """
    try:
        data = YAML(typ="safe", pure=True).load(path.read_text())
    except OSError as error:
        raise SettingsError(
            f"{path}: cannot be read ({error.strerror}); pass an existing file with --settings"
        ) from error
    except (YAMLError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: is not valid YAML ({error}); fix the syntax") from error
    if not isinstance(data, dict):
        raise SettingsError(f"{path}: must be a mapping of keys; see docs/OPERATIONS.md")
    try:
        return Settings.model_validate(data)
    except ValidationError as error:
        lines = [describe_problem(problem) for problem in error.errors()]
        raise SettingsError(f"{path}: " + "; ".join(lines)) from error


def describe_problem(problem) -> str:
    """Return a description of one invalid key with its remedy."""
    key = ".".join(str(part) for part in problem["loc"]) or "the file"
    if problem["type"] == "extra_forbidden":
        return f"{key}: unknown key; remove it or correct its spelling"
    if problem["type"] == "missing":
        return f"{key}: missing; add it"
    return f"{key}: {problem['msg'][0].lower()}{problem['msg'][1:]}; correct the value"

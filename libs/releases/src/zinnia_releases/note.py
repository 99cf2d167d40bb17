"""Format, parsing and validation of release notes."""

from collections.abc import Callable
from enum import Enum
from typing import Annotated, Any, Literal

import xxhash
from pydantic import Field, ValidationError
from ruamel.yaml import YAML
from ruamel.yaml.composer import Composer, ComposerError
from ruamel.yaml.error import MarkedYAMLError, YAMLError
from ruamel.yaml.events import AliasEvent

from zinnia_model.configuration import DataCentreState, Model, ServiceConfig
from zinnia_model.errors import NoteError
from zinnia_releases.local_times import LocalTimeError, resolve_local

# Bounds the parsing time, which is about 8 ms per 1,000 characters.
MAX_NOTE_CHARACTERS = 100_000
MAX_ITEMS_PER_NOTE = 500

Name = Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$")]


class Section(Enum):
    """Keys of the lists of items in a note."""

    ADDED = "added"
    CHANGED = "changed"
    WITHDRAWN = "withdrawn"


class Item(Model):
    """Base of all items: local due time (``by``) and optional local start time of the change."""

    by: str
    time_zone: str
    start: str | None = None


class VersionItem(Item):
    """Version that takes over traffic: the fraction ``share`` of the replaced version's share."""

    kind: Literal["version"]
    service: Name
    version: Name
    replaces: Name | None = None
    share: float = Field(default=1.0, gt=0, le=1)


class WithdrawnVersionItem(Item):
    """Version to be removed, after ``replacement`` has taken over its traffic."""

    kind: Literal["version"]
    service: Name
    version: Name
    replacement: Name | None = None


class DataCentreItem(Item):
    """Data centre that receives requests if the item is added, and none if it is withdrawn."""

    kind: Literal["data_centre"]
    data_centre: Name


class ChangedDataCentreItem(DataCentreItem):
    """Data centre whose state is set to in or out."""

    state: DataCentreState


class ServiceItem(Item):
    """Service with its complete definition."""

    kind: Literal["service"]
    service: Name
    definition: ServiceConfig


class WithdrawnServiceItem(Item):
    """Service to be removed."""

    kind: Literal["service"]
    service: Name


class ShareItem(Item):
    """New share of one version; versions without an item keep their share."""

    kind: Literal["share"]
    service: Name
    version: Name
    share: float = Field(ge=0, le=1)


ITEM_TYPES: dict[Section, dict[str, type[Item]]] = {
    Section.ADDED: {
        "version": VersionItem,
        "data_centre": DataCentreItem,
        "service": ServiceItem,
    },
    Section.CHANGED: {
        "version": VersionItem,
        "data_centre": ChangedDataCentreItem,
        "service": ServiceItem,
        "share": ShareItem,
    },
    Section.WITHDRAWN: {
        "version": WithdrawnVersionItem,
        "data_centre": DataCentreItem,
        "service": WithdrawnServiceItem,
    },
}


class NoteHead(Model):
    """Keys of a note other than its items; ``by`` and ``time_zone`` are defaults for the items."""

    format: Literal[1]
    id: Name
    operator: Annotated[str, Field(min_length=1, max_length=64)]
    against_revision: int = Field(ge=0, strict=True)
    by: str | None = None
    time_zone: str | None = None
    step_seconds: float = Field(default=10.0, ge=3.0, le=3600.0)


class NoteItem(Model):
    """One item, its place in the note such as ``added[1]``, and its times as wall clock ms."""

    section: Section
    place: str
    item: Any
    due_ms: int
    start_ms: int = 0


class Note(Model):
    """Validated release note; ``content_hash`` differs if the content differs."""

    head: NoteHead
    items: tuple[NoteItem, ...]
    content_hash: str


def parse_note(text: str) -> Note:
    """Parse and validate a note.

    Raises
    ------
    NoteError
        The note is invalid; the error lists every reason with the item, the key and the remedy.
    """
    return _NoteReader(_load_mapping(text)).read()


def _load_mapping(text: str) -> dict:
    if len(text) > MAX_NOTE_CHARACTERS:
        raise NoteError([f"note: longer than {MAX_NOTE_CHARACTERS} characters; split it"])
    try:
        yaml = YAML(typ="safe", pure=True)
        yaml.Composer = _AliasRefusingComposer
        data = yaml.load(text)
    except YAMLError as error:
        raise NoteError([_explain_yaml_error(error)]) from error
    except Exception as error:  # Constructors of YAML values raise errors of many types.
        raise NoteError(
            [f"note: a value cannot be read ({error}); correct it or write it in quotes"]
        ) from error
    if not isinstance(data, dict):
        raise NoteError(["note: not a YAML mapping; start with 'format: 1'"])
    return data


class _AliasRefusingComposer(Composer):
    """Refuses YAML aliases, because a few lines of nested aliases expand to millions of values."""

    def compose_node(self, parent: Any, index: int) -> Any:
        if self.parser.check_event(AliasEvent):
            mark = self.parser.peek_event().start_mark
            raise ComposerError(None, None, "YAML aliases are not supported; write it out", mark)
        return super().compose_node(parent, index)


def _explain_yaml_error(error: YAMLError) -> str:
    mark = error.problem_mark if isinstance(error, MarkedYAMLError) else None
    problem = error.problem if isinstance(error, MarkedYAMLError) else str(error).splitlines()[0]
    position = f" in line {mark.line + 1}, column {mark.column + 1}" if mark else ""
    return f"note: not valid YAML{position}: {problem}; correct it"


class _NoteReader:
    """Validates a loaded note and collects all reasons to refuse it."""

    def __init__(self, data: dict):
        self._data = data
        self._reasons: list[str] = []

    def read(self) -> Note:
        sections = {section.value for section in Section}
        head = self._validate(
            NoteHead, {key: value for key, value in self._data.items() if key not in sections}, ""
        )
        raw_items = [entry for section in Section for entry in self._list_raw_items(section)]
        if not raw_items and not self._reasons:
            self._reasons.append("note: no items; list them under added, changed or withdrawn")
        if len(raw_items) > MAX_ITEMS_PER_NOTE:
            self._reasons.append(
                f"note: more than {MAX_ITEMS_PER_NOTE} items; split it into several notes"
            )
            raw_items = []
        items = [self._read_item(*entry) for entry in raw_items]
        if self._reasons or head is None:
            raise NoteError(self._reasons)
        valid_items = tuple(item for item in items if item is not None)
        return Note(head=head, items=valid_items, content_hash=_hash_content(head, valid_items))

    def _list_raw_items(self, section: Section) -> list[tuple[Section, str, Any]]:
        raw = self._data.get(section.value)
        if raw is None:
            return []
        if not isinstance(raw, list):
            self._reasons.append(f"{section.value}: not a list; begin each item with '- kind: …'")
            return []
        return [(section, f"{section.value}[{n}]", item) for n, item in enumerate(raw, start=1)]

    def _read_item(self, section: Section, place: str, raw: Any) -> NoteItem | None:
        if not isinstance(raw, dict):
            self._reasons.append(f"{place}: not a mapping; write it as '- kind: …'")
            return None
        kinds, kind = ITEM_TYPES[section], raw.get("kind")
        if not isinstance(kind, str) or kind not in kinds:
            allowed = ", ".join(kinds)
            self._reasons.append(
                f"{place}.kind: {_abbreviate(kind)} is not one of {allowed}; use one"
            )
            return None
        defaults = {key: self._data[key] for key in ("by", "time_zone") if self._has_default(key)}
        item = self._validate(kinds[kind], defaults | raw, f"{place}.")
        if item is None:
            return None
        due_ms = self._resolve_time(f"{place}.by", item.by, item.time_zone)
        start_ms = 0
        if item.start is not None:
            start_ms = self._resolve_time(f"{place}.start", item.start, item.time_zone)
        return NoteItem(section=section, place=place, item=item, due_ms=due_ms, start_ms=start_ms)

    def _has_default(self, key: str) -> bool:
        return self._data.get(key) is not None

    def _resolve_time(self, place: str, local: str, zone: str) -> int:
        try:
            return resolve_local(local, zone)
        except LocalTimeError as error:
            self._reasons.append(f"{place}: {error}")
            return 0

    def _validate(self, model: type[Model], data: dict, prefix: str) -> Any:
        try:
            return model.model_validate(data)
        except ValidationError as error:
            allowed = ", ".join(model.model_fields)
            self._reasons.extend(
                _explain_validation_error(detail, prefix, allowed)
                for detail in error.errors(include_url=False)
            )
            return None


def _explain_validation_error(detail: Any, prefix: str, allowed: str) -> str:
    place = prefix + ".".join(_abbreviate_key(part) for part in detail["loc"])
    remedies: dict[str, Callable[[], str]] = {
        "missing": lambda: "the key is missing; add it",
        "extra_forbidden": lambda: _explain_unknown_key(detail, allowed),
        "invalid_key": lambda: "a key is not a text; write keys as words",
        "string_type": lambda: f"{_abbreviate(detail['input'])} is not a text; write it in quotes",
        "string_pattern_mismatch": lambda: (
            f"{_abbreviate(detail['input'])} is not a name; use up to 64 letters, digits and . _ -"
        ),
    }
    remedy = remedies.get(detail["type"])
    if remedy is not None:
        return f"{place}: {remedy()}"
    return f"{place}: {detail['msg']}, found {_abbreviate(detail['input'])}; correct the value"


def _explain_unknown_key(detail: Any, allowed: str) -> str:
    if len(detail["loc"]) > 1:
        return "unknown key; remove it or correct its spelling"
    return f"unknown key; remove it or use one of {allowed}"


def _abbreviate_key(part: Any) -> str:
    return str(part)[:80]


def _abbreviate(value: Any) -> str:
    text = repr(value)
    return text if len(text) <= 60 else text[:57] + "..."


def _hash_content(head: NoteHead, items: tuple[NoteItem, ...]) -> str:
    digest = xxhash.xxh3_128(head.model_dump_json().encode())
    for item in items:
        digest.update(f"\n{item.section.value} {item.item.model_dump_json()}".encode())
    return digest.hexdigest()

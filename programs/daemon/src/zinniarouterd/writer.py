"""Configuration changes by conditional writes to the platform's store."""

import uuid
from collections.abc import Callable

import trio
from loguru import logger

from zinnia_model.configuration import ConfigDocument
from zinnia_model.errors import ConflictError, PlatformUnavailableError
from zinnia_platform.store import ObjectStore, StoredObject
from zinnia_platform.writes import WriteEffect, WriteResult, put_with_read_back

CONFIG_KIND = "config"
CONFIG_NAME = "current"
CHANGE_TIMEOUT_S = 5.0


def read_document(stored: StoredObject | None) -> ConfigDocument:
    """Return the stored document, or an empty one of revision 0 if nothing is stored."""
    if stored is None:
        return ConfigDocument(revision=0)
    return ConfigDocument.model_validate(stored.value)


class ConfigWriter:
    """Writes revisions of the configuration.

    A change is accepted once its conditional write took effect.

    Parameters
    ----------
    adopt : callable
        Called with the accepted document, to apply it on this VM and push it to peers.
    """

    def __init__(self, store: ObjectStore, adopt: Callable[[ConfigDocument], None]) -> None:
        self._store = store
        self._adopt = adopt

    async def change(
        self, edit: Callable[[ConfigDocument], ConfigDocument | None]
    ) -> ConfigDocument:
        """Apply an edit to the stored document and return the resulting document.

        ``edit`` returns the changed document, or None if nothing changes.

        Raises
        ------
        ConflictError
            Another change came first, or replaced this one after its reply was lost; in the second
            case this change may have been in effect for a time.
        PlatformUnavailableError
            The platform did not answer; ``maybe_applied`` is true if the write may take effect.
        """
        stored = await self._store.get(CONFIG_KIND, CONFIG_NAME)
        current = read_document(stored)
        proposed = edit(current)
        if proposed is None or proposed is current:
            if stored is not None:
                self._adopt(current)
            return current
        change_id = proposed.change_id or uuid.uuid4().hex
        proposed = proposed.model_copy(update={"change_id": change_id})
        result = await put_with_read_back(
            self._store,
            CONFIG_KIND,
            CONFIG_NAME,
            proposed.model_dump(mode="json"),
            stored.version if stored else 0,
            lambda value: value.get("change_id") == change_id,
            trio.current_time() + CHANGE_TIMEOUT_S,
        )
        raise_unless_written(result, current)
        logger.bind(revision=proposed.revision, by=proposed.changed_by).info("config_accepted")
        self._adopt(proposed)
        return proposed


def raise_unless_written(result: WriteResult, current: ConfigDocument) -> None:
    """Raise the error that matches the result of a write, unless the write took effect.

    Raises
    ------
    ConflictError
        Another change came first, or replaced this one after its reply was lost; in the second
        case this change may have been in effect for a time.
    PlatformUnavailableError
        The platform did not answer; ``maybe_applied`` is true if the write may take effect.
    """
    if result.effect is WriteEffect.TOOK_EFFECT:
        return
    if result.effect is WriteEffect.UNKNOWN_EFFECT:
        raise PlatformUnavailableError(
            "The platform did not confirm the change in time; it may still take effect. "
            "Read the configuration before you try again.",
            maybe_applied=True,
        )
    if isinstance(result.error, PlatformUnavailableError) and not result.error.maybe_applied:
        raise result.error
    raise ConflictError(
        f"Another change was accepted after revision {current.revision}; read the status and "
        "apply yours again.",
        current.revision,
    )

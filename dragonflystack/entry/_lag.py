"""How long this VM has known of operators' rows that it does not have.

Another VM tells in its heartbeats up to where it knows the store's rows. What
it is ahead by has yet to be transferred, which may take long on a full link.
"""

import datetime

_ZERO = datetime.timedelta()


class Lag:
    """When positions beyond the own one were first heard of."""

    def __init__(self):
        self._heard: dict[int, datetime.timedelta] = {}

    def on_heard(
        self, position: int, known: int, now: datetime.timedelta
    ) -> None:
        """Takes in another VM's position.

        Args:
            position: up to where that VM knows the operators' rows.
            known: up to where this VM knows them.
            now: the time.
        """
        self._keep(lambda heard: heard > known)
        if position > known:
            self._heard.setdefault(position, now)

    def on_alive(self, latest: int) -> None:
        """Forgets positions that no living VM has.

        Args:
            latest: the latest position of a VM that is alive.
        """
        self._keep(lambda heard: heard <= latest)

    def age(self, known: int, now: datetime.timedelta) -> datetime.timedelta:
        """Returns for how long this VM has been behind; zero if it is not."""
        since = [at for heard, at in self._heard.items() if heard > known]
        return now - min(since) if since else _ZERO

    def _keep(self, wanted) -> None:
        if self._heard:
            self._heard = {p: at for p, at in self._heard.items() if wanted(p)}

"""Actions that are due later in a run."""

import time


class Schedule:
    def __init__(self):
        self._due = []  # (time on the monotonic clock, action)

    def later(self, seconds, action):
        self._due.append((time.monotonic() + seconds, action))

    def run_due(self, now):
        """Runs what is due by `now`. An action may schedule further ones."""
        due = [action for at, action in self._due if at <= now]
        self._due = [(at, action) for at, action in self._due if at > now]
        for action in due:
            action()

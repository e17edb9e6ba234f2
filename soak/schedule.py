"""A queue of actions that a run executes at a later time."""

import time


class Schedule:
    """Actions and the times at which they are due. There is no thread: the owner has to call run_due() regularly."""

    def __init__(self):
        self._due = []  # (monotonic time in seconds, action)

    def run_after(self, seconds, action):
        self._due.append((time.monotonic() + seconds, action))

    def run_due(self, now):
        """Runs the actions that are due by `now`. An action may schedule further ones."""
        due = [action for time_due, action in self._due if time_due <= now]
        self._due = [(time_due, action) for time_due, action in self._due if time_due > now]
        for action in due:
            action()

"""The deployments that the soak plays, by its seed: what one of them hides, another shows."""

import dataclasses
import json
import pathlib

FILE = "deployment.json"
LONGEST_GRACE_DEADLINE = 3.0  # seconds: a longer deadline does not put SIGKILL off any further
KILL_AFTER_DEADLINE = 0.7


@dataclasses.dataclass(frozen=True)
class Deployment:
    """Settings that differ, in seconds."""

    name: str
    longest_deadline: float
    budgets_ms: tuple  # what clients ask for
    pin_limit: float
    keyed_window: float
    ttft_objective: float
    may_cancel: bool = True
    max_attempts: int = 6

    @property
    def grace(self):
        """From SIGTERM to SIGKILL: the earliest that is allowed."""
        return min(self.longest_deadline, LONGEST_GRACE_DEADLINE) + KILL_AFTER_DEADLINE

    def save(self, folder):
        pathlib.Path(folder, FILE).write_text(json.dumps(dataclasses.asdict(self)), encoding="utf-8")


USUAL = Deployment("usual", 3.0, (400, 1500, 3000), 1.0, 2.0, 1.0)
SHORT = Deployment("short", 0.8, (250, 500, 800), 0.3, 0.5, 0.3)
LONG = Deployment("long", 6.0, (1500, 3000, 6000), 0.5, 4.0, 2.0)
NO_CANCEL = Deployment("no-cancel", 3.0, (400, 1500, 3000), 1.0, 2.0, 1.0, may_cancel=False, max_attempts=3)
ALL = (USUAL, SHORT, LONG, NO_CANCEL)
SEEDS_EACH = 4  # neighbouring seeds that share a deployment, and differ in emphasis


def by_seed(seed):
    return ALL[seed // SEEDS_EACH % len(ALL)]


def load(folder):
    """That of a run; the usual one where none was saved."""
    path = pathlib.Path(folder, FILE)
    return Deployment(**json.loads(path.read_text(encoding="utf-8"))) if path.is_file() else USUAL

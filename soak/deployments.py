"""The deployments that a soak can run with; the seed selects one. Each has other limits and can find other faults."""

import dataclasses
import json
import pathlib

FILE_NAME = "deployment.json"
MAX_DEADLINE_FOR_GRACE = 3.0  # seconds; SIGKILL is not delayed further for deadlines longer than this
KILL_AFTER_DEADLINE = 0.7  # seconds from the longest deadline (at most MAX_DEADLINE_FOR_GRACE) to SIGKILL


@dataclasses.dataclass(frozen=True)
class Deployment:
    """The settings that differ between deployments. Times are in seconds unless the name ends in _ms."""

    name: str
    longest_deadline: float
    budgets_ms: tuple  # deadlines that clients send
    pin_limit: float
    keyed_window: float
    ttft_objective: float
    may_cancel: bool = True
    max_attempts: int = 6

    @property
    def shutdown_grace(self):
        """Seconds from SIGTERM to SIGKILL: the shortest grace period that the platform may give a node."""
        return min(self.longest_deadline, MAX_DEADLINE_FOR_GRACE) + KILL_AFTER_DEADLINE

    def save(self, folder):
        pathlib.Path(folder, FILE_NAME).write_text(json.dumps(dataclasses.asdict(self)), encoding="utf-8")


USUAL = Deployment("usual", 3.0, (400, 1500, 3000), 1.0, 2.0, 1.0)
SHORT = Deployment("short", 0.8, (250, 500, 800), 0.3, 0.5, 0.3)
LONG = Deployment("long", 6.0, (1500, 3000, 6000), 0.5, 4.0, 2.0)
NO_CANCEL = Deployment("no-cancel", 3.0, (400, 1500, 3000), 1.0, 2.0, 1.0, may_cancel=False, max_attempts=3)
DEPLOYMENTS = (USUAL, SHORT, LONG, NO_CANCEL)
SEEDS_PER_DEPLOYMENT = 4  # consecutive seeds share a deployment and differ in their more frequent faults


def by_seed(seed):
    return DEPLOYMENTS[seed // SEEDS_PER_DEPLOYMENT % len(DEPLOYMENTS)]


def load(folder):
    """The deployment that was saved in a run's folder, or USUAL if there is none."""
    path = pathlib.Path(folder, FILE_NAME)
    return Deployment(**json.loads(path.read_text(encoding="utf-8"))) if path.is_file() else USUAL

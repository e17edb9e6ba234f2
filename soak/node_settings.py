"""Generates the settings of a node; the keys are those of the platform's configuration file."""


def settings_of(deployment, node_count, objective_factor=1.0):
    """The settings of a deployment. `objective_factor` scales the latency objective of the first class, so that a
    reload changes a setting."""
    return {
        "balancers": node_count,
        "classes": classes_of(deployment, objective_factor),
        "familyInfo": {
            "aimUsPer1000PromptTokens": [40000.0] * 3,
            "kindMemoryTokens": [165671, 190862],
            "kindRole": ["read", "write"],
            "mayReserve": True,
            "pinLimitS": deployment.pin_limit,
            "selfPrefill": False,
            "tokenAimS": [0.06] * 3,
        },
        "kinds": ["prefill", "decode"],
        "limits": limits_of(deployment),
        "reporting": {"fields": ["mean_ms", "x0", "x1"], "via": "piggyback"},
        "rules": {
            "answerSlackS": 0.016,
            "fallS": 3.0,
            "overloadFactor": 2.5,
            "startCapacity": 0.29,
            "warmAfterS": 3.0,
        },
        "tenants": [],
        "tickS": 0.004,
        "worthBy": "work",
        "zone": "north",
        "zones": ["north"],
    }


def limits_of(deployment):
    return {
        "connIdleS": 4.0,
        "connectTimeoutS": 0.25,
        "maxAttempts": deployment.max_attempts,
        "maxRetryAfterS": 1.0,
        "mayCancel": deployment.may_cancel,
        "probes": False,
        "retryAfter": True,
    }


def classes_of(deployment, objective_factor):
    common = {"aimS": deployment.ttft_objective, "deadlineS": deployment.longest_deadline, "worth": 1.0}
    return [
        {
            **common,
            "aimS": deployment.ttft_objective * objective_factor,
            "idempotency": "idempotent",
            "name": "chat",
            "worth": 3.0,
            "lateWorth": 0.1,
        },
        {
            **common,
            "idempotency": "deduplicated",
            "group": "all",
            "dedupWindowS": deployment.keyed_window,
            "name": "keyed",
        },
        {**common, "idempotency": "at_most_once", "name": "pay"},
    ]

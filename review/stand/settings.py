"""Settings like those of a small deployment that fetches at its nodes: two profiles, one origin, lists that are asked for."""

SECOND = 1_000_000_000


def aside() -> dict:
    return {
        "azs": ["ibarra", "cayambe"],
        "locality": 0,
        "fleet_size": 2,
        "kinds": ["rapido-4", "lento-4", "origin"],
        "classes": [
            {"name": "consulta-ruta", "aim_ns": 600_000_000, "deadline_ns": 2 * SECOND, "repeat": "idempotent",
             "worth": 2, "late_worth": 0},
            {"name": "registro-entrega", "aim_ns": SECOND, "deadline_ns": 2_500_000_000, "repeat": "deduplicated",
             "group": "all", "key_ttl_ns": 1_500_000_000, "worth": 8, "late_worth": 0},
        ],
        "tenants": [{"name": "coop-mira", "quota_per_s": 1000, "share": 1}],
        "family_info": {"mode": "aside", "origin_kind": 2},
        "membership_mode": "subscribe",
        "report": {"how": "on_probe", "columns": ["rate", "q"]},
        "permissions": {"max_attempts": 3, "may_duplicate": True, "cancel": True, "probes": True, "retry_after": True,
                        "max_retry_after_ns": 1_200_000_000, "conn_idle_ns": 30 * SECOND,
                        "connect_timeout_ns": 150_000_000},
        "prices": {"cross_zone": 0.16, "probe": 0.01, "waste": 0.12, "late_fail": 0.03},
        "rules": {"ask_within_ns": 10 * SECOND, "stop_sending_within_ns": 2 * SECOND, "cold_from": 0.14,
                  "cold_ns": 23 * SECOND, "overload_factor": 4.0, "fall_ns": SECOND},
        "tick_ns": 5_000_000,
    }

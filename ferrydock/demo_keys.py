"""Keys of the embedded mode. They are public, so a production site must not accept them."""

from .table import digest_key

__all__ = ["DEMO_DIGESTS", "DEMO_OPERATOR_KEY", "DEMO_TEAM_KEY"]

DEMO_TEAM_KEY = "demo-key"
DEMO_OPERATOR_KEY = "demo-operator-key"
DEMO_DIGESTS = frozenset({digest_key(DEMO_TEAM_KEY), digest_key(DEMO_OPERATOR_KEY)})

"""Decision logic of a sidecar load balancer for service-to-service calls."""

from otterreach.balancer.interface import Settings, SettingsError
from otterreach.balancer.logic import Balancer

__all__ = ["Balancer", "Settings", "SettingsError"]
__version__ = "0.1.0"

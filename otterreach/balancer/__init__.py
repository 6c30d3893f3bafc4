"""Decision logic of a sidecar load balancer for service-to-service calls."""

from otterreach.balancer.interface import Settings
from otterreach.balancer.logic import Balancer
from otterreach.balancer.settings_reader import SettingsError

__all__ = ["Balancer", "Settings", "SettingsError"]
__version__ = "0.1.0"

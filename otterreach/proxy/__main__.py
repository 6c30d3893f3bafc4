"""`python3 -m otterreach.proxy`: one proxy, as the settings file says."""

from otterreach.proxy.node import run
from otterreach.runtime.node import run_role

run_role(run)

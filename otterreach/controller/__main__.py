"""python3 -m otterreach.controller: a controller, told by the settings file."""

from otterreach.controller.node import serve
from otterreach.runtime.node import run_role

if __name__ == "__main__":
    run_role(serve)

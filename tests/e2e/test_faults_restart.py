#!/usr/bin/env python3
"""All processes restarted at once; a worker that fails everything."""

import faults_config as scenarios
from faults import run_all

run_all([scenarios.all_restarted, scenarios.worker_fails_everything])

#!/usr/bin/env python3
"""Restart of all processes at once; a worker that fails all work."""

import faults_config as scenarios
from faults import run_all

run_all([scenarios.all_restarted, scenarios.worker_fails_everything])

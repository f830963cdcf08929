#!/usr/bin/env python3
"""Runs whose VM is killed, or that finish while they are evicted."""

import faults_batch as scenarios
from faults import run_all

run_all([scenarios.vm_killed, scenarios.eviction_races_completion])

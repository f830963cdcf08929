#!/usr/bin/env python3
"""Graceful stops of entries, and the drain of a failure domain."""

import faults_stops as scenarios
from faults import run_all

run_all([scenarios.entry_stopped, scenarios.domain_drained])

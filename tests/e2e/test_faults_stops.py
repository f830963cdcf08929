#!/usr/bin/env python3
"""Graceful stops of agents."""

import faults_stops as scenarios
from faults import run_all

run_all([scenarios.agent_stopped, scenarios.stop_with_frozen_entry,
         scenarios.stop_with_lost_announcement])

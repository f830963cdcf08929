#!/usr/bin/env python3
"""Runs whose agent is disconnected, or killed and not restarted."""

import faults_batch as scenarios
from faults import run_all

run_all([scenarios.agent_disconnected_and_reconnected,
         scenarios.agent_killed_without_restart])

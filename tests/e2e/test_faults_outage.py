#!/usr/bin/env python3
"""Runs while the store, an owner or an agent is temporarily unavailable."""

import faults_batch as scenarios
from faults import run_all

run_all([scenarios.owner_frozen, scenarios.store_outage,
         scenarios.agent_killed_task_runs_on])

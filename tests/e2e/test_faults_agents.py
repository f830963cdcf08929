#!/usr/bin/env python3
"""Runs whose agent is cut off, or killed for good."""

import faults_batch as scenarios
from faults import run_all

run_all([scenarios.agent_cut_and_rejoined, scenarios.agent_killed_for_good])

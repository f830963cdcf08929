#!/usr/bin/env python3
"""Runs whose owners are killed or frozen, and lost commit responses."""

import faults_batch as scenarios
from faults import run_all

run_all([scenarios.owner_killed, scenarios.owner_frozen_twice,
         scenarios.commit_responses_lost])

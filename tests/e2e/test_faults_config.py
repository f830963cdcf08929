#!/usr/bin/env python3
"""The live configuration under faults, and mass cancellation of jobs."""

import faults_config as scenarios
from faults import run_all

run_all([scenarios.concurrent_operators, scenarios.accepted_response_lost,
         scenarios.restart_in_outage, scenarios.frozen_during_changes,
         scenarios.delayed_messages, scenarios.region_disconnected_from_store,
         scenarios.mass_cancellation])

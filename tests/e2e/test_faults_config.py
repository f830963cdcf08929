#!/usr/bin/env python3
"""The live configuration, and a wave of cancellations."""

import faults_config as scenarios
from faults import run_all

run_all([scenarios.operators_race, scenarios.accepted_answer_lost,
         scenarios.restart_in_outage, scenarios.frozen_meanwhile,
         scenarios.late_messages, scenarios.region_cut_from_store,
         scenarios.wave_of_cancellations])

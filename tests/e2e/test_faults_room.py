#!/usr/bin/env python3
"""Runs that compete for the capacity of a VM."""

import faults_batch as scenarios
from faults import run_all

run_all([scenarios.owners_compete_for_one_vm, scenarios.urgent_work_evicts,
         scenarios.urgent_work_of_two_owners])

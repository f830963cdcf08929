#ifndef CATKINHILL_JOBSPEC_H
#define CATKINHILL_JOBSPEC_H

#include <stddef.h>

#include "message.h"

/*
 * NAME
 *	jobspec - a batch job as an operator submits it
 *
 * NOTES
 *	Stored as JSON under inbox/N/JOB until the owner of partition N has
 *	added it to the partition:
 *	{"job": "j1", "team": "returns", "urgent": false, "cpu_milli": 2000,
 *	 "mem_mb": 1024, "accel": 0, "command": "reconcile 2026-48"}
 */
struct job_spec {
	char job[ID_SIZE]; /* letters, digits, '-', '_', '.' */
	char team[ID_SIZE];
	int urgent;
	struct resources need; /* declared; actual use may be very different */
	char command[1024];
};

#define JOB_COMMAND_MAX 1023

/*
 * ERRORS
 *	ERR_MALFORMED	not a JSON object, or a wrong type
 *	ERR_INVALID	an unknown key, a missing key or an invalid value
 *	In both cases message names the fault in one sentence.
 */
int job_spec_parse(struct job_spec *spec, const char *json, size_t len,
		   char *message, size_t message_size);

/* RETURN VALUE: newly allocated JSON, freed by the caller. */
char *job_spec_render(const struct job_spec *spec);

/* Partition of a job; every process computes the same one. */
uint32_t job_partition(const char *job, uint32_t partitions);

#endif

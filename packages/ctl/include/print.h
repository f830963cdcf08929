#ifndef CATKINHILL_PRINT_H
#define CATKINHILL_PRINT_H

#include <jansson.h>

/*
 * NAME
 *	print - prints responses of the operator API as text
 */

/* file: where the plan has been written, or NULL. */
void print_plan(const json_t *plan, const char *file);
void print_status(const json_t *status);
void print_config(const json_t *config);

/* Prints any JSON: one value a line, nested values indented. */
void print_value(const json_t *value);

/*
 * Prints what differs between two responses to GET /v1/status; before is NULL
 * for the first one.
 */
void print_status_changes(const json_t *before, const json_t *after);

void print_json(const json_t *value);

#endif

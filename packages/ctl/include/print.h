#ifndef CATKINHILL_PRINT_H
#define CATKINHILL_PRINT_H

#include <jansson.h>

/*
 * NAME
 *	print - answers of the operator API as text for people
 */

/* file is where the plan is stored, or NULL. */
void print_plan(const json_t *plan, const char *file);
void print_status(const json_t *status);
void print_config(const json_t *config);

/* Any answer, one value a line, members indented. */
void print_value(const json_t *value);

/* What differs between two answers to GET /v1/status; before may be NULL. */
void print_status_changes(const json_t *before, const json_t *after);

void print_json(const json_t *value);

#endif

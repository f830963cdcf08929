#ifndef CATKINHILL_CHECKPRINT_H
#define CATKINHILL_CHECKPRINT_H

#include <stdio.h>

#include "configcheck.h"

/* Prints findings and changes of the file, one a line or as JSON. */
void checkprint_text(const char *path, const struct check_report *report);
void checkprint_json(const char *path, const struct check_report *report);

/* Prints a text of the file in one line, without control characters. */
void checkprint_clean(FILE *file, const char *text);

#endif

/* The events of one request, collected from the logs of all instances.  */
#ifndef EXPLAIN_H
#define EXPLAIN_H

#include <glib.h>

/* Reads the log FILES (NULL-terminated; "-": standard input) and appends to
   OUT, in order of time, the lines about request ID. For each instance that
   logged any, adds the state of its configuration and its store before the
   first of them, and the state changes that it logged between the first and the
   last. JSON: writes the lines as JSON, without labels. Returns the number of
   lines about the request, or -1 with an error message in OUT if a file cannot
   be read. */
int explain_request (const char *id, char *const *files, gboolean json,
                     GString *out);

#endif

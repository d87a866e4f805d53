/* The story of one request out of the logs of all instances.  */
#ifndef EXPLAIN_H
#define EXPLAIN_H

#include <glib.h>

/* Reads the log FILES ("-": standard input) and appends to OUT, in the order
   of time, the lines about request ID, each instance's belief at its first
   line about it, and changes of belief there meanwhile. JSON: as JSON lines.
   Returns the number of lines about the request, or -1 with a message in OUT
   if a file cannot be read. */
int explain_request (const char *id, char *const *files, gboolean json,
                     GString *out);

#endif

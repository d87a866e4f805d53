/* Differences between two texts, line by line.  */
#ifndef DIFF_H
#define DIFF_H

#include <glib.h>

#define DIFF_TABLE_MAX                                                         \
  (16 * 1024 * 1024) /* above, all lines count as changed                      \
                      */

/* A line that only one of the texts has. */
struct diff_line
{
  char sign;        /* '-': only in the old text, '+': only in the new one */
  guint number;     /* in its text, from 1 */
  const char *text; /* borrowed */
};

/* Returns an array of struct diff_line in the order of the texts, that borrows
   from the NULL-terminated lines. */
GArray *diff_lines (char *const *old, char *const *new);

#endif

/* Differences between two texts, line by line.  */
#ifndef DIF_H
#define DIF_H

#include <glib.h>

#define DIF_CELLS_MAX                                                          \
  (16 * 1024 * 1024) /* above, all lines count as changed                      \
                      */

/* A line that only one of the texts has. */
struct dif_line
{
  char sign;        /* '-': only in the old text, '+': only in the new one */
  guint number;     /* in its text, from 1 */
  const char *text; /* borrowed */
};

/* Returns an array of struct dif_line in the order of the texts, that borrows
   from the NULL-terminated lines. */
GArray *dif_lines (char *const *old, char *const *new);

#endif

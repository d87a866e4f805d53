/* Line-by-line differences of two texts.  */
#ifndef DIFF_H
#define DIFF_H

#include <glib.h>

/* Entries in the table of common subsequences. If it would be larger, all lines
   between the first and the last difference count as changed. */
#define DIFF_TABLE_MAX (16 * 1024 * 1024)

/* A line that is in only one of the two texts. */
struct diff_line
{
  char sign;        /* '-': only in the old text, '+': only in the new one */
  guint number;     /* of the line in its text, from 1 */
  const char *text; /* borrowed */
};

/* Compares two NULL-terminated arrays of lines. Returns a new array of struct
   diff_line in the order of the texts, whose text is borrowed from OLD and
   NEW. */
GArray *diff_lines (char *const *old, char *const *new);

#endif

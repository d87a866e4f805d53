/* Differences by the longest common subsequence of lines.  */
#include "jacinthctl/diff.h"

#include <string.h>

/* Two texts without their common lines at the start and at the end. */
struct changed_region
{
  char *const *old;
  char *const *new;
  guint start; /* number of common lines before the region */
  guint n_old;
  guint n_new;
};

static struct changed_region
find_changed_region (char *const *old, char *const *new)
{
  struct changed_region m = { 0 };
  guint n_old = g_strv_length ((char **)old);
  guint n_new = g_strv_length ((char **)new);
  while (m.start < n_old && m.start < n_new
         && strcmp (old[m.start], new[m.start]) == 0)
    m.start++;
  while (n_old > m.start && n_new > m.start
         && strcmp (old[n_old - 1], new[n_new - 1]) == 0)
    {
      n_old--;
      n_new--;
    }
  m.old = old + m.start;
  m.new = new + m.start;
  m.n_old = n_old - m.start;
  m.n_new = n_new - m.start;
  return m;
}

/* Returns a table of the lengths of longest common subsequences, to be freed
   with g_free: entry i * (n_new + 1) + j is for the old lines from i and the
   new lines from j. Returns NULL if it would exceed DIFF_TABLE_MAX.  */
static guint *
lcs_table (const struct changed_region *m)
{
  gsize row = (gsize)m->n_new + 1;
  if ((m->n_old + 1) * row > DIFF_TABLE_MAX)
    return NULL;
  guint *lengths = g_new0 (guint, (m->n_old + 1) * row);
  for (gsize i = m->n_old; i-- > 0;)
    for (gsize j = m->n_new; j-- > 0;)
      {
        guint down = lengths[(i + 1) * row + j];
        guint right = lengths[i * row + j + 1];
        guint both = lengths[(i + 1) * row + j + 1] + 1;
        gboolean same = strcmp (m->old[i], m->new[j]) == 0;
        lengths[i * row + j] = same ? both : MAX (down, right);
      }
  return lengths;
}

static void
append_diff_line (GArray *lines, char sign, guint number, const char *text)
{
  struct diff_line line = { sign, number, text };
  g_array_append_val (lines, line);
}

GArray *
diff_lines (char *const *old, char *const *new)
{
  GArray *lines = g_array_new (FALSE, FALSE, sizeof (struct diff_line));
  struct changed_region m = find_changed_region (old, new);
  guint *lengths = lcs_table (&m);
  gsize row = (gsize)m.n_new + 1;
  guint i = 0;
  guint j = 0;
  while (i < m.n_old || j < m.n_new)
    {
      gboolean both = lengths != NULL && i < m.n_old && j < m.n_new;
      if (both && strcmp (m.old[i], m.new[j]) == 0)
        {
          i++;
          j++;
        }
      else if (i < m.n_old
               && (!both
                   || lengths[(i + 1) * row + j] >= lengths[i * row + j + 1]))
        {
          append_diff_line (lines, '-', m.start + i + 1, m.old[i]);
          i++;
        }
      else
        {
          append_diff_line (lines, '+', m.start + j + 1, m.new[j]);
          j++;
        }
    }
  g_free (lengths);
  return lines;
}

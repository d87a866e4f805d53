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
  struct changed_region region = { 0 };
  guint n_old = g_strv_length ((char **)old);
  guint n_new = g_strv_length ((char **)new);
  while (region.start < n_old && region.start < n_new
         && strcmp (old[region.start], new[region.start]) == 0)
    region.start++;
  while (n_old > region.start && n_new > region.start
         && strcmp (old[n_old - 1], new[n_new - 1]) == 0)
    {
      n_old--;
      n_new--;
    }
  region.old = old + region.start;
  region.new = new + region.start;
  region.n_old = n_old - region.start;
  region.n_new = n_new - region.start;
  return region;
}

/* Returns a table of the lengths of longest common subsequences, to be freed
   with g_free: entry i * (n_new + 1) + j is for the old lines from i and the
   new lines from j. Returns NULL if it would exceed DIFF_TABLE_MAX.  */
static guint *
lcs_table (const struct changed_region *region)
{
  gsize row = (gsize)region->n_new + 1;
  if ((region->n_old + 1) * row > DIFF_TABLE_MAX)
    return NULL;
  guint *lengths = g_new0 (guint, (region->n_old + 1) * row);
  for (gsize i = region->n_old; i-- > 0;)
    for (gsize j = region->n_new; j-- > 0;)
      {
        guint down = lengths[(i + 1) * row + j];
        guint right = lengths[i * row + j + 1];
        guint both = lengths[(i + 1) * row + j + 1] + 1;
        gboolean same = strcmp (region->old[i], region->new[j]) == 0;
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
  struct changed_region region = find_changed_region (old, new);
  guint *lengths = lcs_table (&region);
  gsize row = (gsize)region.n_new + 1;
  guint i = 0;
  guint j = 0;
  while (i < region.n_old || j < region.n_new)
    {
      gboolean both = lengths != NULL && i < region.n_old && j < region.n_new;
      if (both && strcmp (region.old[i], region.new[j]) == 0)
        {
          i++;
          j++;
        }
      else if (i < region.n_old
               && (!both
                   || lengths[(i + 1) * row + j] >= lengths[i * row + j + 1]))
        {
          append_diff_line (lines, '-', region.start + i + 1, region.old[i]);
          i++;
        }
      else
        {
          append_diff_line (lines, '+', region.start + j + 1, region.new[j]);
          j++;
        }
    }
  g_free (lengths);
  return lines;
}

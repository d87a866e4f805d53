#include "policy/crash_records.h"

#include "base/err.h"
#include "policy/crash_suspects_internal.h"

#include <string.h>

/* Addresses this load pattern: a request or a part of a prompt that ends
   servers, while all instances end too, again and again. What each of them had
   learned would be paid for with three more servers each time.  */

#define FIRST_LINE "crashes 1"
/* Until the responsible instance saves what nobody is known to have saved. */
#define LEFT_OVER_DELAY_US (1 * CLK_S)
#define FIELDS_MIN 3 /* of a line: id, server, time; then the parts */

/* Returns whether CRASH makes a part so suspect that it matters if it is
   forgotten. A cleared part counts too: it must not be suspected again.  */
gboolean
suspects_is_storable (const struct suspects_crash *crash)
{
  for (guint i = 0; i < crash->parts.n; i++)
    if (crash->weights[i] >= SUSPECTS_WEIGHT_TRIAL)
      return TRUE;
  return FALSE;
}

/* Returns whether CRASH makes one of PARTS suspect.  */
static gboolean
blames (const struct suspects_crash *crash, const struct prompt_parts *parts)
{
  for (guint i = 0; i < crash->parts.n; i++)
    if (crash->weights[i] >= SUSPECTS_WEIGHT_TRIAL && !crash->cleared[i]
        && prompt_parts_contain (parts, crash->parts.keys[i]))
      return TRUE;
  return FALSE;
}

/* Returns whether all that makes PARTS suspect is saved. If not, it is to be
   saved now.  */
gboolean
suspects_want_saved (struct suspects *suspects,
                     const struct prompt_parts *parts, gint64 now)
{
  gboolean is_saved = TRUE;
  gboolean is_news = FALSE;
  if (suspects->options.save == NULL)
    return TRUE;
  for (guint i = 0; i < suspects->n_crashes; i++)
    {
      struct suspects_crash *crash = &suspects->crashes[i];
      if (crash->saved > 0 || !blames (crash, parts)
          || now - crash->at >= suspects_kept_us (crash))
        continue;
      is_saved = FALSE;
      is_news |= !crash->wanted;
      crash->wanted = TRUE;
    }
  if (is_news)
    suspects->options.save (suspects->options.ctx);
  return is_saved;
}

/* Returns whether this instance should save now. What a trial waits for and the
   further crashes of a series are saved at once by who wants or has seen them;
   anything else by the one instance that is responsible for what is left.  */
gboolean
crash_records_are_due (const struct suspects *suspects, gboolean is_responsible,
                       gint64 now)
{
  for (guint i = 0; i < suspects->n_crashes; i++)
    {
      const struct suspects_crash *crash = &suspects->crashes[i];
      gboolean is_series
          = crash->own
            && suspects_highest_weight (crash) >= SUSPECTS_WEIGHT_DANGEROUS;
      if (crash->saved < crash->changed && suspects_is_storable (crash)
          && (crash->wanted || (is_series && crash->saved == 0)
              || (is_responsible && now - crash->at >= LEFT_OVER_DELAY_US)))
        return TRUE;
    }
  return FALSE;
}

static gint
compare_use (gconstpointer a, gconstpointer b)
{
  const struct suspects_crash *x = *(const struct suspects_crash *const *)a;
  const struct suspects_crash *y = *(const struct suspects_crash *const *)b;
  guint x_weight = suspects_highest_weight (x);
  guint y_weight = suspects_highest_weight (y);
  if (x_weight != y_weight)
    return x_weight > y_weight ? -1 : 1;
  return (x->at < y->at) - (x->at > y->at);
}

static void
write_line (GString *out, const struct suspects_crash *crash,
            gint64 wall_offset)
{
  g_string_append_printf (
      out, "%" G_GINT64_MODIFIER "x %" G_GINT64_MODIFIER "x %" G_GINT64_FORMAT,
      crash->id, crash->server, (crash->at + wall_offset) / CLK_MS);
  for (guint i = 0; i < crash->parts.n; i++)
    g_string_append_printf (out, " %" G_GINT64_MODIFIER "x:%u%s",
                            crash->parts.keys[i], crash->weights[i],
                            crash->cleared[i] ? "c" : "");
  g_string_append_c (out, '\n');
}

/* Returns the text of the crashes that matter, MAX at most, the most suspect
   ones first; owned by the caller. WALL_OFFSET is the wall time minus the clock
   time.  */
GBytes *
crash_records_write (const struct suspects *suspects, gint64 wall_offset,
                     guint max, struct crash_records_written *written)
{
  const struct suspects_crash *found[SUSPECTS_CRASHES_MAX];
  guint n = 0;
  GString *out = g_string_new (FIRST_LINE "\n");
  for (guint i = 0; i < suspects->n_crashes; i++)
    if (suspects_is_storable (&suspects->crashes[i]))
      found[n++] = &suspects->crashes[i];
  qsort (found, n, sizeof found[0], compare_use);
  n = MIN (n, max);
  for (guint i = 0; i < n; i++)
    write_line (out, found[i], wall_offset);
  *written = (struct crash_records_written){ n, suspects->n_changes };
  return g_string_free_to_bytes (out);
}

/* The store has what was written when THROUGH was the last change. What was
   left out for want of room counts too: it would never be saved.  */
void
crash_records_saved (struct suspects *suspects, guint64 through)
{
  for (guint i = 0; i < suspects->n_crashes; i++)
    {
      struct suspects_crash *crash = &suspects->crashes[i];
      if (crash->changed > through || !suspects_is_storable (crash))
        continue;
      crash->saved = crash->changed;
      crash->wanted = FALSE;
    }
  suspects->saving_fails = FALSE;
}

static gboolean
parse_part (const char *text, struct suspects_crash *crash)
{
  guint n = crash->parts.n;
  char *end;
  guint64 key = g_ascii_strtoull (text, &end, 16);
  if (n == PROMPT_PARTS_MAX || end == text || *end != ':'
      || !g_ascii_isdigit (end[1]))
    return FALSE;
  guint64 weight = g_ascii_strtoull (end + 1, &end, 10);
  gboolean is_cleared = *end == 'c';
  if (weight > SUSPECTS_WEIGHT_MAX || end[is_cleared] != '\0')
    return FALSE;
  crash->parts.keys[n] = key;
  crash->weights[n] = (guint8)weight;
  crash->cleared[n] = is_cleared;
  crash->parts.n++;
  return TRUE;
}

/* Parses LINE into CRASH, whose time is in wall time.  */
static gboolean
parse_line (const char *line, struct suspects_crash *crash)
{
  g_auto (GStrv) fields = g_strsplit (line, " ", FIELDS_MIN + PROMPT_PARTS_MAX);
  guint n = g_strv_length (fields);
  gint64 at_ms;
  *crash = (struct suspects_crash){ .id = 0 };
  if (n <= FIELDS_MIN
      || !g_ascii_string_to_unsigned (fields[0], 16, 1, G_MAXUINT64, &crash->id,
                                      NULL)
      || !g_ascii_string_to_unsigned (fields[1], 16, 0, G_MAXUINT64,
                                      &crash->server, NULL)
      || !g_ascii_string_to_signed (fields[2], 10, 0, G_MAXINT64 / CLK_MS,
                                    &at_ms, NULL))
    return FALSE;
  crash->at = at_ms * CLK_MS;
  for (guint i = FIELDS_MIN; i < n; i++)
    if (!parse_part (fields[i], crash))
      return FALSE;
  return TRUE;
}

/* Adds CRASH, which the store has, unless it is out of date.  */
static void
load_crash (struct suspects *suspects, const struct suspects_crash *crash,
            gint64 now)
{
  gboolean same = TRUE;
  if (now - crash->at >= suspects_kept_us (crash))
    return;
  suspects_merge (suspects, crash);
  struct suspects_crash *known = suspects_find_crash (suspects, crash->id);
  if (known == NULL)
    return;
  for (guint i = 0; i < MIN (known->parts.n, crash->parts.n); i++)
    same &= known->cleared[i] == crash->cleared[i];
  known->saved = same ? known->changed : known->changed - 1;
  known->wanted = FALSE;
}

/* Adds the crashes in TEXT, which the store has. Returns how many lines could
   be read, or ERR_INVALID if it is something else. A time that has not come
   counts as now: clocks may be off.  */
int
crash_records_load (struct suspects *suspects, struct str text,
                    gint64 wall_offset, gint64 now)
{
  int n = 0;
  g_autofree char *copy = g_strndup (text.p, text.n);
  g_auto (GStrv) lines = g_strsplit (copy, "\n", SUSPECTS_CRASHES_MAX + 2);
  if (lines[0] == NULL || strcmp (lines[0], FIRST_LINE) != 0)
    return ERR_INVALID;
  for (guint i = 1; lines[i] != NULL && i <= SUSPECTS_CRASHES_MAX; i++)
    {
      struct suspects_crash crash;
      if (!parse_line (lines[i], &crash))
        continue;
      crash.at = MIN (crash.at - wall_offset, now);
      load_crash (suspects, &crash, now);
      n++;
    }
  return n;
}

/* What was saved before has been loaded, or there was nothing: requests need
   not wait for it.  */
void
crash_records_loaded (struct suspects *suspects)
{
  suspects->loaded = TRUE;
}

/* The store may have lost what it had.  */
void
crash_records_lost (struct suspects *suspects)
{
  for (guint i = 0; i < suspects->n_crashes; i++)
    suspects->crashes[i].saved = 0;
}

/* Tells whether nothing can be saved at present. Requests for which a crash
   would have to be saved are then rejected instead of waiting.  */
void
crash_records_set_failing (struct suspects *suspects, gboolean failing)
{
  suspects->saving_fails = failing;
}

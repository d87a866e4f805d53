#include "harness/server_hints.h"

/* A rejection with Retry-After.  */
struct rejection
{
  gint64 at;
  gint64 until; /* end of the time that it asks for */
  guint requests;
};

/* What the present life of the server has told a sender.  */
struct told
{
  gint64 passed_on_at; /* first response that says that it is leaving, since the
                          sender was frozen; 0: none */
  GArray *rejections;  /* of struct rejection */
};

struct server_hints
{
  guint server;
  gint64 drain_us;
  guint life;
  gboolean leaving;
  double limit_per_s;
  int brittle; /* rejections a second that the server bears; -1: any */
  guint backoff_ms;
  GHashTable *told; /* sender id: struct told, owned */
  struct server_hints_counts counts;
};

static void
told_free (gpointer data)
{
  struct told *told = data;
  g_array_unref (told->rejections);
  g_free (told);
}

struct server_hints *
server_hints_new (guint server, guint drain_ms)
{
  struct server_hints *hints = g_new0 (struct server_hints, 1);
  hints->server = server;
  hints->brittle = -1;
  hints->drain_us = (gint64)drain_ms * 1000;
  hints->told = g_hash_table_new_full (NULL, NULL, NULL, told_free);
  return hints;
}

void
server_hints_free (struct server_hints *hints)
{
  g_hash_table_unref (hints->told);
  g_free (hints);
}

void
server_hints_restart (struct server_hints *hints)
{
  hints->life++;
  hints->leaving = FALSE;
  hints->limit_per_s = 0;
  hints->brittle = -1;
  hints->backoff_ms = 0;
  g_hash_table_remove_all (hints->told);
}

void
server_hints_set_limit (struct server_hints *hints, double per_s)
{
  hints->limit_per_s = per_s;
}

void
server_hints_set_brittle (struct server_hints *hints, int rejections_per_s)
{
  hints->brittle = rejections_per_s;
}

void
server_hints_set_leaving (struct server_hints *hints, gboolean leaving)
{
  hints->leaving = leaving;
}

void
server_hints_set_backoff (struct server_hints *hints, guint ms)
{
  hints->backoff_ms = ms;
}

guint
server_hints_backoff_ms (const struct server_hints *hints)
{
  return hints->backoff_ms;
}

void
server_hints_append_fields (const struct server_hints *hints, gboolean rejected,
                            GString *fields)
{
  if (hints->leaving)
    g_string_append_printf (fields, "X-Leaving: 1\r\nX-Life: %u.%u\r\n",
                            hints->server, hints->life);
  if (hints->limit_per_s > 0)
    g_string_append_printf (fields, "X-Limit: %g\r\n", hints->limit_per_s);
  if (hints->brittle >= 0)
    g_string_append_printf (fields, "X-Brittle: %d\r\n", hints->brittle);
  if (!rejected || hints->backoff_ms == 0)
    return;
  g_string_append_printf (fields, "Retry-After: %u", hints->backoff_ms / 1000);
  if (hints->backoff_ms % 1000 != 0)
    g_string_append_printf (fields, ".%03u", hints->backoff_ms % 1000);
  g_string_append (fields, "\r\n");
}

gboolean
server_hints_read (const struct http_head *head, struct server_hints_life *life)
{
  struct str leaving;
  struct str text;
  if (!http_head_get (head, "x-leaving", &leaving)
      || !str_eq (leaving, STR_LIT ("1"))
      || !http_head_get (head, "x-life", &text))
    return FALSE;
  char *copy = str_dup (text);
  char *end = NULL;
  life->server = (guint)g_ascii_strtoull (copy, &end, 10);
  gboolean ok = *end == '.';
  if (ok)
    life->number = (guint)g_ascii_strtoull (end + 1, NULL, 10);
  g_free (copy);
  return ok;
}

static struct told *
find_told (struct server_hints *hints, const struct server_hints_sender *sender)
{
  struct told *told = g_hash_table_lookup (hints->told, sender->id);
  if (told != NULL)
    return told;
  told = g_new0 (struct told, 1);
  told->rejections = g_array_new (FALSE, FALSE, sizeof (struct rejection));
  g_hash_table_insert (hints->told, (gpointer)sender->id, told);
  return told;
}

void
server_hints_passed_on (struct server_hints *hints,
                        const struct server_hints_sender *sender,
                        const struct server_hints_life *life, gint64 now)
{
  hints->counts.passed_on++;
  if (life->number != hints->life)
    return;
  struct told *told = find_told (hints, sender);
  if (told->passed_on_at <= sender->disturbed_until)
    told->passed_on_at = now;
}

void
server_hints_rejected (struct server_hints *hints,
                       const struct server_hints_sender *sender, gint64 now)
{
  if (hints->backoff_ms == 0)
    return;
  const struct rejection rejection
      = { .at = now, .until = now + (gint64)hints->backoff_ms * 1000 };
  hints->counts.backoffs++;
  g_array_append_val (find_told (hints, sender)->rejections, rejection);
}

/* Removes the rejections that were sent at SINCE or later, and those whose time
   has ended before NOW.  */
static void
remove_rejections (struct told *told, gint64 since, gint64 now)
{
  for (guint i = told->rejections->len; i-- > 0;)
    {
      const struct rejection *rejection
          = &g_array_index (told->rejections, struct rejection, i);
      if (rejection->at >= since || rejection->until < now)
        g_array_remove_index_fast (told->rejections, i);
    }
}

void
server_hints_forget_rejections (struct server_hints *hints, gint64 since)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, hints->told);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    remove_rejections (value, since, 0);
}

const char *
server_hints_arrived (struct server_hints *hints,
                      const struct server_hints_sender *sender, gint64 sent_at,
                      gint64 now)
{
  const char *broken = NULL;
  gboolean unwanted = FALSE;
  struct told *told = find_told (hints, sender);
  remove_rejections (told, G_MAXINT64, now);
  for (guint i = 0; i < told->rejections->len; i++)
    {
      struct rejection *rejection
          = &g_array_index (told->rejections, struct rejection, i);
      if (rejection->at <= sender->disturbed_until
          || now < rejection->at + SERVER_HINTS_HEARD_US)
        continue;
      unwanted = TRUE;
      if (++rejection->requests > SERVER_HINTS_REQUESTS_MAX)
        broken = "sent to a server that wants nothing from the instance";
    }
  hints->counts.in_backoff += unwanted;
  if (told->passed_on_at == 0 || told->passed_on_at <= sender->disturbed_until)
    return broken;
  if (sent_at > told->passed_on_at + hints->drain_us)
    return "sent to a server that has said that it is leaving, after its "
           "drain time";
  hints->counts.after_leave += sent_at > told->passed_on_at;
  return broken;
}

void
server_hints_add_counts (const struct server_hints *hints,
                         struct server_hints_counts *counts)
{
  counts->backoffs += hints->counts.backoffs;
  counts->passed_on += hints->counts.passed_on;
  counts->in_backoff += hints->counts.in_backoff;
  counts->after_leave += hints->counts.after_leave;
}

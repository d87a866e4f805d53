#include "harness/history.h"

#include <json-glib/json-glib.h>
#include <stdio.h>
#include <string.h>

#define EXPLAINED_MAX 6 /* violations that are explained */
#define LINES_MAX 40    /* log lines for each of them and file */
/* Log lines this long before and after an event belong to it.  */
#define AROUND_US (G_USEC_PER_SEC / 2)

struct history
{
  GMutex lock;
  GArray *events; /* struct history_event */
  GStringChunk *strings;
  GArray *violations; /* struct history_event, of the last history_check */
};

struct check
{
  struct history *history;
  const char *rule;
  GString *report;
  guint violations;
};

static const char *const kind_names[] = {
#define HISTORY_NAME(id, name) [HISTORY_##id] = (name),
  HISTORY_KINDS (HISTORY_NAME)
#undef HISTORY_NAME
};

struct history *
history_new (void)
{
  struct history *history = g_new0 (struct history, 1);
  g_mutex_init (&history->lock);
  history->events = g_array_new (FALSE, FALSE, sizeof (struct history_event));
  history->strings = g_string_chunk_new (4096);
  history->violations
      = g_array_new (FALSE, FALSE, sizeof (struct history_event));
  return history;
}

void
history_free (struct history *history)
{
  g_mutex_clear (&history->lock);
  g_array_unref (history->events);
  g_array_unref (history->violations);
  g_string_chunk_free (history->strings);
  g_free (history);
}

static const char *
intern (struct history *history, const char *text)
{
  return text ? g_string_chunk_insert_const (history->strings, text) : NULL;
}

void
history_add (struct history *history, const struct history_event *event)
{
  struct history_event copy = *event;
  const char **const texts[]
      = { &copy.process, &copy.id,   &copy.key,     &copy.request,
          &copy.ran,     &copy.text, &copy.expected };
  if (copy.t == 0)
    copy.t = g_get_real_time ();
  g_mutex_lock (&history->lock);
  for (guint i = 0; i < G_N_ELEMENTS (texts); i++)
    *texts[i] = intern (history, *texts[i]);
  g_array_append_val (history->events, copy);
  g_mutex_unlock (&history->lock);
}

struct history *
history_copy (struct history *history)
{
  struct history *copy = history_new ();
  g_mutex_lock (&history->lock);
  for (guint i = 0; i < history->events->len; i++)
    history_add (copy,
                 &g_array_index (history->events, struct history_event, i));
  g_mutex_unlock (&history->lock);
  return copy;
}

guint
history_count (struct history *history, enum history_kind kind,
               const char *text)
{
  guint n = 0;
  g_mutex_lock (&history->lock);
  for (guint i = 0; i < history->events->len; i++)
    {
      const struct history_event *e
          = &g_array_index (history->events, struct history_event, i);
      n += e->kind == kind && (text == NULL || g_strcmp0 (e->text, text) == 0);
    }
  g_mutex_unlock (&history->lock);
  return n;
}

static const char *
member (JsonObject *object, const char *name)
{
  return json_object_get_string_member_with_default (object, name, NULL);
}

/* Returns the request id in an attempt's id, which is REQUEST-NUMBER; freed by
   g_free. NULL if there is none.  */
static char *
request_of_attempt (const char *attempt)
{
  const char *dash = attempt ? strrchr (attempt, '-') : NULL;
  return dash ? g_strndup (attempt, (gsize)(dash - attempt)) : NULL;
}

/* Reads a line of a stand-in's history; only starts and executions are used. */
static void
handle_history_line (struct history *history, JsonObject *line)
{
  const char *kind = member (line, "kind");
  gboolean start = g_strcmp0 (kind, "start") == 0;
  if (!start && g_strcmp0 (kind, "execute") != 0)
    return;
  char *request = request_of_attempt (member (line, "attempt"));
  const struct history_event event
      = { .t = json_object_get_int_member_with_default (line, "t_us", 0),
          .kind = start ? HISTORY_START : HISTORY_EXECUTE,
          .process = member (line, "process"),
          .id = start ? NULL : member (line, "id"),
          .request = request };
  history_add (history, &event);
  g_free (request);
}

/* Returns the time of a line of an instance's log in microseconds since 1970,
   0 if it has none.  */
static gint64
log_line_time (JsonObject *line)
{
  const char *time = member (line, "time");
  GDateTime *at = time ? g_date_time_new_from_iso8601 (time, NULL) : NULL;
  if (at == NULL)
    return 0;
  gint64 t = g_date_time_to_unix (at) * G_USEC_PER_SEC
             + g_date_time_get_microsecond (at);
  g_date_time_unref (at);
  return t;
}

/* Reads a line of an instance's log; only applied configurations are used.  */
static void
handle_log_line (struct history *history, JsonObject *line)
{
  struct history_event event
      = { .kind = HISTORY_CONFIG, .process = member (line, "instance") };
  const char *text = member (line, "text");
  if (g_strcmp0 (member (line, "event"), "config.applied") != 0
      || sscanf (text, "version %" G_GUINT64_FORMAT, &event.version) != 1)
    return;
  event.t = log_line_time (line);
  history_add (history, &event);
}

static void
read_file (struct history *history, const char *path,
           void (*handle_line) (struct history *history, JsonObject *line))
{
  char *text = NULL;
  g_file_get_contents (path, &text, NULL, NULL);
  char **lines = g_strsplit (text ? text : "", "\n", -1);
  for (char **line = lines; *line != NULL; line++)
    {
      JsonNode *node = json_from_string (*line, NULL);
      if (node != NULL && JSON_NODE_HOLDS_OBJECT (node))
        handle_line (history, json_node_get_object (node));
      g_clear_pointer (&node, json_node_unref);
    }
  g_strfreev (lines);
  g_free (text);
}

void
history_read_dir (struct history *history, const char *dir)
{
  GDir *files = g_dir_open (dir, 0, NULL);
  const char *name;
  while (files != NULL && (name = g_dir_read_name (files)) != NULL)
    {
      char *path = g_build_filename (dir, name, NULL);
      if (g_str_has_suffix (name, ".history"))
        read_file (history, path, handle_history_line);
      else if (g_str_has_suffix (name, ".out"))
        read_file (history, path, handle_log_line);
      g_free (path);
    }
  if (files != NULL)
    g_dir_close (files);
}

static gint
by_time (gconstpointer a, gconstpointer b)
{
  const struct history_event *x = a;
  const struct history_event *y = b;
  return x->t < y->t ? -1 : x->t > y->t;
}

static void
append_event (GString *report, const struct history_event *e)
{
  g_string_append_printf (report,
                          "%s at %s, id %s, key %s, request %s, text %s, "
                          "v%" G_GUINT64_FORMAT ", t %" G_GINT64_FORMAT "\n",
                          kind_names[e->kind], e->process ? e->process : "-",
                          e->id ? e->id : "-", e->key ? e->key : "-",
                          e->request ? e->request : "-",
                          e->text ? e->text : "-", e->version, e->t);
}

static void
violation (struct check *check, const struct history_event *e, const char *why)
{
  check->violations++;
  g_array_append_vals (check->history->violations, e, 1);
  g_string_append_printf (check->report, "%s: %s: ", check->rule, why);
  append_event (check->report, e);
}

/* Iterates over the events in the order of time.  */
#define FOR_EACH_EVENT(e, check)                                               \
  for (const struct history_event *e                                           \
       = (const struct history_event *)(void *)(check)->history->events->data; \
       e                                                                       \
       < (const struct history_event *)(void *)(check)->history->events->data  \
             + (check)->history->events->len;                                  \
       e++)

static GHashTable *
new_map (void)
{
  return g_hash_table_new (g_str_hash, g_str_equal);
}

/* Returns a map from each call's id to its idempotency key.  */
static GHashTable *
keys_by_id (const struct check *check)
{
  GHashTable *keys = new_map ();
  FOR_EACH_EVENT (e, check)
  if (e->kind == HISTORY_CALL && e->key != NULL)
    g_hash_table_insert (keys, (char *)e->id, (char *)e->key);
  return keys;
}

/* A service request that is not repeatable runs at most once, counting all
   calls with the same idempotency key.  */
static void
at_most_once (struct check *check)
{
  GHashTable *keys = keys_by_id (check);
  GHashTable *ran = new_map ();
  FOR_EACH_EVENT (e, check)
  if (e->kind == HISTORY_EXECUTE && e->id != NULL)
    {
      const char *key = g_hash_table_lookup (keys, e->id);
      if (!g_hash_table_add (ran, (char *)(key ? key : e->id)))
        violation (check, e, "executed again");
    }
  g_hash_table_unref (ran);
  g_hash_table_unref (keys);
}

static gboolean
is_rejected (const struct history_event *e)
{
  return e->kind == HISTORY_REFUSED
         || (e->kind == HISTORY_ERROR && g_strcmp0 (e->ran, "no") == 0);
}

/* A request that was reported as not run did not run, and neither did a call
   all of whose retries were reported so.  */
static void
rejected_did_not_run (struct check *check)
{
  GHashTable *rejected_requests = new_map (); /* request ids */
  GHashTable *rejected_calls = new_map ();    /* ids of calls */
  FOR_EACH_EVENT (e, check)
  if (is_rejected (e) && e->request != NULL)
    g_hash_table_add (rejected_requests, (char *)e->request);
  FOR_EACH_EVENT (e, check)
  if (is_rejected (e) && e->id != NULL)
    g_hash_table_add (rejected_calls, (char *)e->id);
  FOR_EACH_EVENT (e, check)
  if ((e->kind == HISTORY_RESPONSE || e->kind == HISTORY_CUT
       || e->kind == HISTORY_ERROR)
      && !is_rejected (e) && e->id != NULL)
    g_hash_table_remove (rejected_calls, e->id);
  FOR_EACH_EVENT (e, check)
  if ((e->kind == HISTORY_START || e->kind == HISTORY_EXECUTE)
      && ((e->request && g_hash_table_contains (rejected_requests, e->request))
          || (e->id && g_hash_table_contains (rejected_calls, e->id))))
    violation (check, e, "ran although it was reported as not run");
  g_hash_table_unref (rejected_requests);
  g_hash_table_unref (rejected_calls);
}

/* A complete response has the text that is expected for its call.  */
static void
responses_are_correct (struct check *check)
{
  FOR_EACH_EVENT (e, check)
  if (e->kind == HISTORY_RESPONSE && e->expected != NULL
      && g_strcmp0 (e->text, e->expected) != 0)
    violation (check, e, "unexpected text");
}

/* All responses for an idempotency key are the same.  */
static void
same_response_for_key (struct check *check)
{
  GHashTable *responses = new_map ();
  FOR_EACH_EVENT (e, check)
  if (e->kind == HISTORY_RESPONSE && e->key != NULL)
    {
      const char *first = g_hash_table_lookup (responses, e->key);
      if (first == NULL)
        g_hash_table_insert (responses, (char *)e->key, (char *)e->text);
      else if (g_strcmp0 (first, e->text) != 0)
        violation (check, e, "another response for the same key");
    }
  g_hash_table_unref (responses);
}

/* Every call that was sent has an outcome.  */
static void
every_call_ends (struct check *check)
{
  GHashTable *open = new_map (); /* id -> calls without an outcome */
  FOR_EACH_EVENT (e, check)
  if (e->kind <= HISTORY_CUT) /* CALL or an outcome */
    {
      int n = GPOINTER_TO_INT (g_hash_table_lookup (open, e->id));
      n += e->kind == HISTORY_CALL ? 1 : -1;
      g_hash_table_insert (open, (char *)e->id, GINT_TO_POINTER (n));
    }
  FOR_EACH_EVENT (e, check)
  if (e->kind == HISTORY_CALL && g_hash_table_lookup (open, e->id) != NULL)
    violation (check, e, "no outcome");
  g_hash_table_unref (open);
}

/* A response may be cut off only by an instance that the test killed or froze
   during the call.  */
static void
only_faults_cut_off (struct check *check)
{
  GHashTable *down = new_map ();  /* instance -> its last event DOWN */
  GHashTable *first = new_map (); /* id -> its first event CALL */
  FOR_EACH_EVENT (e, check)
  if (e->kind == HISTORY_DOWN)
    g_hash_table_insert (down, (char *)e->process, (gpointer)e);
  else if (e->kind == HISTORY_CALL && !g_hash_table_contains (first, e->id))
    g_hash_table_insert (first, (char *)e->id, (gpointer)e);
  else if (e->kind == HISTORY_CUT)
    {
      const struct history_event *call = g_hash_table_lookup (first, e->id);
      const struct history_event *fault
          = g_hash_table_lookup (down, e->process);
      if (fault == NULL || call == NULL || fault->t < call->t - HISTORY_SKEW_US)
        violation (check, e, "cut off without a fault");
    }
  g_hash_table_unref (first);
  g_hash_table_unref (down);
}

/* A leaving server gets no new work after HISTORY_LEAVE_US.  */
static void
leaving_gets_no_work (struct check *check)
{
  GHashTable *since = new_map (); /* server -> its event LEAVING */
  FOR_EACH_EVENT (e, check)
  if (e->kind == HISTORY_LEAVING)
    g_hash_table_insert (since, (char *)e->process, (gpointer)e);
  else if (e->kind == HISTORY_LIVE)
    g_hash_table_remove (since, e->process);
  else if (e->kind == HISTORY_START || e->kind == HISTORY_EXECUTE)
    {
      const struct history_event *leaving
          = g_hash_table_lookup (since, e->process);
      if (leaving != NULL && e->t > leaving->t + HISTORY_LEAVE_US)
        violation (check, e, "new work on a leaving server");
    }
  g_hash_table_unref (since);
}

/* The configuration version in force at an instance never decreases, not even
   over a restart.  */
static void
versions_never_decrease (struct check *check)
{
  GHashTable *last = new_map (); /* instance -> its last event CONFIG */
  FOR_EACH_EVENT (e, check)
  if (e->kind == HISTORY_CONFIG)
    {
      const struct history_event *previous
          = g_hash_table_lookup (last, e->process);
      if (previous != NULL && e->version < previous->version)
        violation (check, e, "version decreased");
      g_hash_table_insert (last, (char *)e->process, (gpointer)e);
    }
  g_hash_table_unref (last);
}

/* Tells whether instance PROCESS, which had a configuration before ACCEPT,
   applied the accepted version in time or was down then.  */
static gboolean
applied_in_time (struct check *check, const struct history_event *accept,
                 const char *process)
{
  gint64 deadline = accept->t + HISTORY_SPREAD_US;
  gboolean down = FALSE;
  FOR_EACH_EVENT (e, check)
  {
    if (g_strcmp0 (e->process, process) != 0 || e->t > deadline)
      continue;
    if (e->kind == HISTORY_CONFIG && e->version >= accept->version)
      return TRUE;
    if (e->kind == HISTORY_DOWN)
      down = TRUE;
    else if (e->kind == HISTORY_UP && e->t < accept->t)
      down = FALSE;
  }
  return down;
}

/* An accepted version is in force at all instances within HISTORY_SPREAD_US. */
static void
accepted_is_applied (struct check *check)
{
  GHashTable *instances = new_map ();
  FOR_EACH_EVENT (e, check)
  {
    if (e->kind == HISTORY_CONFIG)
      g_hash_table_add (instances, (char *)e->process);
    if (e->kind != HISTORY_ACCEPT)
      continue;
    GHashTableIter iter;
    gpointer process;
    g_hash_table_iter_init (&iter, instances);
    while (g_hash_table_iter_next (&iter, &process, NULL))
      if (!applied_in_time (check, e, process))
        violation (check, e, process); /* that has not applied it */
  }
  g_hash_table_unref (instances);
}

static const struct
{
  const char *name;
  void (*check) (struct check *check);
} rules[] = {
  { "at-most-once", at_most_once },
  { "rejected-did-not-run", rejected_did_not_run },
  { "responses-are-correct", responses_are_correct },
  { "same-response-for-key", same_response_for_key },
  { "every-call-ends", every_call_ends },
  { "only-faults-cut-off", only_faults_cut_off },
  { "leaving-gets-no-work", leaving_gets_no_work },
  { "versions-never-decrease", versions_never_decrease },
  { "accepted-is-applied", accepted_is_applied },
};

guint
history_check (struct history *history, const char *name, GString *report)
{
  struct check check = { .history = history, .report = report };
  g_array_set_size (history->violations, 0);
  g_array_sort (history->events, by_time);
  for (guint i = 0; i < G_N_ELEMENTS (rules); i++)
    if (name == NULL || strcmp (name, rules[i].name) == 0)
      {
        check.rule = rules[i].name;
        rules[i].check (&check);
      }
  return check.violations;
}

/* Whether LINE names request E->request, alone or with an attempt's number.  */
static gboolean
names_request (const char *line, const struct history_event *e)
{
  gsize n = strlen (e->request);
  for (const char *at = line; (at = strstr (at, e->request)) != NULL; at++)
    if (at[n] == '"' || at[n] == '-')
      return TRUE;
  return FALSE;
}

static gboolean
is_around (const char *line, const struct history_event *e)
{
  JsonNode *node = json_from_string (line, NULL);
  gint64 t = 0;
  if (node != NULL && JSON_NODE_HOLDS_OBJECT (node))
    t = log_line_time (json_node_get_object (node));
  g_clear_pointer (&node, json_node_unref);
  return ABS (t - e->t) <= AROUND_US;
}

/* Appends the lines of the file NAME in DIR that belong to E.  */
static void
append_lines (const char *dir, const char *name, const struct history_event *e,
              GString *report)
{
  char *path = g_build_filename (dir, name, NULL);
  char *text = NULL;
  guint n = 0;
  g_file_get_contents (path, &text, NULL, NULL);
  char **lines = g_strsplit (text ? text : "", "\n", -1);
  for (char **line = lines; *line != NULL && n < LINES_MAX; line++)
    if (e->request != NULL ? names_request (*line, e) : is_around (*line, e))
      {
        g_string_append_printf (report, "    %s: %s\n", name, *line);
        n++;
      }
  g_strfreev (lines);
  g_free (text);
  g_free (path);
}

static void
explain_event (struct history *history, const struct history_event *violation,
               const char *dir, GString *report)
{
  const struct check check = { .history = history };
  GDir *files = g_dir_open (dir, 0, NULL);
  const char *name;
  g_string_append (report, "  about ");
  append_event (report, violation);
  FOR_EACH_EVENT (e, &check)
  if ((violation->id != NULL && g_strcmp0 (e->id, violation->id) == 0)
      || (violation->request != NULL
          && g_strcmp0 (e->request, violation->request) == 0)
      || e->kind == HISTORY_DOWN || e->kind == HISTORY_UP
      || e->kind == HISTORY_LEAVING)
    {
      g_string_append (report, "    ");
      append_event (report, e);
    }
  while (files != NULL && (name = g_dir_read_name (files)) != NULL)
    if (violation->request != NULL
            ? g_str_has_suffix (name, ".out")
                  || g_str_has_suffix (name, ".history")
            : violation->process != NULL
                  && g_str_has_prefix (name, violation->process)
                  && g_str_has_suffix (name, ".out"))
      append_lines (dir, name, violation, report);
  if (files != NULL)
    g_dir_close (files);
}

void
history_explain (struct history *history, const char *dir, GString *report)
{
  for (guint i = 0; i < history->violations->len && i < EXPLAINED_MAX; i++)
    explain_event (
        history, &g_array_index (history->violations, struct history_event, i),
        dir, report);
}

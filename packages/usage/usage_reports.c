#include "usage/usage_reports.h"

#include <string.h>

#include "base/err.h"
#include "base/json_add.h"
#include "base/json_text.h"
#include "base/log.h"

/* Counts are fixed at the latest this long before the report is due, so that a
   write to the store and two calls still fit in. */
#define FIX_MARGIN_US (3 * CLK_S)
/* Reports are kept this long after they are due, for calls in progress and for
   this instance to know what it has sent. */
#define KEPT_US (10 * CLK_S)
#define RETRY_MIN_US (200 * CLK_MS)
#define RETRY_MAX_US (2 * CLK_S)
/* Windows looked at in one call, after a time without a holder. */
#define WINDOWS_MAX 64
#define TEAMS_MAX 4096 /* in one report that is read */

/* The counts of a window, which do not change any more. */
struct report
{
  guint64 window;
  GArray *counts;      /* of struct usage_count; the names are owned */
  guint64 requests;    /* of all teams */
  gboolean is_offered; /* in the section given last */
  gboolean is_stored;
  gboolean was_sent; /* by this instance */
  gboolean is_done;  /* accepted, or too late */
  guint tries;
  gint64 next_try; /* true time */
};

struct usage_reports
{
  struct usage_reports_options options;
  gboolean is_loaded;
  /* All windows up to this one are fixed, or will not be reported; 0: not
     known. It is stored with the reports. */
  guint64 through;
  guint64 through_offered; /* in the section given last */
  guint64 through_stored;
  gboolean must_store; /* THROUGH, before anything is offered */
  GPtrArray *reports;  /* of struct report, by window */
  GPtrArray *replaced; /* of struct report: a call may still borrow of them;
                          NULL: none */
  GString *section;    /* as written last */
  gboolean is_changed; /* since SECTION was written */
  guint64 last_reported;
  gint64 last_reported_at; /* true time; 0: never */
};

static void
clear_count (gpointer data)
{
  g_free ((char *)((struct usage_count *)data)->team);
}

static void
report_free (gpointer data)
{
  struct report *report = data;
  g_array_unref (report->counts);
  g_free (report);
}

static struct report *
report_new (guint64 window)
{
  struct report *report = g_new0 (struct report, 1);
  report->window = window;
  report->counts = g_array_new (FALSE, FALSE, sizeof (struct usage_count));
  g_array_set_clear_func (report->counts, clear_count);
  return report;
}

static void
report_add (struct report *report, const char *team, guint64 requests)
{
  const struct usage_count count = { g_strdup (team), requests };
  g_array_append_val (report->counts, count);
  report->requests += requests;
}

struct usage_reports *
usage_reports_new (const struct usage_reports_options *options)
{
  struct usage_reports *reports = g_new0 (struct usage_reports, 1);
  reports->options = *options;
  reports->reports = g_ptr_array_new_with_free_func (report_free);
  reports->section = g_string_new (NULL);
  return reports;
}

void
usage_reports_free (struct usage_reports *reports)
{
  if (reports == NULL)
    return;
  g_string_free (reports->section, TRUE);
  g_ptr_array_unref (reports->reports);
  g_clear_pointer (&reports->replaced, g_ptr_array_unref);
  g_free (reports);
}

static void
count_event (const struct usage_reports *reports, enum counter_id id, guint64 n)
{
  if (reports->options.counter_set != NULL)
    counter_add (reports->options.counter_set, id, n);
}

static gint64
window_end (const struct usage_reports *reports, guint64 window)
{
  return (gint64)(window + 1) * reports->options.window_us;
}

static gint64
due_at (const struct usage_reports *reports, guint64 window)
{
  return window_end (reports, window) + reports->options.late_us;
}

/* Returns the last window that has ended at TRUE_NOW.  */
static guint64
last_ended (const struct usage_reports *reports, gint64 true_now)
{
  return (guint64)(true_now / reports->options.window_us) - 1;
}

static struct report *
find_report (const struct usage_reports *reports, guint64 window)
{
  for (guint i = 0; i < reports->reports->len; i++)
    {
      struct report *report = g_ptr_array_index (reports->reports, i);
      if (report->window == window)
        return report;
    }
  return NULL;
}

static int
compare_reports (gconstpointer a, gconstpointer b)
{
  guint64 x = (*(struct report *const *)a)->window;
  guint64 y = (*(struct report *const *)b)->window;
  return (x > y) - (x < y);
}

static gboolean
has_same_counts (const struct report *a, const struct report *b)
{
  if (a->counts->len != b->counts->len || a->requests != b->requests)
    return FALSE;
  for (guint i = 0; i < a->counts->len; i++)
    {
      const struct usage_count *x
          = &g_array_index (a->counts, struct usage_count, i);
      gboolean is_same = FALSE;
      for (guint k = 0; k < b->counts->len && !is_same; k++)
        {
          const struct usage_count *y
              = &g_array_index (b->counts, struct usage_count, k);
          is_same
              = x->requests == y->requests && g_str_equal (x->team, y->team);
        }
      if (!is_same)
        return FALSE;
    }
  return TRUE;
}

static struct report *
read_report (JsonNode *node)
{
  if (!JSON_NODE_HOLDS_OBJECT (node))
    return NULL;
  JsonObject *object = json_node_get_object (node);
  JsonNode *counts_node = json_object_get_member (object, "counts");
  gint64 window = json_object_get_int_member_with_default (object, "window", 0);
  if (window <= 0 || counts_node == NULL
      || !JSON_NODE_HOLDS_OBJECT (counts_node))
    return NULL;
  JsonObject *counts = json_node_get_object (counts_node);
  struct report *report = report_new ((guint64)window);
  GList *teams = json_object_get_members (counts);
  guint n = 0;
  for (GList *link = teams; link != NULL && n < TEAMS_MAX; link = link->next)
    {
      const char *team = link->data;
      report_add (
          report, team,
          (guint64)json_object_get_int_member_with_default (counts, team, 0));
      n++;
    }
  g_list_free (teams);
  report->is_stored = TRUE;
  return report;
}

/* Returns the reports of SECTION in a new array, and its "through".  */
static GPtrArray *
read_section (struct str section, guint64 *through)
{
  GPtrArray *list = g_ptr_array_new_with_free_func (report_free);
  JsonNode *root = json_text_parse_object (section);
  *through = 0;
  if (root == NULL)
    return list;
  JsonObject *object = json_node_get_object (root);
  *through = (guint64)MAX (
      json_object_get_int_member_with_default (object, "through", 0), 0);
  JsonNode *node = json_object_get_member (object, "windows");
  JsonArray *windows = node != NULL && JSON_NODE_HOLDS_ARRAY (node)
                           ? json_node_get_array (node)
                           : NULL;
  guint n = windows != NULL ? json_array_get_length (windows) : 0;
  for (guint i = 0; i < MIN (n, WINDOWS_MAX); i++)
    {
      struct report *report = read_report (json_array_get_element (windows, i));
      if (report != NULL)
        g_ptr_array_add (list, report);
    }
  json_node_unref (root);
  return list;
}

/* Takes over what the store has. Reports that it does not have are kept only if
   this instance has sent them itself: others may fix them anew. With
   ERA_CHANGED, the store has lost its latest changes, so that a window that has
   ended may have been reported with counts that are unknown.  */
void
usage_reports_load (struct usage_reports *reports, struct str section,
                    gboolean era_changed, gint64 true_now)
{
  guint64 through;
  GPtrArray *list = read_section (section, &through);
  guint64 held = reports->through;
  for (guint i = 0; i < list->len; i++)
    through
        = MAX (through, ((struct report *)g_ptr_array_index (list, i))->window);
  for (guint i = 0; i < reports->reports->len; i++)
    {
      struct report *own = g_ptr_array_index (reports->reports, i);
      struct report *stored = NULL;
      for (guint k = 0; k < list->len; k++)
        if (((struct report *)g_ptr_array_index (list, k))->window
            == own->window)
          stored = g_ptr_array_index (list, k);
      if (!own->was_sent)
        continue;
      if (stored == NULL)
        {
          struct report *kept = report_new (own->window);
          for (guint k = 0; k < own->counts->len; k++)
            {
              const struct usage_count *count
                  = &g_array_index (own->counts, struct usage_count, k);
              report_add (kept, count->team, count->requests);
            }
          g_ptr_array_add (list, kept);
          stored = kept;
          through = MAX (through, own->window);
        }
      else if (!has_same_counts (own, stored))
        {
          log_event (LOG_ERROR, "usage.differs", "window=%" G_GUINT64_FORMAT,
                     own->window);
          stored->is_done = TRUE;
        }
      stored->was_sent = TRUE;
      stored->is_done |= own->is_done;
    }
  if (era_changed)
    through = MAX (through, last_ended (reports, true_now));
  g_ptr_array_sort (list, compare_reports);
  g_clear_pointer (&reports->replaced, g_ptr_array_unref);
  reports->replaced = reports->reports;
  reports->reports = list;
  reports->through = through;
  reports->through_offered = reports->through_stored = 0;
  reports->must_store = era_changed;
  reports->is_loaded = reports->is_changed = TRUE;
  log_event (LOG_INFO, "usage.loaded",
             "reports=%u through=%" G_GUINT64_FORMAT
             " before=%" G_GUINT64_FORMAT " era_changed=%s",
             list->len, through, held, era_changed ? "yes" : "no");
}

static void
miss_window (struct usage_reports *reports, guint64 window, const char *why,
             gint64 true_now)
{
  count_event (reports, COUNTER_USAGE_MISSED, 1);
  log_event (LOG_WARN, "usage.missed",
             "window=%" G_GUINT64_FORMAT " why=%s late_ms=%" G_GINT64_FORMAT,
             window, why, (true_now - window_end (reports, window)) / CLK_MS);
}

static void
fix_window (struct usage_reports *reports, guint64 window,
            const struct usage_window_state *state, gint64 true_now)
{
  struct report *report = report_new (window);
  GArray *counts = g_array_new (FALSE, FALSE, sizeof (struct usage_count));
  usage_account_sum (reports->options.account, window, true_now, counts);
  for (guint i = 0; i < counts->len; i++)
    {
      const struct usage_count *count
          = &g_array_index (counts, struct usage_count, i);
      report_add (report, count->team, count->requests);
    }
  g_array_unref (counts);
  g_ptr_array_add (reports->reports, report);
  count_event (reports, COUNTER_USAGE_FIXED, 1);
  if (state->n_missing > 0)
    count_event (reports, COUNTER_USAGE_INCOMPLETE, 1);
  log_event (
      LOG_INFO, "usage.fixed",
      "window=%" G_GUINT64_FORMAT " teams=%u requests=%" G_GUINT64_FORMAT
      " instances=%u missing=%u missing_one=%s after_ms=%" G_GINT64_FORMAT,
      window, report->counts->len, report->requests,
      usage_account_n_peers (reports->options.account) + 1, state->n_missing,
      state->missing, (true_now - window_end (reports, window)) / CLK_MS);
}

/* Fixes the windows after THROUGH, in order, as far as they are complete or
   cannot be waited for any longer. A later window is not complete before an
   earlier one.  */
static void
fix_windows (struct usage_reports *reports, gint64 true_now)
{
  guint64 last = last_ended (reports, true_now);
  guint64 window = reports->through + 1;
  gint64 margin = MIN (FIX_MARGIN_US, reports->options.late_us / 2);
  /* Those before are past their time in any case. */
  guint64 first = last
                  - MIN (last, (guint64)(reports->options.late_us
                                         / reports->options.window_us)
                                   + 1);
  /* Nothing is missed where nobody has reported yet. */
  gboolean is_begun = reports->through > 0;
  if (is_begun && window < first)
    {
      count_event (reports, COUNTER_USAGE_MISSED, first - window);
      log_event (LOG_WARN, "usage.missed",
                 "windows=%" G_GUINT64_FORMAT " why=no_holder", first - window);
    }
  for (window = MAX (window, first); window <= last; window++)
    {
      const struct usage_window_state state = usage_account_window_state (
          reports->options.account, window, true_now);
      gint64 limit = due_at (reports, window) - margin;
      if (state.n_missing > 0 && true_now < limit)
        return;
      const char *why = true_now >= due_at (reports, window) ? "late"
                        : !state.is_known                    ? "lost"
                                                             : NULL;
      if (why != NULL && is_begun)
        miss_window (reports, window, why, true_now);
      if (why == NULL)
        fix_window (reports, window, &state, true_now);
      reports->through = window;
      reports->is_changed = TRUE;
    }
}

static void
expire_reports (struct usage_reports *reports, gint64 true_now)
{
  for (guint i = reports->reports->len; i > 0; i--)
    {
      struct report *report = g_ptr_array_index (reports->reports, i - 1);
      gint64 due = due_at (reports, report->window);
      if (true_now >= due && !report->is_done)
        {
          miss_window (reports, report->window, "unsent", true_now);
          report->is_done = reports->is_changed = TRUE;
        }
      if (true_now >= due + KEPT_US)
        g_ptr_array_remove_index (reports->reports, i - 1);
    }
}

static void
write_section (struct usage_reports *reports)
{
  if (!reports->is_changed)
    return;
  JsonBuilder *json = json_builder_new ();
  json_builder_begin_object (json);
  json_add_int (json, "through", (gint64)reports->through);
  json_builder_set_member_name (json, "windows");
  json_builder_begin_array (json);
  for (guint i = 0; i < reports->reports->len; i++)
    {
      const struct report *report = g_ptr_array_index (reports->reports, i);
      if (report->is_done)
        continue;
      json_builder_begin_object (json);
      json_add_int (json, "window", (gint64)report->window);
      json_builder_set_member_name (json, "counts");
      json_builder_begin_object (json);
      for (guint k = 0; k < report->counts->len; k++)
        {
          const struct usage_count *count
              = &g_array_index (report->counts, struct usage_count, k);
          json_add_int (json, count->team, (gint64)count->requests);
        }
      json_builder_end_object (json);
      json_builder_end_object (json);
    }
  json_builder_end_array (json);
  json_builder_end_object (json);
  JsonNode *root = json_builder_get_root (json);
  char *text = json_to_string (root, FALSE);
  g_string_assign (reports->section, text);
  reports->is_changed = FALSE;
  g_free (text);
  json_node_unref (root);
  g_object_unref (json);
}

/* Appends what is to be stored to SECTION, in any case: the reports that are
   not accepted yet, and up to which window there are no others. Returns whether
   it has to be stored before usage_reports_next can offer more.  */
gboolean
usage_reports_prepare (struct usage_reports *reports, gint64 true_now,
                       GString *section)
{
  gboolean is_new;
  if (!reports->is_loaded)
    return FALSE;
  expire_reports (reports, true_now);
  fix_windows (reports, true_now);
  is_new = reports->must_store;
  for (guint i = 0; i < reports->reports->len; i++)
    {
      struct report *report = g_ptr_array_index (reports->reports, i);
      is_new |= !report->is_stored && !report->is_done;
      report->is_offered = TRUE;
    }
  reports->through_offered = reports->through;
  write_section (reports);
  g_string_append_len (section, reports->section->str,
                       (gssize)reports->section->len);
  return is_new;
}

/* The section that was given last is durable.  */
void
usage_reports_stored (struct usage_reports *reports, gint64 true_now)
{
  (void)true_now;
  for (guint i = 0; i < reports->reports->len; i++)
    {
      struct report *report = g_ptr_array_index (reports->reports, i);
      report->is_stored |= report->is_offered;
    }
  reports->through_stored = reports->through_offered;
  reports->must_store = FALSE;
}

/* Returns whether a report is to be sent, in CALL. Only what is stored is, so
   that every later holder sends the same.  */
gboolean
usage_reports_next (struct usage_reports *reports, gint64 true_now,
                    struct usage_call *call)
{
  if (!reports->is_loaded || reports->must_store)
    return FALSE;
  for (guint i = 0; i < reports->reports->len; i++)
    {
      struct report *report = g_ptr_array_index (reports->reports, i);
      if (!report->is_stored || report->is_done || true_now < report->next_try
          || true_now >= due_at (reports, report->window))
        continue;
      report->was_sent = TRUE;
      /* The keeper has one call at a time; should it forget to say how this one
         ended, the report is sent again. */
      report->next_try = true_now + RETRY_MAX_US;
      *call = (struct usage_call){
        .window = report->window,
        .counts = (const struct usage_count *)(void *)report->counts->data,
        .n = report->counts->len
      };
      return TRUE;
    }
  return FALSE;
}

/* CALL has ended with CODE: 0, ERR_LIMIT, or another error.  */
void
usage_reports_done (struct usage_reports *reports,
                    const struct usage_call *call, int code, gint64 true_now)
{
  struct report *report = find_report (reports, call->window);
  if (report == NULL || report->is_done)
    return;
  report->tries++;
  if (code != 0)
    {
      guint doublings = MIN (report->tries - 1, 4);
      report->next_try
          = true_now + MIN (RETRY_MIN_US << doublings, RETRY_MAX_US);
      return;
    }
  report->is_done = reports->is_changed = TRUE;
  reports->last_reported = report->window;
  reports->last_reported_at = true_now;
  count_event (reports, COUNTER_USAGE_REPORTED, 1);
  log_event (LOG_INFO, "usage.reported",
             "window=%" G_GUINT64_FORMAT " teams=%u requests=%" G_GUINT64_FORMAT
             " tries=%u after_ms=%" G_GINT64_FORMAT,
             report->window, report->counts->len, report->requests,
             report->tries,
             (true_now - window_end (reports, report->window)) / CLK_MS);
}

void
usage_reports_dump (const struct usage_reports *reports, JsonBuilder *json)
{
  guint waiting = 0;
  for (guint i = 0; i < reports->reports->len; i++)
    waiting
        += !((struct report *)g_ptr_array_index (reports->reports, i))->is_done;
  json_builder_begin_object (json);
  json_add_bool (json, "loaded", reports->is_loaded);
  json_add_int (json, "through", (gint64)reports->through);
  json_add_int (json, "stored_through", (gint64)reports->through_stored);
  json_add_int (json, "unsent", waiting);
  json_add_int (json, "last_reported", (gint64)reports->last_reported);
  json_add_int (json, "last_reported_at_us", reports->last_reported_at);
  json_builder_end_object (json);
}

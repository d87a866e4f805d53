#include "standin/eventlog.h"

#define KEPT 4096      /* events */
#define ANSWER_MAX 512 /* events in an answer */
#define US_PER_MS 1000

struct event
{
  gint64 t; /* monotonic, microseconds */
  guint64 n;
  guint64 prefix;
  gboolean held;
};

/* Logs at NOW, in microseconds, that PREFIX is HELD or no longer.  */
void
eventlog_add (struct eventlog *eventlog, gint64 now, guint64 prefix,
              gboolean held)
{
  guint64 n = ++eventlog->last;
  if (eventlog->gap > 0 && n % (guint64)eventlog->gap == 0)
    return;
  struct event *event = g_new (struct event, 1);
  *event = (struct event){ now, n, prefix, held };
  g_queue_push_tail (&eventlog->events, event);
  if (eventlog->events.length > KEPT)
    g_free (g_queue_pop_head (&eventlog->events));
}

static void
append_event (GString *list, const struct event *event)
{
  g_string_append_printf (list,
                          "%s{\"n\": %" G_GUINT64_FORMAT
                          ", \"prefix\": \"%016" G_GINT64_MODIFIER
                          "x\", \"held\": %s}",
                          list->len > 0 ? ", " : "", event->n, event->prefix,
                          event->held ? "true" : "false");
}

/* Returns the answer to GET /events, freed by the caller: events above number
   AFTER that can be read at NOW.  */
char *
eventlog_to_json (const struct eventlog *eventlog, guint64 after, gint64 now)
{
  GString *list = g_string_new (NULL);
  guint64 next = after;
  guint count = 0;
  for (GList *l = eventlog->events.head; l != NULL && count < ANSWER_MAX;
       l = l->next)
    {
      const struct event *event = l->data;
      if (event->t > now - eventlog->delay_ms * US_PER_MS)
        break;
      if (event->n <= after)
        continue;
      append_event (list, event);
      next = event->n;
      count++;
    }
  char *json = g_strdup_printf (
      "{\"next\": %" G_GUINT64_FORMAT ", \"events\": [%s]}", next, list->str);
  g_string_free (list, TRUE);
  return json;
}

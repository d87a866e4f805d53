#include "standin/eventlog.h"

#define EVENTS_MAX 4096         /* beyond that, the oldest are evicted */
#define RESPONSE_EVENTS_MAX 512 /* events in a response */
#define US_PER_MS 1000

struct event
{
  gint64 time_us; /* monotonic */
  guint64 number;
  guint64 prefix_hash;
  gboolean cached;
};

/* Logs at time NOW, in microseconds, that the prefix is CACHED or evicted.  */
void
eventlog_add (struct eventlog *eventlog, gint64 now, guint64 prefix_hash,
              gboolean cached)
{
  guint64 number = ++eventlog->last_number;
  if (eventlog->drop_every > 0 && number % (guint64)eventlog->drop_every == 0)
    return;
  struct event *event = g_new (struct event, 1);
  *event = (struct event){ now, number, prefix_hash, cached };
  g_queue_push_tail (&eventlog->events, event);
  if (eventlog->events.length > EVENTS_MAX)
    g_free (g_queue_pop_head (&eventlog->events));
}

static void
append_event (GString *list, const struct event *event)
{
  g_string_append_printf (list,
                          "%s{\"n\": %" G_GUINT64_FORMAT
                          ", \"prefix\": \"%016" G_GINT64_MODIFIER
                          "x\", \"held\": %s}",
                          list->len > 0 ? ", " : "", event->number,
                          event->prefix_hash, event->cached ? "true" : "false");
}

/* Returns the response to GET /events, freed by the caller: the events with a
   number above AFTER that are readable at NOW.  */
char *
eventlog_to_json (const struct eventlog *eventlog, guint64 after, gint64 now)
{
  GString *list = g_string_new (NULL);
  guint64 next = after;
  guint count = 0;
  for (GList *l = eventlog->events.head;
       l != NULL && count < RESPONSE_EVENTS_MAX; l = l->next)
    {
      const struct event *event = l->data;
      if (event->time_us > now - eventlog->delay_ms * US_PER_MS)
        break;
      if (event->number <= after)
        continue;
      append_event (list, event);
      next = event->number;
      count++;
    }
  char *json = g_strdup_printf (
      "{\"next\": %" G_GUINT64_FORMAT ", \"events\": [%s]}", next, list->str);
  g_string_free (list, TRUE);
  return json;
}

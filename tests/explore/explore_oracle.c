/* Checks what clients and servers saw of each other. It knows nothing of the
   proxy's insides.  */
#include "explore/explore_world.h"

#include <string.h>

#define ENDED_MAX 2                   /* servers that end under one request */
#define LATE_ARRIVAL_US (50 * CLK_MS) /* after the client has left */

static void G_GNUC_PRINTF (2, 3)
    broken (enum explore_rule rule, const char *format, ...)
{
  va_list args;
  va_start (args, format);
  char *text = g_strdup_vprintf (format, args);
  explore_break (explore_world.result, rule, "%s", text);
  g_free (text);
  va_end (args);
}

static const struct explore_arrival *
arrival_at (guint i)
{
  return g_ptr_array_index (explore_world.arrivals, i);
}

/* An event as the client or a server has it.  */
struct event
{
  guint run;
  guint number;
  char id[256]; /* "": none */
};

/* Splits TEXT into events with data. Returns FALSE if it ends inside one.  */
static gboolean
parse_events (const char *text, GArray *events)
{
  struct event event = { 0 };
  gboolean has_data = FALSE;
  gboolean empty = TRUE;
  while (*text != '\0')
    {
      gsize n = strcspn (text, "\r\n");
      if (n == 0 && has_data)
        g_array_append_val (events, event);
      if (n == 0)
        {
          event = (struct event){ 0 };
          has_data = FALSE;
          empty = TRUE;
        }
      else if (g_str_has_prefix (text, "id: "))
        g_strlcpy (event.id, text + 4, MIN (n - 3, sizeof event.id));
      else if (g_str_has_prefix (text, "data: "))
        {
          event.run = (guint)g_ascii_strtoull (text + 6, NULL, 10);
          event.number
              = (guint)g_ascii_strtoull (strchr (text, '.') + 1, NULL, 10);
          has_data = TRUE;
        }
      empty = empty && n == 0;
      text += n;
      if (*text == '\r' && text[1] == '\n')
        text++;
      text += *text != '\0';
    }
  return empty;
}

/* Returns whether event ID is a number that does not come after POSITION.  */
static gboolean
is_repeat (const char *id, const char *position)
{
  if (id[0] == '\0' || position[0] == '\0')
    return FALSE;
  if (g_ascii_isdigit (id[0]) && g_ascii_isdigit (position[0]))
    return g_ascii_strtoull (id, NULL, 10)
           <= g_ascii_strtoull (position, NULL, 10);
  return g_str_equal (id, position);
}

/* Follows the position of the client of REQUEST in its stream.  */
struct walk
{
  const struct explore_request *request;
  GArray *events; /* of the client */
  guint next;     /* of EVENTS */
  char position[256];
  gboolean named; /* the last event has an id */
};

/* Checks the events that ARRIVAL has contributed and the position that it was
   given.  */
static void
walk_arrival (struct walk *walk, const struct explore_arrival *arrival)
{
  GArray *sent = g_array_new (FALSE, FALSE, sizeof (struct event));
  const char *given = arrival->position ? arrival->position : "";
  if (!g_str_equal (given, walk->position))
    broken (EXPLORE_RULE_ORDER,
            "%s: run %u was given position \"%s\" of \"%s\"", walk->request->id,
            arrival->run, given, walk->position);
  else if (!walk->named)
    broken (EXPLORE_RULE_ORDER,
            "%s: run %u goes on after an event without an id",
            walk->request->id, arrival->run);
  parse_events (arrival->body->str, sent);
  for (guint i = 0; walk->next < walk->events->len; i++)
    {
      const struct event *event
          = &g_array_index (walk->events, struct event, walk->next);
      if (event->run != arrival->run)
        break;
      const struct event *want
          = i < sent->len ? &g_array_index (sent, struct event, i) : NULL;
      if (want == NULL || want->number != event->number)
        broken (EXPLORE_RULE_ORDER,
                "%s: event %u.%u is not the next of its run", walk->request->id,
                event->run, event->number);
      if (i == 0 && explore_may_repeat (explore_world.c.route)
          && is_repeat (event->id, walk->position))
        broken (EXPLORE_RULE_ORDER, "%s: event %u.%u came twice",
                walk->request->id, event->run, event->number);
      walk->named = event->id[0] != '\0';
      if (walk->named)
        g_strlcpy (walk->position, event->id, sizeof walk->position);
      walk->next++;
    }
  g_array_unref (sent);
}

static void
check_stream (const struct explore_request *request)
{
  struct walk walk = { .request = request, .named = TRUE };
  const struct explore_arrival *last = NULL;
  guint last_events = 0;
  walk.events = g_array_new (FALSE, FALSE, sizeof (struct event));
  gboolean at_end = parse_events (request->body->str, walk.events);
  g_strlcpy (walk.position, request->after, sizeof walk.position);
  for (guint i = 0; i < explore_world.arrivals->len; i++)
    if (arrival_at (i)->of == request)
      {
        guint before = walk.next;
        walk_arrival (&walk, arrival_at (i));
        last = arrival_at (i);
        last_events = walk.next - before;
      }
  if (strstr (request->body->str, EXPLORE_PLAIN) != NULL)
    broken (EXPLORE_RULE_ORDER, "%s: a body that is no stream is part of one",
            request->id);
  if (walk.next < walk.events->len)
    broken (EXPLORE_RULE_ORDER, "%s: an event of no run", request->id);
  if (request->status == 200 && request->complete)
    {
      GArray *sent = g_array_new (FALSE, FALSE, sizeof (struct event));
      if (last != NULL)
        parse_events (last->body->str, sent);
      if (last == NULL || !last->full || last_events != sent->len || !at_end)
        broken (EXPLORE_RULE_ORDER, "%s: ends as complete and is not",
                request->id);
      g_array_unref (sent);
    }
  g_array_unref (walk.events);
}

/* Checks that the events of a stream come from servers of one version. VERSION
   is that of the events before, NULL: none, and gets that of REQUEST's.  */
static void
check_versions (const struct explore_request *request, const char **version)
{
  GArray *events = g_array_new (FALSE, FALSE, sizeof (struct event));
  parse_events (request->body->str, events);
  for (guint i = 0; i < events->len; i++)
    {
      guint run = g_array_index (events, struct event, i).run;
      const char *own = run > 0 && run <= explore_world.arrivals->len
                            ? arrival_at (run - 1)->version
                            : NULL;
      if (*version != NULL && own != NULL && !g_str_equal (own, *version))
        broken (EXPLORE_RULE_ORDER, "%s: run %u goes on at %s after %s",
                request->id, run, own, *version);
      if (own != NULL)
        *version = own;
    }
  g_array_unref (events);
}

static void
check_body (const struct explore_request *request)
{
  for (guint i = 0; i < explore_world.arrivals->len; i++)
    {
      const struct explore_arrival *arrival = arrival_at (i);
      if (arrival->of == request && arrival->status == request->status
          && g_string_equal (arrival->body, request->body))
        return;
    }
  broken (EXPLORE_RULE_MIXED, "%s: %u with a body of no server", request->id,
          request->status);
}

static gboolean
is_promise (guint status)
{
  return status == 408 || status == 421 || status == 429 || status == 503;
}

/* Returns whether a complete response to REQUEST was there that its client
   should have got.  */
static gboolean
was_ready (const struct explore_request *request)
{
  const struct explore_arrival *last = NULL;
  gboolean begun = FALSE;
  for (guint i = 0; i < explore_world.arrivals->len; i++)
    if (arrival_at (i)->of == request)
      {
        begun |= last != NULL && last->sent_head && !last->not_run
                 && last->status == 200;
        last = arrival_at (i);
      }
  if (last == NULL || !last->full)
    return FALSE;
  gboolean given = last->position != NULL;
  switch (last->server)
    {
    case EXPLORE_SERVER_FROM_START:
    case EXPLORE_SERVER_REPEATS:
      return !given;
    case EXPLORE_SERVER_NO_CONTENT:
    case EXPLORE_SERVER_OTHER_TYPE:
      return !begun;
    default:
      return TRUE;
    }
}

/* Returns whether the client may have lost a head with the reset that ends an
   incomplete response: it reads so late that the reset comes first.  */
static gboolean
lost_by_reset (const struct explore_request *request)
{
  for (guint i = 0; i < explore_world.arrivals->len; i++)
    if (arrival_at (i)->of == request && arrival_at (i)->sent_head
        && explore_world.c.client == EXPLORE_CLIENT_SLOW)
      return TRUE;
  return FALSE;
}

/* Returns whether the server of ARRIVAL was leaving, so that its end is no
   crash.  */
static gboolean
was_leaving (const struct explore_arrival *arrival)
{
  return arrival->run == 1
         && (explore_world.c.event == EXPLORE_EVENT_GONE
             || explore_world.c.event == EXPLORE_EVENT_LEAVING);
}

static void
check_outcome (const struct explore_request *request)
{
  guint runs = 0;
  guint ended = 0;
  guint arrivals = 0;
  gboolean may_repeat = explore_may_repeat (explore_world.c.route);
  guint attempts = explore_attempts (explore_world.c.route);
  if (explore_world.c.event == EXPLORE_EVENT_ONCE_NOW && !may_repeat)
    attempts = 1;
  if (explore_world.c.event == EXPLORE_EVENT_ONCE_NOW
      && explore_world.c.route == EXPLORE_ROUTE_AGAIN)
    attempts = 1;
  for (guint i = 0; i < explore_world.arrivals->len; i++)
    {
      const struct explore_arrival *arrival = arrival_at (i);
      if (arrival->of != request)
        continue;
      runs += !arrival->not_run;
      ended += explore_server_ends (arrival->server) && !was_leaving (arrival);
      arrivals += arrival->status != 421;
      if (request->left_at != 0
          && arrival->at > request->left_at + LATE_ARRIVAL_US)
        broken (EXPLORE_RULE_GONE, "%s: run %u after the client has left",
                request->id, arrival->run);
    }
  if (ended > ENDED_MAX || (ended == ENDED_MAX && arrivals > ENDED_MAX))
    broken (EXPLORE_RULE_BUDGET, "%s has ended %u servers and went on",
            request->id, ended);
  if (!may_repeat && runs > 1)
    broken (EXPLORE_RULE_TWICE, "%s ran %u times", request->id, runs);
  if (arrivals > attempts)
    broken (EXPLORE_RULE_BUDGET, "%s was sent to %u servers of %u", request->id,
            arrivals, attempts);
  if (!may_repeat && runs > 0 && is_promise (request->status))
    broken (EXPLORE_RULE_REFUSED, "%s: %u, and it has run", request->id,
            request->status);
  if (request->left_at != 0 || !request->sent)
    return;
  if (request->status == 0 && arrivals > 0 && !lost_by_reset (request))
    broken (EXPLORE_RULE_LOST, "%s: no response", request->id);
  if (was_ready (request) && !(request->complete && request->status < 300))
    broken (EXPLORE_RULE_READY, "%s: %u%s instead of the ready response",
            request->id, request->status,
            request->complete ? "" : " and a reset");
}

/* Checks that what reached a server is what the client has sent.  */
static void
check_arrival (const struct explore_arrival *arrival)
{
  const struct proxy_test_request *request = arrival->request;
  if (arrival->of == NULL)
    {
      broken (EXPLORE_RULE_UNASKED, "run %u: no client sent it", arrival->run);
      return;
    }
  const char *deadline = proxy_test_field (request, "x-deadline-ms");
  guint most = arrival->of->deadline_ms > 0 ? arrival->of->deadline_ms
                                            : explore_timeout_ms ();
  if (!g_str_equal (request->method, "POST")
      || !g_str_equal (request->target, explore_path (explore_world.c.route))
      || !g_str_equal (request->body->str, "body body."))
    broken (EXPLORE_RULE_UNASKED, "run %u: %s %s \"%s\"", arrival->run,
            request->method, request->target, request->body->str);
  if (proxy_test_field (request, "authorization") != NULL)
    broken (EXPLORE_RULE_UNASKED, "run %u: the server is given the key",
            arrival->run);
  if (deadline == NULL || g_ascii_strtoull (deadline, NULL, 10) > most)
    broken (EXPLORE_RULE_BUDGET, "run %u is given %s ms of %u", arrival->run,
            deadline ? deadline : "no", most);
}

static void
check_request (const struct explore_request *request)
{
  gboolean stream = explore_is_stream (explore_world.c.route);
  gboolean plain = g_str_equal (request->body->str, EXPLORE_PLAIN);
  check_outcome (request);
  if (request->malformed)
    broken (EXPLORE_RULE_MIXED, "%s: bytes that are no response", request->id);
  if (stream && request->status == 200 && !plain)
    check_stream (request);
  if (request->status == 200 && !request->is_signed)
    broken (EXPLORE_RULE_MIXED, "%s: 200 without a signature", request->id);
  if (request->complete && request->is_signed
      && (!stream || plain || request->status != 200))
    check_body (request);
}

void
explore_check (void)
{
  for (guint i = 0; i < explore_world.arrivals->len; i++)
    check_arrival (arrival_at (i));
  const char *version = NULL;
  for (guint i = 0; i < explore_world.requests->len; i++)
    {
      const struct explore_request *request
          = g_ptr_array_index (explore_world.requests, i);
      check_request (request);
      if (explore_world.c.client != EXPLORE_CLIENT_BACK)
        version = NULL;
      if (explore_may_repeat (explore_world.c.route)
          && explore_is_stream (explore_world.c.route))
        check_versions (request, &version);
    }
  if (explore_world.surplus->len > 0)
    broken (EXPLORE_RULE_MIXED, "bytes that are no response: \"%.40s\"",
            explore_world.surplus->str);
}

/* The backend servers of a proxy site. Each response depends on the call that
   the client has recorded under the request's id.  */
#include "harness/proxy_site.h"

static void
append_event (GString *out, const struct proxy_site_request *request, guint i)
{
  g_string_append_printf (out, "id: %u\ndata: %s %u\n\n", i, request->id, i);
}

GString *
proxy_site_expected_body (const struct proxy_site_request *request)
{
  GString *body = g_string_new (NULL);
  switch (request->call.response)
    {
    case PROXY_SITE_PLAIN:
      g_string_append_printf (body, "response to %s", request->id);
      break;
    case PROXY_SITE_LONG:
      g_string_append_printf (body, "%s;", request->id);
      while (body->len < PROXY_SITE_LONG_BYTES)
        {
          char *copy = g_strdup (body->str);
          g_string_append (body, copy);
          g_free (copy);
        }
      break;
    case PROXY_SITE_STREAM:
      for (guint i = 1; i <= PROXY_SITE_STREAM_EVENTS; i++)
        append_event (body, request, i);
      break;
    case PROXY_SITE_RESPONSE_N:
      break;
    }
  return body;
}

static void
append_part (gconstpointer data, guint part, GString *out)
{
  const struct proxy_site_request *request = data;
  if (request->call.response == PROXY_SITE_STREAM)
    {
      append_event (out, request, part);
      return;
    }
  GString *body = proxy_site_expected_body (request);
  g_string_append_len (out, body->str, (gssize)body->len);
  g_string_free (body, TRUE);
}

static guint
delay_ms (void *ctx, gconstpointer data)
{
  const struct proxy_site_request *request = data;
  (void)ctx;
  guint ms = request->call.respond_ms;
  return request->call.response == PROXY_SITE_STREAM
             ? ms / PROXY_SITE_STREAM_EVENTS
             : ms;
}

struct server_hints_sender
proxy_site_sender (const struct proxy_site_instance *instance)
{
  return (struct server_hints_sender){ instance, instance->disturbed_until };
}

static void
on_received (void *ctx, struct scripted_connection *connection,
             const struct http_head *head)
{
  struct proxy_site *site = ctx;
  struct str text;
  struct proxy_site_request *request = NULL;
  if (http_head_get (head, "x-request-id", &text))
    {
      char *id = str_dup (text);
      request = g_hash_table_lookup (site->by_id, id);
      g_free (id);
    }
  if (request == NULL)
    {
      site->unknown_requests++;
      return;
    }
  gint64 now = g_get_monotonic_time ();
  struct server_hints *hints = scripted_connection_hints (connection);
  const struct server_hints_sender sender
      = proxy_site_sender (request->instance);
  const char *broken
      = server_hints_arrived (hints, &sender, request->begun_at, now);
  request->arrivals++;
  if (broken != NULL)
    request->broken = broken;
  if (server_hints_backoff_ms (hints) > 0)
    {
      scripted_server_reject (connection, request->id, &sender);
      return;
    }
  request->executions++;
  request->executed_at = now;
  const struct scripted_response response
      = { .request = request,
          .id = request->id,
          .stream = request->call.response == PROXY_SITE_STREAM,
          .first_event = 1,
          .last_event = PROXY_SITE_STREAM_EVENTS,
          .half_first = request->call.response == PROXY_SITE_LONG };
  scripted_server_respond (connection, &response);
}

static void
on_ended (void *ctx, gpointer data, gboolean complete)
{
  struct proxy_site_request *request = data;
  (void)ctx;
  if (complete)
    request->served_at = g_get_monotonic_time ();
}

static void
on_unexpected (void *ctx, const char *what)
{
  struct proxy_site *site = ctx;
  (void)what;
  site->unknown_requests++;
}

struct scripted_server *
proxy_site_server_new (struct proxy_site *site, guint number)
{
  static const struct scripted_server_script script
      = { .received = on_received,
          .append_part = append_part,
          .delay_ms = delay_ms,
          .ended = on_ended,
          .unexpected = on_unexpected };
  return scripted_server_new (
      &script, site, server_hints_new (number, site->options.drain_ms));
}

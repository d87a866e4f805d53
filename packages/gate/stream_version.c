/* Servers of several software versions may serve a service side by side, and
   what they write does not fit together: all attempts of a resumable stream go
   to the version that has sent its first event, over all requests of its
   client.  */
#include "gate/exchange_internal.h"

#include "base/log.h"

#include <string.h>

#define WAIT_US (1200 * CLK_MS) /* for the version of a stream, at most */
/* Longest wait of a new stream for the table of versions, and from the start of
   the instance. Later there is none: the store and all peers are out of
   reach. */
#define TABLE_WAIT_US (600 * CLK_MS)
#define STARTUP_US (1500 * CLK_MS)
#define NOT_STATED "*" /* between instances: a version is not stated */

static gboolean
is_resumable (const struct exchange *exchange)
{
  return exchange->reverse_proxy->options.versions != NULL
         && exchange->route->kind == ROUTING_STREAM
         && exchange->route->resumable;
}

/* Binds the stream to VERSION.  */
static void
bind_stream (struct exchange *exchange, const char *version)
{
  exchange->binding = STREAM_BOUND;
  g_strlcpy (exchange->software, version, sizeof exchange->software);
  exchange->queue_entry.request.version = exchange->software;
}

/* Stores the id of the request that has brought the first event of the stream
   in ID, as the client says; empty if it does not. Returns FALSE if it says so
   more than once.  */
gboolean
stream_version_resumes (const struct exchange *exchange, struct str *id)
{
  const char *name = exchange->reverse_proxy->header_names->resumes;
  *id = (struct str){ "", 0 };
  http_head_get (exchange->head, name, id);
  return http_head_count (exchange->head, name) <= 1;
}

/* Returns the id of the request that has begun the stream, as far as the client
   says: the services of a route are drawn by it, as a stream goes on at the one
   at which it has begun. Borrowed.  */
struct str
stream_version_first_id (const struct exchange *exchange)
{
  struct str id = { "", 0 };
  if (exchange->is_continuation)
    stream_version_resumes (exchange, &id);
  return id.n > 0 ? id : str_of (exchange->id);
}

/* Rejects the request to resume a stream, at once and without a time to return:
   it has not run, and the client can begin anew. Frees EXCHANGE.  */
static void
reject (struct exchange *exchange, const char *reason)
{
  const struct reverse_proxy *reverse_proxy = exchange->reverse_proxy;
  struct log_entry e = exchange_log_record (exchange, "request.refused", NULL);
  log_write (&e,
             "reason=%s service=%s resumes=\"%s\" software=\"%s\""
             " waited_ms=%" G_GINT64_FORMAT,
             reason, exchange->queue_entry.service,
             exchange_logged_resumes (exchange).text, exchange->software,
             (exchange_now (exchange) - exchange->arrived) / CLK_MS);
  counter_add (reverse_proxy->options.counter_set,
               COUNTER_STREAM_VERSION_REJECTED, 1);
  exchange_reject (exchange, 503, reason, 0);
}

static void
wait_for_version (struct exchange *exchange)
{
  exchange->version_link.data = exchange;
  g_queue_push_tail_link (&exchange->reverse_proxy->awaiting_versions,
                          &exchange->version_link);
}

/* Returns whether a new stream may wait for the table of versions.  */
static gboolean
may_wait_for_table (const struct exchange *exchange)
{
  return exchange_now (exchange)
         < MIN (exchange->arrived + TABLE_WAIT_US,
                exchange->reverse_proxy->started_at + STARTUP_US);
}

/* Ends the wait of the request, if it waits.  */
void
stream_version_cancel (struct exchange *exchange)
{
  if (exchange->version_link.data == NULL)
    return;
  exchange->version_link.data = NULL;
  g_queue_unlink (&exchange->reverse_proxy->awaiting_versions,
                  &exchange->version_link);
}

/* Looks again at the requests that wait. Called after each change and
   regularly.  */
void
stream_version_check (struct reverse_proxy *reverse_proxy)
{
  for (guint n = reverse_proxy->awaiting_versions.length; n > 0; n--)
    {
      struct exchange *exchange
          = g_queue_peek_head (&reverse_proxy->awaiting_versions);
      if (exchange == NULL)
        return;
      stream_version_cancel (exchange);
      exchange_route_request (exchange);
    }
}

/* Returns whether a server of the version that the stream is bound to may get
   requests.  */
static gboolean
is_served (const struct exchange *exchange)
{
  guint n;
  struct registry_server *const *servers
      = registry_servers (exchange->reverse_proxy->options.registry, &n);
  for (guint i = 0; i < n; i++)
    if (registry_may_serve (servers[i], exchange_now (exchange))
        && g_str_equal (servers[i]->entry.service,
                        exchange->queue_entry.service)
        && g_str_equal (servers[i]->entry.version, exchange->software))
      return TRUE;
  return FALSE;
}

/* Admits a request that resumes a stream, as stream_version_admit.  */
static gboolean
admit_resumed (struct exchange *exchange)
{
  struct stream_versions *versions = exchange->reverse_proxy->options.versions;
  const char *version;
  struct str id;
  if (exchange->binding != STREAM_BOUND)
    {
      stream_version_resumes (exchange, &id);
      switch (stream_versions_find (versions, id, exchange->queue_entry.service,
                                    exchange_now (exchange), &version))
        {
        case STREAM_SEARCH_FOUND:
          bind_stream (exchange, version);
          break;
        case STREAM_SEARCH_SEARCHING:
          if (exchange_now (exchange) - exchange->arrived < WAIT_US)
            {
              wait_for_version (exchange);
              return FALSE;
            }
          /* fall through */
        case STREAM_SEARCH_ABSENT:
          reject (exchange, "stream_version_unknown");
          return FALSE;
        }
    }
  if (is_served (exchange) || exchange->attempts > 0)
    return TRUE;
  reject (exchange, "stream_version_gone");
  return FALSE;
}

/* Decides to servers of which version the request may go. Returns FALSE if it
   waits for that, or was rejected and EXCHANGE freed.  */
gboolean
stream_version_admit (struct exchange *exchange)
{
  struct placement_request *request = &exchange->queue_entry.request;
  const char *version;
  if (!is_resumable (exchange))
    return TRUE;
  if (exchange->is_continuation)
    return admit_resumed (exchange);
  if (exchange->binding == STREAM_BOUND)
    return TRUE;
  switch (stream_versions_may_begin (exchange->reverse_proxy->options.versions,
                                     exchange->queue_entry.service,
                                     exchange_now (exchange), &version))
    {
    case VERSION_RULE_UNKNOWN:
      if (may_wait_for_table (exchange))
        {
          wait_for_version (exchange);
          return FALSE;
        }
      request->version = NULL;
      return TRUE;
    case VERSION_RULE_ONE:
      g_strlcpy (exchange->software, version, sizeof exchange->software);
      request->version = exchange->software;
      return TRUE;
    case VERSION_RULE_ANY:
      request->version = NULL;
      return TRUE;
    }
  return TRUE;
}

/* Returns whether a further server may go on with the response, as far as its
   version is concerned.  */
gboolean
stream_version_can_resume (const struct exchange *exchange)
{
  return exchange->binding != STREAM_UNKNOWN;
}

/* The first event of the response is about to be relayed: the stream is bound
   to the version of the server that sends it.  */
void
stream_version_began (struct exchange *exchange)
{
  const struct registry_server *server = upstream_server (exchange->upstream);
  if (!is_resumable (exchange) || exchange->binding != STREAM_UNBOUND)
    return;
  if (!upstream_is_relay (exchange->upstream))
    bind_stream (exchange, server->entry.version);
  else if (exchange->relay_software[0] == '\0')
    {
      exchange->binding = STREAM_UNKNOWN;
      return;
    }
  else
    bind_stream (exchange, g_str_equal (exchange->relay_software, NOT_STATED)
                               ? ""
                               : exchange->relay_software);
  stream_versions_record (exchange->reverse_proxy->options.versions,
                          str_of (exchange->id), exchange->queue_entry.service,
                          exchange->software);
}

static gboolean
read_software (const struct http_head *head, const char *name,
               char software[STR_ID_MAX + 1])
{
  struct str value;
  if (!http_head_get (head, name, &value)
      || !(str_id_ok (value) || str_eq (value, STR_LIT (NOT_STATED))))
    return FALSE;
  memcpy (software, value.p, value.n);
  software[value.n] = '\0';
  return TRUE;
}

/* Takes over the version that another instance, which passes the request on,
   says that the stream has.  */
void
stream_version_read_request (struct exchange *exchange)
{
  char software[STR_ID_MAX + 1];
  if (read_software (exchange->head,
                     exchange->reverse_proxy->header_names->software, software))
    bind_stream (exchange, g_str_equal (software, NOT_STATED) ? "" : software);
}

/* Takes over the version that another instance, to which the request was passed
   on, says in the head of its response.  */
void
stream_version_read_response (struct exchange *exchange,
                              const struct http_head *head)
{
  if (!read_software (head, exchange->reverse_proxy->header_names->software,
                      exchange->relay_software))
    exchange->relay_software[0] = '\0';
}

static void
put_software (const struct exchange *exchange, const char *version,
              GString *out)
{
  http_put_field (out, exchange->reverse_proxy->header_names->software, "%s",
                  version[0] != '\0' ? version : NOT_STATED);
}

/* Appends to OUT, the head of a request that is passed on, the version that the
   stream is bound to.  */
void
stream_version_put_request (const struct exchange *exchange, GString *out)
{
  if (exchange->binding == STREAM_BOUND)
    put_software (exchange, exchange->software, out);
}

/* Appends to OUT, the head of a response, the version of the server that sends
   it, if another instance has passed the request on.  */
void
stream_version_put_response (const struct exchange *exchange, GString *out)
{
  if (exchange->was_relayed && is_resumable (exchange))
    put_software (exchange, upstream_server (exchange->upstream)->entry.version,
                  out);
}

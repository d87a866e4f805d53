/* Planted faults, with which the oracle is tested: the linker replaces calls of
   these functions in the explorer alone (--wrap), and explore_plant says which
   fault is in force. Calls within the file that defines a function stay.  */
#include "explore/explore.h"

#include <string.h>

#include "gate/exchange_internal.h"

/* X (result, name, parameters) */
#define WRAPPED(X)                                                             \
  X (void, stream_position_begin_attempt,                                      \
     (struct stream_position *, gboolean))                                     \
  X (gboolean, stream_position_advance,                                        \
     (struct stream_position *, const struct stream_event *))                  \
  X (void, stream_version_began, (struct exchange *))                          \
  X (enum stream_search_result, stream_versions_find,                          \
     (struct stream_versions *, struct str, const char *, gint64,              \
      const char **))                                                          \
  X (void, splitter_restart, (struct event_splitter *))                        \
  X (gboolean, exchange_begin_response,                                        \
     (struct exchange *, const struct http_head *))                            \
  X (const char *, exchange_response_incomplete,                               \
     (const struct exchange *, gboolean))                                      \
  X (gboolean, exchange_append_body, (struct exchange *, struct str))          \
  X (gboolean, upstream_read_arrived, (struct exchange *))                     \
  X (gboolean, tcp_conn_is_idle, (const struct tcp_conn *))                    \
  X (void, local_response_send,                                                \
     (struct downstream *, const char *, const struct local_response *))       \
  X (enum retry_action, retry_decide, (const struct retry_case *))             \
  X (gboolean, str_eq, (struct str, struct str))                               \
  X (gssize, http_reader_feed,                                                 \
     (struct http_reader *, struct str, struct err *))                         \
  X (int, http_reader_finish, (struct http_reader *, struct err *))            \
  X (void, scheduler_ended, (struct scheduler *, struct scheduler_entry *))    \
  X (gboolean, suspects_has_ended, (const struct suspects *, guint64))         \
  X (gboolean, suspects_confirmed,                                             \
     (const struct suspects *, const struct prompt_parts *))                   \
  X (void, suspects_end, (struct suspects *, struct suspects_attempt *))
#define X(result, name, parameters)                                            \
  result __real_##name parameters;                                             \
  result __wrap_##name parameters;
WRAPPED (X)
#undef X
void explore_put_field (GString *out, const char *name, const char *format,
                        ...) __asm__("__wrap_http_put_field")
    G_GNUC_PRINTF (3, 4);

guint explore_plant;

const char *
explore_plant_name (guint plant)
{
#define X(number, name)                                                        \
  case number:                                                                 \
    return name;
  switch (plant)
    {
      EXPLORE_PLANTS (X)
    }
#undef X
  return "none";
}

void
__wrap_stream_position_begin_attempt (struct stream_position *stream_position,
                                      gboolean checked)
{
  if (explore_plant == 1 && !stream_position->relayed)
    g_string_truncate (stream_position->id, 0);
  __real_stream_position_begin_attempt (stream_position, checked);
}

gboolean
__wrap_stream_position_advance (struct stream_position *stream_position,
                                const struct stream_event *event)
{
  if (explore_plant == 2)
    stream_position->unchecked = FALSE;
  gboolean ok = __real_stream_position_advance (stream_position, event);
  if (explore_plant == 3)
    stream_position->state = STREAM_POSITION_KNOWN;
  return ok;
}

void
__wrap_stream_version_began (struct exchange *exchange)
{
  if (explore_plant != 23)
    __real_stream_version_began (exchange);
}

enum stream_search_result
__wrap_stream_versions_find (struct stream_versions *versions, struct str id,
                             const char *service, gint64 now,
                             const char **version)
{
  *version = "v2";
  return explore_plant == 24 ? STREAM_SEARCH_FOUND
                             : __real_stream_versions_find (
                                 versions, id, service, now, version);
}

void
__wrap_splitter_restart (struct event_splitter *event_splitter)
{
  if (explore_plant != 16)
    __real_splitter_restart (event_splitter);
}

gboolean
__wrap_exchange_begin_response (struct exchange *exchange,
                                const struct http_head *head)
{
  return __real_exchange_begin_response (exchange, head) || explore_plant == 4;
}

const char *
__wrap_exchange_response_incomplete (const struct exchange *exchange,
                                     gboolean framed)
{
  return explore_plant == 5
             ? NULL
             : __real_exchange_response_incomplete (exchange, framed);
}

gboolean
__wrap_exchange_append_body (struct exchange *exchange, struct str bytes)
{
  if (explore_plant == 13 && exchange->body->len > 0)
    return TRUE;
  return __real_exchange_append_body (exchange, bytes);
}

gboolean
__wrap_upstream_read_arrived (struct exchange *exchange)
{
  return explore_plant == 6 || __real_upstream_read_arrived (exchange);
}

gboolean
__wrap_tcp_conn_is_idle (const struct tcp_conn *conn)
{
  return explore_plant == 17 || __real_tcp_conn_is_idle (conn);
}

void
__wrap_local_response_send (struct downstream *downstream, const char *id,
                            const struct local_response *local_response)
{
  struct local_response changed = *local_response;
  if (explore_plant == 9 && changed.status == 502)
    changed.status = 503;
  if (explore_plant == 7)
    downstream->closing = TRUE;
  else
    __real_local_response_send (downstream, id, &changed);
}

enum retry_action
__wrap_retry_decide (const struct retry_case *c)
{
  struct retry_case changed = *c;
  if (explore_plant == 8)
    changed.repeatable = changed.can_resume = TRUE;
  if (explore_plant == 10)
    changed.attempts_max++;
  if (explore_plant == 21 && c->response_begun && c->has_response)
    return RETRY_ACTION_FORWARD;
  return __real_retry_decide (&changed);
}

gboolean
__wrap_str_eq (struct str a, struct str b)
{
  /* An idle connection with unread bytes alone does no harm: the id of the
     response tells them apart. */
  if (explore_plant == 17 && a.n == 2 && b.n == 2 && a.p[0] == 'q'
      && b.p[0] == 'q')
    return TRUE;
  if (explore_plant == 20 && a.n == 7 && memcmp (a.p, "earlier", 7) == 0)
    return TRUE;
  return (explore_plant == 11 && a.n == 5 && memcmp (a.p, "other", 5) == 0)
         || __real_str_eq (a, b);
}

gssize
__wrap_http_reader_feed (struct http_reader *reader, struct str bytes,
                         struct err *err)
{
  if (explore_plant == 12 && bytes.n == 1)
    return err_set (err, ERR_PROTOCOL, "http.read", "", "planted");
  return __real_http_reader_feed (reader, bytes, err);
}

int
__wrap_http_reader_finish (struct http_reader *reader, struct err *err)
{
  if (explore_plant == 22 && http_reader_in_head (reader))
    __real_http_reader_feed (reader, STR_LIT ("\r\n"), err);
  return __real_http_reader_finish (reader, err);
}

void
__wrap_scheduler_ended (struct scheduler *scheduler,
                        struct scheduler_entry *entry)
{
  if (explore_plant != 15)
    __real_scheduler_ended (scheduler, entry);
}

gboolean
__wrap_suspects_has_ended (const struct suspects *suspects, guint64 server)
{
  return explore_plant != 18 && __real_suspects_has_ended (suspects, server);
}

/* The trial of its fingerprint would keep the request of plant 18 as well. */
gboolean
__wrap_suspects_confirmed (const struct suspects *suspects,
                           const struct prompt_parts *parts)
{
  return explore_plant != 18 && __real_suspects_confirmed (suspects, parts);
}

void
__wrap_suspects_end (struct suspects *suspects,
                     struct suspects_attempt *attempt)
{
  if (explore_plant != 19)
    __real_suspects_end (suspects, attempt);
}

void
explore_put_field (GString *out, const char *name, const char *format, ...)
{
  va_list args;
  va_start (args, format);
  char *value = g_strdup_vprintf (format, args);
  va_end (args);
  if (explore_plant == 14 && g_ascii_strcasecmp (name, "x-deadline-ms") == 0)
    g_string_append_printf (out, "%s: 9%s\r\n", name, value);
  else
    g_string_append_printf (out, "%s: %s\r\n", name, value);
  g_free (value);
}

/* What the head of a response says of the backend server itself, apart from the
   request.  */
#include "gate/reverse_proxy_internal.h"

#include "base/log.h"

#define BACKOFF_MAX_US                                                         \
  (300 * CLK_S) /* longest time for which a server can ask to be sent nothing  \
                 */
#define BACKOFF_SPREAD                                                         \
  0.2 /* random share added, so that the instances do not return together */
#define LOGGED_VALUE_MAX 40 /* bytes of a malformed header in the log */

/* Reads the time for which a 503 asks to send nothing to SERVER, in
   microseconds. Returns 0 if it asks for none; a malformed value is logged and
   ignored.  */
static gint64
read_backoff (const struct registry_server *server, const char *request_id,
              const struct http_head *head)
{
  struct str value;
  gint64 us;
  if (head->status != 503 || !http_head_get (head, "retry-after", &value))
    return 0;
  if (http_head_count (head, "retry-after") == 1
      && http_parse_seconds (value, &us))
    return MIN (us, BACKOFF_MAX_US);
  log_write (&(struct log_entry){ .level = LOG_WARN,
                                  .event = "server.backoff_invalid",
                                  .request_id = request_id,
                                  .peer = server->entry.id },
             "Retry-After is not one number of seconds: %.*s",
             (int)MIN (value.n, LOGGED_VALUE_MAX), value.p);
  return 0;
}

/* Records what HEAD says of SERVER, which has sent it.  */
void
response_hints_record (struct reverse_proxy *reverse_proxy,
                       struct registry_server *server, const char *request_id,
                       const struct http_head *head)
{
  gint64 us = read_backoff (server, request_id, head);
  if (us <= 0)
    {
      registry_mark_serving (server);
      return;
    }
  us += (gint64)((double)us
                 * g_rand_double_range (reverse_proxy->rand, 0,
                                        BACKOFF_SPREAD));
  registry_back_off (server, clk_now (reverse_proxy->options.clk), us);
  counter_add (reverse_proxy->options.counter_set, COUNTER_BACKOFFS, 1);
  log_write (&(struct log_entry){ .level = LOG_INFO,
                                  .event = "server.backoff",
                                  .request_id = request_id,
                                  .peer = server->entry.id },
             "ms=%" G_GINT64_FORMAT, us / CLK_MS);
}

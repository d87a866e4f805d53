/* What the head of a response says of the backend server itself, apart from the
   request.  */
#include "gate/reverse_proxy_internal.h"

#include "base/log.h"

#include <math.h>

#define BACKOFF_MAX_US                                                         \
  (300 * CLK_S) /* longest time for which a server can ask to be sent nothing  \
                 */
#define BACKOFF_SPREAD                                                         \
  0.2 /* random share added, so that the instances do not return together */
/* Lower limits are not valid: between instances they would be none. */
#define LIMIT_MIN_PER_S 0.5e-6
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

/* Reads the decimal number in the header NAME of HEAD, SERVER_LIMIT_MAX_PER_S
   at most, into NUMBER. Returns 1, 0 if there is no such header, or a negative
   number if it is not valid, which is logged and ignored: what was known stays.
 */
static int
read_number (const struct reverse_proxy *reverse_proxy,
             const struct registry_server *server, const char *request_id,
             const struct http_head *head, const char *name, double min,
             double *number)
{
  struct str value;
  *number = 0;
  if (!http_head_get (head, name, &value))
    return 0;
  if (http_head_count (head, name) == 1 && http_parse_decimal (value, number)
      && *number >= min && *number <= SERVER_LIMIT_MAX_PER_S)
    return 1;
  counter_add (reverse_proxy->options.counter_set, COUNTER_LIMITS_INVALID, 1);
  log_write (&(struct log_entry){ .level = LOG_WARN,
                                  .event = "server.limit_invalid",
                                  .request_id = request_id,
                                  .peer = server->entry.id },
             "%s is not one decimal number in its range: %.*s", name,
             (int)MIN (value.n, LOGGED_VALUE_MAX), value.p);
  return ERR_INVALID;
}

/* Records the limit that HEAD, the response to a request that was sent at
   STARTED, names, and whether the server says that it is brittle.  */
static void
record_limits (struct reverse_proxy *reverse_proxy,
               struct registry_server *server, const char *request_id,
               const struct http_head *head, gint64 started)
{
  const struct header_names *header_names = reverse_proxy->header_names;
  gint64 now = clk_now (reverse_proxy->options.clk);
  double number;
  struct server_limit_report report
      = { .after = started, .before = now, .source = SERVER_LIMIT_OWN };
  int named = read_number (reverse_proxy, server, request_id, head,
                           header_names->limit, LIMIT_MIN_PER_S, &number);
  report.per_s = server_limit_of_micro (server_limit_to_micro (number));
  if (named >= 0 && registry_report_limit (server, &report, request_id, now))
    counter_add (reverse_proxy->options.counter_set, COUNTER_LIMITS_NAMED, 1);
  named = read_number (reverse_proxy, server, request_id, head,
                       header_names->brittle, 0, &number);
  report.per_s = named > 0 ? floor (number) + 1 : 0;
  if (named >= 0)
    registry_report_brittle (server, &report, request_id, now);
}

/* Records what HEAD says of SERVER, which has sent it in response to a request
   that was sent at STARTED.  */
void
response_hints_record (struct reverse_proxy *reverse_proxy,
                       struct registry_server *server, const char *request_id,
                       const struct http_head *head, gint64 started)
{
  record_limits (reverse_proxy, server, request_id, head, started);
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

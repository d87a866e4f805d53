/* Requests that arrive before the first configuration and list of servers. An
   instance that starts has them within a second, mostly much sooner, so
   requests wait for them instead of being rejected.  */
#include "gate/exchange_internal.h"

#define WAIT_US (600 * CLK_MS) /* longest wait of a request */
#define STARTUP_US                                                             \
  (1500 * CLK_MS) /* from the start of the instance; then no request waits, as \
                     the store and all peers are out of reach */
#define WAITING_MAX 1000 /* requests */

static gboolean
on_timeout (gpointer data)
{
  struct exchange *exchange = data;
  exchange->timer = 0;
  config_wait_cancel (exchange);
  exchange_route_request (exchange);
  return G_SOURCE_REMOVE;
}

/* Lets the request wait for the first configuration. Returns FALSE if it
   cannot: it has waited already, the instance has had a configuration, or does
   not get one.  */
gboolean
config_wait_begin (struct exchange *exchange)
{
  struct reverse_proxy *reverse_proxy = exchange->reverse_proxy;
  gint64 now = exchange_now (exchange);
  gint64 until = MIN (exchange->arrived + WAIT_US,
                      reverse_proxy->started_at + STARTUP_US);
  if (exchange->deadline != 0)
    until = MIN (until, exchange->deadline);
  if (reverse_proxy->was_configured || exchange->waited_for_config
      || now >= until || reverse_proxy->awaiting_config.length >= WAITING_MAX)
    return FALSE;
  exchange->waited_for_config = TRUE;
  exchange->config_link.data = exchange;
  g_queue_push_tail_link (&reverse_proxy->awaiting_config,
                          &exchange->config_link);
  /* An earlier attempt has set the timer to the deadline; routing the request
     sets it again. */
  g_clear_handle_id (&exchange->timer, g_source_remove);
  exchange->timer
      = g_timeout_add ((guint)((until - now) / CLK_MS), on_timeout, exchange);
  return TRUE;
}

/* Ends the wait of the request, if it waits.  */
void
config_wait_cancel (struct exchange *exchange)
{
  if (exchange->config_link.data == NULL)
    return;
  exchange->config_link.data = NULL;
  g_queue_unlink (&exchange->reverse_proxy->awaiting_config,
                  &exchange->config_link);
  g_clear_handle_id (&exchange->timer, g_source_remove);
}

static gboolean
on_configured (gpointer data)
{
  struct reverse_proxy *reverse_proxy = data;
  struct exchange *exchange;
  reverse_proxy->config_source = 0;
  while ((exchange = g_queue_peek_head (&reverse_proxy->awaiting_config))
         != NULL)
    {
      config_wait_cancel (exchange);
      exchange_route_request (exchange);
    }
  return G_SOURCE_REMOVE;
}

/* Routes the waiting requests, when the main loop gets round to it, if the
   instance can: it has a configuration that was confirmed to be the newest, and
   a list of servers.  */
void
config_wait_check (struct reverse_proxy *reverse_proxy)
{
  if (reverse_proxy->was_configured || reverse_proxy->routing_table == NULL
      || !registry_is_loaded (reverse_proxy->options.registry)
      || (reverse_proxy->options.limits.key_freshness_limit_us > 0
          && reverse_proxy->freshness.confirmed_at == 0))
    return;
  reverse_proxy->was_configured = TRUE;
  reverse_proxy->config_source = g_idle_add_full (
      G_PRIORITY_DEFAULT, on_configured, reverse_proxy, NULL);
}

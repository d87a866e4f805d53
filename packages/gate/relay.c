/* Passing requests on to another instance, while this one cannot reach the
   backend servers. The other instance handles them like those of its clients,
   but does not pass them on again, and counts the attempts made here.  */
#include "gate/exchange_internal.h"

#include "base/log.h"

#include <string.h>

/* Attempts of a request that could not reach a server before it is passed on,
   if this instance is not taken for cut off. */
#define UNREACHED_MAX 2

static void
unref_peer (gpointer data)
{
  registry_server_unref (data);
}

/* Returns PEER in the form in which attempts have their servers; created on
   first use.  */
static struct registry_server *
peer_as_server (struct reverse_proxy *reverse_proxy,
                const struct proxy_peer *peer)
{
  if (reverse_proxy->relay_peers == NULL)
    reverse_proxy->relay_peers
        = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, unref_peer);
  struct registry_server *server
      = g_hash_table_lookup (reverse_proxy->relay_peers, peer->address);
  if (server != NULL)
    return server;
  server = g_new0 (struct registry_server, 1);
  server->refs = 1;
  server->state = REGISTRY_READY;
  /* Listed servers are numbered from 0 on. */
  server->number = G_MAXUINT - g_hash_table_size (reverse_proxy->relay_peers);
  g_strlcpy (server->entry.id, peer->address, sizeof server->entry.id);
  g_strlcpy (server->entry.address, peer->address,
             sizeof server->entry.address);
  g_hash_table_insert (reverse_proxy->relay_peers, server->entry.address,
                       server);
  return server;
}

void
relay_free_peers (struct reverse_proxy *reverse_proxy)
{
  g_clear_pointer (&reverse_proxy->relay_peers, g_hash_table_unref);
}

/* Reads how many attempts another instance has made of the request, which it
   passes on.  */
void
relay_read_header (struct exchange *exchange)
{
  struct str value;
  guint64 sent;
  if (!http_head_get (exchange->head,
                      exchange->reverse_proxy->header_names->relayed, &value))
    return;
  exchange->was_relayed = TRUE;
  stream_version_read_request (exchange);
  if (http_parse_number (value, &sent))
    exchange->sent = (guint)MIN (sent, G_MAXUINT16);
}

/* Returns whether the request may be passed on to a further instance.  */
static gboolean
may_relay (const struct exchange *exchange)
{
  const struct reverse_proxy *reverse_proxy = exchange->reverse_proxy;
  return !exchange->was_relayed && reverse_proxy->options.choose_peer != NULL
         && exchange->n_relays < RELAYS_MAX;
}

/* Returns whether the request is to be passed on, if there is an instance that
   can take it.  */
gboolean
relay_is_wanted (const struct exchange *exchange)
{
  return may_relay (exchange)
         && (exchange->reverse_proxy->reach.cut_off
             || exchange->n_unreached >= UNREACHED_MAX);
}

/* Returns whether some server of the request's service could not be reached
   from here lately.  */
static gboolean
has_unreachable_server (const struct exchange *exchange)
{
  guint n;
  gint64 now = exchange_now (exchange);
  struct registry_server *const *servers
      = registry_servers (exchange->reverse_proxy->options.registry, &n);
  for (guint i = 0; i < n; i++)
    if (registry_is_unreachable (servers[i], now)
        && g_str_equal (servers[i]->entry.service,
                        exchange->queue_entry.service))
      return TRUE;
  return FALSE;
}

/* Returns whether another instance may have a server for the request if this
   one has none.  */
gboolean
relay_may_help (const struct exchange *exchange)
{
  return relay_is_wanted (exchange)
         || (may_relay (exchange) && has_unreachable_server (exchange));
}

/* Passes the request on, if it is wanted or, with NO_SERVER, if no server may
   be used because some could not be reached. Returns FALSE if it is not passed
   on. May free EXCHANGE if it is.  */
gboolean
relay_start (struct exchange *exchange, gboolean no_server)
{
  struct reverse_proxy *reverse_proxy = exchange->reverse_proxy;
  const struct proxy_options *options = &reverse_proxy->options;
  struct proxy_peer peer;
  gboolean wanted
      = no_server ? relay_may_help (exchange) : relay_is_wanted (exchange);
  if (!wanted
      || !options->choose_peer (options->ctx, exchange->relays,
                                exchange->n_relays, &peer))
    return FALSE;
  if (downstream_end_if_left (exchange->downstream))
    return TRUE;
  exchange->relays[exchange->n_relays++] = peer;
  struct log_entry e
      = exchange_log_record (exchange, "request.relayed", peer.address);
  log_write (&e,
             "service=%s tier=%u cut_off=%s unreached=%u sent=%u"
             " waited_ms=%" G_GINT64_FORMAT,
             exchange->queue_entry.service, exchange->tier,
             reverse_proxy->reach.cut_off ? "yes" : "no", exchange->n_unreached,
             exchange->sent,
             (exchange_now (exchange) - exchange->arrived) / CLK_MS);
  counter_add (options->counter_set, COUNTER_RELAYED, 1);
  exchange_start_upstream (exchange, peer_as_server (reverse_proxy, &peer),
                           NULL);
  return TRUE;
}

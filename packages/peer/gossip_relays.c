#include "peer/gossip_internal.h"

/* Which instances reach the backend servers. One that is cut off from them
   learns from it that the servers run, and passes requests on to these. In a
   large deployment only the leaders hear of other domains, so they tell theirs
   some instances of those, in turn.  */

/* Returns the age of REACHED_AT, a clock time, as messages have it.  */
static guint
encode_age (gint64 reached_at, gint64 now)
{
  if (reached_at == 0)
    return 0;
  return 1 + (guint)CLAMP ((now - reached_at) / CLK_MS + 1, 0, G_MAXINT32 - 1);
}

/* Returns a lower bound of the clock time that AGE means in a message that was
   sent after SENT; 0: never.  */
static gint64
decode_age (guint age, gint64 sent)
{
  return age == 0 ? 0 : MAX (sent - (gint64)(age - 1) * CLK_MS, 0);
}

/* Returns whether messages to TO list PEER: a leader tells its domain of
   others, and other leaders of its own.  */
static gboolean
is_listed (const struct gossip *gossip, const struct peer *peer,
           const struct peer *to, gint64 now)
{
  return gossip_is_local_peer (gossip, peer)
             != gossip_is_local_peer (gossip, to)
         && !g_str_equal (peer->domain, to->domain) && peer->client_port != 0
         && peer->servers_reached_at >= now - GOSSIP_REACHED_MAX_US;
}

/* Adds what this instance says of itself and, from a leader, some instances
   that TO does not hear.  */
void
gossip_add_relays (const struct gossip *gossip, const struct peer *to,
                   struct gossip_message *message,
                   const struct gossip_round *round)
{
  const struct gossip_local_state *state = round->state;
  guint n = 0;
  GHashTableIter iter;
  gpointer value;
  message->servers_reached_age
      = encode_age (state->servers_reached_at, round->now);
  message->asks_for_servers = state->asks_for_servers;
  message->client_port = state->client_port;
  if (!round->is_leader || round->full_mesh)
    return;
  g_hash_table_iter_init (&iter, gossip->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    n += is_listed (gossip, value, to, round->now);
  guint skip = n > GOSSIP_MESSAGE_RELAYS_MAX
                   ? to->seq * GOSSIP_MESSAGE_RELAYS_MAX % n
                   : 0;
  g_hash_table_iter_init (&iter, gossip->peers);
  while (message->n_relays < GOSSIP_MESSAGE_RELAYS_MAX
         && g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct peer *peer = value;
      if (!is_listed (gossip, peer, to, round->now))
        continue;
      if (skip > 0)
        skip--;
      else
        message->relays[message->n_relays++] = (struct gossip_message_relay){
          .ip = peer->ip,
          .client_port = peer->client_port,
          .servers_reached_age
          = encode_age (peer->servers_reached_at, round->now)
        };
    }
}

/* Records when PEER, and instances that it lists, have reached servers. SENT is
   a lower bound of the time at which MESSAGE was sent; 0: unknown.  */
void
gossip_apply_relays (struct gossip *gossip, struct peer *peer,
                     const struct gossip_message *message, gint64 sent)
{
  peer->client_port = message->client_port;
  if (sent == 0)
    return;
  peer->servers_reached_at
      = MAX (peer->servers_reached_at,
             decode_age (message->servers_reached_age, sent));
  for (guint i = 0; i < message->n_relays; i++)
    {
      const struct gossip_message_relay *relay = &message->relays[i];
      struct peer *listed
          = g_hash_table_lookup (gossip->peers, GUINT_TO_POINTER (relay->ip));
      if (listed == NULL)
        continue;
      listed->client_port = relay->client_port;
      listed->servers_reached_at
          = MAX (listed->servers_reached_at,
                 decode_age (relay->servers_reached_age, sent));
    }
}

/* Returns a lower bound of the clock time at which another instance last
   reached servers; 0: unknown.  */
gint64
gossip_servers_reached_at (const struct gossip *gossip)
{
  gint64 reached_at = 0;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, gossip->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    reached_at
        = MAX (reached_at, ((const struct peer *)value)->servers_reached_at);
  return reached_at;
}

/* Fills RELAYS, of struct gossip_relay, with the instances that have reached
   servers lately: those of the own domain or, if there are none, all.  */
void
gossip_relays (const struct gossip *gossip, gint64 now, GArray *relays)
{
  GHashTableIter iter;
  gpointer value;
  gboolean has_local = FALSE;
  g_array_set_size (relays, 0);
  g_hash_table_iter_init (&iter, gossip->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct peer *peer = value;
      if (peer->client_port == 0
          || peer->servers_reached_at < now - GOSSIP_REACHED_MAX_US
          || peer->servers_reached_at == 0)
        continue;
      const struct gossip_relay relay
          = { .ip = peer->ip,
              .port = peer->client_port,
              .is_local = gossip_is_local_peer (gossip, peer) };
      has_local |= relay.is_local;
      g_array_append_val (relays, relay);
    }
  for (guint i = relays->len; has_local && i-- > 0;)
    if (!g_array_index (relays, struct gossip_relay, i).is_local)
      g_array_remove_index_fast (relays, i);
}

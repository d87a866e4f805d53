#include "peer/gossip_internal.h"

/* What instances tell each other of the limits that servers name, and of
   brittle servers.  */

/* For so long it is told that a server has no limit any more. */
#define LIMIT_END_TOLD_US (30 * CLK_S)

/* Time since a rejection for which a brittle server is told of first. */
#define FULL_URGENT_US (2 * CLK_S)

/* Added to the age of a rejection with each forwarding, and time within which
   two are taken for one, so that it does not become newer when it is repeated.
 */
#define FULL_HOP_AGE_US (100 * CLK_MS)
#define FULL_SAME_US (300 * CLK_MS)

/* Returns AGE, which is not negative, in milliseconds.  */
static guint
age_ms (gint64 age, gboolean round_up)
{
  gint64 ms = (age + (round_up ? CLK_MS - 1 : 0)) / CLK_MS;
  return (guint)CLAMP (ms, 0, G_MAXINT32);
}

/* Returns whether messages tell LIMIT: what the last response to this instance
   says, or from a leader that forwards to one of the domain, and within the
   domain also what comes from others. That a limit has ended is told for a
   while.  */
static gboolean
is_told (const struct server_limit *limit, const struct gossip_round *round,
         gboolean same_domain)
{
  enum server_limit_source source = limit->report.source;
  gboolean forwards = round->is_leader && !round->full_mesh;
  if (limit->report.per_s == 0
      && (limit->ended_at == 0
          || round->now - limit->ended_at > LIMIT_END_TOLD_US))
    return FALSE;
  return source == SERVER_LIMIT_OWN
         || (forwards && (same_domain || source == SERVER_LIMIT_DOMAIN));
}

static struct gossip_message_limit
message_limit (const struct registry_server *server,
               const struct server_limit_report *report, gint64 now)
{
  return (struct gossip_message_limit){
    .server_key = gossip_server_key (server),
    .micro = server_limit_to_micro (report->per_s),
    .after_age_ms = age_ms (now - report->after, TRUE),
    .before_age_ms = age_ms (now - report->before, FALSE)
  };
}

/* Returns whether SERVER has turned a request away just now, which others must
   know soon.  */
static gboolean
is_just_full (const struct registry_server *server, gint64 now)
{
  gint64 full_at = server->brittle_share.full_at;
  return full_at != 0 && now - full_at < FULL_URGENT_US;
}

/* Adds the brittle servers: first those that have turned a request away just
   now, then the others, through which the messages to TO rotate if not all fit.
 */
static void
add_brittle (const struct peer *to, struct gossip_message *message,
             const struct gossip_round *round, gboolean same_domain)
{
  guint n;
  guint n_others = 0;
  struct registry_server *const *servers
      = registry_servers (round->registry, &n);
  for (guint i = 0; i < n; i++)
    n_others += is_told (&servers[i]->brittle, round, same_domain)
                && !is_just_full (servers[i], round->now);
  guint skip = n_others > GOSSIP_MESSAGE_BRITTLE_MAX
                   ? to->seq * GOSSIP_MESSAGE_BRITTLE_MAX % n_others
                   : 0;
  for (guint pass = 0; pass < 2; pass++)
    for (guint i = 0; i < n && message->n_brittle < GOSSIP_MESSAGE_BRITTLE_MAX;
         i++)
      {
        const struct brittle_share *share = &servers[i]->brittle_share;
        if (!is_told (&servers[i]->brittle, round, same_domain)
            || is_just_full (servers[i], round->now) != (pass == 0))
          continue;
        if (pass > 0 && skip > 0)
          {
            skip--;
            continue;
          }
        message->brittle[message->n_brittle++]
            = (struct gossip_message_brittle){
                .limit = message_limit (servers[i], &servers[i]->brittle.report,
                                        round->now),
                .room = share->room,
                .full_age_ms
                = share->full_at != 0
                      ? 1 + age_ms (round->now - share->full_at, TRUE)
                      : 0
              };
      }
}

/* Adds the limits that servers have named. If not all fit into one message, the
   messages to PEER rotate through them.  */
void
gossip_add_limits (const struct gossip *gossip, const struct peer *to,
                   struct gossip_message *message,
                   const struct gossip_round *round)
{
  guint n;
  guint n_told = 0;
  gboolean same_domain = gossip_is_local_peer (gossip, to);
  struct registry_server *const *servers
      = registry_servers (round->registry, &n);
  for (guint i = 0; i < n; i++)
    n_told += is_told (&servers[i]->limit, round, same_domain);
  guint skip = n_told > GOSSIP_MESSAGE_LIMITS_MAX
                   ? to->seq % ((n_told - 1) / GOSSIP_MESSAGE_LIMITS_MAX + 1)
                         * GOSSIP_MESSAGE_LIMITS_MAX
                   : 0;
  for (guint i = 0; i < n && message->n_limits < GOSSIP_MESSAGE_LIMITS_MAX; i++)
    {
      const struct server_limit_report *report = &servers[i]->limit.report;
      if (!is_told (&servers[i]->limit, round, same_domain))
        continue;
      if (skip > 0)
        {
          skip--;
          continue;
        }
      message->limits[message->n_limits++]
          = message_limit (servers[i], report, round->now);
    }
  add_brittle (to, message, round, same_domain);
}

/* Returns what LIMIT says in a message of PEER that was sent after SENT.  */
static struct server_limit_report
report_of (const struct gossip *gossip, const struct peer *peer,
           const struct gossip_message_limit *limit, gint64 sent, gint64 now)
{
  return (struct server_limit_report){
    .per_s = server_limit_of_micro (limit->micro),
    .after = MAX (sent - (gint64)limit->after_age_ms * CLK_MS, 0),
    .before = now - (gint64)limit->before_age_ms * CLK_MS,
    .source = gossip_is_local_peer (gossip, peer) ? SERVER_LIMIT_DOMAIN
                                                  : SERVER_LIMIT_REMOTE
  };
}

/* Records a rejection that a peer tells of. Returns whether it is news.  */
static gboolean
apply_full (struct registry_server *server,
            const struct gossip_message_brittle *brittle, gint64 now)
{
  gint64 at
      = now - (gint64)(brittle->full_age_ms - 1) * CLK_MS - FULL_HOP_AGE_US;
  if (at > server->brittle_share.full_at + FULL_SAME_US)
    {
      registry_brittle_full (server, brittle->room + 1, FALSE, at);
      return TRUE;
    }
  if (at > server->brittle_share.full_at - FULL_SAME_US)
    brittle_share_lower (&server->brittle_share, brittle->room);
  return FALSE;
}

/* Records what a peer has been told of the limits of servers. Their keys name
   lives, so a server that has started again since is not found. SENT is a lower
   bound of the time at which MESSAGE was sent. Returns whether a brittle server
   has turned a request away since.  */
gboolean
gossip_apply_limits (const struct gossip *gossip, GHashTable *servers_by_key,
                     const struct peer *peer,
                     const struct gossip_message *message, gint64 sent,
                     gint64 now)
{
  gboolean full = FALSE;
  for (guint i = 0; i < message->n_limits; i++)
    {
      const struct gossip_message_limit *limit = &message->limits[i];
      struct registry_server *server = g_hash_table_lookup (
          servers_by_key, GUINT_TO_POINTER (limit->server_key));
      const struct server_limit_report report
          = report_of (gossip, peer, limit, sent, now);
      if (server != NULL)
        registry_report_limit (server, &report, NULL, now);
    }
  for (guint i = 0; i < message->n_brittle; i++)
    {
      const struct gossip_message_brittle *brittle = &message->brittle[i];
      struct registry_server *server = g_hash_table_lookup (
          servers_by_key, GUINT_TO_POINTER (brittle->limit.server_key));
      const struct server_limit_report report
          = report_of (gossip, peer, &brittle->limit, sent, now);
      if (server == NULL)
        continue;
      registry_report_brittle (server, &report, NULL, now);
      if (brittle->full_age_ms > 0 && server->brittle.report.per_s > 0)
        full |= apply_full (server, brittle, now);
    }
  return full;
}

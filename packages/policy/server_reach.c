#include "policy/server_reach.h"

/* Addresses this load pattern: some instances, or all of a failure domain, are
   partitioned from all backend servers, while clients and the other instances
   still reach them. Each attempt costs a time-out then, and without a server
   that answers an instance can't tell whether the servers have ended or it is
   cut off itself. The other instances can: they hear servers in that time.  */

/* Servers that could not be reached, without one that has accepted a connection
   in between, until the instance tries others, and until it is taken for cut
   off. */
#define DOUBTFUL_FAILURES 2
#define CUT_OFF_FAILURES 3
/* Failures that go so far back are forgotten: without requests, servers that
   have ended at different times would add up.  */
#define FAILING_MAX_US (10 * CLK_S)

static void
forget_failures (struct server_reach *reach)
{
  reach->n_failed = 0;
  reach->failing_since = 0;
}

/* A server has sent something. Connections may live on while no new one can be
   opened, so this proves nothing of those.  */
void
server_reach_heard (struct server_reach *reach, gint64 now)
{
  reach->heard_at = now;
}

/* A server has accepted a connection. Returns whether the instance was taken
   for cut off until now.  */
gboolean
server_reach_accepted (struct server_reach *reach, gint64 now)
{
  gboolean was_cut_off = reach->cut_off;
  reach->accepted_at = now;
  reach->cut_off = FALSE;
  forget_failures (reach);
  return was_cut_off;
}

/* Returns whether the life SERVER is among those that could not be reached.  */
gboolean
server_reach_has_failed (const struct server_reach *reach, guint64 server)
{
  for (guint i = 0; i < reach->n_failed; i++)
    if (reach->failed[i] == server)
      return TRUE;
  return FALSE;
}

/* The life SERVER could not be reached, or has broken off a connection without
   having sent anything.  */
void
server_reach_failed (struct server_reach *reach, guint64 server, gint64 now)
{
  if (reach->n_failed > 0 && now - reach->failing_since > FAILING_MAX_US)
    forget_failures (reach);
  if (server_reach_has_failed (reach, server)
      || reach->n_failed == SERVER_REACH_FAILED_MAX)
    return;
  if (reach->n_failed == 0)
    reach->failing_since = now;
  reach->failed[reach->n_failed++] = server;
}

/* Returns whether several servers in a row could not be reached: what this
   instance finds out about servers may be due to its own connection.  */
gboolean
server_reach_is_doubtful (const struct server_reach *reach)
{
  return reach->cut_off || reach->n_failed >= DOUBTFUL_FAILURES;
}

/* Returns the clock time at which this instance was last sure to reach servers;
   0: never.  */
gint64
server_reach_sure_at (const struct server_reach *reach)
{
  return server_reach_is_doubtful (reach)
             ? reach->accepted_at
             : MAX (reach->accepted_at, reach->heard_at);
}

/* Decides whether the instance is cut off from the N_SERVERS that are listed.
   It is if no server has accepted a connection since several could not be
   reached, or all of them, and a peer was sure to reach servers since:
   PEERS_SURE_AT is a lower bound of the clock time at which the last of them
   was. Without such a peer the servers may be down. While a probe is in
   progress its result is awaited: the servers that failed may be the only ones
   that have ended. Returns whether the decision has changed; only an accepted
   connection ends it.  */
gboolean
server_reach_review (struct server_reach *reach, guint n_servers,
                     gint64 peers_sure_at, gint64 now)
{
  if (reach->cut_off || reach->probing || reach->n_failed == 0
      || reach->n_failed < MIN (CUT_OFF_FAILURES, n_servers)
      || peers_sure_at <= reach->failing_since)
    return FALSE;
  reach->cut_off = TRUE;
  reach->cut_off_at = now;
  return TRUE;
}

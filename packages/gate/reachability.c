/* Whether this instance can reach the backend servers at all. While it cannot,
   though other instances can, a server is tried by a connection from time to
   time, and requests are passed on to the others.  */
#include "gate/reverse_proxy_internal.h"

#include "base/log.h"

#define PROBE_INTERVAL_MS 500 /* between two connections, while in doubt */
#define PROBE_CONNECT_MS 400
/* Time since servers were reached after which a peer's question is a reason to
   try one. */
#define SURE_RECENTLY_US CLK_S

static void
close_probe (struct reverse_proxy *reverse_proxy)
{
  if (reverse_proxy->probe != NULL)
    tcp_conn_close (reverse_proxy->probe);
  reverse_proxy->probe = NULL;
  reverse_proxy->reach.probing = FALSE;
}

/* A server has sent something.  */
void
reachability_heard (struct reverse_proxy *reverse_proxy)
{
  server_reach_heard (&reverse_proxy->reach,
                      clk_now (reverse_proxy->options.clk));
}

/* A server has accepted a connection.  */
void
reachability_accepted (struct reverse_proxy *reverse_proxy)
{
  gint64 now = clk_now (reverse_proxy->options.clk);
  gboolean was_cut_off = server_reach_accepted (&reverse_proxy->reach, now);
  g_clear_handle_id (&reverse_proxy->probe_timer, g_source_remove);
  if (!was_cut_off)
    return;
  log_event (LOG_INFO, "servers.reached", "cut_off_ms=%" G_GINT64_FORMAT,
             (now - reverse_proxy->reach.cut_off_at) / CLK_MS);
  registry_forget_unreachable (reverse_proxy->options.registry);
  proxy_schedule_poll (reverse_proxy);
}

static void
on_probe_opened (void *ctx)
{
  struct reverse_proxy *reverse_proxy = ctx;
  close_probe (reverse_proxy);
  reachability_accepted (reverse_proxy);
}

static void
on_probe_failed (void *ctx, const struct err *err)
{
  struct reverse_proxy *reverse_proxy = ctx;
  (void)err;
  close_probe (reverse_proxy);
  server_reach_failed (&reverse_proxy->reach, reverse_proxy->probed,
                       clk_now (reverse_proxy->options.clk));
  reachability_review (reverse_proxy);
}

static const struct tcp_conn_handler probe_handler
    = { .opened = on_probe_opened, .failed = on_probe_failed };

/* Returns a listed server other than EXCEPT, drawn at random, or NULL. Those
   that could not be reached lately are drawn if there are no others.  */
struct registry_server *
reachability_any_server (struct reverse_proxy *reverse_proxy,
                         const struct registry_server *except)
{
  struct registry_server *drawn = NULL;
  gboolean drawn_failed = TRUE;
  guint n;
  guint n_eligible = 0;
  struct registry_server *const *servers
      = registry_servers (reverse_proxy->options.registry, &n);
  for (guint i = 0; i < n; i++)
    {
      gboolean failed = server_reach_has_failed (
          &reverse_proxy->reach, registry_life_key (servers[i]));
      if (servers[i] == except || servers[i]->state != REGISTRY_READY
          || registry_is_leaving (servers[i]) || (failed && !drawn_failed))
        continue;
      if (!failed && drawn_failed)
        n_eligible = 0;
      drawn_failed = failed;
      if (g_rand_int_range (reverse_proxy->rand, 0, (gint32)++n_eligible) == 0)
        drawn = servers[i];
    }
  return drawn;
}

/* Tries a server, unless one is being tried.  */
static void
start_probe (struct reverse_proxy *reverse_proxy)
{
  struct err err = { 0 };
  const struct tcp_conn_options options = { .handler = &probe_handler,
                                            .ctx = reverse_proxy,
                                            .connect_ms = PROBE_CONNECT_MS };
  const struct registry_server *server
      = reachability_any_server (reverse_proxy, NULL);
  if (server == NULL || reverse_proxy->probe != NULL)
    return;
  reverse_proxy->probed = registry_life_key (server);
  reverse_proxy->probe
      = tcp_conn_connect (server->entry.address, &options, &err);
  if (reverse_proxy->probe == NULL)
    log_write (&(struct log_entry){ .level = LOG_WARN,
                                    .event = "servers.probe",
                                    .step = err.step,
                                    .peer = server->entry.id },
               "%s", err.text);
  reverse_proxy->reach.probing = reverse_proxy->probe != NULL;
}

static gboolean
on_probe_due (gpointer data)
{
  start_probe (data);
  return G_SOURCE_CONTINUE;
}

/* A peer asks whether the servers can be reached, as it is in doubt: tries one,
   unless that is known.  */
void
proxy_find_servers (struct reverse_proxy *reverse_proxy)
{
  gint64 age = clk_now (reverse_proxy->options.clk)
               - server_reach_sure_at (&reverse_proxy->reach);
  if (age > SURE_RECENTLY_US)
    start_probe (reverse_proxy);
}

/* Decides whether the instance is cut off, by what it and its peers have found
   out since the last call.  */
void
reachability_review (struct reverse_proxy *reverse_proxy)
{
  const struct proxy_options *options = &reverse_proxy->options;
  const struct server_reach *reach = &reverse_proxy->reach;
  gint64 now = clk_now (options->clk);
  guint n;
  if (options->peers_sure_at == NULL || reach->cut_off || reach->n_failed == 0)
    return;
  registry_servers (options->registry, &n);
  gint64 peers_sure_at = options->peers_sure_at (options->ctx);
  if (!server_reach_review (&reverse_proxy->reach, n, peers_sure_at, now))
    return;
  counter_add (options->counter_set, COUNTER_CUT_OFF, 1);
  log_event (LOG_WARN, "servers.cut_off",
             "unreachable=%u failing_ms=%" G_GINT64_FORMAT
             " heard_ms=%" G_GINT64_FORMAT " peers_sure_ms=%" G_GINT64_FORMAT,
             reach->n_failed, (now - reach->failing_since) / CLK_MS,
             reach->heard_at != 0 ? (now - reach->heard_at) / CLK_MS : -1,
             (now - peers_sure_at) / CLK_MS);
}

/* SERVER could not be reached, or has broken off a connection without having
   sent anything.  */
void
reachability_failed (struct reverse_proxy *reverse_proxy,
                     const struct registry_server *server)
{
  server_reach_failed (&reverse_proxy->reach, registry_life_key (server),
                       clk_now (reverse_proxy->options.clk));
  if (server_reach_is_doubtful (&reverse_proxy->reach)
      && reverse_proxy->probe_timer == 0)
    {
      reverse_proxy->probe_timer
          = g_timeout_add (PROBE_INTERVAL_MS, on_probe_due, reverse_proxy);
      start_probe (reverse_proxy);
    }
  reachability_review (reverse_proxy);
}

void
reachability_free (struct reverse_proxy *reverse_proxy)
{
  g_clear_handle_id (&reverse_proxy->probe_timer, g_source_remove);
  close_probe (reverse_proxy);
}

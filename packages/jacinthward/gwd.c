#include "jacinthward/gwd_int.h"

#include "base/log.h"

#include <string.h>

#define TICK_MS 50               /* between steps of what goes by time */
#define REVIEW_US (250 * CLK_MS) /* between reviews of servers' health */
#define KEY_MARGIN_US                                                          \
  (300 * CLK_MS) /* of the limit on unproved keys: a request                   \
                    is on its way to a server meanwhile */
#define PAUSE_US                                                               \
  (1 * CLK_S)           /* a tick so late means that this process stood        \
                           still */
#define REVIEWED_MAX 64 /* servers of a service reviewed together */

static void
on_server_changed (void *ctx, const struct flt_change *change)
{
  static const char *const names[]
      = { "server.appeared", "server.leaving", "server.gone" };
  struct gwd *gwd = ctx;
  const struct flt_server *server = change->server;
  log_write (&(struct log_entry){ .level = LOG_INFO,
                                  .event = names[change->kind],
                                  .peer = server->entry.id },
             "service=%s domain=%s address=%s born=%" G_GINT64_FORMAT,
             server->entry.service, server->entry.domain, server->entry.address,
             server->entry.born);
  if (gwd->gat != NULL)
    gat_server_changed (gwd->gat, change);
}

/* Reviews the health of the servers of each service together.  */
static void
review_health (struct gwd *gwd, gint64 now)
{
  guint n;
  struct flt_server *const *servers = flt_servers (gwd->flt, &n);
  GHashTable *done = g_hash_table_new (g_str_hash, g_str_equal);
  for (guint i = 0; i < n; i++)
    {
      struct hea *peers[REVIEWED_MAX];
      guint count = 0;
      if (!g_hash_table_add (done, servers[i]->entry.service))
        continue;
      for (guint k = i; k < n && count < REVIEWED_MAX; k++)
        if (servers[k]->state == FLT_READY
            && g_str_equal (servers[k]->entry.service,
                            servers[i]->entry.service))
          peers[count++] = &servers[k]->hea;
      guint ejected = hea_review (peers, count, now, gwd->rand);
      if (ejected > 0)
        {
          counter_add (&gwd->counter_set, COUNTER_EJECTIONS, ejected);
          log_event (LOG_INFO, "server.ejected", "service=%s count=%u of=%u",
                     servers[i]->entry.service, ejected, count);
        }
    }
  g_hash_table_unref (done);
}

static void
send_datagram (void *ctx, guint32 ip, struct str bytes)
{
  struct gwd *gwd = ctx;
  counter_add (&gwd->counter_set, COUNTER_MSG_OUT, 1);
  counter_add (&gwd->counter_set, COUNTER_BYTES_OUT, bytes.n);
  /* A lost datagram is as good as one that could not be sent. */
  if (udp_send (gwd->udp, ip, gwd->peer_port, bytes) < 0)
    log_event (LOG_DEBUG, "peer.send_failed", "bytes=%" G_GSIZE_FORMAT,
               bytes.n);
}

static void
tell_peers (struct gwd *gwd, gint64 now)
{
  gint64 age = gat_proof_age (gwd->gat, now);
  const struct prs_state state = {
    .config = gat_version (gwd->gat),
    .proof_age_us = age == G_MAXINT64 ? PRM_UNPROVED : age,
    .fleet_digest = flt_digest (gwd->flt),
    .fleet_age_us
    = gwd->servers.entries ? now - gwd->servers.asked : PRM_UNPROVED,
  };
  prs_tick (gwd->prs, &state, gwd->flt, sch_loads (gwd->sch), now,
            send_datagram, gwd);
}

static void
on_datagram (void *ctx, guint32 ip, struct str bytes)
{
  struct gwd *gwd = ctx;
  gint64 now = clk_now (gwd->clk);
  struct prs_news news;
  struct err err = { 0 };
  counter_add (&gwd->counter_set, COUNTER_MSG_IN, 1);
  counter_add (&gwd->counter_set, COUNTER_BYTES_IN, bytes.n);
  int code
      = prs_receive (gwd->prs, ip, bytes, now, gwd->flt, sch_loads (gwd->sch),
                     sch_directory (gwd->sch), &news, &err);
  if (code == ERR_CONFLICT)
    return;
  if (code < 0)
    {
      counter_add (&gwd->counter_set, COUNTER_FRAME_INVALID, 1);
      log_event (LOG_WARN, "peer.unreadable", "%s", err.text);
      return;
    }
  if (news.joined)
    log_write (&(struct log_entry){ .level = LOG_INFO,
                                    .event = "peer.joined",
                                    .peer = news.id },
               "instances=%u", prs_alive (gwd->prs, now));
  gwd_take_news (gwd, ip, &news, now);
}

static gboolean
on_tick (gpointer data)
{
  struct gwd *gwd = data;
  gint64 now = clk_now (gwd->clk);
  if (gwd->ticked != 0 && now - gwd->ticked > PAUSE_US)
    {
      counter_add (&gwd->counter_set, COUNTER_PAUSES, 1);
      log_event (LOG_WARN, "process.paused", "ms=%" G_GINT64_FORMAT,
                 (now - gwd->ticked) / CLK_MS);
    }
  gwd->ticked = now;
  flt_tick (gwd->flt, now);
  gwd_read_step (gwd, now);
  tell_peers (gwd, now);
  if (now - gwd->reviewed >= REVIEW_US)
    {
      gwd->reviewed = now;
      review_health (gwd, now);
      const struct spl_self self
          = { .near = prs_near (gwd->prs, now) + 1,
              .rank = prs_rank (gwd->prs, now),
              .all = prs_instances (gwd->prs, now),
              .hash = str_hash (str_of (gwd->settings->id.s), 0),
              .hears_all = prs_is_mesh (gwd->prs, now) };
      sch_set_self (gwd->sch, &self, clk_wall (gwd->clk) - now);
      gat_set_instances (gwd->gat, prs_instances (gwd->prs, now));
    }
  gat_poll (gwd->gat);
  return G_SOURCE_CONTINUE;
}

static void
on_idle (void *ctx)
{
  struct gwd *gwd = ctx;
  g_main_loop_quit (gwd->loop);
}

static struct top *
read_topology (const struct gst_settings *settings)
{
  struct top *top = top_new (settings->domain.s, settings->region.s);
  for (guint i = 0; settings->domains && settings->domains[i]; i++)
    {
      g_auto (GStrv) pair = g_strsplit (settings->domains[i], "=", 2);
      top_add (top, pair[0], pair[1]);
    }
  return top;
}

static void
on_placed (void *ctx, const struct flt_server *server,
           const struct pdr_prompt *prompt)
{
  struct gwd *gwd = ctx;
  prs_note (gwd->prs, server, prompt);
}

static int
open_gate (struct gwd *gwd, struct err *err)
{
  const struct gst_settings *settings = gwd->settings;
  char *chart = g_build_filename (settings->charts, "exchange.chart", NULL);
  const struct gat_options options
      = { .listen = settings->callers,
          .dialect = gwd_dialect (settings),
          .clk = gwd->clk,
          .counter_set = &gwd->counter_set,
          .histogram_set = &gwd->histogram_set,
          .chart = chart,
          .flt = gwd->flt,
          .sch = gwd->sch,
          .budget = { .ratio = settings->retry_ratio,
                      .slack = settings->retry_slack,
                      .window_us = settings->retry_window_us },
          .key_limit_us = settings->key_limit_us > 0
                              ? MAX (settings->key_limit_us - KEY_MARGIN_US, 1)
                              : 0,
          .grace_us = settings->grace_us,
          .idle = on_idle,
          .placed = on_placed,
          .ctx = gwd };
  int code = gat_new (&options, &gwd->gat, err);
  g_free (chart);
  return code;
}

static int
open_peers (struct gwd *gwd, gint64 now, struct err *err)
{
  const struct gst_settings *settings = gwd->settings;
  guint n = settings->seeds ? g_strv_length (settings->seeds) : 0;
  guint32 *seeds = g_new0 (guint32, n + 1);
  struct prs_options options = { .id = settings->id.s,
                                 .domain = settings->domain.s,
                                 .incarnation = g_rand_int (gwd->rand),
                                 .seeds = seeds };
  udp_ip_parse (settings->peers, &options.ip);
  for (guint i = 0; i < n; i++)
    if (udp_ip_parse (settings->seeds[i], &seeds[options.n_seeds]))
      options.n_seeds++;
  gwd->prs = prs_new (&options, now);
  g_free (seeds);
  gwd->udp = udp_new (settings->peers, on_datagram, gwd, err);
  if (gwd->udp == NULL)
    return ERR_IO;
  gwd->peer_port = udp_port (gwd->udp);
  return 0;
}

int
gwd_new (const struct gst_settings *settings, struct gwd **result,
         struct err *err)
{
  struct gwd *gwd = g_new0 (struct gwd, 1);
  gwd->settings = settings;
  gwd->clk = clk_boottime ();
  gwd->loop = g_main_loop_new (NULL, FALSE);
  gwd->rand = g_rand_new ();
  gwd->top = read_topology (settings);
  gwd->flt = flt_new (on_server_changed, gwd);
  gint64 now = clk_now (gwd->clk);
  const struct sch_options sch_options
      = { .flt = gwd->flt, .top = gwd->top, .seed = g_rand_int (gwd->rand) };
  const struct pfm_options pfm_options
      = { .address = settings->store,
          .clk = gwd->clk,
          .counter_set = &gwd->counter_set,
          .timeout_ms = (guint)(settings->store_timeout_us / CLK_MS) };
  gwd->sch = sch_new (&sch_options, now);
  gwd->pfm = pfm_new (&pfm_options);
  int code = open_gate (gwd, err);
  if (code == 0)
    code = open_peers (gwd, now, err);
  if (code == 0)
    code = gwd_pages_open (gwd, err);
  if (code < 0)
    {
      gwd_free (gwd);
      return code;
    }
  gwd->tick = g_timeout_add (TICK_MS, on_tick, gwd);
  on_tick (gwd);
  *result = gwd;
  return 0;
}

void
gwd_free (struct gwd *gwd)
{
  if (gwd == NULL)
    return;
  g_clear_handle_id (&gwd->tick, g_source_remove);
  gwd_pages_free (gwd);
  gwd_read_free (gwd);
  gat_free (gwd->gat);
  pfm_free (gwd->pfm);
  udp_free (gwd->udp);
  prs_free (gwd->prs);
  sch_free (gwd->sch);
  flt_free (gwd->flt);
  top_free (gwd->top);
  g_rand_free (gwd->rand);
  g_main_loop_unref (gwd->loop);
  g_free (gwd);
}

void
gwd_run (struct gwd *gwd)
{
  log_event (LOG_INFO, "process.start", "callers=%s domain=%s region=%s",
             gwd->settings->callers, gwd->settings->domain.s,
             gwd->settings->region.s);
  g_main_loop_run (gwd->loop);
  log_event (LOG_INFO, "process.stop", "pauses=%" G_GUINT64_FORMAT,
             gwd->counter_set.v[COUNTER_PAUSES]);
}

void
gwd_shut_down (struct gwd *gwd)
{
  if (gwd->stopping)
    {
      g_main_loop_quit (gwd->loop);
      return;
    }
  gwd->stopping = TRUE;
  log_event (LOG_INFO, "process.stopping", "grace_ms=%" G_GINT64_FORMAT,
             gwd->settings->grace_us / CLK_MS);
  gat_shut_down (gwd->gat);
}

void
gwd_reload (struct gwd *gwd)
{
  (void)gwd;
  log_event (LOG_INFO, "process.reload",
             "listeners and identity are fixed for the life of a process");
}

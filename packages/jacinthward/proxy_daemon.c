#include "jacinthward/proxy_daemon_internal.h"

#include "base/log.h"
#include "fleet/health_review.h"

#include <string.h>

#define TICK_MS 50 /* between two calls of on_tick */
#define REVIEW_INTERVAL_US                                                     \
  (250 * CLK_MS) /* between two reviews of the servers' health */
#define KEY_FRESHNESS_MARGIN_US                                                \
  (300 * CLK_MS) /* subtracted from the limit on the use of keys without a     \
                    fresh configuration, because the request still has to      \
                    reach a server */
#define NEWS_INTERVAL_US                                                       \
  (20 * CLK_MS) /* between two rounds of messages that are not due yet */
#define NEWS_MAX_MS 20
#define MEGABYTE (1024.0 * 1024.0)
/* Of the machine's memory, for what is kept for clients and servers. Buffers
   take up to twice what they hold, and the rest of the process needs some. */
#define MEMORY_KEPT_SHARE 0.2
/* From the start, requests wait so long at most for the crashes that were saved
   before. */
#define CRASHES_LOAD_US (1500 * CLK_MS)
#define PAUSE_THRESHOLD_US                                                     \
  (1 * CLK_S) /* a tick this late means that the process was suspended or      \
                 starved */

static void
on_server_changed (void *ctx, const struct registry_change *change)
{
  static const char *const names[]
      = { "server.appeared", "server.leaving", "server.gone" };
  struct proxy_daemon *daemon = ctx;
  const struct registry_server *server = change->server;
  log_write (&(struct log_entry){ .level = LOG_INFO,
                                  .event = names[change->kind],
                                  .peer = server->entry.id },
             "service=%s domain=%s address=%s version=%s born=%" G_GINT64_FORMAT
             " source=%s",
             server->entry.service, server->entry.domain, server->entry.address,
             server->entry.version, server->entry.start_time_ms,
             registry_source_name (change->source));
  if (daemon->reverse_proxy != NULL)
    proxy_server_changed (daemon->reverse_proxy, change);
}

static void
on_servers_ejected (void *ctx, const char *service, guint ejected,
                    guint reviewed)
{
  struct proxy_daemon *daemon = ctx;
  counter_add (&daemon->counter_set, COUNTER_EJECTIONS, ejected);
  log_event (LOG_INFO, "server.ejected", "service=%s count=%u of=%u", service,
             ejected, reviewed);
}

static void
send_datagram (void *ctx, guint32 ip, struct str bytes)
{
  struct proxy_daemon *daemon = ctx;
  counter_add (&daemon->counter_set, COUNTER_MSG_OUT, 1);
  counter_add (&daemon->counter_set, COUNTER_BYTES_OUT, bytes.n);
  /* An unsent datagram is handled like a lost one: by the next round. */
  if (udp_send (daemon->udp, ip, daemon->peer_port, bytes) < 0)
    log_event (LOG_DEBUG, "peer.send_failed", "bytes=%" G_GSIZE_FORMAT,
               bytes.n);
}

/* Runs one round of messages to the other instances.  */
static void
send_state_to_peers (struct proxy_daemon *daemon, gint64 now)
{
  gint64 age = proxy_config_age (daemon->reverse_proxy, now);
  struct gossip_local_state state = {
    .config_version = proxy_config_version (daemon->reverse_proxy),
    .config_age_us = age == G_MAXINT64 ? GOSSIP_AGE_UNKNOWN : age,
    .n_waiting = scheduler_n_contending (daemon->scheduler),
    .store_era = daemon->store_era.known,
    .version_table = version_table_number (
        stream_versions_table (stream_keeper_versions (daemon->stream_keeper))),
    .server_list_digest = daemon->server_list.digest,
    .server_list_age_us = daemon->server_list.entries
                              ? now - daemon->server_list.requested_at
                              : GOSSIP_AGE_UNKNOWN,
  };
  const struct server_reach *reach = proxy_reach (daemon->reverse_proxy);
  state.servers_reached_at = server_reach_sure_at (reach);
  state.asks_for_servers = server_reach_is_doubtful (reach);
  state.client_port = daemon->stopping ? 0 : daemon->client_port;
  state.duty_fence = duty_keeper_fence (daemon->duty_keeper);
  state.n_rejections
      = scheduler_rejections (daemon->scheduler, now, state.rejections,
                              G_N_ELEMENTS (state.rejections));
  gossip_tick (daemon->gossip, &state, daemon->registry,
               scheduler_loads (daemon->scheduler), now, send_datagram, daemon);
}

/* Tells peers at once what has changed of the suspected parts and of brittle
   servers, and lets the requests go on that wait for it.  */
static gboolean
on_news_due (gpointer data)
{
  struct proxy_daemon *daemon = data;
  gint64 now = clk_now (daemon->clk);
  daemon->news_source = 0;
  proxy_poll (daemon->reverse_proxy);
  gossip_hurry (daemon->gossip, daemon->news_is_own, now);
  daemon->news_is_own = FALSE;
  daemon->news_sent_at = now;
  send_state_to_peers (daemon, now);
  return G_SOURCE_REMOVE;
}

/* Something has changed that peers are to know at once; with OWN FALSE, a peer
   has told it.  */
static void
on_news (void *ctx, gboolean own)
{
  struct proxy_daemon *daemon = ctx;
  gint64 wait = daemon->news_sent_at + NEWS_INTERVAL_US - clk_now (daemon->clk);
  daemon->news_is_own |= own;
  if (daemon->news_source == 0)
    daemon->news_source = g_timeout_add_full (
        G_PRIORITY_DEFAULT, (guint)CLAMP (wait / CLK_MS, 0, NEWS_MAX_MS),
        on_news_due, daemon, NULL);
}

static void
on_crash_to_save (void *ctx)
{
  struct proxy_daemon *daemon = ctx;
  crash_keeper_hurry (daemon->crash_keeper);
}

/* Requests may have waited for it.  */
static void
on_crashes_loaded (void *ctx)
{
  struct proxy_daemon *daemon = ctx;
  proxy_poll (daemon->reverse_proxy);
}

static void
on_confirm_table (void *ctx)
{
  struct proxy_daemon *daemon = ctx;
  version_keeper_confirm (daemon->version_keeper);
}

/* Requests may have waited for the version of a stream.  */
static void
on_versions_changed (void *ctx)
{
  struct proxy_daemon *daemon = ctx;
  if (daemon->reverse_proxy != NULL)
    proxy_poll (daemon->reverse_proxy);
}

/* A brittle server has turned a request away: tells peers at once.  */
static void
on_brittle_full (void *ctx)
{
  on_news (ctx, TRUE);
}

static void
on_datagram (void *ctx, guint32 ip, struct str bytes)
{
  struct proxy_daemon *daemon = ctx;
  gint64 now = clk_now (daemon->clk);
  struct gossip_update update;
  struct err err = { 0 };
  counter_add (&daemon->counter_set, COUNTER_MSG_IN, 1);
  counter_add (&daemon->counter_set, COUNTER_BYTES_IN, bytes.n);
  if (usage_keeper_receive (daemon->usage_keeper, ip, bytes, now)
      || stream_keeper_receive (daemon->stream_keeper, ip, bytes))
    return;
  int code = gossip_receive (daemon->gossip, ip, bytes, now, daemon->registry,
                             scheduler_loads (daemon->scheduler),
                             scheduler_prefix_directory (daemon->scheduler),
                             &update, &err);
  if (code == ERR_CONFLICT)
    return;
  if (code < 0)
    {
      counter_add (&daemon->counter_set, COUNTER_FRAME_INVALID, 1);
      log_event (LOG_WARN, "peer.unreadable", "%s", err.text);
      return;
    }
  if (update.joined)
    log_write (&(struct log_entry){ .level = LOG_INFO,
                                    .event = "peer.joined",
                                    .peer = update.id },
               "instances=%u", gossip_alive_count (daemon->gossip, now));
  for (guint i = 0; i < update.n_rejections; i++)
    scheduler_record_rejection (daemon->scheduler, &update.rejections[i]);
  if (update.brittle_full)
    on_news (daemon, FALSE);
  if (update.asks_for_servers)
    proxy_find_servers (daemon->reverse_proxy);
  proxy_daemon_handle_peer_update (daemon, ip, &update, now);
}

/* Passes the other instances that have requests queued to the scheduler. Those
   that began to wait at the same time as this one are not known before their
   next messages, so the contenders count as unknown until then.  */
static void
update_contenders (struct proxy_daemon *daemon, gint64 now)
{
  struct placement_self *self = &daemon->self;
  gboolean waiting = scheduler_n_waiting (daemon->scheduler) > 0;
  if (!waiting)
    daemon->waiting_since = 0;
  else if (daemon->waiting_since == 0)
    daemon->waiting_since = now;
  gboolean known = waiting
                   && now - daemon->waiting_since
                          >= gossip_local_interval_us (daemon->gossip, now);
  self->contenders = known ? daemon->contenders : NULL;
  self->n_contenders
      = known ? gossip_contenders (daemon->gossip, now, daemon->contenders,
                                   G_N_ELEMENTS (daemon->contenders))
              : 0;
  scheduler_set_self (daemon->scheduler, self, clk_wall (daemon->clk) - now);
}

static struct limit_members
limit_members (struct proxy_daemon *daemon, gint64 now)
{
  guint version
      = gossip_limit_members (daemon->gossip, now, daemon->limit_members);
  return (struct limit_members){
    .members = (const struct limit_member *)(void *)daemon->limit_members->data,
    .n = daemon->limit_members->len,
    .self = gossip_instance_hash (daemon->ip),
    .version = version
  };
}

static void
on_pool_resized (void *ctx, const struct stream_pool_change *change)
{
  struct proxy_daemon *daemon = ctx;
  counter_add (&daemon->counter_set, COUNTER_POOL_RESIZES, 1);
  log_event (LOG_INFO, "pool.resized",
             "service=%s domain=%s before=%u after=%u engines=%u streams=%u",
             change->service, change->domain, change->before, change->after,
             change->demand.engines, change->demand.streams);
}

static gboolean
on_tick (gpointer data)
{
  struct proxy_daemon *daemon = data;
  gint64 now = clk_now (daemon->clk);
  if (daemon->last_tick != 0 && now - daemon->last_tick > PAUSE_THRESHOLD_US)
    {
      counter_add (&daemon->counter_set, COUNTER_PAUSES, 1);
      log_event (LOG_WARN, "process.paused", "ms=%" G_GINT64_FORMAT,
                 (now - daemon->last_tick) / CLK_MS);
    }
  daemon->last_tick = now;
  registry_tick (daemon->registry, now);
  suspects_expire (daemon->suspects, now);
  crash_keeper_step (daemon->crash_keeper,
                     suspects_is_active (daemon->suspects)
                         && gossip_reader_rank (daemon->gossip, now) == 0);
  proxy_daemon_sync_step (daemon, now);
  version_keeper_step (daemon->version_keeper);
  stream_keeper_step (daemon->stream_keeper);
  duty_keeper_step (daemon->duty_keeper, daemon->store_era.known,
                    daemon->stopping);
  send_state_to_peers (daemon, now);
  usage_keeper_step (daemon->usage_keeper, now);
  if (now - daemon->health_reviewed_at >= REVIEW_INTERVAL_US)
    {
      daemon->health_reviewed_at = now;
      health_review (daemon->registry, now, daemon->rand, on_servers_ejected,
                     daemon);
      daemon->self = (struct placement_self){
        .domain_instances = gossip_local_peer_count (daemon->gossip, now) + 1,
        .domain_rank = gossip_domain_rank (daemon->gossip, now),
        .all_instances = gossip_instance_count (daemon->gossip, now),
        .hash = gossip_instance_hash (daemon->ip),
        .limit_members = limit_members (daemon, now),
        .has_direct_reports = gossip_is_full_mesh (daemon->gossip, now)
      };
      proxy_set_instances (daemon->reverse_proxy,
                           gossip_instance_count (daemon->gossip, now));
    }
  update_contenders (daemon, now);
  proxy_poll (daemon->reverse_proxy);
  return G_SOURCE_CONTINUE;
}

static void
on_shutdown_done (void *ctx)
{
  struct proxy_daemon *daemon = ctx;
  usage_keeper_flush (daemon->usage_keeper, clk_now (daemon->clk));
  g_main_loop_quit (daemon->loop);
}

static struct topology *
read_topology (const struct proxy_settings *settings)
{
  struct topology *topology
      = topology_new (settings->domain.s, settings->region.s);
  for (guint i = 0; settings->domain_regions && settings->domain_regions[i];
       i++)
    {
      g_auto (GStrv) pair = g_strsplit (settings->domain_regions[i], "=", 2);
      topology_add (topology, pair[0], pair[1]);
    }
  return topology;
}

static void
on_request_sent (void *ctx, const struct registry_server *server,
                 const struct prefix_prompt *prompt, gboolean at_home)
{
  struct proxy_daemon *daemon = ctx;
  gossip_add_placement (daemon->gossip, server, prompt, at_home);
}

static void
on_used (void *ctx, const struct proxy_usage *usage)
{
  struct proxy_daemon *daemon = ctx;
  usage_keeper_count (daemon->usage_keeper, usage);
}

static gint64
on_peers_sure_at (void *ctx)
{
  struct proxy_daemon *daemon = ctx;
  return daemon->gossip != NULL ? gossip_servers_reached_at (daemon->gossip)
                                : 0;
}

/* Draws an instance to which a request is passed on.  */
static gboolean
on_choose_peer (void *ctx, const struct proxy_peer *tried, guint n_tried,
                struct proxy_peer *peer)
{
  struct proxy_daemon *daemon = ctx;
  gossip_relays (daemon->gossip, clk_now (daemon->clk), daemon->relays);
  while (daemon->relays->len > 0)
    {
      guint i = (guint)g_rand_int_range (daemon->rand, 0,
                                         (gint32)daemon->relays->len);
      const struct gossip_relay *relay
          = &g_array_index (daemon->relays, struct gossip_relay, i);
      gboolean was_tried = FALSE;
      g_snprintf (peer->address, sizeof peer->address, "%u.%u.%u.%u:%u",
                  relay->ip >> 24, relay->ip >> 16 & 255, relay->ip >> 8 & 255,
                  relay->ip & 255, relay->port);
      for (guint k = 0; k < n_tried; k++)
        was_tried |= g_str_equal (tried[k].address, peer->address);
      if (!was_tried)
        return TRUE;
      g_array_remove_index_fast (daemon->relays, i);
    }
  return FALSE;
}

static struct proxy_limits
limits_of (const struct proxy_settings *settings)
{
  gint64 key_limit_us = settings->key_freshness_limit_us;
  return (struct proxy_limits){
    .budget = { .ratio = settings->retry_ratio,
                .slack = settings->retry_slack,
                .window_us = settings->retry_window_us },
    .key_freshness_limit_us
    = key_limit_us > 0 ? MAX (key_limit_us - KEY_FRESHNESS_MARGIN_US, 1) : 0,
    .shutdown_limit_us = settings->shutdown_limit_us
  };
}

static int
open_proxy (struct proxy_daemon *daemon, struct err *err)
{
  const struct proxy_settings *settings = daemon->settings;
  char *chart
      = g_build_filename (settings->chart_folder, "exchange.chart", NULL);
  const struct proxy_options options
      = { .listen = settings->listen_clients,
          .header_names = proxy_daemon_header_names (settings),
          .clk = daemon->clk,
          .counter_set = &daemon->counter_set,
          .histogram_set = &daemon->histogram_set,
          .chart = chart,
          .registry = daemon->registry,
          .scheduler = daemon->scheduler,
          .suspects = daemon->suspects,
          .versions = stream_keeper_versions (daemon->stream_keeper),
          .limits = limits_of (settings),
          .memory_limit
          = (gsize)(settings->memory_mb * MEGABYTE * MEMORY_KEPT_SHARE),
          .shutdown_done = on_shutdown_done,
          .request_sent = on_request_sent,
          .brittle_full = on_brittle_full,
          .used = on_used,
          .peers_sure_at = on_peers_sure_at,
          .choose_peer = on_choose_peer,
          .ctx = daemon };
  int code = proxy_new (&options, &daemon->reverse_proxy, err);
  if (code == 0)
    daemon->client_port = proxy_port (daemon->reverse_proxy);
  g_free (chart);
  return code;
}

static gint64
on_true_now (void *ctx)
{
  const struct proxy_daemon *daemon = ctx;
  return daemon->usage_keeper != NULL ? usage_keeper_true_time (
             daemon->usage_keeper, clk_now (daemon->clk))
                                      : clk_wall (daemon->clk);
}

static gboolean
on_demand (void *ctx, const char *service, const char *domain,
           double *uncached_tokens_per_s, double *output_tokens_per_s)
{
  const struct proxy_daemon *daemon = ctx;
  if (daemon->usage_keeper == NULL)
    return FALSE;
  const struct usage_demand demand
      = usage_account_demand (usage_keeper_account (daemon->usage_keeper),
                              service, domain, on_true_now (ctx));
  *uncached_tokens_per_s = demand.uncached_tokens_per_s;
  *output_tokens_per_s = demand.output_tokens_per_s;
  return TRUE;
}

/* Shows the fleet to ORDERS.  */
static void
on_observe (void *ctx, struct server_orders *orders, gint64 now)
{
  struct proxy_daemon *daemon = ctx;
  const struct order_view_sources sources
      = { .registry = daemon->registry,
          .routing_table = scheduler_routing_table (daemon->scheduler),
          .scheduler = daemon->scheduler,
          .counter_set = &daemon->counter_set };
  struct server_orders_view view = order_view_of (&sources);
  view.demand = on_demand;
  view.ctx = daemon;
  server_orders_observe (orders, &view, now);
}

static int
open_peers (struct proxy_daemon *daemon, gint64 now, struct err *err)
{
  const struct proxy_settings *settings = daemon->settings;
  guint n = settings->seeds ? g_strv_length (settings->seeds) : 0;
  guint32 *seeds = g_new0 (guint32, n + 1);
  struct gossip_options options = { .id = settings->id.s,
                                    .domain = settings->domain.s,
                                    .incarnation = g_rand_int (daemon->rand),
                                    .seeds = seeds,
                                    .suspects = daemon->suspects,
                                    .duty_term_us = settings->duties.lease_us };
  udp_ip_parse (settings->listen_peers, &options.ip);
  daemon->ip = options.ip;
  for (guint i = 0; i < n; i++)
    if (udp_ip_parse (settings->seeds[i], &seeds[options.n_seeds]))
      options.n_seeds++;
  daemon->gossip = gossip_new (&options, now);
  version_keeper_set_gossip (daemon->version_keeper, daemon->gossip);
  stream_keeper_set_gossip (daemon->stream_keeper, daemon->gossip, daemon->ip);
  g_free (seeds);
  daemon->udp = udp_new (settings->listen_peers, on_datagram, daemon, err);
  if (daemon->udp == NULL)
    return ERR_IO;
  daemon->peer_port = udp_port (daemon->udp);
  const struct usage_keeper_options usage_options
      = { .settings = settings,
          .clk = daemon->clk,
          .counter_set = &daemon->counter_set,
          .gossip = daemon->gossip,
          .ip = daemon->ip,
          .incarnation = options.incarnation,
          .send = send_datagram,
          .ctx = daemon };
  daemon->usage_keeper = usage_keeper_new (&usage_options);
  const struct duty_keeper_options keeper_options
      = { .settings = settings,
          .clk = daemon->clk,
          .counter_set = &daemon->counter_set,
          .gossip = daemon->gossip,
          .reports = usage_keeper_reports (daemon->usage_keeper),
          .incarnation = options.incarnation,
          .seed = g_rand_int (daemon->rand),
          .true_now = on_true_now,
          .observe = on_observe,
          .ctx = daemon };
  daemon->duty_keeper = duty_keeper_new (&keeper_options);
  return 0;
}

int
proxy_daemon_new (const struct proxy_settings *settings,
                  struct proxy_daemon **result, struct err *err)
{
  struct proxy_daemon *daemon = g_new0 (struct proxy_daemon, 1);
  daemon->limit_members
      = g_array_new (FALSE, FALSE, sizeof (struct limit_member));
  daemon->relays = g_array_new (FALSE, FALSE, sizeof (struct gossip_relay));
  daemon->settings = settings;
  daemon->clk = clk_boottime ();
  daemon->loop = g_main_loop_new (NULL, FALSE);
  daemon->rand = g_rand_new ();
  daemon->topology = read_topology (settings);
  daemon->registry = registry_new (on_server_changed, daemon);
  registry_set_drain_time (daemon->registry, settings->drain_us);
  gint64 now = clk_now (daemon->clk);
  const struct scheduler_options scheduler_options
      = { .registry = daemon->registry,
          .topology = daemon->topology,
          .seed = g_rand_int (daemon->rand),
          .pool_resized = on_pool_resized,
          .pool_resized_ctx = daemon,
          .counter_set = &daemon->counter_set,
          .decides_exits
          = settings->leave_domain == PROXY_SETTINGS_LEAVE_ADAPTIVE,
          .region_mbps = settings->region_mbps };
  const struct adapter_options adapter_options
      = { .address = settings->store_address,
          .clk = daemon->clk,
          .counter_set = &daemon->counter_set,
          .timeout_ms = (guint)(settings->store_timeout_us / CLK_MS) };
  const struct suspects_options suspects_options
      = { .seed = g_rand_int (daemon->rand),
          .counter_set = &daemon->counter_set,
          .changed = on_news,
          .save = on_crash_to_save,
          .load_until = now + CRASHES_LOAD_US,
          .ctx = daemon };
  daemon->scheduler = scheduler_new (&scheduler_options, now);
  daemon->suspects = suspects_new (&suspects_options);
  const struct crash_keeper_options keeper_options
      = { .store_address = settings->store_address,
          .clk = daemon->clk,
          .counter_set = &daemon->counter_set,
          .suspects = daemon->suspects,
          .loaded = on_crashes_loaded,
          .ctx = daemon };
  daemon->crash_keeper = crash_keeper_new (&keeper_options);
  const struct stream_keeper_options stream_options
      = { .store_address = settings->store_address,
          .id = settings->id.s,
          .domain = settings->domain.s,
          .clk = daemon->clk,
          .counter_set = &daemon->counter_set,
          .send = send_datagram,
          .confirm_table = on_confirm_table,
          .changed = on_versions_changed,
          .ctx = daemon };
  daemon->stream_keeper = stream_keeper_new (&stream_options);
  const struct version_keeper_options version_options
      = { .store_address = settings->store_address,
          .clk = daemon->clk,
          .counter_set = &daemon->counter_set,
          .registry = daemon->registry,
          .versions = stream_keeper_versions (daemon->stream_keeper),
          .changed = on_versions_changed,
          .ctx = daemon };
  daemon->version_keeper = version_keeper_new (&version_options);
  daemon->adapter = adapter_new (&adapter_options);
  int code = open_proxy (daemon, err);
  proxy_daemon_sync_init (daemon, now);
  if (code == 0)
    code = open_peers (daemon, now, err);
  if (code == 0)
    code = proxy_daemon_endpoints_open (daemon, err);
  if (code < 0)
    {
      proxy_daemon_free (daemon);
      return code;
    }
  daemon->tick_timer = g_timeout_add (TICK_MS, on_tick, daemon);
  on_tick (daemon);
  *result = daemon;
  return 0;
}

void
proxy_daemon_free (struct proxy_daemon *daemon)
{
  if (daemon == NULL)
    return;
  g_clear_handle_id (&daemon->tick_timer, g_source_remove);
  g_clear_handle_id (&daemon->news_source, g_source_remove);
  duty_keeper_free (daemon->duty_keeper);
  proxy_daemon_endpoints_free (daemon);
  proxy_daemon_sync_free (daemon);
  proxy_free (daemon->reverse_proxy);
  adapter_free (daemon->adapter);
  udp_free (daemon->udp);
  usage_keeper_free (daemon->usage_keeper);
  gossip_free (daemon->gossip);
  g_array_unref (daemon->limit_members);
  g_array_unref (daemon->relays);
  scheduler_free (daemon->scheduler);
  crash_keeper_free (daemon->crash_keeper);
  version_keeper_free (daemon->version_keeper);
  stream_keeper_free (daemon->stream_keeper);
  suspects_free (daemon->suspects);
  registry_free (daemon->registry);
  topology_free (daemon->topology);
  g_rand_free (daemon->rand);
  g_main_loop_unref (daemon->loop);
  g_free (daemon);
}

static void
log_limits (const char *event, const struct proxy_settings *settings)
{
  log_event (LOG_INFO, event,
             "key_limit_us=%" G_GINT64_FORMAT " grace_us=%" G_GINT64_FORMAT
             " drain_us=%" G_GINT64_FORMAT " retry_ratio=%g retry_slack=%g"
             " retry_window_us=%" G_GINT64_FORMAT,
             settings->key_freshness_limit_us, settings->shutdown_limit_us,
             settings->drain_us, settings->retry_ratio, settings->retry_slack,
             settings->retry_window_us);
}

void
proxy_daemon_run (struct proxy_daemon *daemon)
{
  log_event (LOG_INFO, "process.start", "callers=%s domain=%s region=%s",
             daemon->settings->listen_clients, daemon->settings->domain.s,
             daemon->settings->region.s);
  log_limits ("settings.limits", daemon->settings);
  g_main_loop_run (daemon->loop);
  log_event (LOG_INFO, "process.stop", "pauses=%" G_GUINT64_FORMAT,
             daemon->counter_set.v[COUNTER_PAUSES]);
}

void
proxy_daemon_shut_down (struct proxy_daemon *daemon, gint64 requested_at)
{
  log_event (LOG_INFO, "process.stopping",
             "grace_ms=%" G_GINT64_FORMAT " handled_after_ms=%" G_GINT64_FORMAT
             " repeated=%s",
             daemon->settings->shutdown_limit_us / CLK_MS,
             (clk_now (daemon->clk) - requested_at) / CLK_MS,
             daemon->stopping ? "yes" : "no");
  daemon->stopping = TRUE;
  proxy_shut_down (daemon->reverse_proxy, requested_at);
}

gboolean
proxy_daemon_is_stopping (const struct proxy_daemon *daemon)
{
  return daemon->stopping;
}

void
proxy_daemon_quit (struct proxy_daemon *daemon)
{
  log_event (LOG_WARN, "process.quit", "ended by an operator");
  g_main_loop_quit (daemon->loop);
}

/* Takes over the limits of the settings file PATH, which has changed. If
   anything in it is wrong, all that was in force stays. Other settings are read
   at startup only.  */
void
proxy_daemon_reload (struct proxy_daemon *daemon, const char *path)
{
  GPtrArray *problems = g_ptr_array_new_with_free_func (g_free);
  struct proxy_settings settings;
  proxy_settings_read (&settings, path, problems, problems);
  for (guint i = 0; i < problems->len; i++)
    log_event (LOG_ERROR, "settings.rejected", "%s",
               (const char *)g_ptr_array_index (problems, i));
  if (problems->len == 0)
    {
      const struct proxy_limits limits = limits_of (&settings);
      proxy_set_limits (daemon->reverse_proxy, &limits);
      registry_set_drain_time (daemon->registry, settings.drain_us);
      log_limits ("process.reload", &settings);
    }
  g_ptr_array_unref (problems);
  proxy_settings_clear (&settings);
}

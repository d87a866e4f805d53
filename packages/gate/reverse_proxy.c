#include "gate/reverse_proxy_internal.h"

#include "base/json_add.h"
#include "base/log.h"

#define READINESS_NOTICE_US                                                    \
  (2500 * CLK_MS) /* the load balancer checks readiness once a second; after   \
                     this time two of its checks have failed */
#define ACCEPT_MAX_US                                                          \
  (2800 * CLK_MS) /* from the request for the shutdown to the close of the     \
                     listener, however late the request was handled */
#define SHUTDOWN_MARGIN_US                                                     \
  (250 * CLK_MS) /* kept free at the end of the shutdown limit */
#define SHUTDOWN_RESPONSE_US                                                   \
  (250 * CLK_MS) /* before that margin, to send the last responses */
#define SHUTDOWN_RESERVE_SHARE                                                 \
  6 /* margin and time for responses take up to this part of the limit */
#define SHUTDOWN_STEP_MS 50
#define SHUTDOWN_LATE_DECAY 16 /* steps after which lateness counts a third */

static const char *const states[] = {
#define EXCHANGE_NAME(id, name) name,
  EXCHANGE_STATES (EXCHANGE_NAME)
};
static const char *const events[] = { EXCHANGE_EVENTS (EXCHANGE_NAME) };
#undef EXCHANGE_NAME

static void
on_client (void *ctx, int fd, const char *peer)
{
  downstream_accept (ctx, fd, peer);
}

/* Reads the chart and opens the listener. Returns 0, or a negative ERR_ number
   with ERR filled in.  */
int
proxy_new (const struct proxy_options *options, struct reverse_proxy **result,
           struct err *err)
{
  const struct statechart_binding binding
      = { states, G_N_ELEMENTS (states), events, G_N_ELEMENTS (events) };
  struct reverse_proxy *reverse_proxy = g_new0 (struct reverse_proxy, 1);
  reverse_proxy->options = *options;
  reverse_proxy->header_names = options->header_names;
  reverse_proxy->backend_pool = backend_pool_new (options->clk);
  reverse_proxy->retry_budgets
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  reverse_proxy->rand = g_rand_new ();
  reverse_proxy->instances = 1;
  g_queue_init (&reverse_proxy->clients);
  g_queue_init (&reverse_proxy->closing);
  g_queue_init (&reverse_proxy->awaiting_config);
  g_queue_init (&reverse_proxy->awaiting_parts);
  g_queue_init (&reverse_proxy->server_checks);
  memory_budget_init (&reverse_proxy->memory, options->memory_limit);
  reverse_proxy->started_at = clk_now (options->clk);
  int code
      = statechart_load (options->chart, &binding, &reverse_proxy->chart, err);
  if (code < 0)
    goto fail;
  reverse_proxy->listener
      = tcp_listener_new (options->listen, on_client, reverse_proxy, err);
  if (reverse_proxy->listener == NULL)
    {
      code = ERR_IO;
      goto fail;
    }
  *result = reverse_proxy;
  return 0;
fail:
  proxy_free (reverse_proxy);
  return code;
}

void
proxy_free (struct reverse_proxy *reverse_proxy)
{
  if (reverse_proxy == NULL)
    return;
  g_clear_handle_id (&reverse_proxy->shutdown_timer, g_source_remove);
  g_clear_handle_id (&reverse_proxy->config_source, g_source_remove);
  g_clear_handle_id (&reverse_proxy->body_timer, g_source_remove);
  while (reverse_proxy->clients.head != NULL)
    downstream_free (reverse_proxy->clients.head->data);
  closing_free_all (reverse_proxy);
  g_clear_handle_id (&reverse_proxy->memory_source, g_source_remove);
  server_check_free_all (reverse_proxy);
  reachability_free (reverse_proxy);
  g_clear_handle_id (&reverse_proxy->parts_source, g_source_remove);
  tcp_listener_free (reverse_proxy->listener);
  g_clear_handle_id (&reverse_proxy->poll_source, g_source_remove);
  backend_pool_free (reverse_proxy->backend_pool);
  relay_free_peers (reverse_proxy);
  g_hash_table_unref (reverse_proxy->retry_budgets);
  routing_table_unref (reverse_proxy->routing_table);
  g_rand_free (reverse_proxy->rand);
  statechart_free (reverse_proxy->chart);
  g_free (reverse_proxy);
}

/* Applies ROUTING_TABLE and takes a reference to it. A table whose version is
   not higher than the present one is ignored.  */
void
proxy_set_table (struct reverse_proxy *reverse_proxy,
                 struct routing_table *routing_table)
{
  if (reverse_proxy->routing_table != NULL
      && routing_table_version (routing_table)
             <= routing_table_version (reverse_proxy->routing_table))
    return;
  routing_table_unref (reverse_proxy->routing_table);
  reverse_proxy->routing_table = routing_table_ref (routing_table);
  scheduler_set_table (reverse_proxy->options.scheduler, routing_table);
  counter_add (reverse_proxy->options.counter_set, COUNTER_CONFIG_APPLIED, 1);
  log_event (LOG_INFO, "config.applied",
             "version=%" G_GUINT64_FORMAT " routes=%u",
             routing_table_version (routing_table),
             routing_table_n_routes (routing_table));
  config_wait_check (reverse_proxy);
}

/* The configuration store has confirmed that VERSION was the newest version at
   some moment after REQUESTED_AT (clock time at which the query was sent). A
   confirmation of a version other than the present one is ignored, since it
   says nothing about the keys in use.  */
void
proxy_confirm_version (struct reverse_proxy *reverse_proxy, guint64 version,
                       gint64 requested_at)
{
  if (reverse_proxy->routing_table != NULL
      && version == routing_table_version (reverse_proxy->routing_table))
    {
      freshness_confirm (&reverse_proxy->freshness, version, requested_at);
      config_wait_check (reverse_proxy);
    }
}

/* Returns the version of the present configuration; 0 if there is none.  */
guint64
proxy_config_version (const struct reverse_proxy *reverse_proxy)
{
  return reverse_proxy->routing_table
             ? routing_table_version (reverse_proxy->routing_table)
             : 0;
}

/* Returns the configuration age: the microseconds since the present
   configuration was last confirmed to be the newest.  */
gint64
proxy_config_age (const struct reverse_proxy *reverse_proxy, gint64 now)
{
  return freshness_age (&reverse_proxy->freshness, now);
}

/* Replaces the limits. A shutdown that has begun keeps its limit.  */
void
proxy_set_limits (struct reverse_proxy *reverse_proxy,
                  const struct proxy_limits *limits)
{
  struct proxy_limits *mine = &reverse_proxy->options.limits;
  gint64 shutdown_limit_us = mine->shutdown_limit_us;
  GHashTableIter iter;
  gpointer value;
  *mine = *limits;
  if (reverse_proxy->shutdown_started != 0)
    mine->shutdown_limit_us = shutdown_limit_us;
  g_hash_table_iter_init (&iter, reverse_proxy->retry_budgets);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((struct retry_budget *)value)->options = limits->budget;
}

/* Sets the number of instances that share the retry budgets.  */
void
proxy_set_instances (struct reverse_proxy *reverse_proxy, guint instances)
{
  reverse_proxy->instances = MAX (instances, 1);
}

/* Notifies the proxy of a change in the server registry. When a server is
   leaving or removed, its idle connections are closed; when it is removed, its
   prefix cache entries are dropped.  */
void
proxy_server_changed (struct reverse_proxy *reverse_proxy,
                      const struct registry_change *change)
{
  const struct registry_server *server = change->server;
  switch (change->kind)
    {
    case REGISTRY_SERVER_ADDED:
      break;
    case REGISTRY_SERVER_LEAVING:
      backend_pool_drop_server (reverse_proxy->backend_pool, server);
      break;
    case REGISTRY_SERVER_REMOVED:
      backend_pool_drop_server (reverse_proxy->backend_pool, server);
      directory_forget (
          scheduler_prefix_directory (reverse_proxy->options.scheduler),
          server->number);
      part_trial_server_removed (reverse_proxy, server);
      break;
    }
}

/* Lets the scheduler start or reject queued requests. To be called after any
   change that may affect them.  */
void
proxy_poll (struct reverse_proxy *reverse_proxy)
{
  config_wait_check (reverse_proxy);
  reachability_review (reverse_proxy);
  part_trial_check (reverse_proxy);
  stream_version_check (reverse_proxy);
  scheduler_poll (reverse_proxy->options.scheduler,
                  clk_now (reverse_proxy->options.clk), exchange_on_decision,
                  NULL);
}

/* Returns what is known of the reachability of the servers from here.  */
const struct server_reach *
proxy_reach (const struct reverse_proxy *reverse_proxy)
{
  return &reverse_proxy->reach;
}

/* Returns whether clients should be sent to this instance: it has a fresh
   configuration and a list of servers, and is not shutting down.  */
gboolean
proxy_is_ready (const struct reverse_proxy *reverse_proxy)
{
  return reverse_proxy->shutdown_started == 0
         && reverse_proxy->routing_table != NULL
         && registry_is_loaded (reverse_proxy->options.registry)
         && (reverse_proxy->options.limits.key_freshness_limit_us == 0
             || freshness_is_within (
                 &reverse_proxy->freshness,
                 clk_now (reverse_proxy->options.clk),
                 reverse_proxy->options.limits.key_freshness_limit_us));
}

/* Calls CLOSE, which may free its argument, for every client connection.  */
static void
for_each_client (struct reverse_proxy *reverse_proxy,
                 void (*close) (struct downstream *downstream))
{
  for (GList *link = reverse_proxy->clients.head, *next; link != NULL;
       link = next)
    {
      next = link->next;
      close (link->data);
    }
}

/* Returns how late the steps of the shutdown are at present, because the main
   loop is busy.  */
static gint64
measure_lateness (struct reverse_proxy *reverse_proxy, gint64 now)
{
  gint64 late = MAX (now - reverse_proxy->shutdown_step_due, 0);
  gint64 before = reverse_proxy->shutdown_late_us;
  reverse_proxy->shutdown_step_due = now + SHUTDOWN_STEP_MS * CLK_MS;
  reverse_proxy->shutdown_late_us
      = MAX (late, before - before / SHUTDOWN_LATE_DECAY);
  return reverse_proxy->shutdown_late_us;
}

/* The moments at the end of the shutdown limit, which come the earlier, the
   later the main loop handles them.  */
struct shutdown_end
{
  gint64 respond_us; /* since the request: ends the requests in progress */
  gint64 stop_us;    /* since the request: ends the process */
};

static struct shutdown_end
shutdown_end (const struct reverse_proxy *reverse_proxy, gint64 late_us)
{
  gint64 limit = reverse_proxy->options.limits.shutdown_limit_us;
  if (limit == 0)
    return (struct shutdown_end){ G_MAXINT64, G_MAXINT64 };
  gint64 reserve = MIN (SHUTDOWN_MARGIN_US + SHUTDOWN_RESPONSE_US + late_us,
                        limit / SHUTDOWN_RESERVE_SHARE);
  gint64 margin = MIN (SHUTDOWN_MARGIN_US + late_us, reserve * 3 / 4);
  return (struct shutdown_end){ limit - reserve, limit - margin };
}

/* Returns whether a request that is to be sent to a server now, late in a
   shutdown, may still be in progress at the end of it: DEADLINE (clock time) is
   later. Other instances can serve it.  */
gboolean
proxy_ends_before (const struct reverse_proxy *reverse_proxy, gint64 deadline)
{
  gint64 limit = reverse_proxy->options.limits.shutdown_limit_us;
  gint64 now = clk_now (reverse_proxy->options.clk);
  if (reverse_proxy->shutdown_started == 0 || limit == 0
      || now - reverse_proxy->shutdown_requested
             < MIN (ACCEPT_MAX_US, limit / 2))
    return FALSE;
  struct shutdown_end end
      = shutdown_end (reverse_proxy, reverse_proxy->shutdown_late_us);
  return deadline > reverse_proxy->shutdown_requested + end.respond_us;
}

static gboolean
on_shutdown_step (gpointer data)
{
  struct reverse_proxy *reverse_proxy = data;
  gint64 now = clk_now (reverse_proxy->options.clk);
  gint64 elapsed = now - reverse_proxy->shutdown_requested;
  gint64 late_us = measure_lateness (reverse_proxy, now);
  struct shutdown_end end = shutdown_end (reverse_proxy, late_us);
  gboolean at_limit = elapsed >= end.respond_us;
  gboolean noticed
      = now - reverse_proxy->shutdown_started >= READINESS_NOTICE_US
        || elapsed >= ACCEPT_MAX_US;
  if ((noticed || at_limit) && reverse_proxy->listener != NULL)
    {
      tcp_listener_accept_pending (reverse_proxy->listener);
      g_clear_pointer (&reverse_proxy->listener, tcp_listener_free);
    }
  if (at_limit)
    for_each_client (reverse_proxy, downstream_end_at_limit);
  else if (noticed)
    for_each_client (reverse_proxy, downstream_drain);
  gboolean all_closed = reverse_proxy->listener == NULL
                        && reverse_proxy->clients.length == 0
                        && reverse_proxy->closing.length == 0;
  if (!all_closed && elapsed < end.stop_us)
    return G_SOURCE_CONTINUE;
  log_event (LOG_INFO, "gate.drained",
             "exchanges=%u callers=%u closing=%u late_ms=%" G_GINT64_FORMAT,
             reverse_proxy->exchanges, reverse_proxy->clients.length,
             reverse_proxy->closing.length, late_us / CLK_MS);
  reverse_proxy->shutdown_timer = 0;
  reverse_proxy->options.shutdown_done (reverse_proxy->options.ctx);
  return G_SOURCE_REMOVE;
}

/* Begins a graceful shutdown. Readiness ends at once; new connections and
   requests are served until the load balancer has noticed, then the listener
   and idle connections are closed. When the shutdown limit is about to be
   reached, the requests in progress are ended with a response. Calls the option
   shutdown_done when no connection is left, or at the limit, which counts from
   REQUESTED_AT (clock time).  */
void
proxy_shut_down (struct reverse_proxy *reverse_proxy, gint64 requested_at)
{
  if (reverse_proxy->shutdown_started != 0)
    return;
  reverse_proxy->shutdown_started = clk_now (reverse_proxy->options.clk);
  reverse_proxy->shutdown_requested = requested_at;
  reverse_proxy->shutdown_step_due
      = reverse_proxy->shutdown_started + SHUTDOWN_STEP_MS * CLK_MS;
  reverse_proxy->shutdown_late_us
      = MAX (reverse_proxy->shutdown_started - requested_at, 0);
  reverse_proxy->shutdown_timer = g_timeout_add_full (
      G_PRIORITY_HIGH, SHUTDOWN_STEP_MS, on_shutdown_step, reverse_proxy, NULL);
}

guint
proxy_port (const struct reverse_proxy *reverse_proxy)
{
  return tcp_listener_port (reverse_proxy->listener);
}

static gboolean
on_poll_source (gpointer data)
{
  struct reverse_proxy *reverse_proxy = data;
  reverse_proxy->poll_source = 0;
  proxy_poll (reverse_proxy);
  return G_SOURCE_REMOVE;
}

/* Schedules proxy_poll for when the main loop is idle, if requests are
   queued. For callers inside an exchange, which a poll might free.  */
void
proxy_schedule_poll (struct reverse_proxy *reverse_proxy)
{
  if (reverse_proxy->poll_source == 0
      && (scheduler_n_waiting (reverse_proxy->options.scheduler) > 0
          || reverse_proxy->awaiting_parts.length > 0))
    reverse_proxy->poll_source = g_idle_add (on_poll_source, reverse_proxy);
}

static void
put_gauge (GString *out, const char *name, const char *help, gint64 value)
{
  g_string_append_printf (out,
                          "# HELP jacinthward_%s %s\n"
                          "# TYPE jacinthward_%s gauge\n"
                          "jacinthward_%s %" G_GINT64_FORMAT "\n",
                          name, help, name, name, value);
}

/* Appends the gauges to OUT in the Prometheus text format.  */
void
proxy_gauges (const struct reverse_proxy *reverse_proxy, GString *out)
{
  gint64 now = clk_now (reverse_proxy->options.clk);
  guint n;
  guint ready = 0;
  guint ejected = 0;
  guint backing_off = 0;
  struct registry_server *const *servers
      = registry_servers (reverse_proxy->options.registry, &n);
  for (guint i = 0; i < n; i++)
    {
      ready += servers[i]->state == REGISTRY_READY
               && !registry_is_leaving (servers[i]);
      ejected += servers[i]->server_health.state == SERVER_HEALTH_EJECTED;
      backing_off += registry_is_backing_off (servers[i], now);
    }
  put_gauge (out, "ready", "1 if clients should be sent to this instance",
             proxy_is_ready (reverse_proxy));
  put_gauge (out, "config_version",
             "version of the present configuration; 0: none",
             (gint64)proxy_config_version (reverse_proxy));
  put_gauge (out, "memory_kept_bytes",
             "memory kept for clients and backend servers",
             (gint64)reverse_proxy->memory.kept);
  put_gauge (out, "memory_limit_bytes", "limit of that; 0: none",
             (gint64)reverse_proxy->memory.limit);
  put_gauge (
      out, "config_proof_age_ms",
      "milliseconds since the configuration was last confirmed to be the "
      "newest; -1: never",
      reverse_proxy->freshness.confirmed_at
          ? proxy_config_age (reverse_proxy, now) / CLK_MS
          : -1);
  put_gauge (out, "callers", "open client connections",
             reverse_proxy->clients.length);
  put_gauge (out, "requests_in_progress",
             "requests without a complete response", reverse_proxy->exchanges);
  put_gauge (out, "requests_waiting", "requests queued for a server",
             scheduler_n_waiting (reverse_proxy->options.scheduler));
  put_gauge (out, "servers_ready", "backend servers that may be used", ready);
  put_gauge (out, "servers_ejected", "backend servers ejected as outliers",
             ejected);
  put_gauge (out, "servers_backing_off",
             "backend servers that have asked this instance to send nothing",
             backing_off);
  put_gauge (out, "cut_off",
             "1 if no backend server can be reached, but peers reach some",
             reverse_proxy->reach.cut_off);
  put_gauge (out, "instances", "instances that share the retry budget",
             reverse_proxy->instances);
  put_gauge (out, "log_lines_dropped", "log lines dropped",
             (gint64)log_dropped ());
}

static void
dump_server (JsonBuilder *json, const struct reverse_proxy *reverse_proxy,
             const struct registry_server *server)
{
  struct server_load load = server_load_total (
      scheduler_loads (reverse_proxy->options.scheduler), server->number);
  json_builder_begin_object (json);
  json_add_str (json, "id", server->entry.id);
  json_add_str (json, "service", server->entry.service);
  json_add_str (json, "domain", server->entry.domain);
  json_add_str (json, "state", registry_state_name (server->state));
  json_add_bool (json, "leaving", registry_is_leaving (server));
  json_add_str (json, "health",
                server_health_state_name (server->server_health.state));
  json_add_int (
      json, "backoff_ms",
      MAX (server->backoff.until - clk_now (reverse_proxy->options.clk), 0)
          / CLK_MS);
  json_add_double (json, "limit_per_s", server->limit.report.per_s);
  json_add_str (json, "limit_source",
                server_limit_source_name (server->limit.report.source));
  json_add_int (json, "brittle_rejections_per_s",
                (gint64)server->brittle.report.per_s - 1);
  json_add_int (json, "brittle_room", server->brittle_share.room);
  json_add_int (json, "brittle_own_places",
                __builtin_popcountll (server->brittle_share.own));
  json_add_int (json, "requests", load.requests);
  json_add_int (json, "unread_tokens", (gint64)load.prefill_tokens);
  json_add_int (json, "memory_tokens", (gint64)load.memory);
  json_builder_end_object (json);
}

/* Writes the present state as members of the open JSON object.  */
void
proxy_dump (const struct reverse_proxy *reverse_proxy, JsonBuilder *json)
{
  gint64 now = clk_now (reverse_proxy->options.clk);
  guint n;
  struct registry_server *const *servers
      = registry_servers (reverse_proxy->options.registry, &n);
  json_add_bool (json, "ready", proxy_is_ready (reverse_proxy));
  json_add_int (json, "config_version",
                (gint64)proxy_config_version (reverse_proxy));
  json_add_int (json, "proof_age_ms",
                reverse_proxy->freshness.confirmed_at
                    ? proxy_config_age (reverse_proxy, now) / CLK_MS
                    : -1);
  json_add_int (json, "callers", reverse_proxy->clients.length);
  json_add_int (json, "exchanges", reverse_proxy->exchanges);
  json_add_int (json, "memory_kept_bytes", (gint64)reverse_proxy->memory.kept);
  json_add_int (json, "memory_limit_bytes",
                (gint64)reverse_proxy->memory.limit);
  json_add_int (json, "waiting",
                scheduler_n_waiting (reverse_proxy->options.scheduler));
  json_add_int (json, "waiting_for_parts",
                reverse_proxy->awaiting_parts.length);
  if (reverse_proxy->options.suspects != NULL)
    suspects_dump (reverse_proxy->options.suspects, json, now);
  stream_pools_dump (scheduler_stream_pools (reverse_proxy->options.scheduler),
                     json);
  scheduler_dump_exits (reverse_proxy->options.scheduler, json);
  json_add_bool (json, "cut_off", reverse_proxy->reach.cut_off);
  json_add_int (json, "servers_heard_ms",
                reverse_proxy->reach.heard_at != 0
                    ? (now - reverse_proxy->reach.heard_at) / CLK_MS
                    : -1);
  json_add_int (json, "idle_backend_connections",
                backend_pool_idle_count (reverse_proxy->backend_pool));
  json_builder_set_member_name (json, "servers");
  json_builder_begin_array (json);
  for (guint i = 0; i < n; i++)
    dump_server (json, reverse_proxy, servers[i]);
  json_builder_end_array (json);
}

#include "jacinthward/router_daemon.h"

#include "admin/admin_server.h"
#include "backend/backend_client.h"
#include "backend/order_client.h"
#include "backend/engine_poller.h"
#include "base/clock.h"
#include "base/counter.h"
#include "base/log.h"
#include "entry/ingress.h"
#include "node/core.h"
#include "platform/object_client.h"
#include "wire/mesh.h"

#include <string.h>

#define TICK_MS ((guint)(CORE_TICK_US / CLK_MS))
/* After the grace period, connections that the kernel has queued are accepted
   for up to a second before the listener closes.  */
#define ACCEPT_ROUND_MS 2
#define ACCEPT_ROUNDS_MAX 500

struct router_daemon
{
  const struct router_settings *settings; /* borrowed */
  GMainLoop *loop;
  struct counter_set counter_set;
  struct core *core;
  struct mesh *mesh;
  struct backend_client *backend_client;
  struct engine_poller *engine_poller;
  struct order_client *order_client;
  struct ingress *ingress;
  struct admin_server *admin_server;
  struct object_client *object_client;
  guint poll_timer;         /* GLib source */
  guint tick_timer;         /* GLib source */
  guint grace_timer;        /* GLib source; 0: none */
  guint accept_rounds;      /* after the grace period */
  gboolean stopping;        /* a graceful shutdown has begun */
  gboolean listener_closed; /* the client listener is closed */
  gboolean drained;         /* the node has reported that it is drained */
};

static void
handle_event (struct router_daemon *daemon, const struct core_event *event)
{
  if (daemon->core != NULL)
    core_handle (daemon->core, event);
}

static void
on_message (void *ctx, const char *from, const struct msg *msg)
{
  struct core_event event = { .kind = CORE_MESSAGE };
  event.message.from = from;
  event.message.msg = msg;
  handle_event (ctx, &event);
}

static void
on_peer_up (void *ctx, const char *id)
{
  struct core_event event = { .kind = CORE_PEER_UP };
  event.peer_up = id;
  handle_event (ctx, &event);
}

static void
on_peer_lost (void *ctx, const char *id)
{
  struct core_event event = { .kind = CORE_PEER_LOST };
  event.peer_lost = id;
  handle_event (ctx, &event);
}

struct store_call
{
  struct router_daemon *daemon;
  guint64 token;
};

static void
on_store_response (void *ctx, const struct storage_response *response)
{
  struct store_call *call = ctx;
  struct core_event event = { .kind = CORE_STORE_RESPONSE };
  event.store_response.token = call->token;
  event.store_response.response = response;
  handle_event (call->daemon, &event);
  g_free (call);
}

static void
start_store_call (struct router_daemon *daemon, guint64 token,
                  const struct storage_request *call)
{
  struct store_call *pending = g_new (struct store_call, 1);
  pending->daemon = daemon;
  pending->token = token;
  object_client_start (daemon->object_client, call, on_store_response, pending);
}

static void
log_config_problems (const struct core_action *action)
{
  const GPtrArray *problems = action->config_invalid.problems;
  for (guint i = 0; i < problems->len; i++)
    log_event (LOG_ERROR, "config.rejected",
               "version %" G_GUINT64_FORMAT ": %s",
               action->config_invalid.version,
               (const char *)g_ptr_array_index (problems, i));
}

/* Executes one action of the node.  */
static void
execute_action (void *ctx, const struct core_action *action)
{
  struct router_daemon *daemon = ctx;
  switch (action->kind)
    {
    case CORE_DO_SEND:
      mesh_send (daemon->mesh, action->send.to, action->send.msg);
      break;
    case CORE_DO_DIAL:
      mesh_dial (daemon->mesh, action->dial);
      break;
    case CORE_DO_OPEN:
    case CORE_DO_CANCEL:
    case CORE_DO_FAIL:
    case CORE_DO_REPLAY:
    case CORE_DO_FINISH:
      ingress_execute (daemon->ingress, action);
      break;
    case CORE_DO_STORE:
      start_store_call (daemon, action->store.token, action->store.call);
      break;
    case CORE_DO_ORDER:
      order_client_start (daemon->order_client, action->order.token,
                          action->order.backend, action->order.call);
      break;
    case CORE_DO_CONFIG:
      log_event (LOG_INFO, "config.applied",
                 "version %" G_GUINT64_FORMAT ", preset %s",
                 action->config->version, action->config->preset.s);
      break;
    case CORE_DO_CONFIG_INVALID:
      log_config_problems (action);
      break;
    case CORE_DO_DRAINED:
      daemon->drained = TRUE;
      break;
    }
}

static void
quit_if_drained (struct router_daemon *daemon)
{
  if (daemon->listener_closed && daemon->drained
      && ingress_unfinished (daemon->ingress) == 0
      && core_in_progress (daemon->core) == 0)
    g_main_loop_quit (daemon->loop);
}

static gboolean
on_tick (gpointer data)
{
  struct router_daemon *daemon = data;
  const struct core_event event = { .kind = CORE_TICK };
  handle_event (daemon, &event);
  if (daemon->stopping)
    quit_if_drained (daemon);
  return G_SOURCE_CONTINUE;
}

static void
on_load (void *ctx, const char *backend, const struct shard_load *load,
         gboolean leaving)
{
  struct core_event event = { .kind = CORE_LOAD };
  event.load.backend = backend;
  event.load.load = *load;
  event.load.leaving = leaving;
  handle_event (ctx, &event);
}

static void
on_cache (void *ctx, const char *backend, guint64 prefix, gboolean cached)
{
  struct core_event event = { .kind = CORE_CACHE };
  event.cache.backend = backend;
  event.cache.prefix = prefix;
  event.cache.cached = cached;
  handle_event (ctx, &event);
}

static void
on_order_response (void *ctx, guint64 token,
                   const struct reconciler_response *response)
{
  struct core_event event = { .kind = CORE_ORDER_RESPONSE };
  event.order_response.token = token;
  event.order_response.response = response;
  handle_event (ctx, &event);
}

/* Queries the load of the engines in the shards that this instance serves.  */
static gboolean
on_poll_tick (gpointer data)
{
  struct router_daemon *daemon = data;
  const struct cluster_config *cfg = core_config (daemon->core);
  for (guint i = 0; cfg != NULL && i < cfg->n_backends; i++)
    {
      const struct cluster_backend *backend = &cfg->backends[i];
      if (cfg->pools[backend->pool].kind == CLUSTER_ENGINE
          && core_serves (daemon->core, backend))
        engine_poller_poll (daemon->engine_poller, backend);
    }
  return G_SOURCE_CONTINUE;
}

static void
make_engine_poller (struct router_daemon *daemon)
{
  const struct engine_poller_options options
      = { .load = on_load, .cache = on_cache, .ctx = daemon };
  daemon->engine_poller = engine_poller_new (&options);
}

static void
make_order_client (struct router_daemon *daemon)
{
  const struct order_client_options options
      = { .response = on_order_response, .ctx = daemon };
  daemon->order_client = order_client_new (&options);
}

static int
open_mesh (struct router_daemon *daemon, struct err *err)
{
  const struct router_settings *settings = daemon->settings;
  gsize n;
  const char *key = g_bytes_get_data (settings->peer_key, &n);
  const struct mesh_options options = {
    .listen = settings->listen_peers,
    .key = { key, n },
    .self = settings->id,
    .counter_set = &daemon->counter_set,
    .permanent = (const char *const *)settings->peer_addresses,
    .receive = on_message,
    .connected = on_peer_up,
    .disconnected = on_peer_lost,
    .ctx = daemon,
  };
  return mesh_new (&options, &daemon->mesh, err);
}

/* Returns the address at which other instances reach this one, g_free: the
   listener's host with the port that the kernel assigned.  */
static char *
peer_address (const struct router_daemon *daemon)
{
  const char *listen = daemon->settings->listen_peers;
  const char *colon = strrchr (listen, ':');
  return g_strdup_printf ("%.*s:%u", (int)(colon - listen), listen,
                          mesh_port (daemon->mesh));
}

static int
make_node (struct router_daemon *daemon, struct err *err)
{
  const struct router_settings *settings = daemon->settings;
  char *address = peer_address (daemon);
  const struct core_options options = {
    .clk = clk_system (),
    .seed = g_random_int (),
    .counter_set = &daemon->counter_set,
    .self = settings->id,
    .domain = settings->domain,
    .region = settings->region,
    .address = address,
    .peers = (const char *const *)settings->peer_addresses,
    .incarnation = (guint64)g_get_real_time (),
    .chart_folder = settings->chart_folder,
    .act = execute_action,
    .ctx = daemon,
  };
  int code = core_new (&options, &daemon->core, err);
  g_free (address);
  return code;
}

static int
open_ingress (struct router_daemon *daemon, struct err *err)
{
  const struct router_settings *settings = daemon->settings;
  const struct ingress_options options = {
    .listen = settings->listen_clients,
    .self = settings->id,
    .core = daemon->core,
    .backend_client = daemon->backend_client,
    .counter_set = &daemon->counter_set,
    .limits = {
      .body_bytes = settings->max_body_bytes,
      .header_bytes = settings->max_header_bytes,
      .requests = settings->max_requests,
      .arrival_us = settings->header_timeout_us,
      .client_stall_us = settings->client_stall_us,
      .backend_stall_us = settings->backend_stall_us,
    },
  };
  return ingress_new (&options, &daemon->ingress, err);
}

static const struct cluster_config *
get_config (void *ctx)
{
  return core_config (((struct router_daemon *)ctx)->core);
}

static gboolean
is_ready (void *ctx)
{
  return core_ready (((struct router_daemon *)ctx)->core);
}

static void
dump (void *ctx, JsonBuilder *json)
{
  const struct router_daemon *daemon = ctx;
  json_builder_begin_object (json);
  json_builder_set_member_name (json, "node");
  core_dump (daemon->core, json);
  json_builder_set_member_name (json, "wire");
  mesh_dump (daemon->mesh, json);
  json_builder_end_object (json);
}

static void
each_instance (void *ctx, admin_visit visit, void *visit_ctx)
{
  member_each (core_members (((struct router_daemon *)ctx)->core), visit,
               visit_ctx);
}

static int
update_config (void *ctx, guint64 expected, GBytes *body, follower_done done,
               void *done_ctx)
{
  return core_update_config (((struct router_daemon *)ctx)->core, expected,
                             body, done, done_ctx);
}

static int
open_admin (struct router_daemon *daemon, struct err *err)
{
  const struct admin_server_options options = {
    .listen = daemon->settings->listen_admin,
    .self = daemon->settings->id.s,
    .clk = clk_system (),
    .counter_set = &daemon->counter_set,
    .config = get_config,
    .ready = is_ready,
    .dump = dump,
    .each_instance = each_instance,
    .update = update_config,
    .ctx = daemon,
  };
  return admin_server_new (&options, &daemon->admin_server, err);
}

int
router_daemon_new (const struct router_settings *settings,
                   struct router_daemon **result, struct err *err)
{
  struct router_daemon *daemon = g_new0 (struct router_daemon, 1);
  const struct object_client_options client_options = {
    .address = settings->platform_address,
    .token = settings->platform_token,
    .counter_set = &daemon->counter_set,
  };
  int code;
  daemon->settings = settings;
  daemon->loop = g_main_loop_new (NULL, FALSE);
  daemon->object_client = object_client_new (&client_options);
  daemon->backend_client = backend_client_new ();
  make_engine_poller (daemon);
  make_order_client (daemon);
  if ((code = open_mesh (daemon, err)) < 0
      || (code = make_node (daemon, err)) < 0
      || (code = open_ingress (daemon, err)) < 0
      || (code = open_admin (daemon, err)) < 0)
    {
      router_daemon_free (daemon);
      return code;
    }
  daemon->tick_timer = g_timeout_add (TICK_MS, on_tick, daemon);
  daemon->poll_timer = g_timeout_add (
      (guint)(ENGINE_POLLER_INTERVAL_US / CLK_MS), on_poll_tick, daemon);
  *result = daemon;
  return 0;
}

void
router_daemon_free (struct router_daemon *daemon)
{
  if (daemon == NULL)
    return;
  g_clear_handle_id (&daemon->tick_timer, g_source_remove);
  g_clear_handle_id (&daemon->poll_timer, g_source_remove);
  g_clear_handle_id (&daemon->grace_timer, g_source_remove);
  admin_server_free (daemon->admin_server);
  ingress_free (daemon->ingress);
  backend_client_free (daemon->backend_client);
  engine_poller_free (daemon->engine_poller);
  order_client_free (daemon->order_client);
  object_client_free (daemon->object_client);
  core_free (daemon->core);
  daemon->core = NULL;
  mesh_free (daemon->mesh);
  g_main_loop_unref (daemon->loop);
  g_free (daemon);
}

void
router_daemon_announce (const struct router_daemon *daemon)
{
  g_print ("ready peer=%u http=%u admin=%u\n", mesh_port (daemon->mesh),
           ingress_port (daemon->ingress),
           admin_server_port (daemon->admin_server));
}

void
router_daemon_run (struct router_daemon *daemon)
{
  g_main_loop_run (daemon->loop);
}

static gboolean
on_grace_end (gpointer data)
{
  struct router_daemon *daemon = data;
  daemon->grace_timer = 0;
  if (!ingress_stop_listening (daemon->ingress))
    {
      if (daemon->accept_rounds++ < ACCEPT_ROUNDS_MAX)
        {
          daemon->grace_timer
              = g_timeout_add (ACCEPT_ROUND_MS, on_grace_end, daemon);
          return G_SOURCE_REMOVE;
        }
      log_event (LOG_WARN, "shutdown.connections_reset",
                 "clients still connect; the listener is closed nevertheless");
      ingress_close_listener (daemon->ingress);
    }
  daemon->listener_closed = TRUE;
  log_event (LOG_INFO, "shutdown.listener_closed", "%u requests in progress",
             core_in_progress (daemon->core));
  return G_SOURCE_REMOVE;
}

void
router_daemon_shut_down (struct router_daemon *daemon)
{
  const struct core_event event = { .kind = CORE_SHUTDOWN };
  if (daemon->stopping)
    {
      log_event (LOG_INFO, "shutdown.repeated", "%u requests in progress",
                 core_in_progress (daemon->core));
      return;
    }
  daemon->stopping = TRUE;
  log_event (LOG_INFO, "shutdown.begin", "%u requests in progress",
             core_in_progress (daemon->core));
  handle_event (daemon, &event);
  daemon->grace_timer
      = g_timeout_add ((guint)(daemon->settings->shutdown_grace_us / CLK_MS),
                       on_grace_end, daemon);
}

gboolean
router_daemon_is_stopping (const struct router_daemon *daemon)
{
  return daemon->stopping;
}

void
router_daemon_quit (struct router_daemon *daemon)
{
  log_event (LOG_WARN, "shutdown.quit", "%u requests in progress",
             core_in_progress (daemon->core));
  g_main_loop_quit (daemon->loop);
}

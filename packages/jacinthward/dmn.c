#include "jacinthward/dmn.h"

#include "admin/adm.h"
#include "backend/bkd.h"
#include "backend/orh.h"
#include "backend/prb.h"
#include "base/clk.h"
#include "base/ctr.h"
#include "base/log.h"
#include "entry/ent.h"
#include "node/core.h"
#include "platform/pob.h"
#include "wire/wir.h"

#include <string.h>

#define TICK_MS ((guint)(CORE_TICK_US / CLK_MS))

struct dmn
{
  const struct set_settings *settings; /* borrowed */
  GMainLoop *loop;
  struct ctr ctr;
  struct core *core;
  struct wir *wir;
  struct bkd *bkd;
  struct prb *prb;
  struct orh *orh;
  struct ent *ent;
  struct adm *adm;
  struct pob *platform;
  guint ask;         /* GLib source */
  guint tick;        /* GLib source */
  guint grace;       /* GLib source; 0: none */
  gboolean stopping; /* a shutdown has begun */
  gboolean deaf;     /* the callers' listener is closed */
  gboolean drained;  /* the node has nothing in progress */
};

static void
raise_event (struct dmn *dmn, const struct core_event *event)
{
  if (dmn->core != NULL)
    core_handle (dmn->core, event);
}

static void
on_message (void *ctx, const char *from, const struct msg *msg)
{
  struct core_event event = { .kind = CORE_MESSAGE };
  event.message.from = from;
  event.message.msg = msg;
  raise_event (ctx, &event);
}

static void
on_peer_up (void *ctx, const char *id)
{
  struct core_event event = { .kind = CORE_PEER_UP };
  event.peer_up = id;
  raise_event (ctx, &event);
}

static void
on_peer_lost (void *ctx, const char *id)
{
  struct core_event event = { .kind = CORE_PEER_LOST };
  event.peer_lost = id;
  raise_event (ctx, &event);
}

struct store_call
{
  struct dmn *dmn;
  guint64 token;
};

static void
on_store_answer (void *ctx, const struct sto_answer *answer)
{
  struct store_call *call = ctx;
  struct core_event event = { .kind = CORE_STORE_RESPONSE };
  event.store_response.token = call->token;
  event.store_response.response = answer;
  raise_event (call->dmn, &event);
  g_free (call);
}

static void
start_store_call (struct dmn *dmn, guint64 token, const struct sto_call *call)
{
  struct store_call *waiting = g_new (struct store_call, 1);
  waiting->dmn = dmn;
  waiting->token = token;
  pob_start (dmn->platform, call, on_store_answer, waiting);
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

/* Carries out one action of the node.  */
static void
act (void *ctx, const struct core_action *action)
{
  struct dmn *dmn = ctx;
  switch (action->kind)
    {
    case CORE_DO_SEND:
      wir_send (dmn->wir, action->send.to, action->send.msg);
      break;
    case CORE_DO_DIAL:
      wir_dial (dmn->wir, action->dial);
      break;
    case CORE_DO_OPEN:
    case CORE_DO_CANCEL:
    case CORE_DO_FAIL:
    case CORE_DO_REPLAY:
    case CORE_DO_FINISH:
      ent_act (dmn->ent, action);
      break;
    case CORE_DO_STORE:
      start_store_call (dmn, action->store.token, action->store.call);
      break;
    case CORE_DO_ORDER:
      orh_start (dmn->orh, action->order.token, action->order.backend,
                 action->order.call);
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
      dmn->drained = TRUE;
      break;
    }
}

static void
end_if_drained (struct dmn *dmn)
{
  if (dmn->deaf && dmn->drained && ent_unfinished (dmn->ent) == 0
      && core_in_progress (dmn->core) == 0)
    g_main_loop_quit (dmn->loop);
}

static gboolean
on_tick (gpointer data)
{
  struct dmn *dmn = data;
  const struct core_event event = { .kind = CORE_TICK };
  raise_event (dmn, &event);
  if (dmn->stopping)
    end_if_drained (dmn);
  return G_SOURCE_CONTINUE;
}

static void
on_load (void *ctx, const char *backend, const struct cel_load *load,
         gboolean leaving)
{
  struct core_event event = { .kind = CORE_LOAD };
  event.load.backend = backend;
  event.load.load = *load;
  event.load.leaving = leaving;
  raise_event (ctx, &event);
}

static void
on_cache (void *ctx, const char *backend, guint64 prefix, gboolean held)
{
  struct core_event event = { .kind = CORE_CACHE };
  event.cache.backend = backend;
  event.cache.prefix = prefix;
  event.cache.cached = held;
  raise_event (ctx, &event);
}

static void
on_order_answer (void *ctx, guint64 token, const struct ord_answer *answer)
{
  struct core_event event = { .kind = CORE_ORDER_RESPONSE };
  event.order_response.token = token;
  event.order_response.response = answer;
  raise_event (ctx, &event);
}

/* Asks the engines of the cells served here.  */
static gboolean
on_ask (gpointer data)
{
  struct dmn *dmn = data;
  const struct cfg *cfg = core_config (dmn->core);
  for (guint i = 0; cfg != NULL && i < cfg->n_backends; i++)
    {
      const struct cfg_backend *backend = &cfg->backends[i];
      if (cfg->pools[backend->pool].kind == CFG_ENGINE
          && core_serves (dmn->core, backend))
        prb_ask (dmn->prb, backend);
    }
  return G_SOURCE_CONTINUE;
}

static void
make_probes (struct dmn *dmn)
{
  const struct prb_options options
      = { .load = on_load, .cache = on_cache, .ctx = dmn };
  dmn->prb = prb_new (&options);
}

static void
make_orders (struct dmn *dmn)
{
  const struct orh_options options = { .answer = on_order_answer, .ctx = dmn };
  dmn->orh = orh_new (&options);
}

static int
open_wire (struct dmn *dmn, struct err *err)
{
  const struct set_settings *settings = dmn->settings;
  gsize n;
  const char *key = g_bytes_get_data (settings->peer_key, &n);
  const struct wir_options options = {
    .listen = settings->listen_peers,
    .key = { key, n },
    .self = settings->id,
    .ctr = &dmn->ctr,
    .keep = (const char *const *)settings->peers,
    .receive = on_message,
    .up = on_peer_up,
    .lost = on_peer_lost,
    .ctx = dmn,
  };
  return wir_new (&options, &dmn->wir, err);
}

/* The address at which other instances reach this one: the listener's host
   with the port that it got.  */
static char *
peer_address (const struct dmn *dmn)
{
  const char *listen = dmn->settings->listen_peers;
  const char *colon = strrchr (listen, ':');
  return g_strdup_printf ("%.*s:%u", (int)(colon - listen), listen,
                          wir_port (dmn->wir));
}

static int
make_node (struct dmn *dmn, struct err *err)
{
  const struct set_settings *settings = dmn->settings;
  char *address = peer_address (dmn);
  const struct core_options options = {
    .clk = clk_system (),
    .seed = g_random_int (),
    .ctr = &dmn->ctr,
    .self = settings->id,
    .domain = settings->domain,
    .region = settings->region,
    .address = address,
    .peers = (const char *const *)settings->peers,
    .incarnation = (guint64)g_get_real_time (),
    .chart_folder = settings->charts,
    .act = act,
    .ctx = dmn,
  };
  int code = core_new (&options, &dmn->core, err);
  g_free (address);
  return code;
}

static int
open_entry (struct dmn *dmn, struct err *err)
{
  const struct set_settings *settings = dmn->settings;
  const struct ent_options options = {
    .listen = settings->listen_callers,
    .self = settings->id,
    .core = dmn->core,
    .bkd = dmn->bkd,
    .ctr = &dmn->ctr,
    .limits = {
      .body_bytes = settings->max_body_bytes,
      .header_bytes = settings->max_header_bytes,
      .requests = settings->max_requests,
      .arrival_us = settings->header_timeout_us,
      .caller_stall_us = settings->caller_stall_us,
      .backend_stall_us = settings->backend_stall_us,
    },
  };
  return ent_new (&options, &dmn->ent, err);
}

static const struct cfg *
get_config (void *ctx)
{
  return core_config (((struct dmn *)ctx)->core);
}

static gboolean
is_ready (void *ctx)
{
  return core_ready (((struct dmn *)ctx)->core);
}

static void
dump (void *ctx, JsonBuilder *json)
{
  const struct dmn *dmn = ctx;
  json_builder_begin_object (json);
  json_builder_set_member_name (json, "node");
  core_dump (dmn->core, json);
  json_builder_set_member_name (json, "wire");
  wir_dump (dmn->wir, json);
  json_builder_end_object (json);
}

static void
each_instance (void *ctx, adm_visit visit, void *visit_ctx)
{
  mem_each (core_members (((struct dmn *)ctx)->core), visit, visit_ctx);
}

static int
update (void *ctx, guint64 expected, GBytes *body, cft_done done,
        void *done_ctx)
{
  return core_update_config (((struct dmn *)ctx)->core, expected, body, done,
                             done_ctx);
}

static int
open_admin (struct dmn *dmn, struct err *err)
{
  const struct adm_options options = {
    .listen = dmn->settings->listen_admin,
    .self = dmn->settings->id.s,
    .clk = clk_system (),
    .ctr = &dmn->ctr,
    .config = get_config,
    .ready = is_ready,
    .dump = dump,
    .each_instance = each_instance,
    .update = update,
    .ctx = dmn,
  };
  return adm_new (&options, &dmn->adm, err);
}

int
dmn_new (const struct set_settings *settings, struct dmn **result,
         struct err *err)
{
  struct dmn *dmn = g_new0 (struct dmn, 1);
  const struct pob_options platform = {
    .address = settings->platform,
    .token = settings->platform_token,
    .ctr = &dmn->ctr,
  };
  int code;
  dmn->settings = settings;
  dmn->loop = g_main_loop_new (NULL, FALSE);
  dmn->platform = pob_new (&platform);
  dmn->bkd = bkd_new ();
  make_probes (dmn);
  make_orders (dmn);
  if ((code = open_wire (dmn, err)) < 0 || (code = make_node (dmn, err)) < 0
      || (code = open_entry (dmn, err)) < 0
      || (code = open_admin (dmn, err)) < 0)
    {
      dmn_free (dmn);
      return code;
    }
  dmn->tick = g_timeout_add (TICK_MS, on_tick, dmn);
  dmn->ask = g_timeout_add ((guint)(PRB_ASK_US / CLK_MS), on_ask, dmn);
  *result = dmn;
  return 0;
}

void
dmn_free (struct dmn *dmn)
{
  if (dmn == NULL)
    return;
  g_clear_handle_id (&dmn->tick, g_source_remove);
  g_clear_handle_id (&dmn->ask, g_source_remove);
  g_clear_handle_id (&dmn->grace, g_source_remove);
  adm_free (dmn->adm);
  ent_free (dmn->ent);
  bkd_free (dmn->bkd);
  prb_free (dmn->prb);
  orh_free (dmn->orh);
  pob_free (dmn->platform);
  core_free (dmn->core);
  dmn->core = NULL;
  wir_free (dmn->wir);
  g_main_loop_unref (dmn->loop);
  g_free (dmn);
}

void
dmn_announce (const struct dmn *dmn)
{
  g_print ("ready peer=%u http=%u admin=%u\n", wir_port (dmn->wir),
           ent_port (dmn->ent), adm_port (dmn->adm));
}

void
dmn_run (struct dmn *dmn)
{
  g_main_loop_run (dmn->loop);
}

static gboolean
on_grace_over (gpointer data)
{
  struct dmn *dmn = data;
  dmn->grace = 0;
  dmn->deaf = TRUE;
  ent_stop_listening (dmn->ent);
  log_event (LOG_INFO, "shutdown.listener_closed", "%u requests in progress",
             core_in_progress (dmn->core));
  return G_SOURCE_REMOVE;
}

void
dmn_shut_down (struct dmn *dmn)
{
  const struct core_event event = { .kind = CORE_SHUTDOWN };
  if (dmn->stopping)
    {
      g_main_loop_quit (dmn->loop);
      return;
    }
  dmn->stopping = TRUE;
  log_event (LOG_INFO, "shutdown.begin", "%u requests in progress",
             core_in_progress (dmn->core));
  raise_event (dmn, &event);
  dmn->grace = g_timeout_add (
      (guint)(dmn->settings->shutdown_grace_us / CLK_MS), on_grace_over, dmn);
}

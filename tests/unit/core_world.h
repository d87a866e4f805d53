/* Instances of the simulation in core_sim.h: carries out and records the
   actions of the decision cores; starts, stops and ticks instances and sends
   them load reports.  */
#ifndef CORE_WORLD_H
#define CORE_WORLD_H

#include "unit/core_sim.h"

static struct rec *
end_job (struct instance *instance, enum rec_kind kind, guint64 request)
{
  guint index = (guint)request - 1;
  instance->world->jobs[index].over = TRUE;
  return record (instance->world, kind, instance->index, index);
}

static void
record_failure (struct instance *instance, const struct core_action *action)
{
  struct rec *rec = end_job (instance, REC_FAIL, action->fail.request);
  rec->ran = action->fail.ran;
  rec->code = action->fail.code;
}

static void
record_replay (struct instance *instance, const struct core_action *action)
{
  struct rec *rec = end_job (instance, REC_REPLAY, action->replay.request);
  char *text = str_dup (action->replay.body);
  rec->response_of
      = *text ? (guint)g_ascii_strtoull (text, NULL, 10) : G_MAXUINT;
  g_free (text);
}

/* Returns the number of results that the ledger has not acknowledged.  */
static guint
count_unacknowledged (const struct core *core)
{
  g_autoptr (JsonBuilder) json = json_builder_new ();
  core_dump (core, json);
  g_autoptr (JsonNode) root = json_builder_get_root (json);
  JsonObject *ledger
      = json_object_get_object_member (json_node_get_object (root), "ledger");
  JsonObject *ledger_client = json_object_get_object_member (ledger, "entry");
  return (guint)json_object_get_int_member (ledger_client, "ending");
}

static void
record_config (struct instance *instance, const struct cluster_config *cfg)
{
  struct rec *rec = record (instance->world, REC_CONFIG, instance->index, 0);
  rec->version = cfg->version;
  for (guint i = 0; i < cfg->n_backends; i++)
    if (cfg->backends[i].drain)
      rec->servers |= 1U << (cfg->backends[i].name.s[1] - '0');
}

static void
act (void *ctx, const struct core_action *action)
{
  struct instance *instance = ctx;
  struct attempt *attempt;
  switch (action->kind)
    {
    case CORE_DO_SEND:
      send_message (instance, action->send.to, action->send.msg);
      break;
    case CORE_DO_OPEN:
      open_attempt (instance, action);
      break;
    case CORE_DO_CANCEL:
      attempt = instance->world->jobs[action->cancel.request - 1].attempt;
      if (attempt != NULL && attempt->number == action->cancel.attempt)
        attempt->cancelled = TRUE;
      break;
    case CORE_DO_FAIL:
      record_failure (instance, action);
      break;
    case CORE_DO_REPLAY:
      record_replay (instance, action);
      break;
    case CORE_DO_FINISH:
      end_job (instance, REC_FINISH, action->finish);
      break;
    case CORE_DO_STORE:
      call_store (instance, action->store.token, action->store.call);
      break;
    case CORE_DO_CONFIG:
      record_config (instance, action->config);
      break;
    case CORE_DO_DRAINED:
      instance->drained = TRUE;
      record (instance->world, REC_DRAINED, instance->index, 0)->count
          = core_in_progress (instance->core)
            + count_unacknowledged (instance->core);
      break;
    default:
      break;
    }
}

static void
start_instance (void *ctx)
{
  struct instance *instance = ctx;
  struct world *world = instance->world;
  struct err err;
  if (world->over || instance->core != NULL)
    return;
  instance->generation++;
  instance->frozen_until = instance->shutdown_at = 0;
  instance->drained = FALSE;
  struct core_options options = { .clk = &world->sim.clk.clk };
  options.seed = g_rand_int (world->sim.rand);
  options.counter_set = &instance->counter_set;
  str_id_set (&options.self, str_of (ids[instance->index]));
  str_id_set (&options.domain, str_of (instance->index % 2 ? "d1" : "d0"));
  str_id_set (&options.region, STR_LIT ("r"));
  options.address = ids[instance->index];
  options.incarnation = (guint64)world->sim.clk.t;
  options.chart_folder = JW_SOURCE_DIR "/charts";
  options.act = act;
  options.ctx = instance;
  if (core_new (&options, &instance->core, &err) < 0)
    g_error ("%s: %s", err.step, err.text);
}

static void
stop_instance (struct instance *instance)
{
  struct world *world = instance->world;
  if (instance->core == NULL)
    return;
  record (world, REC_STOP, instance->index, 0);
  g_clear_pointer (&instance->core, core_free);
  for (guint i = 0; i < INSTANCES; i++)
    if (i != instance->index)
      break_link (world, instance->index, i, 20 * CLK_MS);
  for (guint i = 0; i < world->n_jobs; i++)
    if (world->jobs[i].instance == instance->index
        && world->jobs[i].generation == instance->generation)
      world->jobs[i].over = TRUE;
}

/* Stops and restarts a drained instance, as the daemon does.  */
static void
restart_if_drained (struct instance *instance)
{
  struct world *world = instance->world;
  if (!instance->drained || core_in_progress (instance->core) > 0
      || world->sim.clk.t - instance->shutdown_at < GRACE_US)
    return;
  record (world, REC_DRAINED, instance->index, 0)->count
      = count_unacknowledged (instance->core);
  stop_instance (instance);
  sim_after (&world->sim, between (world, 0, CLK_S), start_instance, instance);
}

static void
tick (void *ctx)
{
  struct instance *instance = ctx;
  struct world *world = instance->world;
  const struct core_event event = { .kind = CORE_TICK };
  gint64 next = CORE_TICK_US;
  if (instance->core != NULL && is_frozen (instance))
    next = instance->frozen_until - world->sim.clk.t
           + (sim_chance (&world->sim, 0.5) ? 5 * CLK_MS : 0);
  else if (instance->core != NULL)
    {
      core_handle (instance->core, &event);
      if (instance->shutdown_at != 0)
        restart_if_drained (instance);
    }
  if (!world->over)
    sim_after (&world->sim, next, tick, instance);
}

/* Sends an instance the load reports of the engines in its failure domain.  */
static void
report_load (void *ctx)
{
  struct instance *instance = ctx;
  struct world *world = instance->world;
  guint leaving = 0;
  for (guint i = 0; i < SERVERS / 2; i++)
    {
      char name[] = { 'b', (char)('0' + i), '\0' };
      struct core_event event = { .kind = CORE_LOAD };
      if (i % DOMAINS != instance->index % DOMAINS || instance->core == NULL
          || is_frozen (instance))
        continue;
      event.load.backend = name;
      event.load.load.running = world->servers[i].running;
      event.load.leaving = world->servers[i].leaving;
      leaving |= world->servers[i].leaving ? 1U << i : 0;
      core_handle (instance->core, &event);
    }
  if (instance->core != NULL && !is_frozen (instance))
    record (world, REC_LOAD_REPORT, instance->index, 0)->servers = leaving;
  if (!world->over)
    sim_after (&world->sim, REPORT_US, report_load, instance);
}

static GBytes *
config_body (void)
{
  GString *text = g_string_new (
      "[jacinthward]\npreset=ordinary\n[preset:ordinary]\nspill=region\n"
      "[preset:peak]\nspill=region\n[preset:maintenance]\nspill=none\n"
      "[domain:d0]\nregion=r\n[domain:d1]\nregion=r\n"
      "[class:high]\ntier=0\nttft_ms=400\ndeadline_ms=4000\n"
      "min_share=0.5\nmax_waiting=20\n"
      "[class:low]\ntier=3\ndeadline_ms=6000\nmin_share=0.1\nmax_waiting=20\n"
      "[team:t]\nclasses=high;low\ndefault_class=low\nkey_sha256=");
  for (guint i = 0; i < CLUSTER_DIGEST_MAX; i++)
    g_string_append_c (text, 'a');
  g_string_append (text, "\n[model:m]\n[service:s]\n");
  for (guint i = 0; i < SERVERS; i++)
    g_string_append_printf (text,
                            "[backend:b%u]\naddress=127.0.0.1:%u\npool=%s\n"
                            "domain=d%u\nmax_running=3\n",
                            i, 9000 + i, i < SERVERS / 2 ? "m" : "s",
                            i % DOMAINS);
  return g_string_free_to_bytes (text);
}

static void
world_init (struct world *world, guint32 seed)
{
  memset (world, 0, sizeof *world);
  sim_init (&world->sim, seed);
  sim_store_init (&world->store, &world->sim);
  world->history = g_array_new (FALSE, FALSE, sizeof (struct rec));
  struct sim_object *config = sim_object_of (&world->store, "config");
  config->version = ++world->store.last_version;
  config->body = config_body ();
  for (guint i = 0; i < INSTANCES; i++)
    {
      struct instance *instance = &world->instances[i];
      instance->world = world;
      instance->index = i;
      start_instance (instance);
      sim_after (&world->sim, i * CLK_MS, tick, instance);
      sim_after (&world->sim, i * 7 * CLK_MS, report_load, instance);
    }
  check_links (world);
}

static void
world_clear (struct world *world)
{
  world->over = TRUE;
  for (guint i = 0; i < INSTANCES; i++)
    stop_instance (&world->instances[i]);
  while (!g_sequence_is_empty (world->sim.events))
    sim_run (&world->sim, world->sim.clk.t + 60 * CLK_S);
  g_array_unref (world->history);
  sim_store_clear (&world->store);
  sim_clear (&world->sim);
}

#endif

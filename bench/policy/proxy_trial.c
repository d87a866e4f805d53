/* A trial of the model: one fleet, one scenario, one seed.  */
#include "policy/proxy_model.h"

/* From the first response that says that a server leaves: until the store's
   list says so, until the server ends, and until the list lacks it. */
#define LIST_LEAVING_US (4 * CLK_S)
#define SERVER_END_US (5 * CLK_S)
#define LIST_ENDED_US (6 * CLK_S)
#define LIST_SPREAD_US CLK_S /* the instances read it within this time */
#define BATCH 64
#define ENGINE_MEMORY 240000
#define STRIDE 5

static struct routing_table *
make_table (void)
{
  struct routing_table *table = routing_table_new (1);
  struct routing_service engines
      = { .name = g_strdup (proxy_service_names[PROXY_ENGINES]),
          .has_engine = TRUE,
          .engine = { .batch = BATCH,
                      .memory = ENGINE_MEMORY,
                      .stride = STRIDE,
                      .can_fetch_prefixes = TRUE } };
  struct routing_service plain
      = { .name = g_strdup (proxy_service_names[PROXY_PLAIN]) };
  routing_table_add_service (table, &engines);
  routing_table_add_service (table, &plain);
  return table;
}

static void
on_refuse (void *ctx, void *data)
{
  struct proxy_server *server = ctx;
  (void)data;
  server->refuses_until
      = server->world->events.clk.t + PROXY_FAULT_END_US - PROXY_FAULT_US;
}

static void
on_leave (void *ctx, void *data)
{
  (void)data;
  ((struct proxy_server *)ctx)->leaving = TRUE;
}

static void
on_end (void *ctx, void *data)
{
  (void)data;
  proxy_server_end (ctx);
}

static void
on_list_leaving (void *ctx, void *data)
{
  struct proxy_instance *instance = ctx;
  (void)data;
  instance->knows_leaving = TRUE;
  proxy_instance_list (instance);
}

static void
on_list_ended (void *ctx, void *data)
{
  struct proxy_instance *instance = ctx;
  (void)data;
  instance->knows_ended = TRUE;
  proxy_instance_list (instance);
}

/* Returns the share of the servers of each service that the scenario hits.  */
static double
share_hit (enum proxy_scenario scenario)
{
  switch (scenario)
    {
    case PROXY_REFUSING:
    case PROXY_LEAVING:
      return 0.2;
    case PROXY_BURST_LEAVING:
      return 0.3;
    case PROXY_QUIET:
    case PROXY_SCENARIO_N:
      break;
    }
  return 0;
}

/* Schedules the fault of one server.  */
static void
add_fault (struct proxy_world *world, struct proxy_server *server)
{
  gint64 at = PROXY_WARM_UP_US + PROXY_FAULT_US;
  if (world->scenario == PROXY_REFUSING)
    {
      event_queue_add (&world->events, at, on_refuse, server, NULL);
      return;
    }
  event_queue_add (&world->events, at, on_leave, server, NULL);
  event_queue_add (&world->events, at + SERVER_END_US, on_end, server, NULL);
}

/* Schedules the faults of a random part of the servers of each service.  */
static void
add_faults (struct proxy_world *world, GRand *rand)
{
  guint first = 0;
  for (guint service = 0; service < PROXY_SERVICE_N; service++)
    {
      guint n = world->fleet->servers[service];
      guint hit = (guint)(share_hit (world->scenario) * n + 0.5);
      guint left = n;
      for (guint i = 0; i < n; i++, left--)
        if (hit > 0 && (guint)g_rand_int_range (rand, 0, (gint32)left) < hit)
          {
            hit--;
            add_fault (world, &world->servers[first + i]);
          }
      first += n;
    }
}

/* Schedules what the instances read in the store's list.  */
static void
add_lists (struct proxy_world *world, GRand *rand)
{
  gint64 at = PROXY_WARM_UP_US + PROXY_FAULT_US;
  if (world->scenario != PROXY_LEAVING
      && world->scenario != PROXY_BURST_LEAVING)
    return;
  for (guint i = 0; i < world->fleet->instances; i++)
    {
      gint64 spread = g_rand_int_range (rand, 0, LIST_SPREAD_US);
      event_queue_add (&world->events, at + LIST_LEAVING_US + spread,
                       on_list_leaving, &world->instances[i], NULL);
      event_queue_add (&world->events, at + LIST_ENDED_US + spread,
                       on_list_ended, &world->instances[i], NULL);
    }
}

static gboolean
is_over (const struct proxy_world *world)
{
  for (guint i = 0; i < world->requests->len; i++)
    {
      const struct proxy_request *request
          = g_ptr_array_index (world->requests, i);
      if (request->outcome == PROXY_PENDING)
        return FALSE;
    }
  return TRUE;
}

/* Runs a trial. Arrivals and faults depend on SEED alone, not on what the
   instances decide. WORLD is to be cleared by proxy_trial_clear.  */
void
proxy_trial_run (struct proxy_world *world, const struct proxy_fleet *fleet,
                 enum proxy_scenario scenario, guint32 seed)
{
  GRand *rand = g_rand_new_with_seed (seed);
  *world = (struct proxy_world){ .fleet = fleet, .scenario = scenario };
  event_queue_init (&world->events);
  world->rand = g_rand_new_with_seed (g_rand_int (rand));
  world->requests = g_ptr_array_new_with_free_func (g_free);
  world->attempts = g_ptr_array_new_with_free_func (g_free);
  world->routing_table = make_table ();
  for (guint i = 0; i < PROXY_SERVICE_N; i++)
    world->n_servers += fleet->servers[i];
  world->servers = g_new0 (struct proxy_server, world->n_servers);
  for (guint i = 0; i < world->n_servers; i++)
    proxy_server_init (&world->servers[i], world, i);
  world->instances = g_new0 (struct proxy_instance, fleet->instances);
  for (guint i = 0; i < fleet->instances; i++)
    proxy_instance_init (&world->instances[i], world, i);
  add_faults (world, rand);
  add_lists (world, rand);
  proxy_arrivals_generate (world, rand);
  g_rand_free (rand);
  gint64 start = world->events.clk.t;
  gint64 t = PROXY_WARM_UP_US + PROXY_ARRIVALS_US;
  do
    event_queue_run (&world->events, start + t);
  while (!is_over (world) && (t += CLK_S) <= PROXY_END_US);
}

void
proxy_trial_clear (struct proxy_world *world)
{
  for (guint i = 0; i < world->fleet->instances; i++)
    proxy_instance_clear (&world->instances[i]);
  for (guint i = 0; i < world->n_servers; i++)
    proxy_server_clear (&world->servers[i]);
  event_queue_clear (&world->events);
  g_ptr_array_unref (world->requests);
  g_ptr_array_unref (world->attempts);
  routing_table_unref (world->routing_table);
  g_free (world->instances);
  g_free (world->servers);
  g_rand_free (world->rand);
}

/* An instance of the model: what packages/jacinthward/proxy_daemon.c does on
   its timer, with datagrams over a simulated network.  */
#include "policy/proxy_model.h"

#include "fleet/health_review.h"

#include <string.h>

#define TICK_US (50 * CLK_MS)
#define REVIEW_INTERVAL_US (250 * CLK_MS)
#define SEEDS 3             /* instances that the others know at the start */
#define DATAGRAM_MIN_US 500 /* network delay of a datagram */
#define DATAGRAM_MAX_US 5000
#define RETRY_RATIO 0.2
#define RETRY_SLACK 20
#define RETRY_WINDOW_US (10 * CLK_S)

/* A datagram on its way.  */
struct datagram
{
  guint32 from;
  guint n;
  char bytes[];
};

static guint32
ip_of (guint index)
{
  return 0x0a000001 + index;
}

static void
on_registry_change (void *ctx, const struct registry_change *change)
{
  struct proxy_instance *instance = ctx;
  struct registry_server *server = change->server;
  if (change->kind == REGISTRY_SERVER_ADDED)
    for (guint i = 0; i < instance->world->n_servers; i++)
      if (g_str_equal (instance->world->servers[i].id, server->entry.id))
        server->owner_data = &instance->world->servers[i];
  if (change->kind == REGISTRY_SERVER_REMOVED)
    directory_forget (scheduler_prefix_directory (instance->scheduler),
                      server->number);
}

/* Applies the store's list of the servers, as far as the instance knows it.  */
void
proxy_instance_list (struct proxy_instance *instance)
{
  const struct proxy_world *world = instance->world;
  struct registry_entry *entries
      = g_new0 (struct registry_entry, world->n_servers);
  guint n = 0;
  for (guint i = 0; i < world->n_servers; i++)
    {
      const struct proxy_server *server = &world->servers[i];
      if (server->ended && instance->knows_ended)
        continue;
      struct registry_entry *entry = &entries[n++];
      g_strlcpy (entry->id, server->id, sizeof entry->id);
      g_strlcpy (entry->service, proxy_service_names[server->service],
                 sizeof entry->service);
      g_snprintf (entry->address, sizeof entry->address, "10.9.%u.%u:80",
                  i / 250, i % 250 + 1);
      g_snprintf (entry->domain, sizeof entry->domain, "d%u", server->domain);
      entry->start_time_ms = 1;
      entry->slots = server->slots;
      entry->leaving = server->leaving && instance->knows_leaving;
    }
  registry_update (instance->registry, entries, n, world->events.clk.t);
  g_free (entries);
}

static void
on_datagram (void *ctx, void *data)
{
  struct proxy_instance *instance = ctx;
  struct datagram *datagram = data;
  struct gossip_update update;
  struct err err = { 0 };
  int code = gossip_receive (instance->gossip, datagram->from,
                             (struct str){ datagram->bytes, datagram->n },
                             instance->world->events.clk.t, instance->registry,
                             scheduler_loads (instance->scheduler),
                             scheduler_prefix_directory (instance->scheduler),
                             &update, &err);
  if (code < 0 && code != ERR_CONFLICT)
    g_error ("datagram cannot be decoded: %s", err.text);
  g_free (datagram);
}

static void
send_datagram (void *ctx, guint32 ip, struct str bytes)
{
  struct proxy_instance *instance = ctx;
  struct proxy_world *world = instance->world;
  if (ip < ip_of (0) || ip >= ip_of (world->fleet->instances))
    return;
  struct datagram *datagram = g_malloc (sizeof *datagram + bytes.n);
  datagram->from = instance->ip;
  datagram->n = (guint)bytes.n;
  memcpy (datagram->bytes, bytes.p, bytes.n);
  event_queue_add (
      &world->events,
      g_rand_int_range (world->rand, DATAGRAM_MIN_US, DATAGRAM_MAX_US),
      on_datagram, &world->instances[ip - ip_of (0)], datagram);
}

static void
on_ejected (void *ctx, const char *service, guint ejected, guint reviewed)
{
  (void)ctx;
  (void)service;
  (void)ejected;
  (void)reviewed;
}

static void
review (struct proxy_instance *instance, gint64 now)
{
  struct gossip *gossip = instance->gossip;
  instance->reviewed_at = now;
  health_review (instance->registry, now, instance->world->rand, on_ejected,
                 NULL);
  instance->count = gossip_instance_count (gossip, now);
  instance->self = (struct placement_self){
    .domain_instances = gossip_local_peer_count (gossip, now) + 1,
    .domain_rank = gossip_domain_rank (gossip, now),
    .all_instances = instance->count,
    .hash = gossip_instance_hash (instance->ip),
    .has_direct_reports = gossip_is_full_mesh (gossip, now)
  };
}

static void
update_contenders (struct proxy_instance *instance, gint64 now)
{
  struct placement_self *self = &instance->self;
  gboolean waiting = scheduler_n_waiting (instance->scheduler) > 0;
  if (!waiting)
    instance->waiting_since = 0;
  else if (instance->waiting_since == 0)
    instance->waiting_since = now;
  gboolean known = waiting
                   && now - instance->waiting_since
                          >= gossip_local_interval_us (instance->gossip, now);
  self->contenders = known ? instance->contenders : NULL;
  self->n_contenders
      = known ? gossip_contenders (instance->gossip, now, instance->contenders,
                                   G_N_ELEMENTS (instance->contenders))
              : 0;
  scheduler_set_self (instance->scheduler, self, 0);
}

static void
poll_queue (struct proxy_instance *instance)
{
  scheduler_poll (instance->scheduler, instance->world->events.clk.t,
                  proxy_exchange_decided, NULL);
}

static void
on_tick (void *ctx, void *data)
{
  struct proxy_instance *instance = ctx;
  gint64 now = instance->world->events.clk.t;
  const struct gossip_local_state state
      = { .config_version = 1,
          .config_age_us = 0,
          .server_list_age_us = 0,
          .n_waiting = scheduler_n_waiting (instance->scheduler) };
  (void)data;
  registry_tick (instance->registry, now);
  gossip_tick (instance->gossip, &state, instance->registry,
               scheduler_loads (instance->scheduler), now, send_datagram,
               instance);
  if (now - instance->reviewed_at >= REVIEW_INTERVAL_US)
    review (instance, now);
  update_contenders (instance, now);
  poll_queue (instance);
  event_queue_add (&instance->world->events, TICK_US, on_tick, instance, NULL);
}

static void
on_poll (void *ctx, void *data)
{
  struct proxy_instance *instance = ctx;
  (void)data;
  instance->poll_scheduled = FALSE;
  poll_queue (instance);
}

/* Lets the scheduler start queued requests once the present event is over.  */
void
proxy_instance_schedule_poll (struct proxy_instance *instance)
{
  if (instance->poll_scheduled
      || scheduler_n_waiting (instance->scheduler) == 0)
    return;
  instance->poll_scheduled = TRUE;
  event_queue_add (&instance->world->events, 0, on_poll, instance, NULL);
}

static struct topology *
make_topology (const struct proxy_fleet *fleet, guint own)
{
  char domain[16];
  char region[16];
  g_snprintf (domain, sizeof domain, "d%u", own);
  g_snprintf (region, sizeof region, "r%u", own % fleet->regions);
  struct topology *topology = topology_new (domain, region);
  for (guint i = 0; i < fleet->domains; i++)
    {
      g_snprintf (domain, sizeof domain, "d%u", i);
      g_snprintf (region, sizeof region, "r%u", i % fleet->regions);
      topology_add (topology, domain, region);
    }
  return topology;
}

/* Creates instance INDEX, which knows the complete list of servers, and starts
   its timer.  */
void
proxy_instance_init (struct proxy_instance *instance, struct proxy_world *world,
                     guint index)
{
  gint64 now = world->events.clk.t;
  const struct retry_budget_options budget
      = { RETRY_RATIO, RETRY_SLACK, RETRY_WINDOW_US };
  guint32 seeds[SEEDS];
  char id[16];
  char domain[16];
  instance->world = world;
  instance->domain = index % world->fleet->domains;
  instance->ip = ip_of (index);
  instance->count = 1;
  instance->topology = make_topology (world->fleet, instance->domain);
  instance->registry = registry_new (on_registry_change, instance);
  proxy_hints_set_up (instance->registry);
  const struct scheduler_options options = { .registry = instance->registry,
                                             .topology = instance->topology,
                                             .seed = g_rand_int (world->rand) };
  instance->scheduler = scheduler_new (&options, now);
  scheduler_set_table (instance->scheduler, world->routing_table);
  for (guint i = 0; i < PROXY_SERVICE_N; i++)
    retry_budget_init (&instance->retry_budgets[i], &budget, now);
  for (guint i = 0; i < SEEDS; i++)
    seeds[i] = ip_of (i);
  g_snprintf (id, sizeof id, "n%u", index);
  g_snprintf (domain, sizeof domain, "d%u", instance->domain);
  const struct gossip_options gossip
      = { .id = id,
          .domain = domain,
          .ip = instance->ip,
          .incarnation = g_rand_int (world->rand),
          .seeds = seeds,
          .n_seeds = SEEDS };
  instance->gossip = gossip_new (&gossip, now);
  proxy_instance_list (instance);
  event_queue_add (&world->events, g_rand_int_range (world->rand, 0, TICK_US),
                   on_tick, instance, NULL);
}

void
proxy_instance_clear (struct proxy_instance *instance)
{
  gossip_free (instance->gossip);
  scheduler_free (instance->scheduler);
  registry_free (instance->registry);
  topology_free (instance->topology);
}

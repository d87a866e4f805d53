/* The pools of engines for isolated streams, replayed with the load of
   deployment T: 82 instances with outdated loads of each other, 60 engines.  */
#include "unit/unit.h"

#include <math.h>
#include <string.h>

#include "peer/gossip_message.h"
#include "sched/scheduler.h"

#define DOMAINS 6
#define ENGINES 60
#define INSTANCES 82
#define STEP_US (5 * CLK_MS)
#define REPORT_US (200 * CLK_MS)   /* age of loads in the own domain */
#define SUMMARY_US (1000 * CLK_MS) /* of those of other domains */
#define TOKENS_PER_US 0.0918
#define LONG_TOKENS 1500

/* A kind of request of the deployment.  */
struct kind
{
  double per_s;
  guint prompt;
  guint output;
  gint64 gap_us;
  gint64 target_us;
};

/* With 1,157,000 uncached tokens a second in all: 21 % of 60 engines.  */
enum
{
  URGENT,
  SENSITIVE,
  ORDINARY,
  KINDS
};
static const struct kind kinds[KINDS] = {
  [URGENT] = { 123, 543, 282, 200 * CLK_MS, 400 * CLK_MS },
  [SENSITIVE] = { 217, 1800, 24, 300 * CLK_MS, 800 * CLK_MS },
  [ORDINARY] = { 233, 3000, 150, 1200 * CLK_MS, 2000 * CLK_MS },
};

struct request
{
  struct scheduler_entry entry;
  guint instance;
  guint kind;
  gint64 sent_at;
  gint64 first_at; /* clock time; 0: not sent */
  gint64 end_at;
};

static struct
{
  struct registry *registry;
  struct registry_server *const *servers;
  struct topology *topologies[DOMAINS];
  struct scheduler *schedulers[INSTANCES];
  struct routing_table *routing_table;
  gint64 prefilled_at[ENGINES + 1]; /* by server number */
  GPtrArray *requests;
  GRand *rand;
  gint64 now;
  gint64 urgent_gap_us;
  guint n_urgent;
  guint n_outside;  /* urgent streams that were sent outside the pools */
  guint n_beside;   /* urgent streams beside another long prompt */
  guint n_rejected; /* others than urgent */
  guint n_urgent_rejected;
  guint n_resized;
  guint64 digest;       /* of all choices */
  guint pools[DOMAINS]; /* as the first instance sees them */
} world;

static void
on_change (void *ctx, const struct registry_change *change)
{
  (void)ctx;
  (void)change;
}

static void
on_resized (void *ctx, const struct stream_pool_change *change)
{
  (void)ctx;
  world.n_resized++;
  world.pools[change->domain[1] - '0'] = change->after;
}

static guint
domain_of (guint instance)
{
  return instance % DOMAINS;
}

static void
set_up (gint64 urgent_gap_us)
{
  static struct registry_entry entries[ENGINES];
  guint n;
  memset (&world, 0, sizeof world);
  memset (entries, 0, sizeof entries);
  world.now = 1000 * CLK_S;
  world.urgent_gap_us = urgent_gap_us;
  world.rand = g_rand_new_with_seed (5);
  world.requests = g_ptr_array_new ();
  world.registry = registry_new (on_change, NULL);
  for (guint i = 0; i < ENGINES; i++)
    {
      g_snprintf (entries[i].id, sizeof entries[i].id, "e-%u", i);
      g_strlcpy (entries[i].service, "llm", sizeof entries[i].service);
      g_snprintf (entries[i].address, sizeof entries[i].address, "10.0.0.%u:80",
                  i + 1);
      g_snprintf (entries[i].domain, sizeof entries[i].domain, "d%u",
                  i % DOMAINS);
      entries[i].slots = 64;
    }
  registry_update (world.registry, entries, ENGINES, world.now);
  world.servers = registry_servers (world.registry, &n);
  world.routing_table = routing_table_new (1);
  struct routing_service service
      = { .name = g_strdup ("llm"),
          .has_engine = TRUE,
          .engine = { .batch = 64, .memory = 400000, .stride = 6 } };
  routing_table_add_service (world.routing_table, &service);
  for (guint i = 0; i < DOMAINS; i++)
    {
      char own[3];
      g_snprintf (own, sizeof own, "d%u", i);
      world.topologies[i] = topology_new (own, i < 3 ? "north" : "south");
      for (guint k = 0; k < DOMAINS; k++)
        {
          char domain[3];
          g_snprintf (domain, sizeof domain, "d%u", k);
          topology_add (world.topologies[i], domain, k < 3 ? "north" : "south");
        }
    }
  for (guint i = 0; i < INSTANCES; i++)
    {
      const struct scheduler_options options
          = { .registry = world.registry,
              .topology = world.topologies[domain_of (i)],
              .seed = i,
              .pool_resized = i == 0 ? on_resized : NULL };
      const struct placement_self self
          = { .domain_instances = (INSTANCES + 5 - domain_of (i)) / DOMAINS,
              .domain_rank = i / DOMAINS,
              .all_instances = INSTANCES,
              .hash = 1000 + i };
      world.schedulers[i] = scheduler_new (&options, world.now);
      scheduler_set_table (world.schedulers[i], world.routing_table);
      scheduler_set_self (world.schedulers[i], &self, 0);
    }
}

static void
tear_down (void)
{
  for (guint i = 0; i < world.requests->len; i++)
    {
      struct request *r = g_ptr_array_index (world.requests, i);
      scheduler_withdraw (world.schedulers[r->instance], &r->entry);
      scheduler_ended (world.schedulers[r->instance], &r->entry);
      g_free (r);
    }
  for (guint i = 0; i < INSTANCES; i++)
    scheduler_free (world.schedulers[i]);
  for (guint i = 0; i < DOMAINS; i++)
    topology_free (world.topologies[i]);
  g_ptr_array_unref (world.requests);
  routing_table_unref (world.routing_table);
  registry_free (world.registry);
  g_rand_free (world.rand);
}

/* Tells instance I the loads that the instances from FROM on, each STRIDE-th
   one, have now, as one report.  */
static void
report_to (guint i, guint from, guint stride, gboolean summary)
{
  struct server_load_table *to = scheduler_loads (world.schedulers[i]);
  server_load_report_begin (to, from + 1, summary, world.now);
  for (guint s = 0; s < ENGINES; s++)
    {
      struct server_load sum = { 0 };
      guint number = world.servers[s]->number;
      for (guint k = from; k < INSTANCES; k += stride)
        {
          const struct server_load *load
              = server_load_own (scheduler_loads (world.schedulers[k]), number);
          sum.requests += load->requests;
          sum.sensitive += load->sensitive;
          sum.isolated += load->isolated;
          sum.paced += load->paced;
          sum.prefill_tokens += load->prefill_tokens;
          sum.memory += load->memory;
        }
      if (sum.requests > 0)
        server_load_report_add (to, from + 1, number, &sum);
    }
}

/* Each instance hears of those of its domain, and a summary of other domains,
   at times that differ from one to the other.  */
static void
report (void)
{
  gint64 tick = world.now / STEP_US;
  for (guint i = 0; i < INSTANCES; i++)
    for (guint k = 0; k < INSTANCES; k++)
      {
        gboolean is_local = domain_of (i) == domain_of (k);
        gint64 every = (is_local ? REPORT_US : SUMMARY_US) / STEP_US;
        if (i == k || (!is_local && k >= DOMAINS)
            || (tick + 7 * (gint64)i + 3 * (gint64)k) % every != 0)
          continue;
        report_to (i, k, is_local ? INSTANCES : DOMAINS, !is_local);
      }
}

static struct request *
make_request (guint kind, guint instance)
{
  const struct kind *of = &kinds[kind];
  struct request *r = g_new0 (struct request, 1);
  struct scheduler_entry *entry = &r->entry;
  struct prefix_prompt *prompt = &entry->request.prompt;
  guint own = of->prompt - 200;
  if (kind == URGENT)
    own = (guint)CLAMP (-343.0 * log (1 - g_rand_double (world.rand)), 20,
                        2100);
  r->instance = instance;
  r->kind = kind;
  g_strlcpy (entry->service, "llm", sizeof entry->service);
  entry->tier = kind;
  entry->arrived = world.now;
  entry->target = world.now + of->target_us;
  entry->deadline = world.now + 10 * CLK_S;
  entry->owner = r;
  guint team = 10 * kind + g_rand_int_range (world.rand, 0, 10);
  prompt->blocks[prompt->n++] = (struct prefix_block){ team, 200 };
  prompt->blocks[prompt->n++]
      = (struct prefix_block){ g_rand_int (world.rand), own };
  entry->request.prompt_tokens = 200 + own;
  entry->request.output_tokens = of->output;
  entry->request.gap_us = kind == URGENT ? world.urgent_gap_us : of->gap_us;
  entry->request.affinity_hash = team;
  entry->request.body_bytes = 4 * entry->request.prompt_tokens;
  return r;
}

/* Counts the urgent streams that the long prompt of R is prefilled beside.  */
static void
count_beside (const struct request *r, guint prefill_tokens)
{
  if (r->kind == URGENT || prefill_tokens <= LONG_TOKENS)
    return;
  for (guint i = 0; i < world.requests->len; i++)
    {
      const struct request *other = g_ptr_array_index (world.requests, i);
      world.n_beside += other->kind == URGENT
                        && other->entry.server == r->entry.server
                        && other->entry.server != NULL;
    }
}

static void
on_decided (void *ctx, struct scheduler_entry *entry,
            const struct scheduler_decision *decision)
{
  struct request *r = entry->owner;
  (void)ctx;
  if (decision->verdict == SCHEDULER_REJECT)
    {
      *(r->kind == URGENT ? &world.n_urgent_rejected : &world.n_rejected) += 1;
      r->end_at = world.now;
      return;
    }
  if (decision->verdict != SCHEDULER_START)
    return;
  const struct placement_choice *choice = &decision->choice;
  gint64 *prefilled_at = &world.prefilled_at[choice->server->number % ENGINES];
  scheduler_started (world.schedulers[r->instance], entry, choice, world.now);
  *prefilled_at = MAX (*prefilled_at, world.now)
                  + (gint64)((double)choice->prefill_tokens / TOKENS_PER_US);
  r->sent_at = world.now;
  r->first_at = *prefilled_at + 30 * CLK_MS;
  r->end_at = r->first_at
              + entry->request.output_tokens
                    * (3900 + 47 * (gint64)choice->load.requests);
  world.digest = world.digest * 31 + choice->server->number;
  world.n_outside += r->kind == URGENT && !choice->in_isolated_pool;
  count_beside (r, choice->prefill_tokens);
}

static void
advance (struct request *r)
{
  struct scheduler *scheduler = world.schedulers[r->instance];
  if (r->first_at != 0 && world.now >= r->first_at
      && !r->entry.first_event_seen)
    scheduler_first_event (scheduler, &r->entry, r->first_at - r->sent_at);
  if (r->end_at != 0 && world.now >= r->end_at)
    scheduler_ended (scheduler, &r->entry);
}

/* Replays the load for US, of urgent streams URGENT times as much and of the
   other requests OTHERS times.  */
static void
replay (gint64 us, double urgent, double others)
{
  for (gint64 end = world.now + us; world.now < end; world.now += STEP_US)
    {
      for (guint i = 0; i < world.requests->len;)
        {
          struct request *r = g_ptr_array_index (world.requests, i);
          advance (r);
          if (r->end_at == 0 || world.now < r->end_at)
            i++;
          else
            g_free (g_ptr_array_remove_index_fast (world.requests, i));
        }
      report ();
      for (guint i = 0; i < INSTANCES; i++)
        scheduler_poll (world.schedulers[i], world.now, on_decided, NULL);
      for (guint kind = 0; kind < KINDS; kind++)
        {
          double expected = kinds[kind].per_s
                            * (kind == URGENT ? urgent : others)
                            * (double)STEP_US / (double)CLK_S;
          /* Binomial of 40 chances; close to Poisson for these rates. */
          for (guint i = 0; i < 40; i++)
            if (g_rand_double (world.rand) < expected / 40)
              {
                struct scheduler_decision d;
                struct request *r = make_request (
                    kind, g_rand_int_range (world.rand, 0, INSTANCES));
                world.n_urgent += kind == URGENT;
                g_ptr_array_add (world.requests, r);
                scheduler_submit (world.schedulers[r->instance], &r->entry,
                                  world.now, &d);
                on_decided (NULL, &r->entry, &d);
              }
        }
    }
}

/* Ordinary load: prompts of 1,800 tokens beside streams of 200 ms gaps made
   these late. None may share an engine with one any more, and the pools must
   not cost a request.  */
static void
test_ordinary_load (void)
{
  set_up (200 * CLK_MS);
  /* The first streams start beside prompts that were there before. */
  replay (CLK_S, 1, 1);
  world.n_urgent = world.n_outside = world.n_beside = 0;
  replay (19 * CLK_S, 1, 1);
  g_print ("%u streams, %u outside, %u beside, %u and %u rejected, pool %u ",
           world.n_urgent, world.n_outside, world.n_beside,
           world.n_urgent_rejected, world.n_rejected, world.pools[0]);
  CU_ASSERT_TRUE (world.n_urgent > 2000);
  CU_ASSERT_EQUAL (world.n_outside, 0);
  CU_ASSERT_EQUAL (world.n_beside, 0);
  CU_ASSERT_EQUAL (world.n_urgent_rejected, 0);
  CU_ASSERT_EQUAL (world.n_rejected, 0);
  tear_down ();
}

/* Bursts of all kinds of requests, against the same load with streams that
   have no pool: engines that are kept for streams while prompts are rejected
   would be a loss. After the bursts the pools shrink, and they are gone after
   the last stream.  */
static void
test_bursts (void)
{
  guint rejected[2];
  guint beside[2];
  for (guint i = 0; i < 2; i++)
    {
      set_up (i == 0 ? 300 * CLK_MS : 200 * CLK_MS);
      replay (5 * CLK_S, 1, 1);
      replay (4 * CLK_S, 2.3, 2.5);
      guint at_burst = world.pools[0];
      replay (9 * CLK_S, 1, 1);
      rejected[i] = world.n_rejected + world.n_urgent_rejected;
      beside[i] = world.n_beside;
      g_print ("%u streams, %u outside, %u beside, %u rejected, pool %u, "
               "then %u, %u changes\n",
               world.n_urgent, world.n_outside, world.n_beside, rejected[i],
               at_burst, world.pools[0], world.n_resized);
      CU_ASSERT_TRUE (at_burst <= ENGINES / DOMAINS / 2);
      if (i == 1)
        CU_ASSERT_TRUE (world.pools[0] < at_burst && world.pools[0] > 0);
      replay (14 * CLK_S, 0, 1);
      CU_ASSERT_EQUAL (world.pools[0], 0);
      tear_down ();
    }
  CU_ASSERT_TRUE (rejected[1] <= rejected[0]);
  CU_ASSERT_TRUE (beside[1] * 20 < beside[0]);
}

/* Deployments without isolated streams: the choices are those of the commit
   before the pools (7e7fe8b). A change of placement that is meant to change
   them replaces the number.  */
static void
test_without_isolated_streams (void)
{
  set_up (300 * CLK_MS);
  replay (4 * CLK_S, 1, 1);
  replay (2 * CLK_S, 2.3, 2.5);
  CU_ASSERT_EQUAL (world.digest, G_GUINT64_CONSTANT (6846274322670949482));
  CU_ASSERT_EQUAL (world.n_resized, 0);
  tear_down ();
}

/* A pool that flaps with the load or takes a whole domain would cost the other
   requests more than it gives the streams.  */
static void
test_sizes (void)
{
  struct stream_pools *pools = stream_pools_new (NULL, NULL);
  static const struct
  {
    guint streams;
    gint64 after_us; /* the step before */
    guint pool;
    guint guard;
  } steps[] = {
    { 0, 0, 0, 0 },
    { 1, CLK_S, 1, 1 },    /* the first one needs an engine at once */
    { 20, CLK_MS, 1, 3 },  /* keeps engines for 12 more and for the growth */
    { 60, CLK_MS, 3, 5 },  /* grows at once */
    { 900, CLK_MS, 5, 5 }, /* half of ten engines at most */
    { 30, CLK_S, 5, 5 },   /* a calm within a burst */
    { 40, 4900 * CLK_MS, 5, 5 }, /* not yet 5 s */
    { 10, 100 * CLK_MS, 2, 5 },  /* the most of these 5 s, guarded for 7 s */
    { 0, 2 * CLK_S, 2, 3 },
    { 0, 10 * CLK_S, 0, 3 }, /* no stream has run for seconds */
    { 0, 7 * CLK_S, 0, 0 },
  };
  gint64 now = 1000 * CLK_S;
  for (guint i = 0; i < G_N_ELEMENTS (steps); i++)
    {
      const struct stream_pool_demand demand
          = { .engines = 10, .batch = 64, .streams = steps[i].streams };
      now += steps[i].after_us;
      struct stream_pool_size size
          = stream_pools_update (pools, "llm", "d0", &demand, now);
      if (size.pool != steps[i].pool || size.guard != steps[i].guard)
        g_print ("step %u: %u, %u ", i, size.pool, size.guard);
      CU_ASSERT_EQUAL (size.pool, steps[i].pool);
      CU_ASSERT_EQUAL (size.guard, steps[i].guard);
    }
  CU_ASSERT_FALSE (stream_pools_any (pools));
  /* 24 streams do not fit onto an engine with a batch of 16. */
  const struct stream_pool_demand small
      = { .engines = 10, .batch = 16, .streams = 24 };
  CU_ASSERT_EQUAL (stream_pools_update (pools, "llm", "d0", &small, now).pool,
                   2);
  stream_pools_free (pools);
}

/* Submits a request of KIND with the shared prefix KEY of 6,000 tokens at the
   first instance, without starting it. Returns the server.  */
static struct registry_server *
server_for_prefix (guint key, gboolean *in_pool)
{
  struct scheduler_decision d;
  struct request *r = make_request (ORDINARY, 0);
  r->entry.request.prompt.blocks[0] = (struct prefix_block){ key, 6000 };
  r->entry.request.prompt_tokens += 5800;
  r->entry.request.affinity_hash = key;
  scheduler_submit (world.schedulers[0], &r->entry, world.now, &d);
  CU_ASSERT_EQUAL (d.verdict, SCHEDULER_START);
  g_free (r);
  *in_pool = d.choice.in_isolated_pool;
  return d.choice.server;
}

/* Large shared prefixes whose preferred server becomes an engine of a pool: the
   next one takes its place, and all others keep theirs, or every change of a
   pool would have the region's prefixes prefilled again.  */
static void
test_preferred_servers (void)
{
  struct registry_server *before[60];
  gboolean in_pool;
  guint n_moved = 0;
  set_up (200 * CLK_MS);
  for (guint i = 0; i < G_N_ELEMENTS (before); i++)
    before[i] = server_for_prefix (5000 + i, &in_pool);
  replay (2 * CLK_S, 1, 0);
  for (guint i = 0; i < G_N_ELEMENTS (before); i++)
    {
      struct registry_server *after = server_for_prefix (5000 + i, &in_pool);
      CU_ASSERT_FALSE (in_pool);
      n_moved += after != before[i];
    }
  /* Half of the region's engines are reserved or guarded, three of ten in each
     domain for streams. */
  CU_ASSERT_TRUE (n_moved > 0 && n_moved < G_N_ELEMENTS (before) / 2);
  tear_down ();
}

/* Pools whose engines are full: a stream that waited for them would be late. It
   goes to the engine outside with the least recent prefill, not to one that
   gets long prompts all the time.  */
static void
test_full_pool (void)
{
  const struct prefix_prompt prompt = { .blocks = { { 9, 20000 } }, .n = 1 };
  struct scheduler_decision d;
  struct registry_server *idle = NULL;
  set_up (200 * CLK_MS);
  replay (3 * CLK_S, 1, 0);
  struct server_load_table *table = scheduler_loads (world.schedulers[0]);
  server_load_report_begin (table, 999, FALSE, world.now);
  for (guint i = 0; i < ENGINES; i++)
    {
      struct registry_server *server = world.servers[i];
      if (server_load_total (table, server->number).isolated > 0)
        server_load_report_add (table, 999, server->number,
                                &(struct server_load){ .requests = 64 });
      else if (idle == NULL && strcmp (server->entry.domain, "d0") == 0)
        idle = server;
      else
        directory_record (scheduler_prefix_directory (world.schedulers[0]),
                          server->number, 400000, &prompt, world.now);
    }
  struct request *r = make_request (URGENT, 0);
  scheduler_submit (world.schedulers[0], &r->entry, world.now, &d);
  CU_ASSERT_FALSE (d.choice.in_isolated_pool);
  CU_ASSERT_PTR_EQUAL (d.choice.server, idle);
  g_free (r);
  tear_down ();
}

/* Returns how many of 40 streams at the first instance would go to SERVER.  */
static guint
streams_at (const struct registry_server *server)
{
  guint n = 0;
  for (guint i = 0; i < 40; i++)
    {
      struct scheduler_decision d;
      struct request *r = make_request (URGENT, 0);
      scheduler_submit (world.schedulers[0], &r->entry, world.now, &d);
      n += d.choice.server == server;
      g_free (r);
    }
  return n;
}

/* An engine of the pool that is 2.5 times slower for a moment: streams that
   start there would be late. Others get them until it is not slow any more.  */
static void
test_slow_engine (void)
{
  struct scheduler_decision d;
  set_up (200 * CLK_MS);
  replay (3 * CLK_S, 2, 1);
  struct request *r = make_request (URGENT, 0);
  scheduler_submit (world.schedulers[0], &r->entry, world.now, &d);
  g_free (r);
  struct registry_server *slow = d.choice.server;
  CU_ASSERT_TRUE (streams_at (slow) > 0);
  for (guint i = 0; i < ENGINES; i++)
    server_pace_add (&world.servers[i]->server_pace,
                     (world.servers[i] == slow ? 75 : 30) * CLK_MS, world.now);
  CU_ASSERT_EQUAL (streams_at (slow), 0);
  world.now += 500 * CLK_MS;
  CU_ASSERT_TRUE (streams_at (slow) > 0);
  tear_down ();
}

/* Instances of this version and of earlier ones in one deployment: the counts
   of isolated streams arrive, and a message without them is understood. A
   message that earlier ones reject would end all gossip during a rollout.  */
static void
test_older_instances (void)
{
  struct gossip_message *m = g_new0 (struct gossip_message, 1);
  struct gossip_message *decoded = g_new0 (struct gossip_message, 1);
  GByteArray *bytes = g_byte_array_new ();
  struct err err = { 0 };
  g_strlcpy (m->id, "n1", sizeof m->id);
  g_strlcpy (m->domain, "d1", sizeof m->domain);
  m->n_loads = 2;
  m->loads[1].load = (struct server_load){ .sensitive = 9, .isolated = 4 };
  m->n_summaries = 1;
  g_strlcpy (m->summaries[0].domain, "d3", sizeof m->summaries[0].domain);
  m->summaries[0].n = 1;
  m->summaries[0].loads[0].load
      = (struct server_load){ .sensitive = 300, .isolated = 300 };
  gossip_message_encode (m, bytes);
  struct str all = { (const char *)bytes->data, bytes->len };
  CU_ASSERT_EQUAL_FATAL (gossip_message_decode (all, decoded, &err), 0);
  CU_ASSERT_EQUAL (decoded->loads[0].load.isolated, 0);
  CU_ASSERT_EQUAL (decoded->loads[1].load.isolated, 4);
  CU_ASSERT_EQUAL (decoded->summaries[0].loads[0].load.isolated, 300);
  m->loads[1].load.isolated = m->summaries[0].loads[0].load.isolated = 0;
  g_byte_array_set_size (bytes, 0);
  gossip_message_encode (m, bytes);
  /* Without the last two fields, an empty list and the number of the table of
     versions, as earlier versions send it. */
  CU_ASSERT_EQUAL_FATAL (bytes->data[bytes->len - 2], 0x90);
  CU_ASSERT_EQUAL_FATAL (bytes->data[bytes->len - 1], 0);
  bytes->data[2] -= 2;
  all = (struct str){ (const char *)bytes->data, bytes->len - 2 };
  CU_ASSERT_EQUAL (gossip_message_decode (all, decoded, &err), 0);
  CU_ASSERT_EQUAL (decoded->loads[1].load.sensitive, 9);
  CU_ASSERT_EQUAL (decoded->loads[1].load.isolated, 0);
  g_byte_array_unref (bytes);
  g_free (m);
  g_free (decoded);
}

static CU_TestInfo tests[] = {
  { "sizes", test_sizes },
  { "preferred servers", test_preferred_servers },
  { "a full pool", test_full_pool },
  { "a slow engine", test_slow_engine },
  { "older instances", test_older_instances },
  { "without isolated streams", test_without_isolated_streams },
  { "ordinary load", test_ordinary_load },
  { "bursts", test_bursts },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "stream_pool", NULL, NULL, NULL, NULL, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)

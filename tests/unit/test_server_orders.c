/* Orders for servers against a stand-in of the platform in the same process:
   load patterns, reclaims, refusals and changes of the holder.  */
#include "unit/unit.h"

#include "scale/server_orders.h"
#include "scale/server_plan.h"

#include <math.h>
#include <string.h>

#define DOMAINS_MAX 11
#define US_PER_TOKEN 23.5 /* 42.6 tokens are prefilled in a millisecond */
#define BATCH 48
#define STARTUP_S 4
#define DRAIN_S 5
#define ORDINARY_LOAD 2.94 /* busy servers of a domain of deployment S */

/* The platform, the fleet and the load.  */
struct world
{
  struct server_orders *orders;
  struct routing_table *routing_table;
  struct server_load_table *loads;
  struct counter_set counters;
  GPtrArray *servers; /* of struct registry_server, owned, also those to come */
  guint n_domains;
  guint n_created;
  gint64 now;
  guint desired[DOMAINS_MAX][SERVER_KINDS];
  gint64 no_spot_until[DOMAINS_MAX]; /* 409 until then */
  double load[DOMAINS_MAX];          /* busy servers */
  gboolean has_demand;               /* the callback tells the load */
  gboolean is_holder;
  gint64 unknown_until; /* what was ordered before was lost with the era */
  GString *section;
  guint n_orders;
  double cost;  /* in regular servers times seconds */
  double worst; /* largest load by ready server of a domain since the start */
  double most_leaving; /* largest share of a domain's servers since then */
};

static const char *
domain_name (guint i)
{
  static const char *const names[DOMAINS_MAX]
      = { "a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k" };
  return names[i];
}

static double
price_of (guint domain)
{
  return 0.8 + 0.09 * domain;
}

static struct registry_server *
add_server (struct world *world, guint domain, gboolean is_spot, gint64 at)
{
  struct registry_server *server = g_new0 (struct registry_server, 1);
  server->number = ++world->n_created;
  server->listed_since = at;
  server->entry.slots = BATCH;
  server->entry.is_spot = is_spot;
  g_strlcpy (server->entry.service, "llm", sizeof server->entry.service);
  g_strlcpy (server->entry.domain, domain_name (domain),
             sizeof server->entry.domain);
  g_ptr_array_add (world->servers, server);
  return server;
}

static void
add_service (struct world *world, const char *name, guint min, guint max)
{
  struct routing_service service
      = { .name = g_strdup (name), .has_scaling = max > 0 };
  service.scaling = (struct routing_scaling){ .min_servers = min,
                                              .max_servers = max,
                                              .startup_us = STARTUP_S * CLK_S,
                                              .spot_share = 0.15 };
  service.scaling.prices
      = g_array_new (FALSE, FALSE, sizeof (struct routing_domain_price));
  for (guint i = 0; i < DOMAINS_MAX; i++)
    {
      struct routing_domain_price price = { .price = price_of (i) };
      g_strlcpy (price.domain, domain_name (i), sizeof price.domain);
      g_array_append_val (service.scaling.prices, price);
    }
  routing_table_add_service (world->routing_table, &service);
}

/* A fleet of REGULAR servers in each of N domains.  */
static struct world *
world_new (guint n, guint regular, guint min, guint max)
{
  struct world *world = g_new0 (struct world, 1);
  world->orders = server_orders_new ();
  world->routing_table = routing_table_new (1);
  world->loads = server_load_table_new ();
  world->servers = g_ptr_array_new_with_free_func (g_free);
  world->section = g_string_new ("");
  world->n_domains = n;
  world->has_demand = world->is_holder = TRUE;
  world->now = 1000 * CLK_S;
  add_service (world, "llm", min, max);
  for (guint i = 0; i < n; i++)
    {
      world->load[i] = ORDINARY_LOAD;
      world->desired[i][SERVER_REGULAR] = regular;
      for (guint k = 0; k < regular; k++)
        add_server (world, i, FALSE, 0);
    }
  server_orders_load (world->orders, STR_LIT (""), FALSE, world->now);
  return world;
}

static void
world_free (struct world *world)
{
  server_orders_free (world->orders);
  routing_table_unref (world->routing_table);
  server_load_table_free (world->loads);
  g_ptr_array_unref (world->servers);
  g_string_free (world->section, TRUE);
  g_free (world);
}

/* Counts the servers of KIND in DOMAIN: listed and not leaving, or, with
   COMING, also those that start. SERVER_KINDS: all that are listed.  */
static guint
count (const struct world *world, guint domain, enum server_kind kind,
       gboolean coming)
{
  guint n = 0;
  for (guint i = 0; i < world->servers->len; i++)
    {
      const struct registry_server *server
          = g_ptr_array_index (world->servers, i);
      n += g_str_equal (server->entry.domain, domain_name (domain))
           && (kind == SERVER_KINDS
               || (server->entry.is_spot == (kind == SERVER_SPOT)
                   && server->state == REGISTRY_READY))
           && (coming || server->listed_since <= world->now);
    }
  return n;
}

static guint
ready (const struct world *world, guint domain)
{
  return count (world, domain, SERVER_REGULAR, FALSE)
         + count (world, domain, SERVER_SPOT, FALSE);
}

/* Lets N servers of KIND in DOMAIN leave.  */
static void
drain (struct world *world, guint domain, enum server_kind kind, guint n)
{
  for (guint i = 0; i < world->servers->len && n > 0; i++)
    {
      struct registry_server *server = g_ptr_array_index (world->servers, i);
      if (!g_str_equal (server->entry.domain, domain_name (domain))
          || server->entry.is_spot != (kind == SERVER_SPOT)
          || server->state != REGISTRY_READY)
        continue;
      server->state = REGISTRY_LEAVING;
      server->entry.leaving_at = world->now + DRAIN_S * CLK_S;
      n--;
    }
}

/* Starts and ends servers as ordered.  */
static void
run_platform (struct world *world)
{
  for (guint i = world->servers->len; i-- > 0;)
    {
      const struct registry_server *server
          = g_ptr_array_index (world->servers, i);
      if (server->state == REGISTRY_LEAVING
          && server->entry.leaving_at <= world->now)
        g_ptr_array_remove_index (world->servers, i);
    }
  for (guint i = 0; i < world->n_domains; i++)
    for (guint k = 0; k < SERVER_KINDS; k++)
      {
        guint desired = world->desired[i][k];
        guint n = count (world, i, k, TRUE);
        if (n > desired)
          drain (world, i, k, n - desired);
        if (k == SERVER_SPOT && world->now < world->no_spot_until[i])
          continue;
        for (; n < desired; n++)
          add_server (world, i, k == SERVER_SPOT,
                      world->now + STARTUP_S * CLK_S);
      }
}

/* Takes an order. The kinds are counted separately; both together must keep to
   the limits of the service. Only a holder that cannot know what was ordered
   before may exceed them, and is refused.  */
static int
take_order (struct world *world, const struct server_order *order)
{
  guint kind = order->is_spot ? SERVER_SPOT : SERVER_REGULAR;
  guint domain = (guint)(order->domain[0] - 'a');
  const struct routing_scaling *scaling
      = &routing_service (world->routing_table, "llm")->scaling;
  CU_ASSERT_STRING_EQUAL (order->service, "llm");
  world->n_orders++;
  if (order->is_spot && world->now < world->no_spot_until[domain]
      && order->desired > world->desired[domain][kind])
    return ERR_CONFLICT;
  guint both = order->desired + world->desired[domain][SERVER_KINDS - 1 - kind];
  CU_ASSERT_TRUE (both >= scaling->min_servers);
  CU_ASSERT_TRUE (both <= scaling->max_servers
                  || world->now < world->unknown_until);
  if (both > scaling->max_servers)
    return ERR_CONFLICT;
  world->desired[domain][kind] = order->desired;
  return 0;
}

static gboolean
demand (void *ctx, const char *service, const char *domain, double *uncached,
        double *output)
{
  const struct world *world = ctx;
  *uncached = *output = 0;
  for (guint i = 0; i < world->n_domains; i++)
    if (domain == NULL || g_str_equal (domain, domain_name (i)))
      *uncached += world->load[i] * 1e6 / US_PER_TOKEN;
  return g_str_equal (service, "llm");
}

/* Spreads the load of each domain over its servers as gossip would tell it: the
   mean of what is pending and in progress.  */
static void
set_loads (struct world *world)
{
  for (guint i = 0; i < world->servers->len; i++)
    {
      const struct registry_server *server
          = g_ptr_array_index (world->servers, i);
      guint domain = (guint)(server->entry.domain[0] - 'a');
      double busy
          = MIN (world->load[domain] / MAX (ready (world, domain), 1), 0.95);
      struct server_load *load = server_load_own (world->loads, server->number);
      *load = (struct server_load){ 0 };
      if (server->state != REGISTRY_READY)
        continue;
      load->requests = (guint)(busy * BATCH * 0.8);
      load->prefill_tokens
          = (guint64)(0.05 * busy / (1 - busy) * 1e6 / US_PER_TOKEN);
    }
}

static void
observe (struct world *world)
{
  GPtrArray *listed = g_ptr_array_new ();
  for (guint i = 0; i < world->servers->len; i++)
    {
      struct registry_server *server = g_ptr_array_index (world->servers, i);
      if (server->listed_since <= world->now)
        g_ptr_array_add (listed, server);
    }
  const struct server_orders_view view
      = { .servers = (struct registry_server *const *)listed->pdata,
          .n_servers = listed->len,
          .routing_table = world->routing_table,
          .server_load_table = world->loads,
          .us_per_token = US_PER_TOKEN,
          .demand = world->has_demand ? demand : NULL,
          .ctx = world,
          .counter_set = &world->counters };
  server_orders_observe (world->orders, &view, world->now);
  g_ptr_array_unref (listed);
}

static void
keep_orders (struct world *world)
{
  struct server_order order;
  g_string_truncate (world->section, 0);
  if (server_orders_prepare (world->orders, world->now, world->section))
    server_orders_stored (world->orders, world->now);
  while (server_orders_next (world->orders, world->now, &order))
    server_orders_done (world->orders, &order, take_order (world, &order),
                        world->now);
}

/* Goes on for SECONDS, and notes the worst load and the cost.  */
static void
run (struct world *world, guint seconds)
{
  for (guint s = 0; s < seconds; s++)
    {
      world->now += CLK_S;
      run_platform (world);
      set_loads (world);
      if (world->is_holder)
        {
          observe (world);
          keep_orders (world);
        }
      for (guint i = 0; i < world->n_domains; i++)
        {
          guint n = ready (world, i);
          guint all = count (world, i, SERVER_KINDS, FALSE);
          world->worst = MAX (world->worst, world->load[i] / MAX (n, 1));
          world->most_leaving
              = MAX (world->most_leaving, (double)(all - n) / MAX (all, 1));
          world->cost += price_of (i)
                         * (count (world, i, SERVER_REGULAR, TRUE)
                            + 0.15 * count (world, i, SERVER_SPOT, TRUE));
        }
    }
}

static void
run_wave (struct world *world, guint seconds, double share, GRand *rand)
{
  for (guint s = 0; s < seconds; s++)
    {
      double phase = (double)world->now / CLK_S * 2 * G_PI / 11;
      for (guint i = 0; i < world->n_domains; i++)
        world->load[i] = ORDINARY_LOAD * (1 + share * sin (phase + i))
                         * g_rand_double_range (rand, 0.95, 1.05);
      run (world, 1);
    }
}

/* The ordinary load swings by 27 % within 11 s. After a minute the fleet costs
   less than a third; no domain is ever busier than 80 %, so that urgent
   requests need not leave; at most a third of its servers leave at a time; and
   the fleet does not follow each wave.  */
static void
wave (gboolean has_demand)
{
  struct world *world = world_new (6, 15, 1, 30);
  GRand *rand = g_rand_new_with_seed (7);
  double before = 0;
  world->has_demand = has_demand;
  for (guint i = 0; i < 6; i++)
    before += 15 * price_of (i);
  run_wave (world, 2, 0.27, rand);
  CU_ASSERT_EQUAL (world->n_orders, 0);
  run_wave (world, 58, 0.27, rand);
  CU_ASSERT_TRUE (world->n_orders <= 6 * 8);
  world->n_orders = 0;
  world->cost = 0;
  run_wave (world, 300, 0.27, rand);
  g_print ("wave: %.3f of the cost, busiest %.2f, %u orders\n",
           world->cost / (300 * before), world->worst, world->n_orders);
  CU_ASSERT_TRUE (world->cost < 300 * before / 3);
  CU_ASSERT_TRUE (world->worst < 0.8);
  CU_ASSERT_TRUE (world->most_leaving <= 0.334);
  CU_ASSERT_TRUE (world->n_orders <= 2 * 6);
  g_rand_free (rand);
  world_free (world);
}

static void
test_wave (void)
{
  wave (TRUE);
}

/* The same by the loads alone, while usage is not accounted for.  */
static void
test_wave_by_loads (void)
{
  wave (FALSE);
}

/* The load of one domain is 2.5 times as high for 9 s. More servers are ordered
   at once, and given up later.  */
static void
test_burst (void)
{
  struct world *world = world_new (6, 15, 1, 30);
  run (world, 90);
  guint usual = ready (world, 1);
  world->load[1] *= 2.5;
  run (world, 9);
  CU_ASSERT_TRUE (world->worst < 1.3);
  CU_ASSERT_TRUE (ready (world, 1) * 0.55 >= world->load[1]);
  world->load[1] = ORDINARY_LOAD;
  run (world, 20);
  CU_ASSERT_TRUE (ready (world, 1) > usual);
  run (world, 60);
  CU_ASSERT_EQUAL (ready (world, 1), usual);
  world_free (world);
}

/* At night there is hardly any load: the minimum remains, and two servers where
   there are clients. A domain that seems to have none at all is given two
   minutes, as its reports may be lost.  */
static void
test_quiet_night (void)
{
  struct world *world = world_new (6, 15, 1, 30);
  run (world, 90);
  guint usual = ready (world, 5);
  for (guint i = 0; i < 6; i++)
    world->load[i] = i == 5 ? 0 : 0.2;
  run (world, 100);
  for (guint i = 0; i < 5; i++)
    CU_ASSERT_TRUE (ready (world, i) >= 2 && ready (world, i) <= 3);
  CU_ASSERT_EQUAL (ready (world, 5), usual);
  run (world, 120);
  CU_ASSERT_TRUE (ready (world, 5) >= 1 && ready (world, 5) <= 2);
  world_free (world);
}

/* All spot servers of a domain are reclaimed under load. Regular ones, and spot
   ones elsewhere, are ordered in the same second, and its spot ones again after
   a while; all domains together never have less than the load.  */
static void
test_reclaim (void)
{
  struct world *world = world_new (6, 15, 1, 30);
  run (world, 90);
  guint total = 0;
  gint elsewhere = 0; /* spot servers ordered before less those ordered now */
  for (guint i = 0; i < 6; i++)
    elsewhere += i != 2 ? (gint)world->desired[i][SERVER_SPOT] : 0;
  CU_ASSERT_TRUE (count (world, 2, SERVER_SPOT, FALSE) >= 3);
  drain (world, 2, SERVER_SPOT, 30);
  world->desired[2][SERVER_SPOT] = 0;
  world->no_spot_until[2] = world->now + 60 * CLK_S;
  run (world, 1);
  CU_ASSERT_EQUAL (world->counters.v[COUNTER_SPOT_RECLAIMS], 1);
  CU_ASSERT_TRUE (world->desired[2][SERVER_REGULAR] >= 6);
  for (guint i = 0; i < 6; i++)
    elsewhere -= i != 2 ? (gint)world->desired[i][SERVER_SPOT] : 0;
  CU_ASSERT_TRUE (elsewhere <= -3);
  for (guint i = 0; i < 6; i++)
    total += ready (world, i);
  CU_ASSERT_TRUE (total * 0.8 >= 6 * ORDINARY_LOAD);
  run (world, 1 + STARTUP_S); /* the platform begins a second later */
  CU_ASSERT_TRUE (ready (world, 2) >= 6);
  run (world, 120);
  CU_ASSERT_TRUE (count (world, 2, SERVER_REGULAR, FALSE) <= 2);
  CU_ASSERT_TRUE (count (world, 2, SERVER_SPOT, FALSE) >= 3);
  CU_ASSERT_EQUAL (world->counters.v[COUNTER_SPOT_RECLAIMS], 1);
  world_free (world);
}

/* There is no spot capacity in any domain for two minutes: regular servers go
   on, and the platform is asked less and less often.  */
static void
test_refused (void)
{
  struct world *world = world_new (6, 15, 1, 30);
  for (guint i = 0; i < 6; i++)
    world->no_spot_until[i] = world->now + 120 * CLK_S;
  run (world, 120);
  for (guint i = 0; i < 6; i++)
    CU_ASSERT_TRUE (count (world, i, SERVER_REGULAR, FALSE) >= 6);
  CU_ASSERT_TRUE (world->worst < 0.6);
  CU_ASSERT_TRUE (world->counters.v[COUNTER_SCALE_REFUSED] <= 6 * 5);
  run (world, 180);
  CU_ASSERT_TRUE (world->worst < 0.6);
  for (guint i = 0; i < 6; i++)
    CU_ASSERT_TRUE (count (world, i, SERVER_REGULAR, FALSE) <= 2);
  world_free (world);
}

/* Another instance takes over, with the section and, after the store came back
   from an older copy, without it. Neither gives up servers before it knows the
   load for a period of the waves; with the section the same numbers are sent
   again, without it nothing is.  */
static void
take_over (gboolean era_changed)
{
  struct world *world = world_new (6, 15, 1, 30);
  run (world, 90);
  guint before[SERVER_KINDS]
      = { world->desired[3][SERVER_REGULAR], world->desired[3][SERVER_SPOT] };
  server_orders_free (world->orders);
  world->orders = server_orders_new ();
  world->load[3] = 0.3;
  world->n_orders = 0;
  server_orders_load (world->orders,
                      (struct str){ world->section->str, world->section->len },
                      era_changed, world->now);
  CU_ASSERT_TRUE (world->section->len > 0);
  struct server_order order;
  CU_ASSERT_FALSE (server_orders_next (world->orders, world->now, &order));
  run (world, 14);
  CU_ASSERT_EQUAL (world->n_orders, era_changed ? 0 : 2 * 6);
  CU_ASSERT_EQUAL (world->desired[3][SERVER_REGULAR], before[SERVER_REGULAR]);
  CU_ASSERT_EQUAL (world->desired[3][SERVER_SPOT], before[SERVER_SPOT]);
  run (world, 30);
  CU_ASSERT_TRUE (ready (world, 3) <= 3);
  world_free (world);
}

static void
test_takeover (void)
{
  take_over (FALSE);
  take_over (TRUE);
}

/* An order is sent only once its number is stored, and again after an error,
   but not before a while has passed. A result that comes after the lease was
   lost says nothing about the new term. The dump has both domains.  */
static void
test_sending (void)
{
  struct world *world = world_new (2, 15, 1, 30);
  struct server_order order;
  world->is_holder = FALSE;
  for (guint i = 0; i < 4; i++)
    {
      run (world, 1);
      observe (world);
    }
  CU_ASSERT_FALSE (server_orders_next (world->orders, world->now, &order));
  CU_ASSERT_TRUE (
      server_orders_prepare (world->orders, world->now, world->section));
  CU_ASSERT_FALSE (server_orders_next (world->orders, world->now, &order));
  server_orders_stored (world->orders, world->now);
  CU_ASSERT_TRUE (server_orders_next (world->orders, world->now, &order));
  CU_ASSERT_TRUE (order.is_spot && order.desired > 0);
  server_orders_done (world->orders, &order, ERR_TIMEOUT, world->now);
  CU_ASSERT_FALSE (server_orders_next (world->orders, world->now, &order));
  CU_ASSERT_TRUE (
      server_orders_next (world->orders, world->now + 200 * CLK_MS, &order));
  server_orders_load (world->orders,
                      (struct str){ world->section->str, world->section->len },
                      FALSE, world->now);
  server_orders_done (world->orders, &order, 0, world->now);
  observe (world);
  CU_ASSERT_TRUE (server_orders_next (world->orders, world->now, &order));
  JsonBuilder *json = json_builder_new ();
  server_orders_dump (world->orders, json);
  JsonNode *root = json_builder_get_root (json);
  CU_ASSERT_EQUAL (json_array_get_length (json_node_get_array (root)), 2);
  json_node_unref (root);
  g_object_unref (json);
  world_free (world);
}

/* Bursts, nights, reclaims, refusals and changes of the holder at random. The
   limits hold for each order (take_order); when it gets calm, each domain has
   what its load needs, for half of the cost of regular servers and one more at
   most, and orders end. A wrong
   step of one of them can block the next.  */
static void
test_random (void)
{
  const char *text = g_getenv ("JW_SEED");
  guint first = text != NULL ? (guint)g_ascii_strtoull (text, NULL, 10) : 1;
  for (guint seed = first; seed < first + (text != NULL ? 1 : 200); seed++)
    {
      GRand *rand = g_rand_new_with_seed (seed);
      guint n = (guint)g_rand_int_range (rand, 2, 7);
      guint max = (guint)g_rand_int_range (rand, 10, 31);
      struct world *world
          = world_new (n, (guint)g_rand_int_range (rand, 1, 10), 1, max);
      guint failed = CU_get_number_of_failures ();
      for (guint step = 0; step < 40; step++)
        {
          guint domain = (guint)g_rand_int_range (rand, 0, (gint32)n);
          guint event = (guint)g_rand_int_range (rand, 0, 5);
          if (event == 0)
            world->load[domain] = g_rand_double_range (rand, 0.1, 5);
          else if (event == 1)
            world->no_spot_until[domain]
                = world->now + g_rand_int_range (rand, 1, 60) * CLK_S;
          else if (event == 2)
            {
              drain (world, domain, SERVER_SPOT, max);
              world->no_spot_until[domain] = world->now + 20 * CLK_S;
            }
          else if (event == 3)
            {
              gboolean era_changed = g_rand_boolean (rand);
              if (era_changed)
                world->unknown_until = world->now + 20 * CLK_S;
              server_orders_load (
                  world->orders,
                  (struct str){ world->section->str, world->section->len },
                  era_changed, world->now);
            }
          run (world, (guint)g_rand_int_range (rand, 1, 20));
        }
      run (world, 200);
      world->n_orders = 0;
      world->worst = 0;
      run (world, 40);
      CU_ASSERT_EQUAL (world->n_orders, 0);
      CU_ASSERT_TRUE (world->worst <= 0.56);
      for (guint i = 0; i < n; i++)
        CU_ASSERT_TRUE (count (world, i, SERVER_REGULAR, FALSE)
                            + 0.15 * count (world, i, SERVER_SPOT, FALSE)
                        <= 1 + 0.5 * ceil (world->load[i] / 0.5));
      if (CU_get_number_of_failures () > failed)
        g_print ("JW_SEED=%u build/tests/test_server_orders\n", seed);
      g_rand_free (rand);
      world_free (world);
    }
}

/* A service without scaling is left alone, also if a section names it. Sections
   that cannot be read change nothing.  */
static void
test_not_scaled (void)
{
  static const char *const sections[]
      = { "llm a 15 -;", "llm a 15 0;;llm b x 1;llm c 5;llm d 1 2 3;\xff",
          "llm a -5 99999999;other a 3 4;" };
  for (guint i = 0; i < G_N_ELEMENTS (sections); i++)
    {
      struct world *world = world_new (6, 15, 0, 0);
      server_orders_load (world->orders, str_of (sections[i]), FALSE,
                          world->now);
      run (world, 60);
      CU_ASSERT_EQUAL (world->n_orders, 0);
      world_free (world);
    }
}

/* The limits of the service hold in each domain, in the middle of replacing
   servers too; take_order checks them.  */
static void
test_limits (void)
{
  struct world *world = world_new (3, 6, 4, 7);
  run (world, 120);
  CU_ASSERT_TRUE (world->desired[0][SERVER_SPOT] > 0);
  for (guint i = 0; i < 3; i++)
    world->load[i] = 9;
  run (world, 60);
  for (guint i = 0; i < 3; i++)
    CU_ASSERT_EQUAL (ready (world, i), 7);
  for (guint i = 0; i < 3; i++)
    world->load[i] = 0.6;
  run (world, 120);
  for (guint i = 0; i < 3; i++)
    CU_ASSERT_EQUAL (ready (world, i), 4);
  world_free (world);
}

/* A server that the platform accepted does not come: the order is repeated, and
   then regular servers make up for it.  */
static void
test_never_starts (void)
{
  struct world *world = world_new (6, 3, 1, 30);
  struct server_order order;
  world->is_holder = FALSE;
  guint regular = 0;
  guint spot = 0;
  for (guint i = 0; i < 50; i++)
    {
      run (world, 1);
      observe (world);
      g_string_truncate (world->section, 0);
      if (server_orders_prepare (world->orders, world->now, world->section))
        server_orders_stored (world->orders, world->now);
      while (server_orders_next (world->orders, world->now, &order))
        {
          gboolean is_here = g_str_equal (order.domain, "a");
          spot += is_here && order.is_spot && order.desired > 0;
          if (is_here && !order.is_spot)
            regular = order.desired;
          server_orders_done (world->orders, &order, 0, world->now);
        }
    }
  CU_ASSERT_TRUE (spot >= 3 && spot <= 5);
  CU_ASSERT_TRUE (regular >= 6);
  world_free (world);
}

/* Of equal domains the cheapest gets the reserve; all keep enough for their own
   load, a quarter of it regular, and the load is carried without the spot
   servers of any one domain.  */
static void
test_plan (void)
{
  const struct server_plan_limits limits = { .min = 1, .max = 30 };
  for (guint n = 1; n <= DOMAINS_MAX; n++)
    {
      struct server_plan_domain domains[DOMAINS_MAX];
      guint all = 0;
      guint exposed = 0;
      for (guint i = 0; i < n; i++)
        domains[i] = (struct server_plan_domain){
          .load = 4,
          .price = 2 - price_of (i),
          .available = { SERVER_PLAN_UNLIMITED, SERVER_PLAN_UNLIMITED }
        };
      server_plan_make (&limits, domains, n);
      for (guint i = 0; i < n; i++)
        {
          const guint *wanted = domains[i].wanted;
          CU_ASSERT_TRUE (server_plan_total (&domains[i]) >= 8);
          CU_ASSERT_TRUE (wanted[SERVER_REGULAR] >= 2);
          all += server_plan_total (&domains[i]);
          exposed = MAX (exposed, wanted[SERVER_SPOT]);
        }
      CU_ASSERT_TRUE ((all - exposed) * 0.8 >= 4 * n);
      if (n > 1)
        CU_ASSERT_TRUE (server_plan_total (&domains[n - 1])
                        > server_plan_total (&domains[0]));
    }
}

/* Spot servers cannot be had in one domain, and regular ones neither: others
   make up for it within their limits, or as far as possible.  */
static void
test_plan_shortage (void)
{
  const struct server_plan_limits limits = { .min = 1, .max = 12 };
  struct server_plan_domain domains[3];
  for (guint i = 0; i < 3; i++)
    domains[i]
        = (struct server_plan_domain){ .load = 4,
                                       .price = 1,
                                       .available = { SERVER_PLAN_UNLIMITED,
                                                      SERVER_PLAN_UNLIMITED } };
  domains[0].available[SERVER_SPOT] = 0;
  server_plan_make (&limits, domains, 3);
  CU_ASSERT_TRUE (domains[0].wanted[SERVER_REGULAR] >= 8);
  domains[0].available[SERVER_REGULAR] = 3;
  server_plan_make (&limits, domains, 3);
  CU_ASSERT_EQUAL (domains[0].wanted[SERVER_REGULAR], 3);
  CU_ASSERT_TRUE (server_plan_total (&domains[1])
                      + server_plan_total (&domains[2])
                  >= 8 + 8 + 5);
  for (guint i = 0; i < 3; i++)
    domains[i].load = 100;
  server_plan_make (&limits, domains, 3);
  CU_ASSERT_EQUAL (server_plan_total (&domains[1]), 12);
  CU_ASSERT_EQUAL (server_plan_total (&domains[2]), 12);
}

/* At the design scale, 680 servers in 11 domains with the reports of 50
   instances, one look each second stays within the control budget of 2.7 % of a
   core.  */
static void
test_design_scale (void)
{
  struct world *world = world_new (DOMAINS_MAX, 62, 1, 100);
  for (guint i = 0; i < DOMAINS_MAX; i++)
    world->load[i] = 25;
  run (world, 5);
  for (guint32 peer = 1; peer <= 50; peer++)
    {
      const struct server_load load = { .requests = 1, .prefill_tokens = 9 };
      server_load_report_begin (world->loads, peer, FALSE, world->now);
      for (guint i = 1; i <= world->n_created; i++)
        server_load_report_add (world->loads, peer, i, &load);
    }
  gint64 from = g_get_monotonic_time ();
  for (guint i = 0; i < 10; i++)
    {
      world->now += CLK_S;
      observe (world);
    }
  gint64 us = (g_get_monotonic_time () - from) / 10;
  g_print ("look at %u servers: %" G_GINT64_FORMAT " us\n", world->servers->len,
           us);
  CU_ASSERT_TRUE (us < 27 * CLK_MS);
  world_free (world);
}

static CU_TestInfo tests[]
    = { { "wave", test_wave },
        { "wave, by the loads alone", test_wave_by_loads },
        { "burst", test_burst },
        { "quiet night", test_quiet_night },
        { "reclaim under load", test_reclaim },
        { "no spot capacity", test_refused },
        { "takeover", test_takeover },
        { "sending", test_sending },
        { "random events", test_random },
        { "services without scaling, unreadable sections", test_not_scaled },
        { "limits of a service", test_limits },
        { "servers that never start", test_never_starts },
        { "plan", test_plan },
        { "plan with a shortage", test_plan_shortage },
        { "design scale", test_design_scale },
        CU_TEST_INFO_NULL };

static CU_SuiteInfo suites[]
    = { { "server orders", NULL, NULL, NULL, NULL, tests },
        CU_SUITE_INFO_NULL };

UNIT_MAIN (suites)

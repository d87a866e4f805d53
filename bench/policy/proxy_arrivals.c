/* The classes of requests of the model and their arrivals.  */
#include "policy/proxy_model.h"

#include <math.h>

#define BURST_FACTOR 2.5
#define LENGTH_SIGMA 0.5 /* standard deviation of the log of a length */

const struct proxy_class proxy_classes[] = {
  { .route = { .name = "chat",
               .kind = ROUTING_STREAM,
               .resumable = TRUE,
               .timeout_us = 20 * CLK_S,
               .target_us = 800 * CLK_MS,
               .event_gap_us = 350 * CLK_MS,
               .attempts = 2,
               .priority = 0 },
    .service = PROXY_ENGINES,
    .rate = 3.5,
    .prefixes = 0.2,
    .shared_prompt = 1200,
    .own_prompt = 300,
    .output = 120 },
  { .route = { .name = "agent",
               .kind = ROUTING_STREAM,
               .resumable = TRUE,
               .timeout_us = 20 * CLK_S,
               .target_us = 2 * CLK_S,
               .event_gap_us = 600 * CLK_MS,
               .attempts = 2,
               .priority = 1 },
    .service = PROXY_ENGINES,
    .rate = 2.0,
    .prefixes = 2,
    .shared_prompt = 8000,
    .own_prompt = 1500,
    .output = 150 },
  { .route = { .name = "summary",
               .kind = ROUTING_STREAM,
               .timeout_us = 20 * CLK_S,
               .target_us = 5 * CLK_S,
               .attempts = 2,
               .priority = 2 },
    .service = PROXY_ENGINES,
    .rate = 1.5,
    .prefixes = 2,
    .shared_prompt = 2000,
    .own_prompt = 8000,
    .output = 200 },
  { .route = { .name = "lookup",
               .kind = ROUTING_IDEMPOTENT,
               .timeout_us = 2 * CLK_S,
               .target_us = 400 * CLK_MS,
               .attempts = 2,
               .priority = 0 },
    .service = PROXY_PLAIN,
    .rate = 25.0,
    .service_us = 100 * CLK_MS },
  { .route = { .name = "order",
               .kind = ROUTING_ONCE,
               .timeout_us = 5 * CLK_S,
               .target_us = CLK_S,
               .attempts = 2,
               .priority = 1 },
    .service = PROXY_PLAIN,
    .rate = 8.0,
    .service_us = 200 * CLK_MS },
};
const guint proxy_n_classes = G_N_ELEMENTS (proxy_classes);

/* Samples a log-normal distribution of mean MEAN (Box-Muller).  */
static double
sample (GRand *rand, double mean)
{
  double u = 1.0 - g_rand_double (rand);
  double n = sqrt (-2 * log (u)) * cos (2 * G_PI * g_rand_double (rand));
  return mean * exp (LENGTH_SIGMA * n - LENGTH_SIGMA * LENGTH_SIGMA / 2);
}

/* Fills in the prompt of a request: a shared prefix, of which a few are used by
   most requests, and a part of its own.  */
static void
make_prompt (struct proxy_request *request, GRand *rand)
{
  const struct proxy_class *class = request->proxy_class;
  double n_prefixes
      = class->prefixes * request->world->fleet->servers[class->service];
  double u = g_rand_double (rand);
  guint prefix = (guint)(u * u * MAX (n_prefixes, 1));
  char name[32];
  g_snprintf (name, sizeof name, "%s-%u", class->route.name, prefix);
  guint32 shared = prefix_chain_key (0, str_of (name));
  g_snprintf (name, sizeof name, "%u", request->number);
  guint own = 1 + (guint)sample (rand, class->own_prompt);
  request->prompt = (struct prefix_prompt){
    .blocks = { { shared, class->shared_prompt },
                { prefix_chain_key (shared, str_of (name)), own } },
    .n = 2
  };
  request->output = 1 + (guint)sample (rand, class->output);
}

static void
add_request (struct proxy_world *world, guint class_index, gint64 t,
             GRand *rand)
{
  struct proxy_request *request = g_new0 (struct proxy_request, 1);
  request->world = world;
  request->class_index = class_index;
  request->number = world->requests->len;
  request->proxy_class = &proxy_classes[class_index];
  request->first_arrival = world->events.clk.t + PROXY_WARM_UP_US + t;
  for (guint i = 0; i < G_N_ELEMENTS (request->instances); i++)
    request->instances[i]
        = (guint)g_rand_int_range (rand, 0, (gint32)world->fleet->instances);
  if (request->proxy_class->service == PROXY_ENGINES)
    make_prompt (request, rand);
  else
    request->service_us
        = (gint64)sample (rand, (double)request->proxy_class->service_us);
  g_ptr_array_add (world->requests, request);
  event_queue_add (&world->events, PROXY_WARM_UP_US + t, proxy_exchange_arrive,
                   NULL, request);
}

/* Generates Poisson arrivals of every class; in the scenario of a burst, at the
   higher rate during the fault.  */
void
proxy_arrivals_generate (struct proxy_world *world, GRand *rand)
{
  double burst = world->scenario == PROXY_BURST_LEAVING ? BURST_FACTOR : 1.0;
  for (guint i = 0; i < proxy_n_classes; i++)
    {
      const struct proxy_class *class = &proxy_classes[i];
      double base = class->rate * world->fleet->servers[class->service];
      double t = 0;
      while (TRUE)
        {
          t += -log (1.0 - g_rand_double (rand)) / (base * burst) * CLK_S;
          if (t >= PROXY_ARRIVALS_US)
            break;
          gboolean in_fault = t >= PROXY_FAULT_US && t < PROXY_FAULT_END_US;
          if (in_fault || g_rand_double (rand) * burst < 1.0)
            add_request (world, i, (gint64)t, rand);
        }
    }
}

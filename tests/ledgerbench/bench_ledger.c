/* What the ledger costs one shard: simulated keyed requests against a store
   with a few milliseconds of delay. Prints lines "name value unit"; names end
   in the keyed requests per second of all shards together.  */
#include "unit/sim.h"

#include "ledger/led.h"

#include <malloc.h>
#include <math.h>
#include <time.h>

#define DAY_US (24 * 3600 * CLK_S)
#define KEYS 800000 /* of a shard at most; the retention follows */
#define ANSWER_BYTES 300
#define RUN_US (1 * CLK_S)           /* of a request, at most */
#define STORE_DELAY_US (10 * CLK_MS) /* each way, at most; mean a third */
#define NS_PER_S 1000000000.0

struct bench
{
  struct sim sim;
  struct sim_store store;
  struct ctr ctr;
  struct led_options options;
  struct led *led;
  double gap_us; /* mean between requests */
  gint64 until;
  guint64 tickets;
  guint64 fresh;
  guint64 first_verdict_us; /* sum of the waits for FRESH */
  gint64 *arrived;          /* by ticket */
  double cpu_s;             /* inside the ledger */
  double since;
};

struct waiting
{
  struct bench *b;
  struct led *led;
  guint64 token; /* of a store call, or ticket */
};

static double
cpu_now (void)
{
  struct timespec t;
  clock_gettime (CLOCK_THREAD_CPUTIME_ID, &t);
  return (double)t.tv_sec + (double)t.tv_nsec / NS_PER_S;
}

static void
enter (struct bench *b)
{
  b->since = cpu_now ();
}

static void
leave (struct bench *b)
{
  b->cpu_s += cpu_now () - b->since;
}

static struct waiting *
waiting_new (struct bench *b, guint64 token)
{
  struct waiting *w = g_new (struct waiting, 1);
  *w = (struct waiting){ b, b->led, token };
  return w;
}

static void
on_answer (void *ctx, const struct sto_answer *answer)
{
  struct waiting *w = ctx;
  enter (w->b);
  if (w->led == w->b->led)
    led_answer (w->led, w->token, answer);
  leave (w->b);
  g_free (w);
}

/* Starting a call is the platform's work, not the ledger's. */
static void
on_store (void *ctx, guint64 token, const struct sto_call *call)
{
  struct bench *b = ctx;
  leave (b);
  sim_store_start (&b->store, call, on_answer, waiting_new (b, token));
  enter (b);
}

static void
fill_key (guint8 key[MSG_KEY_BYTES], guint64 ticket)
{
  guint64 digest
      = str_hash ((struct str){ (const char *)&ticket, sizeof ticket }, 1);
  memcpy (key, &digest, sizeof digest);
  memcpy (key + sizeof digest, &ticket, sizeof ticket);
}

static void
on_end (void *ctx)
{
  struct waiting *w = ctx;
  char text[ANSWER_BYTES];
  memset (text, 'a', sizeof text);
  struct msg_ledger_result result
      = { .incarnation = 1700000000000000,
          .ticket = w->token,
          .status = 200,
          .content_type = STR_LIT ("application/json"),
          .answer = { text, sizeof text } };
  fill_key (result.key, w->token);
  enter (w->b);
  if (w->led == w->b->led)
    led_result (w->led, "kgn-1-a", &result);
  leave (w->b);
  g_free (w);
}

static void
on_verdict (void *ctx, const char *to, const struct msg_ledger_verdict *verdict)
{
  struct bench *b = ctx;
  (void)to;
  if (verdict->verdict != MSG_VERDICT_FRESH)
    return;
  b->fresh++;
  b->first_verdict_us += (guint64)(b->sim.clk.t - b->arrived[verdict->ticket]);
  sim_after (&b->sim, sim_delay (&b->sim, RUN_US), on_end,
             waiting_new (b, verdict->ticket));
}

static void
on_request (void *ctx)
{
  struct bench *b = ctx;
  struct msg_ledger_intent intent
      = { .incarnation = 1700000000000000, .ticket = ++b->tickets };
  if (b->sim.clk.t >= b->until)
    return;
  fill_key (intent.key, intent.ticket);
  b->arrived[intent.ticket] = b->sim.clk.t;
  enter (b);
  led_intent (b->led, "kgn-1-a", &intent);
  leave (b);
  double u = g_rand_double (b->sim.rand);
  double gap = -b->gap_us * log (1 - u);
  sim_after (&b->sim, (gint64)gap, on_request, b);
}

static void
on_tick (void *ctx)
{
  struct bench *b = ctx;
  if (b->sim.clk.t >= b->until)
    return;
  enter (b);
  led_tick (b->led);
  leave (b);
  sim_after (&b->sim, LED_TICK_US, on_tick, b);
}

static void
print (const char *name, guint rate, double value, const char *unit)
{
  g_print ("ledger_%s_%u %.6g %s\n", name, rate, value, unit);
}

/* Another instance takes the shard over. */
static void
take_over (struct bench *b, guint rate)
{
  double cpu = b->cpu_s;
  guint gets = b->store.gets;
  gint64 start = b->sim.clk.t;
  gsize with = mallinfo2 ().uordblks;
  double keys
      = MIN ((double)b->fresh, (double)b->options.retention_us / b->gap_us);
  led_free (b->led);
  gsize without = mallinfo2 ().uordblks;
  print ("memory", rate, (double)(with - without) / (1024 * 1024), "MiB/shard");
  print ("memory_key", rate, (double)(with - without) / keys, "bytes/key");
  b->led = led_new (&b->options);
  struct msg_ledger_intent intent
      = { .incarnation = 2, .ticket = b->tickets + 1 };
  guint64 fresh = b->fresh;
  b->arrived[intent.ticket] = start;
  intent.key[0] = 1;
  led_intent (b->led, "kgn-1-a", &intent);
  while (b->fresh == fresh)
    {
      sim_run (&b->sim, b->sim.clk.t + LED_TICK_US);
      /* A second one in the first one's place once it has waited in vain. */
      if (led_idle (b->led))
        led_intent (b->led, "kgn-1-a", &intent);
      enter (b);
      led_tick (b->led);
      leave (b);
    }
  print ("takeover_reads", rate, b->store.gets - gets, "reads/shard");
  print ("takeover_time", rate, (double)(b->sim.clk.t - start) / (double)CLK_MS,
         "ms");
  print ("takeover_cpu", rate, 1000 * (b->cpu_s - cpu), "ms");
}

static void
run (guint rate)
{
  struct bench *b = g_new0 (struct bench, 1);
  sim_init (&b->sim, 1);
  sim_store_init (&b->store, &b->sim);
  b->store.delay = STORE_DELAY_US;
  b->gap_us = (double)CLK_S * LED_SHARDS / rate;
  b->until = b->sim.clk.t + DAY_US;
  b->arrived = g_new (gint64, 2 * (gsize)DAY_US / (gsize)b->gap_us + 1000);
  b->options = (struct led_options){ .clk = &b->sim.clk.clk,
                                     .seed = 1,
                                     .ctr = &b->ctr,
                                     .retention_us
                                     = MIN (DAY_US, (gint64)(KEYS * b->gap_us)),
                                     .store = on_store,
                                     .verdict = on_verdict,
                                     .ctx = b };
  b->led = led_new (&b->options);
  on_request (b);
  on_tick (b);
  sim_run (&b->sim, b->until);
  print ("retention", rate,
         (double)b->options.retention_us / (double)(3600 * CLK_S), "h");
  double seconds = (double)DAY_US / (double)CLK_S;
  double writes = (double)b->ctr.v[CTR_LEDGER_WRITES];
  print ("writes", rate, LED_SHARDS * writes / seconds, "writes/s");
  print ("requests_write", rate, (double)b->fresh / writes, "requests/write");
  print ("bytes_write", rate, (double)b->store.put_bytes / writes,
         "bytes/write");
  print ("wait", rate,
         (double)b->first_verdict_us / (double)b->fresh / (double)CLK_MS, "ms");
  print ("cpu", rate, 1e6 * b->cpu_s / (double)b->fresh, "us/request");
  take_over (b, rate);
  led_free (b->led);
  b->led = NULL;
  sim_run (&b->sim, b->sim.clk.t + CLK_S);
  sim_store_clear (&b->store);
  sim_clear (&b->sim);
  g_free (b->arrived);
  g_free (b);
}

int
main (void)
{
  static const guint rates[] = { 55, 550, 2200 };
  for (guint i = 0; i < G_N_ELEMENTS (rates); i++)
    run (rates[i]);
  return 0;
}

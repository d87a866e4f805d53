/* What the ledger costs one shard: simulated keyed requests against a store
   with a few milliseconds of delay. Prints lines "name value unit"; names end
   in the keyed requests per second of all shards together, and in "_xN" if N
   instances serve the shard at the same time.  */
#include "unit/sim.h"

#include "ledger/ledger.h"

#include <malloc.h>
#include <math.h>
#include <time.h>

#define DAY_US (24 * 3600 * CLK_S)
#define SHARED_US (3600 * CLK_S) /* simulated with several owners */
#define OWNERS_MAX 11
#define KEYS 800000 /* of a shard at most; the retention follows */
#define ANSWER_BYTES 300
#define RUN_US (1 * CLK_S)           /* of a request, at most */
#define STORE_DELAY_US (10 * CLK_MS) /* each way, at most; mean a third */
#define NS_PER_S 1000000000.0

struct bench
{
  struct sim sim;
  struct sim_store store;
  struct counter_set counter_set;
  struct ledger_options options;
  struct ledger_shard *leds[OWNERS_MAX];
  guint owners;
  guint rate;    /* of all shards, requests/s */
  double gap_us; /* mean between requests */
  gint64 length; /* of the run, microseconds */
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
  struct ledger_shard *ledger_shard;
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
waiting_new (struct bench *b, struct ledger_shard *ledger_shard, guint64 token)
{
  struct waiting *w = g_new (struct waiting, 1);
  *w = (struct waiting){ b, ledger_shard, token };
  return w;
}

/* Tells whether LED has not been freed. */
static gboolean
is_there (const struct bench *b, const struct ledger_shard *ledger_shard)
{
  for (guint i = 0; i < b->owners; i++)
    if (b->leds[i] == ledger_shard)
      return TRUE;
  return FALSE;
}

static void
on_answer (void *ctx, const struct storage_response *answer)
{
  struct waiting *w = ctx;
  enter (w->b);
  if (is_there (w->b, w->ledger_shard))
    ledger_store_response (w->ledger_shard, w->token, answer);
  leave (w->b);
  g_free (w);
}

/* The callbacks' context: one owner. */
struct owner
{
  struct bench *b;
  guint index;
};

/* Starting a call is the platform's work, not the ledger's. */
static void
on_store (void *ctx, guint64 token, const struct storage_request *call)
{
  const struct owner *owner = ctx;
  struct bench *b = owner->b;
  leave (b);
  sim_store_start (&b->store, call, on_answer,
                   waiting_new (b, b->leds[owner->index], token));
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
          .record_id = w->token,
          .status = 200,
          .content_type = STR_LIT ("application/json"),
          .response_body = { text, sizeof text } };
  fill_key (result.key, w->token);
  enter (w->b);
  if (is_there (w->b, w->ledger_shard))
    ledger_add_result (w->ledger_shard, "kgn-1-a", &result);
  leave (w->b);
  g_free (w);
}

static void
on_verdict (void *ctx, const char *to, const struct msg_ledger_reply *verdict)
{
  const struct owner *owner = ctx;
  struct bench *b = owner->b;
  (void)to;
  if (verdict->verdict != MSG_VERDICT_RECORDED)
    return;
  b->fresh++;
  b->first_verdict_us
      += (guint64)(b->sim.clk.t - b->arrived[verdict->record_id]);
  sim_after (&b->sim, sim_delay (&b->sim, RUN_US), on_end,
             waiting_new (b, b->leds[owner->index], verdict->record_id));
}

static void
on_request (void *ctx)
{
  struct bench *b = ctx;
  struct msg_ledger_record intent
      = { .incarnation = 1700000000000000, .record_id = ++b->tickets };
  if (b->sim.clk.t >= b->until)
    return;
  fill_key (intent.key, intent.record_id);
  b->arrived[intent.record_id] = b->sim.clk.t;
  guint owner = (guint)g_rand_int_range (b->sim.rand, 0, (gint32)b->owners);
  enter (b);
  ledger_add_record (b->leds[owner], "kgn-1-a", &intent);
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
  for (guint i = 0; i < b->owners; i++)
    ledger_tick (b->leds[i]);
  leave (b);
  sim_after (&b->sim, LEDGER_TICK_US, on_tick, b);
}

static void
print (const struct bench *b, const char *name, double value, const char *unit)
{
  char owners[16] = "";
  if (b->owners > 1)
    g_snprintf (owners, sizeof owners, "_x%u", b->owners);
  g_print ("ledger_%s_%u%s %.6g %s\n", name, b->rate, owners, value, unit);
}

/* Another instance takes the shard over. */
static void
take_over (struct bench *b)
{
  double cpu = b->cpu_s;
  guint gets = b->store.gets;
  gint64 start = b->sim.clk.t;
  gsize with = mallinfo2 ().uordblks;
  double keys
      = MIN ((double)b->fresh, (double)b->options.retention_us / b->gap_us);
  ledger_free (b->leds[0]);
  gsize without = mallinfo2 ().uordblks;
  print (b, "memory", (double)(with - without) / (1024 * 1024), "MiB/shard");
  print (b, "memory_key", (double)(with - without) / keys, "bytes/key");
  b->leds[0] = ledger_new (&b->options);
  struct msg_ledger_record intent
      = { .incarnation = 2, .record_id = b->tickets + 1 };
  guint64 fresh = b->fresh;
  b->arrived[intent.record_id] = start;
  intent.key[0] = 1;
  ledger_add_record (b->leds[0], "kgn-1-a", &intent);
  while (b->fresh == fresh)
    {
      sim_run (&b->sim, b->sim.clk.t + LEDGER_TICK_US);
      /* A second one in the first one's place once it has waited in vain. */
      if (ledger_idle (b->leds[0]))
        ledger_add_record (b->leds[0], "kgn-1-a", &intent);
      enter (b);
      ledger_tick (b->leds[0]);
      leave (b);
    }
  print (b, "takeover_reads", b->store.gets - gets, "reads/shard");
  print (b, "takeover_time", (double)(b->sim.clk.t - start) / (double)CLK_MS,
         "ms");
  print (b, "takeover_cpu", 1000 * (b->cpu_s - cpu), "ms");
}

static void
setup (struct bench *b, struct owner *owners)
{
  gsize requests = (gsize)((double)b->length / b->gap_us);
  sim_init (&b->sim, 1);
  sim_store_init (&b->store, &b->sim);
  b->store.delay = STORE_DELAY_US;
  b->until = b->sim.clk.t + b->length;
  b->arrived = g_new (gint64, 2 * requests + 1000);
  b->options = (struct ledger_options){ .clk = &b->sim.clk.clk,
                                        .counter_set = &b->counter_set,
                                        .retention_us = MIN (
                                            DAY_US, (gint64)(KEYS * b->gap_us)),
                                        .start_request = on_store,
                                        .send_reply = on_verdict };
  for (guint i = 0; i < b->owners; i++)
    {
      owners[i] = (struct owner){ b, i };
      b->options.seed = i;
      b->options.ctx = &owners[i];
      b->leds[i] = ledger_new (&b->options);
    }
  b->options.ctx = &owners[0];
}

static void
report (const struct bench *b)
{
  double seconds = (double)b->length / (double)CLK_S;
  double writes = (double)b->counter_set.v[COUNTER_LEDGER_WRITES];
  print (b, "retention",
         (double)b->options.retention_us / (double)(3600 * CLK_S), "h");
  print (b, "writes", LEDGER_SHARDS * writes / seconds, "writes/s");
  print (b, "reads", LEDGER_SHARDS * b->store.gets / seconds, "reads/s");
  print (b, "conflicts",
         100 * (double)b->counter_set.v[COUNTER_LEDGER_CONFLICTS] / writes,
         "%");
  print (b, "requests_write", (double)b->fresh / writes, "requests/write");
  print (b, "bytes_write", (double)b->store.put_bytes / writes, "bytes/write");
  print (b, "fresh", 100 * (double)b->fresh / (double)b->tickets, "%");
  print (b, "wait",
         (double)b->first_verdict_us / (double)b->fresh / (double)CLK_MS, "ms");
  print (b, "cpu", 1e6 * b->cpu_s / (double)b->fresh, "us/request");
}

static void
run (guint rate, guint n_owners)
{
  struct owner owners[OWNERS_MAX];
  struct bench *b = g_new0 (struct bench, 1);
  b->rate = rate;
  b->owners = n_owners;
  b->gap_us = (double)CLK_S * LEDGER_SHARDS / rate;
  b->length = n_owners > 1 ? SHARED_US : DAY_US;
  setup (b, owners);
  on_request (b);
  on_tick (b);
  sim_run (&b->sim, b->until);
  report (b);
  if (n_owners == 1)
    take_over (b);
  for (guint i = 0; i < n_owners; i++)
    ledger_free (b->leds[i]);
  b->owners = 0;
  sim_run (&b->sim, b->sim.clk.t + 10 * CLK_S);
  sim_store_clear (&b->store);
  sim_clear (&b->sim);
  g_free (b->arrived);
  g_free (b);
}

int
main (void)
{
  static const struct
  {
    guint rate;
    guint owners;
  } runs[] = { { 55, 1 },  { 550, 1 }, { 2200, 1 }, { 55, 3 },
               { 550, 3 }, { 55, 11 }, { 550, 11 } };
  for (guint i = 0; i < G_N_ELEMENTS (runs); i++)
    run (runs[i].rate, runs[i].owners);
  return 0;
}

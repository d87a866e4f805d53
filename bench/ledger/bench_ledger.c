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
#define SHARED_DURATION_US (3600 * CLK_S) /* simulated with several owners */
#define OWNERS_MAX 11
#define KEYS_MAX 800000 /* of a shard at most; the retention follows */
#define RESPONSE_BYTES 300
#define EXECUTION_MAX_US (1 * CLK_S)     /* of a request, at most */
#define STORE_DELAY_MAX_US (10 * CLK_MS) /* each way, at most; mean a third */
#define NS_PER_S 1000000000.0

struct bench
{
  struct sim sim;
  struct sim_store store;
  struct counter_set counter_set;
  struct ledger_options options;
  struct ledger_shard *shards[OWNERS_MAX];
  guint owners;
  guint rate;                  /* of all shards, requests/s */
  double mean_interarrival_us; /* mean between requests */
  gint64 duration_us;          /* of the run, microseconds */
  gint64 end_us;
  guint64 requests;
  guint64 recorded;
  guint64 verdict_wait_us; /* sum of the waits for FRESH */
  gint64 *arrived_at;      /* by ticket */
  double cpu_s;            /* inside the ledger */
  double cpu_start_s;
};

struct pending_call
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
start_cpu_time (struct bench *b)
{
  b->cpu_start_s = cpu_now ();
}

static void
stop_cpu_time (struct bench *b)
{
  b->cpu_s += cpu_now () - b->cpu_start_s;
}

static struct pending_call *
pending_call_new (struct bench *b, struct ledger_shard *ledger_shard,
                  guint64 token)
{
  struct pending_call *call = g_new (struct pending_call, 1);
  *call = (struct pending_call){ b, ledger_shard, token };
  return call;
}

/* Tells whether LED has not been freed. */
static gboolean
is_active (const struct bench *b, const struct ledger_shard *ledger_shard)
{
  for (guint i = 0; i < b->owners; i++)
    if (b->shards[i] == ledger_shard)
      return TRUE;
  return FALSE;
}

static void
on_store_response (void *ctx, const struct storage_response *response)
{
  struct pending_call *call = ctx;
  start_cpu_time (call->b);
  if (is_active (call->b, call->ledger_shard))
    ledger_store_response (call->ledger_shard, call->token, response);
  stop_cpu_time (call->b);
  g_free (call);
}

/* The callbacks' context: one owner. */
struct owner
{
  struct bench *b;
  guint index;
};

/* Starting a call is the platform's work, not the ledger's. */
static void
start_store_request (void *ctx, guint64 token,
                     const struct storage_request *request)
{
  const struct owner *owner = ctx;
  struct bench *b = owner->b;
  stop_cpu_time (b);
  sim_store_start (&b->store, request, on_store_response,
                   pending_call_new (b, b->shards[owner->index], token));
  start_cpu_time (b);
}

static void
make_key (guint8 key[MSG_KEY_BYTES], guint64 ticket)
{
  guint64 digest
      = str_hash ((struct str){ (const char *)&ticket, sizeof ticket }, 1);
  memcpy (key, &digest, sizeof digest);
  memcpy (key + sizeof digest, &ticket, sizeof ticket);
}

static void
on_execution_end (void *ctx)
{
  struct pending_call *call = ctx;
  char text[RESPONSE_BYTES];
  memset (text, 'a', sizeof text);
  struct msg_ledger_result result
      = { .incarnation = 1700000000000000,
          .ticket = call->token,
          .status = 200,
          .content_type = STR_LIT ("application/json"),
          .answer = { text, sizeof text } };
  make_key (result.key, call->token);
  start_cpu_time (call->b);
  if (is_active (call->b, call->ledger_shard))
    ledger_add_result (call->ledger_shard, "kgn-1-a", &result);
  stop_cpu_time (call->b);
  g_free (call);
}

static void
on_ledger_reply (void *ctx, const char *to,
                 const struct msg_ledger_reply *reply)
{
  const struct owner *owner = ctx;
  struct bench *b = owner->b;
  (void)to;
  if (reply->verdict != MSG_VERDICT_RECORDED)
    return;
  b->recorded++;
  b->verdict_wait_us += (guint64)(b->sim.clk.t - b->arrived_at[reply->ticket]);
  sim_after (&b->sim, sim_delay (&b->sim, EXECUTION_MAX_US), on_execution_end,
             pending_call_new (b, b->shards[owner->index], reply->ticket));
}

static void
on_request (void *ctx)
{
  struct bench *b = ctx;
  struct msg_ledger_record record
      = { .incarnation = 1700000000000000, .ticket = ++b->requests };
  if (b->sim.clk.t >= b->end_us)
    return;
  make_key (record.key, record.ticket);
  b->arrived_at[record.ticket] = b->sim.clk.t;
  guint owner = (guint)g_rand_int_range (b->sim.rand, 0, (gint32)b->owners);
  start_cpu_time (b);
  ledger_add_record (b->shards[owner], "kgn-1-a", &record);
  stop_cpu_time (b);
  double u = g_rand_double (b->sim.rand);
  double interval = -b->mean_interarrival_us * log (1 - u);
  sim_after (&b->sim, (gint64)interval, on_request, b);
}

static void
on_tick (void *ctx)
{
  struct bench *b = ctx;
  if (b->sim.clk.t >= b->end_us)
    return;
  start_cpu_time (b);
  for (guint i = 0; i < b->owners; i++)
    ledger_tick (b->shards[i]);
  stop_cpu_time (b);
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
  gsize heap_before = mallinfo2 ().uordblks;
  double keys = MIN ((double)b->recorded,
                     (double)b->options.retention_us / b->mean_interarrival_us);
  ledger_free (b->shards[0]);
  gsize heap_after = mallinfo2 ().uordblks;
  print (b, "memory", (double)(heap_before - heap_after) / (1024 * 1024),
         "MiB/shard");
  print (b, "memory_key", (double)(heap_before - heap_after) / keys,
         "bytes/key");
  b->shards[0] = ledger_new (&b->options);
  struct msg_ledger_record record
      = { .incarnation = 2, .ticket = b->requests + 1 };
  guint64 recorded = b->recorded;
  b->arrived_at[record.ticket] = start;
  record.key[0] = 1;
  ledger_add_record (b->shards[0], "kgn-1-a", &record);
  while (b->recorded == recorded)
    {
      sim_run (&b->sim, b->sim.clk.t + LEDGER_TICK_US);
      /* A second one in the first one's place once it has waited in vain. */
      if (ledger_idle (b->shards[0]))
        ledger_add_record (b->shards[0], "kgn-1-a", &record);
      start_cpu_time (b);
      ledger_tick (b->shards[0]);
      stop_cpu_time (b);
    }
  print (b, "takeover_reads", b->store.gets - gets, "reads/shard");
  print (b, "takeover_time", (double)(b->sim.clk.t - start) / (double)CLK_MS,
         "ms");
  print (b, "takeover_cpu", 1000 * (b->cpu_s - cpu), "ms");
}

static void
setup (struct bench *b, struct owner *owners)
{
  gsize requests = (gsize)((double)b->duration_us / b->mean_interarrival_us);
  sim_init (&b->sim, 1);
  sim_store_init (&b->store, &b->sim);
  b->store.delay = STORE_DELAY_MAX_US;
  b->end_us = b->sim.clk.t + b->duration_us;
  b->arrived_at = g_new (gint64, 2 * requests + 1000);
  b->options = (struct ledger_options){
    .clk = &b->sim.clk.clk,
    .counter_set = &b->counter_set,
    .retention_us = MIN (DAY_US, (gint64)(KEYS_MAX * b->mean_interarrival_us)),
    .start_request = start_store_request,
    .send_verdict = on_ledger_reply
  };
  for (guint i = 0; i < b->owners; i++)
    {
      owners[i] = (struct owner){ b, i };
      b->options.seed = i;
      b->options.ctx = &owners[i];
      b->shards[i] = ledger_new (&b->options);
    }
  b->options.ctx = &owners[0];
}

static void
report (const struct bench *b)
{
  double seconds = (double)b->duration_us / (double)CLK_S;
  double writes = (double)b->counter_set.v[COUNTER_LEDGER_WRITES];
  print (b, "retention",
         (double)b->options.retention_us / (double)(3600 * CLK_S), "h");
  print (b, "writes", LEDGER_SHARDS * writes / seconds, "writes/s");
  print (b, "reads", LEDGER_SHARDS * b->store.gets / seconds, "reads/s");
  print (b, "conflicts",
         100 * (double)b->counter_set.v[COUNTER_LEDGER_CONFLICTS] / writes,
         "%");
  print (b, "requests_write", (double)b->recorded / writes, "requests/write");
  print (b, "bytes_write", (double)b->store.put_bytes / writes, "bytes/write");
  print (b, "fresh", 100 * (double)b->recorded / (double)b->requests, "%");
  print (b, "wait",
         (double)b->verdict_wait_us / (double)b->recorded / (double)CLK_MS,
         "ms");
  print (b, "cpu", 1e6 * b->cpu_s / (double)b->recorded, "us/request");
}

static void
run (guint rate, guint n_owners)
{
  struct owner owners[OWNERS_MAX];
  struct bench *b = g_new0 (struct bench, 1);
  b->rate = rate;
  b->owners = n_owners;
  b->mean_interarrival_us = (double)CLK_S * LEDGER_SHARDS / rate;
  b->duration_us = n_owners > 1 ? SHARED_DURATION_US : DAY_US;
  setup (b, owners);
  on_request (b);
  on_tick (b);
  sim_run (&b->sim, b->end_us);
  report (b);
  if (n_owners == 1)
    take_over (b);
  for (guint i = 0; i < n_owners; i++)
    ledger_free (b->shards[i]);
  b->owners = 0;
  sim_run (&b->sim, b->sim.clk.t + 10 * CLK_S);
  sim_store_clear (&b->store);
  sim_clear (&b->sim);
  g_free (b->arrived_at);
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

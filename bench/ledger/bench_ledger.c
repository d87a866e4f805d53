/* Costs of one ledger shard: keyed requests and a store with a few milliseconds
   of delay, both simulated. Prints lines "name value unit". A name ends in the
   rate of keyed requests of all shards together, per second, and in "_xN" if N
   instances serve the shard at the same time.  */
#include "unit/sim.h"

#include "ledger/ledger.h"

#include <malloc.h>
#include <math.h>
#include <time.h>

#define DAY_US (24 * 3600 * CLK_S)
/* Simulated time with several owners; one owner runs for DAY_US. */
#define SHARED_DURATION_US (3600 * CLK_S)
#define OWNERS_MAX 11
/* Keys of a shard. At high rates the retention is shortened to keep to this. */
#define KEYS_MAX 800000
#define RESPONSE_BYTES 300
#define EXECUTION_MAX_US (1 * CLK_S)     /* of a request */
#define STORE_DELAY_MAX_US (10 * CLK_MS) /* each way; the mean is a third */
#define NS_PER_S 1000000000.0

struct bench
{
  struct sim sim;
  struct sim_store store;
  struct counter_set counter_set;
  struct ledger_options options;
  struct ledger_shard *shards[OWNERS_MAX];
  guint owners;
  guint rate;                  /* keyed requests per second, all shards */
  double mean_interarrival_us; /* between requests of this shard */
  gint64 duration_us;          /* of the run */
  gint64 end_us;               /* on the simulated clock */
  guint64 requests;            /* also the id of the latest request */
  guint64 recorded; /* requests with the verdict RECORDED, which are executed */
  guint64 verdict_wait_us; /* sum over the recorded requests */
  gint64 *arrived_at;      /* by request id, microseconds */
  double cpu_s;            /* processor time spent in the ledger */
  double cpu_start_s;
};

/* A call to the store or an execution that has not ended. */
struct pending_call
{
  struct bench *bench;
  struct ledger_shard *ledger_shard;
  guint64 token; /* of the call to the store, or request id */
};

static double
cpu_now (void)
{
  struct timespec t;
  clock_gettime (CLOCK_THREAD_CPUTIME_ID, &t);
  return (double)t.tv_sec + (double)t.tv_nsec / NS_PER_S;
}

static void
start_cpu_time (struct bench *bench)
{
  bench->cpu_start_s = cpu_now ();
}

static void
stop_cpu_time (struct bench *bench)
{
  bench->cpu_s += cpu_now () - bench->cpu_start_s;
}

static struct pending_call *
pending_call_new (struct bench *bench, struct ledger_shard *ledger_shard,
                  guint64 token)
{
  struct pending_call *call = g_new (struct pending_call, 1);
  *call = (struct pending_call){ bench, ledger_shard, token };
  return call;
}

/* Returns whether LEDGER_SHARD has not been freed. */
static gboolean
is_active (const struct bench *bench, const struct ledger_shard *ledger_shard)
{
  for (guint i = 0; i < bench->owners; i++)
    if (bench->shards[i] == ledger_shard)
      return TRUE;
  return FALSE;
}

static void
on_store_response (void *ctx, const struct storage_response *response)
{
  struct pending_call *call = ctx;
  start_cpu_time (call->bench);
  if (is_active (call->bench, call->ledger_shard))
    ledger_store_response (call->ledger_shard, call->token, response);
  stop_cpu_time (call->bench);
  g_free (call);
}

/* Context of the callbacks of one ledger shard: its owner. */
struct owner
{
  struct bench *bench;
  guint index;
};

/* The time of the simulated store does not count as time of the ledger. */
static void
start_store_request (void *ctx, guint64 token,
                     const struct storage_request *request)
{
  const struct owner *owner = ctx;
  struct bench *bench = owner->bench;
  stop_cpu_time (bench);
  sim_store_start (
      &bench->store, request, on_store_response,
      pending_call_new (bench, bench->shards[owner->index], token));
  start_cpu_time (bench);
}

/* Derives a distinct key from the id of a request. */
static void
make_key (guint8 key[MSG_KEY_BYTES], guint64 request_id)
{
  guint64 digest = str_hash (
      (struct str){ (const char *)&request_id, sizeof request_id }, 1);
  memcpy (key, &digest, sizeof digest);
  memcpy (key + sizeof digest, &request_id, sizeof request_id);
}

/* Records the result of a request at the end of its execution. */
static void
on_execution_end (void *ctx)
{
  struct pending_call *call = ctx;
  char text[RESPONSE_BYTES];
  memset (text, 'a', sizeof text);
  struct msg_ledger_result result
      = { .incarnation = 1700000000000000,
          .record_id = call->token,
          .status = 200,
          .content_type = STR_LIT ("application/json"),
          .response_body = { text, sizeof text } };
  make_key (result.key, call->token);
  start_cpu_time (call->bench);
  if (is_active (call->bench, call->ledger_shard))
    ledger_add_result (call->ledger_shard, "kgn-1-a", &result);
  stop_cpu_time (call->bench);
  g_free (call);
}

/* Executes a request that the ledger has recorded. */
static void
on_ledger_reply (void *ctx, const char *to,
                 const struct msg_ledger_reply *reply)
{
  const struct owner *owner = ctx;
  struct bench *bench = owner->bench;
  (void)to;
  if (reply->verdict != MSG_VERDICT_RECORDED)
    return;
  bench->recorded++;
  bench->verdict_wait_us
      += (guint64)(bench->sim.clk.t - bench->arrived_at[reply->record_id]);
  sim_after (
      &bench->sim, sim_delay (&bench->sim, EXECUTION_MAX_US), on_execution_end,
      pending_call_new (bench, bench->shards[owner->index], reply->record_id));
}

/* Sends a request with a new key to a random owner and schedules the next one;
   the intervals are exponentially distributed. */
static void
on_request (void *ctx)
{
  struct bench *bench = ctx;
  struct msg_ledger_record record
      = { .incarnation = 1700000000000000, .record_id = ++bench->requests };
  if (bench->sim.clk.t >= bench->end_us)
    return;
  make_key (record.key, record.record_id);
  bench->arrived_at[record.record_id] = bench->sim.clk.t;
  guint owner
      = (guint)g_rand_int_range (bench->sim.rand, 0, (gint32)bench->owners);
  start_cpu_time (bench);
  ledger_add_record (bench->shards[owner], "kgn-1-a", &record);
  stop_cpu_time (bench);
  double u = g_rand_double (bench->sim.rand);
  double interval = -bench->mean_interarrival_us * log (1 - u);
  sim_after (&bench->sim, (gint64)interval, on_request, bench);
}

static void
on_tick (void *ctx)
{
  struct bench *bench = ctx;
  if (bench->sim.clk.t >= bench->end_us)
    return;
  start_cpu_time (bench);
  for (guint i = 0; i < bench->owners; i++)
    ledger_tick (bench->shards[i]);
  stop_cpu_time (bench);
  sim_after (&bench->sim, LEDGER_TICK_US, on_tick, bench);
}

static void
print (const struct bench *bench, const char *name, double value,
       const char *unit)
{
  char owners[16] = "";
  if (bench->owners > 1)
    g_snprintf (owners, sizeof owners, "_x%u", bench->owners);
  g_print ("ledger_%s_%u%s %.6g %s\n", name, bench->rate, owners, value, unit);
}

/* Measures the memory of the shard, then replaces its owner and measures the
   time and the reads until the new owner has recorded a request. */
static void
take_over (struct bench *bench)
{
  double cpu = bench->cpu_s;
  guint gets = bench->store.gets;
  gint64 start = bench->sim.clk.t;
  gsize heap_before = mallinfo2 ().uordblks;
  double keys
      = MIN ((double)bench->recorded,
             (double)bench->options.retention_us / bench->mean_interarrival_us);
  ledger_free (bench->shards[0]);
  gsize heap_after = mallinfo2 ().uordblks;
  print (bench, "memory", (double)(heap_before - heap_after) / (1024 * 1024),
         "MiB/shard");
  print (bench, "memory_key", (double)(heap_before - heap_after) / keys,
         "bytes/key");
  bench->shards[0] = ledger_new (&bench->options);
  struct msg_ledger_record record
      = { .incarnation = 2, .record_id = bench->requests + 1 };
  guint64 recorded = bench->recorded;
  bench->arrived_at[record.record_id] = start;
  record.key[0] = 1;
  ledger_add_record (bench->shards[0], "kgn-1-a", &record);
  while (bench->recorded == recorded)
    {
      sim_run (&bench->sim, bench->sim.clk.t + LEDGER_TICK_US);
      /* The record was dropped when its wait timed out: send it again. */
      if (ledger_idle (bench->shards[0]))
        ledger_add_record (bench->shards[0], "kgn-1-a", &record);
      start_cpu_time (bench);
      ledger_tick (bench->shards[0]);
      stop_cpu_time (bench);
    }
  print (bench, "takeover_reads", bench->store.gets - gets, "reads/shard");
  print (bench, "takeover_time",
         (double)(bench->sim.clk.t - start) / (double)CLK_MS, "ms");
  print (bench, "takeover_cpu", 1000 * (bench->cpu_s - cpu), "ms");
}

static void
setup (struct bench *bench, struct owner *owners)
{
  gsize requests
      = (gsize)((double)bench->duration_us / bench->mean_interarrival_us);
  sim_init (&bench->sim, 1);
  sim_store_init (&bench->store, &bench->sim);
  bench->store.delay = STORE_DELAY_MAX_US;
  bench->end_us = bench->sim.clk.t + bench->duration_us;
  bench->arrived_at = g_new (gint64, 2 * requests + 1000);
  bench->options = (struct ledger_options){
    .clk = &bench->sim.clk.clk,
    .counter_set = &bench->counter_set,
    .retention_us
    = MIN (DAY_US, (gint64)(KEYS_MAX * bench->mean_interarrival_us)),
    .start_request = start_store_request,
    .send_reply = on_ledger_reply
  };
  for (guint i = 0; i < bench->owners; i++)
    {
      owners[i] = (struct owner){ bench, i };
      bench->options.seed = i;
      bench->options.ctx = &owners[i];
      bench->shards[i] = ledger_new (&bench->options);
    }
  bench->options.ctx = &owners[0];
}

static void
report (const struct bench *bench)
{
  double seconds = (double)bench->duration_us / (double)CLK_S;
  double writes = (double)bench->counter_set.v[COUNTER_LEDGER_WRITES];
  print (bench, "retention",
         (double)bench->options.retention_us / (double)(3600 * CLK_S), "h");
  print (bench, "writes", LEDGER_SHARDS * writes / seconds, "writes/s");
  print (bench, "reads", LEDGER_SHARDS * bench->store.gets / seconds,
         "reads/s");
  print (bench, "conflicts",
         100 * (double)bench->counter_set.v[COUNTER_LEDGER_CONFLICTS] / writes,
         "%");
  print (bench, "requests_write", (double)bench->recorded / writes,
         "requests/write");
  print (bench, "bytes_write", (double)bench->store.put_bytes / writes,
         "bytes/write");
  print (bench, "fresh",
         100 * (double)bench->recorded / (double)bench->requests, "%");
  print (bench, "wait",
         (double)bench->verdict_wait_us / (double)bench->recorded
             / (double)CLK_MS,
         "ms");
  print (bench, "cpu", 1e6 * bench->cpu_s / (double)bench->recorded,
         "us/request");
}

static void
run (guint rate, guint n_owners)
{
  struct owner owners[OWNERS_MAX];
  struct bench *bench = g_new0 (struct bench, 1);
  bench->rate = rate;
  bench->owners = n_owners;
  bench->mean_interarrival_us = (double)CLK_S * LEDGER_SHARDS / rate;
  bench->duration_us = n_owners > 1 ? SHARED_DURATION_US : DAY_US;
  setup (bench, owners);
  on_request (bench);
  on_tick (bench);
  sim_run (&bench->sim, bench->end_us);
  report (bench);
  if (n_owners == 1)
    take_over (bench);
  for (guint i = 0; i < n_owners; i++)
    ledger_free (bench->shards[i]);
  /* No shard is left; pending calls end without one. */
  bench->owners = 0;
  sim_run (&bench->sim, bench->sim.clk.t + 10 * CLK_S);
  sim_store_clear (&bench->store);
  sim_clear (&bench->sim);
  g_free (bench->arrived_at);
  g_free (bench);
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

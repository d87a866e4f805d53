/* Backend servers of the model. A plain server runs one request in each slot
   and queues the rest. An engine runs its requests in steps, in which it makes
   the next event of each prefilled request and prefills a chunk of the first
   others; it keeps the shared prefixes that it used last.  */
#include "policy/proxy_model.h"

#define STRIDE_TOKENS 5 /* of one event */
#define STEP_US (STRIDE_TOKENS * 3400)
#define STEP_SEQUENCE_US (STRIDE_TOKENS * 60) /* more for each sequence */
#define PREFILL_US_PER_TOKEN 22.6
#define CHUNK_TOKENS 2000.0
#define FETCH_SHARE 0.12   /* cost of a fetched token */
#define CACHED_PREFIXES 24 /* in an engine's memory */
#define PLAIN_SLOTS 8
#define ENGINE_SLOTS 64
#define WAITING_PER_SLOT 8 /* further requests are rejected */

const char *const proxy_service_names[] = {
#define PROXY_SERVICE_NAME(id, name) name,
  PROXY_SERVICES (PROXY_SERVICE_NAME)
#undef PROXY_SERVICE_NAME
};

void
proxy_server_init (struct proxy_server *server, struct proxy_world *world,
                   guint index)
{
  server->world = world;
  server->index = index;
  server->service = index < world->fleet->servers[PROXY_ENGINES] ? PROXY_ENGINES
                                                                 : PROXY_PLAIN;
  server->domain = index % world->fleet->domains;
  g_snprintf (server->id, sizeof server->id, "s-%u", index);
  server->slots = server->service == PROXY_ENGINES ? ENGINE_SLOTS : PLAIN_SLOTS;
  server->running = g_ptr_array_new ();
  server->waiting = g_ptr_array_new ();
  g_queue_init (&server->cached);
}

void
proxy_server_clear (struct proxy_server *server)
{
  g_ptr_array_unref (server->running);
  g_ptr_array_unref (server->waiting);
  g_queue_clear (&server->cached);
}

static struct proxy_answer
answer_of (const struct proxy_server *server)
{
  return (struct proxy_answer){ .leaving = server->leaving };
}

/* Makes KEY the most recently used prefix. Returns whether it was cached.  */
static gboolean
use_prefix (struct proxy_server *server, guint32 key)
{
  gboolean hit = g_queue_remove (&server->cached, GUINT_TO_POINTER (key));
  g_queue_push_head (&server->cached, GUINT_TO_POINTER (key));
  if (server->cached.length > CACHED_PREFIXES)
    g_queue_pop_tail (&server->cached);
  return hit;
}

/* Sets the tokens that ATTEMPT, which joins the batch, has to prefill.  */
static void
set_prefill (struct proxy_server *server, struct proxy_attempt *attempt)
{
  guint shared = prefix_shared_tokens (&attempt->prompt);
  guint32 key = prefix_shared_key (&attempt->prompt);
  const struct proxy_server *source = attempt->fetch_from;
  attempt->prefill_left = prefix_prompt_tokens (&attempt->prompt) - shared;
  if (use_prefix (server, key))
    return;
  gboolean fetched
      = source != NULL && !source->ended
        && g_queue_find ((GQueue *)&source->cached, GUINT_TO_POINTER (key));
  attempt->prefill_left += shared * (fetched ? FETCH_SHARE : 1.0);
}

/* Moves the first waiting attempt of the most urgent tier to the batch.  */
static void
admit_next (struct proxy_server *server)
{
  guint best = 0;
  for (guint i = 1; i < server->waiting->len; i++)
    {
      const struct proxy_attempt *a = g_ptr_array_index (server->waiting, i);
      const struct proxy_attempt *b = g_ptr_array_index (server->waiting, best);
      if (a->tier < b->tier)
        best = i;
    }
  struct proxy_attempt *attempt
      = g_ptr_array_remove_index (server->waiting, best);
  g_ptr_array_add (server->running, attempt);
  if (server->service == PROXY_ENGINES)
    set_prefill (server, attempt);
}

static void on_step (void *ctx, void *data);

/* Starts the next step of an engine that has work.  */
static void
start_step (struct proxy_server *server)
{
  double chunk = CHUNK_TOKENS;
  guint decoding = 0;
  if (server->in_step || server->ended)
    return;
  while (server->running->len < server->slots && server->waiting->len > 0)
    admit_next (server);
  if (server->running->len == 0)
    return;
  for (guint i = 0; i < server->running->len; i++)
    {
      struct proxy_attempt *attempt = g_ptr_array_index (server->running, i);
      attempt->prefilled = attempt->prefill_left <= 0;
      decoding += attempt->prefilled;
      double part = MIN (chunk, attempt->prefill_left);
      chunk -= part;
      attempt->prefill_left -= part;
    }
  double us = STEP_US + STEP_SEQUENCE_US * (double)decoding
              + PREFILL_US_PER_TOKEN * (CHUNK_TOKENS - chunk);
  server->in_step = TRUE;
  event_queue_add (&server->world->events, (gint64)us, on_step, server, NULL);
}

/* Ends a step: every attempt whose prefill is complete gets an event.  */
static void
on_step (void *ctx, void *data)
{
  struct proxy_server *server = ctx;
  struct proxy_answer answer = answer_of (server);
  (void)data;
  server->in_step = FALSE;
  if (server->ended)
    return;
  GPtrArray *batch = g_ptr_array_copy (server->running, NULL, NULL);
  for (guint i = 0; i < batch->len; i++)
    {
      struct proxy_attempt *attempt = g_ptr_array_index (batch, i);
      if (attempt->prefill_left > 0)
        continue;
      guint tokens = MIN (STRIDE_TOKENS, attempt->output_left);
      attempt->output_left -= tokens;
      proxy_exchange_event (attempt, tokens, &answer);
      if (attempt->output_left > 0)
        continue;
      g_ptr_array_remove (server->running, attempt);
      proxy_exchange_complete (attempt, &answer);
    }
  g_ptr_array_unref (batch);
  start_step (server);
}

static void start_plain (struct proxy_server *server);

static void
on_plain_done (void *ctx, void *data)
{
  struct proxy_attempt *attempt = data;
  struct proxy_server *server = ctx;
  struct proxy_answer answer = answer_of (server);
  if (!g_ptr_array_remove (server->running, attempt))
    return;
  proxy_exchange_complete (attempt, &answer);
  start_plain (server);
}

/* Runs waiting requests of a plain server in its free slots.  */
static void
start_plain (struct proxy_server *server)
{
  while (server->running->len < server->slots && server->waiting->len > 0)
    {
      admit_next (server);
      struct proxy_attempt *attempt
          = g_ptr_array_index (server->running, server->running->len - 1);
      event_queue_add (&server->world->events, attempt->service_us,
                       on_plain_done, server, attempt);
    }
}

static void
start_work (struct proxy_server *server)
{
  if (server->service == PROXY_ENGINES)
    start_step (server);
  else
    start_plain (server);
}

/* Counts a request that arrives at the server against what the server has told
   its instance.  */
static void
count_arrival (const struct proxy_attempt *attempt)
{
  const struct proxy_server *server = attempt->server;
  struct proxy_counts *counts = &server->world->counts;
  struct proxy_told *told = &attempt->instance->told[server->index];
  gint64 now = server->world->events.clk.t;
  counts->leaving_attempts += server->leaving;
  counts->drain_broken
      += told->leaving_from != 0 && now > told->leaving_from + PROXY_DRAIN_US;
  if (told->backoff_from == 0 || now >= told->backoff_until
      || now < told->backoff_from + PROXY_BACKOFF_NOTICE_US)
    return;
  counts->early++;
  counts->broken_windows += ++told->early == 3;
}

/* A request arrives at its server.  */
void
proxy_server_submit (struct proxy_attempt *attempt)
{
  struct proxy_server *server = attempt->server;
  struct proxy_answer answer = answer_of (server);
  if (server->ended)
    {
      proxy_exchange_failed (attempt, RETRY_RESULT_NOT_SENT, NULL);
      return;
    }
  count_arrival (attempt);
  if (server->world->events.clk.t < server->refuses_until)
    {
      answer.backoff_us = PROXY_BACKOFF_US;
      proxy_exchange_failed (attempt, RETRY_RESULT_REJECTED, &answer);
      return;
    }
  if (server->waiting->len >= WAITING_PER_SLOT * server->slots)
    {
      proxy_exchange_failed (attempt, RETRY_RESULT_REJECTED, &answer);
      return;
    }
  g_ptr_array_add (server->waiting, attempt);
  start_work (server);
}

/* The instance has reset the connection.  */
void
proxy_server_cancel (struct proxy_attempt *attempt)
{
  struct proxy_server *server = attempt->server;
  if (g_ptr_array_remove (server->waiting, attempt)
      || g_ptr_array_remove (server->running, attempt))
    start_work (server);
}

/* The server ends, and with it its connections.  */
void
proxy_server_end (struct proxy_server *server)
{
  server->ended = TRUE;
  for (guint i = 0; i < server->waiting->len; i++)
    g_ptr_array_add (server->running, g_ptr_array_index (server->waiting, i));
  g_ptr_array_set_size (server->waiting, 0);
  for (guint i = 0; i < server->running->len; i++)
    {
      server->world->counts.lost++;
      proxy_exchange_failed (g_ptr_array_index (server->running, i),
                             RETRY_RESULT_LOST, NULL);
    }
  g_ptr_array_set_size (server->running, 0);
}

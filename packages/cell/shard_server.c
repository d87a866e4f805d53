#include "cell/shard_server.h"

#include "cell/class_queue.h"

/* Time for which a target stays in force after its last request ended. */
#define SERVER_TARGET_HOLD_US (3 * CLK_S)
/* Length of the windows for the peak of requests in flight. */
#define SERVER_PEAK_WINDOW_US (3 * CLK_S)
/* Age from which a load report is ignored. */
#define SERVER_LOAD_AGE_MAX_US (5 * CLK_S)
/* A busy engine that sends no token for so long counts as stalled. */
#define SERVER_STALL_US (5 * CLK_S)
/* Used share of the KV cache from which it counts as full. */
#define SERVER_KV_FULL 0.95

/* Returns an idle server for CFG. The caller frees it with server_free.  */
struct shard_server *
server_new (const struct cluster_backend *cfg, gboolean engine, gint64 now)
{
  struct shard_server *server = g_new0 (struct shard_server, 1);
  server->cfg = *cfg;
  server->engine = engine;
  server->limit_scale = 1;
  g_queue_init (&server->in_flight);
  limiter_init (&server->limiter, cfg->max_running, now);
  server_health_init (&server->health, now);
  server->peak_start = now;
  server->load_at = now - SERVER_LOAD_AGE_MAX_US;
  return server;
}

void
server_free (struct shard_server *server)
{
  g_free (server);
}

/* Returns whether SERVER may get new requests at all.  */
gboolean
server_accepts (const struct shard_server *server)
{
  return !server->removed && !server->leaving && !server->cfg.drain;
}

/* Returns how many requests SERVER may have in flight: an adaptive limit for
   engines, the configured maximum for plain services.  */
guint
server_limit (const struct shard_server *server)
{
  if (!server->engine)
    return server->cfg.max_running;
  return limiter_value (&server->limiter, server->limit_scale,
                        server->cfg.max_running);
}

/* Returns how many more requests SERVER may get now. Requests of other senders
   count too, but an idle server keeps one free slot regardless, because load
   reports lag.  */
guint
server_free_slots (const struct shard_server *server)
{
  guint limit = server_accepts (server) ? server_limit (server) : 0;
  limit = server_health_slots (&server->health, limit);
  guint used = server->in_flight.length;
  if (used >= limit)
    return 0;
  return used == 0 ? MAX (1, limit - MIN (limit, server->foreign))
                   : limit - MIN (limit, used + server->foreign);
}

/* Counts REQUEST, granted or running, as in flight on SERVER.  */
void
server_add (struct shard_server *server, struct queued_request *request,
            gint64 now)
{
  request->server = server;
  if (server->in_flight.length == 0)
    server->last_active = now;
  g_queue_push_tail_link (&server->in_flight, &request->server_link);
  server->peak = MAX (server->peak, server->in_flight.length);
  limiter_record_in_flight (&server->limiter, server->in_flight.length);
  gint64 target = request->class ? request->class->cfg.tbt_us : 0;
  if (target > 0 && (server->target_us == 0 || target <= server->target_us))
    {
      server->target_us = target;
      server->target_at = now;
    }
}

void
server_remove (struct shard_server *server, struct queued_request *request)
{
  g_queue_unlink (&server->in_flight, &request->server_link);
  request->server = NULL;
}

/* Records TOKENS tokens of one request; TBT_US is the mean time between
   them.  */
void
server_add_tokens (struct shard_server *server, gint64 tbt_us, guint tokens,
                   gint64 now)
{
  if (tokens > 0)
    server->last_active = now;
  if (tokens == 0 || tbt_us <= 0)
    return;
  limiter_add_sample (&server->limiter, tbt_us, tokens,
                      server->in_flight.length);
  server_health_add_tbt (&server->health, tbt_us, server->in_flight.length);
}

/* Records the result of an attempt. Responses that a retry would not change,
   cancelled and unused attempts have no effect on the server's health.  */
void
server_add_result (struct shard_server *server,
                   const struct queued_request *request,
                   const struct msg_release *release)
{
  if (release->ttft_us > 0)
    server_health_add_ttft (&server->health, release->ttft_us,
                            request->prompt_tokens + request->resumed);
  switch (release->result)
    {
    case MSG_RESULT_OK:
      server_health_add_result (&server->health, SERVER_HEALTH_SUCCESS);
      break;
    case MSG_RESULT_NOT_SENT:
      server_health_add_result (&server->health, SERVER_HEALTH_UNREACHABLE);
      break;
    case MSG_RESULT_LEAVING:
      server->leaving = TRUE;
      server_health_add_result (&server->health, SERVER_HEALTH_FAILURE);
      break;
    case MSG_RESULT_BUSY:
    case MSG_RESULT_BROKEN:
    case MSG_RESULT_TIMED_OUT:
      server_health_add_result (&server->health, SERVER_HEALTH_FAILURE);
      break;
    case MSG_RESULT_UNUSED:
    case MSG_RESULT_REJECTED:
    case MSG_RESULT_CANCELLED:
    case MSG_RESULT_N:
      break;
    }
}

/* Records a load report. Requests beyond the recent peak of this owner's own
   are taken to be those of other senders.  */
void
server_set_load (struct shard_server *server, const struct shard_load *load,
                 gint64 now)
{
  guint own = MAX (server->peak, server->previous_peak);
  guint all = load->running + load->waiting;
  server->load = *load;
  server->load_at = now - MAX (0, load->age_us);
  server->foreign_at_load = all > own ? all - own : 0;
}

static double
load_weight (const struct shard_server *server, gint64 now)
{
  gint64 age = now - server->load_at;
  return age >= SERVER_LOAD_AGE_MAX_US
             ? 0
             : 1 - (double)age / SERVER_LOAD_AGE_MAX_US;
}

static gboolean
is_overloaded (const struct shard_server *server, gint64 now)
{
  return load_weight (server, now) > 0
         && (server->load.kv_used >= SERVER_KV_FULL
             || server->load.waiting > 0);
}

/* Sets the tightest target to that of the requests in flight; called at the end
   of each window of the limit.  */
static void
refresh_target (struct shard_server *server, gint64 now)
{
  gint64 tightest = 0;
  for (GList *l = server->in_flight.head; l; l = l->next)
    {
      const struct queued_request *request = l->data;
      gint64 target = request->class ? request->class->cfg.tbt_us : 0;
      if (target > 0 && (tightest == 0 || target < tightest))
        tightest = target;
    }
  if (tightest > 0 && tightest <= server->target_us)
    server->target_at = now;
  else if (now - server->target_at < SERVER_TARGET_HOLD_US)
    return;
  server->target_us = tightest;
}

static void
rotate_peak (struct shard_server *server, gint64 now)
{
  if (now - server->peak_start < SERVER_PEAK_WINDOW_US)
    return;
  server->previous_peak = server->peak;
  server->peak = server->in_flight.length;
  server->peak_start = now;
}

/* Adjusts the limit, ages the load report and detects a stall.  */
void
server_tick (struct shard_server *server, gint64 now)
{
  struct limiter_input state = { .now = now,
                                 .target_us = server->target_us,
                                 .scale = server->limit_scale,
                                 .max = server->cfg.max_running,
                                 .saturated = is_overloaded (server, now) };
  double weight = load_weight (server, now);
  server->foreign = (guint)(server->foreign_at_load * weight);
  server->health.stalled = server->engine && server->in_flight.length > 0
                           && now - server->last_active >= SERVER_STALL_US;
  rotate_peak (server, now);
  /* The samples of an ejected server are outdated. */
  if (server->health.state == SERVER_HEALTH_EJECTED)
    limiter_init (&server->limiter, server->cfg.max_running, now);
  if (limiter_adjust (&server->limiter, &state))
    {
      limiter_record_in_flight (&server->limiter, server->in_flight.length);
      refresh_target (server, now);
    }
}

#include "cell/shard_server.h"

#include "cell/class_queue.h"

#define SERVER_TARGET_HOLD_US (3 * CLK_S) /* a target counts after its work */
#define SERVER_PEAK_WINDOW_US (3 * CLK_S) /* window of the peak in flight */
#define SERVER_LOAD_AGE_MAX_US                                                 \
  (5 * CLK_S)                       /* age at which a report is worthless */
#define SERVER_STALL_US (5 * CLK_S) /* without a token from any request */
#define SERVER_KV_FULL 0.95         /* share of the KV cache */

/* Returns an idle server for CFG; freed by server_free.  */
struct shard_server *
server_new (const struct cfg_backend *cfg, gboolean engine, gint64 now)
{
  struct shard_server *shard_server = g_new0 (struct shard_server, 1);
  shard_server->cfg = *cfg;
  shard_server->engine = engine;
  shard_server->scale = 1;
  g_queue_init (&shard_server->in_flight);
  lim_init (&shard_server->lim, cfg->max_running, now);
  hea_init (&shard_server->hea, now);
  shard_server->peak_start = now;
  shard_server->load_at = now - SERVER_LOAD_AGE_MAX_US;
  return shard_server;
}

void
server_free (struct shard_server *shard_server)
{
  g_free (shard_server);
}

/* Tells whether SRV may get new work at all.  */
gboolean
server_accepts (const struct shard_server *shard_server)
{
  return !shard_server->gone && !shard_server->leaving
         && !shard_server->cfg.drain;
}

/* Returns how many requests SRV may have in flight: adaptive for engines, the
   hard limit for services.  */
guint
server_limit (const struct shard_server *shard_server)
{
  if (!shard_server->engine)
    return shard_server->cfg.max_running;
  return lim_value (&shard_server->lim, shard_server->scale,
                    shard_server->cfg.max_running);
}

/* Returns how many more requests SRV may be given now. What others run there
   counts too; one slot is left in spite of it, as reports lag.  */
guint
server_free_slots (const struct shard_server *shard_server)
{
  guint limit = server_accepts (shard_server) ? server_limit (shard_server) : 0;
  limit = hea_slots (&shard_server->hea, limit);
  guint used = shard_server->in_flight.length;
  if (used >= limit)
    return 0;
  return used == 0 ? MAX (1, limit - MIN (limit, shard_server->foreign))
                   : limit - MIN (limit, used + shard_server->foreign);
}

/* Counts TKT, granted or running, on SRV.  */
void
server_add (struct shard_server *shard_server,
            struct queued_request *queued_request, gint64 now)
{
  queued_request->shard_server = shard_server;
  if (shard_server->in_flight.length == 0)
    shard_server->active = now;
  g_queue_push_tail_link (&shard_server->in_flight,
                          &queued_request->server_link);
  shard_server->peak = MAX (shard_server->peak, shard_server->in_flight.length);
  lim_count (&shard_server->lim, shard_server->in_flight.length);
  gint64 target = queued_request->class_queue
                      ? queued_request->class_queue->cfg.tbt_us
                      : 0;
  if (target > 0
      && (shard_server->target_us == 0 || target <= shard_server->target_us))
    {
      shard_server->target_us = target;
      shard_server->target_seen = now;
    }
}

void
server_remove (struct shard_server *shard_server,
               struct queued_request *queued_request)
{
  g_queue_unlink (&shard_server->in_flight, &queued_request->server_link);
  queued_request->shard_server = NULL;
}

/* Takes a mean of TBT_US over TOKENS tokens of one request.  */
void
server_add_tokens (struct shard_server *shard_server, gint64 tbt_us,
                   guint tokens, gint64 now)
{
  if (tokens > 0)
    shard_server->active = now;
  if (tokens == 0 || tbt_us <= 0)
    return;
  lim_sample (&shard_server->lim, tbt_us, tokens,
              shard_server->in_flight.length);
  hea_tbt (&shard_server->hea, tbt_us, shard_server->in_flight.length);
}

/* Learns from how an attempt ended. Answers that a retry would not change,
   cancelled and unused attempts say nothing of the server.  */
void
server_add_result (struct shard_server *shard_server,
                   const struct queued_request *queued_request,
                   const struct msg_release *release)
{
  if (release->ttft_us > 0)
    hea_ttft (&shard_server->hea, release->ttft_us,
              queued_request->prompt_tokens);
  switch (release->result)
    {
    case MSG_RESULT_OK:
      hea_result (&shard_server->hea, HEA_PASSED);
      break;
    case MSG_RESULT_NOT_SENT:
      hea_result (&shard_server->hea, HEA_UNREACHABLE);
      break;
    case MSG_RESULT_LEAVING:
      shard_server->leaving = TRUE;
      hea_result (&shard_server->hea, HEA_FAILED);
      break;
    case MSG_RESULT_BUSY:
    case MSG_RESULT_BROKEN:
    case MSG_RESULT_TIMED_OUT:
      hea_result (&shard_server->hea, HEA_FAILED);
      break;
    case MSG_RESULT_UNUSED:
    case MSG_RESULT_REJECTED:
    case MSG_RESULT_CANCELLED:
    case MSG_RESULT_N:
      break;
    }
}

/* Takes a load report. Requests beyond the most that this owner had in flight
   of late are others'.  */
void
server_set_load (struct shard_server *shard_server,
                 const struct shard_load *load, gint64 now)
{
  guint own = MAX (shard_server->peak, shard_server->peak_before);
  guint all = load->running + load->waiting;
  shard_server->load = *load;
  shard_server->load_at = now - MAX (0, load->age_us);
  shard_server->foreign_at_load = all > own ? all - own : 0;
}

static double
load_worth (const struct shard_server *shard_server, gint64 now)
{
  gint64 age = now - shard_server->load_at;
  return age >= SERVER_LOAD_AGE_MAX_US
             ? 0
             : 1 - (double)age / SERVER_LOAD_AGE_MAX_US;
}

static gboolean
is_pressed (const struct shard_server *shard_server, gint64 now)
{
  return load_worth (shard_server, now) > 0
         && (shard_server->load.kv_used >= SERVER_KV_FULL
             || shard_server->load.waiting > 0);
}

/* Finds the tightest target among the work in flight, each time a window of
   the limit is over.  */
static void
refresh_target (struct shard_server *shard_server, gint64 now)
{
  gint64 tightest = 0;
  for (GList *l = shard_server->in_flight.head; l; l = l->next)
    {
      const struct queued_request *queued_request = l->data;
      gint64 target = queued_request->class_queue
                          ? queued_request->class_queue->cfg.tbt_us
                          : 0;
      if (target > 0 && (tightest == 0 || target < tightest))
        tightest = target;
    }
  if (tightest > 0 && tightest <= shard_server->target_us)
    shard_server->target_seen = now;
  else if (now - shard_server->target_seen < SERVER_TARGET_HOLD_US)
    return;
  shard_server->target_us = tightest;
}

static void
rotate_peak (struct shard_server *shard_server, gint64 now)
{
  if (now - shard_server->peak_start < SERVER_PEAK_WINDOW_US)
    return;
  shard_server->peak_before = shard_server->peak;
  shard_server->peak = shard_server->in_flight.length;
  shard_server->peak_start = now;
}

/* Adjusts the limit and ages the load report.  */
void
server_tick (struct shard_server *shard_server, gint64 now)
{
  struct lim_state state = { .now = now,
                             .target_us = shard_server->target_us,
                             .scale = shard_server->scale,
                             .max = shard_server->cfg.max_running,
                             .pressed = is_pressed (shard_server, now) };
  double worth = load_worth (shard_server, now);
  shard_server->foreign = (guint)(shard_server->foreign_at_load * worth);
  shard_server->hea.stalled = shard_server->engine
                              && shard_server->in_flight.length > 0
                              && now - shard_server->active >= SERVER_STALL_US;
  rotate_peak (shard_server, now);
  if (shard_server->hea.state == HEA_EJECTED) /* its samples are of the past */
    lim_init (&shard_server->lim, shard_server->cfg.max_running, now);
  if (lim_adjust (&shard_server->lim, &state))
    {
      lim_count (&shard_server->lim, shard_server->in_flight.length);
      refresh_target (shard_server, now);
    }
}

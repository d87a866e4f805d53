#include "cell/srv.h"

#include "cell/cls.h"

#define SRV_TARGET_HOLD_US (3 * CLK_S) /* a target counts after its work */
#define SRV_PEAK_US (3 * CLK_S)        /* window of the peak in flight */
#define SRV_LOAD_AGE_US (5 * CLK_S)    /* age at which a report is worthless */
#define SRV_STALL_US (5 * CLK_S)       /* without a token from any request */
#define SRV_KV_FULL 0.95               /* share of the KV cache */

/* Returns an idle server for CFG; freed by srv_free.  */
struct srv *
srv_new (const struct cluster_backend *cfg, gboolean engine, gint64 now)
{
  struct srv *srv = g_new0 (struct srv, 1);
  srv->cfg = *cfg;
  srv->engine = engine;
  srv->scale = 1;
  g_queue_init (&srv->in_flight);
  concurrency_limit_init (&srv->concurrency_limit, cfg->max_running, now);
  server_health_init (&srv->server_health, now);
  srv->peak_start = now;
  srv->load_at = now - SRV_LOAD_AGE_US;
  return srv;
}

void
srv_free (struct srv *srv)
{
  g_free (srv);
}

/* Tells whether SRV may get new work at all.  */
gboolean
srv_takes_work (const struct srv *srv)
{
  return !srv->gone && !srv->leaving && !srv->cfg.drain;
}

/* Returns how many requests SRV may have in flight: adaptive for engines, the
   hard limit for services.  */
guint
srv_limit (const struct srv *srv)
{
  if (!srv->engine)
    return srv->cfg.max_running;
  return concurrency_limit_value (&srv->concurrency_limit, srv->scale,
                                  srv->cfg.max_running);
}

/* Returns how many more requests SRV may be given now. What others run there
   counts too; one slot is left in spite of it, as reports lag.  */
guint
srv_free_slots (const struct srv *srv)
{
  guint limit = srv_takes_work (srv) ? srv_limit (srv) : 0;
  limit = server_health_slots (&srv->server_health, limit);
  guint used = srv->in_flight.length;
  if (used >= limit)
    return 0;
  return used == 0 ? MAX (1, limit - MIN (limit, srv->foreign))
                   : limit - MIN (limit, used + srv->foreign);
}

/* Counts TKT, granted or running, on SRV.  */
void
srv_take (struct srv *srv, struct tkt *tkt, gint64 now)
{
  tkt->srv = srv;
  if (srv->in_flight.length == 0)
    srv->active = now;
  g_queue_push_tail_link (&srv->in_flight, &tkt->srv_link);
  srv->peak = MAX (srv->peak, srv->in_flight.length);
  concurrency_limit_record_in_flight (&srv->concurrency_limit,
                                      srv->in_flight.length);
  gint64 target = tkt->cls ? tkt->cls->cfg.tbt_us : 0;
  if (target > 0 && (srv->target_us == 0 || target <= srv->target_us))
    {
      srv->target_us = target;
      srv->target_seen = now;
    }
}

void
srv_drop (struct srv *srv, struct tkt *tkt)
{
  g_queue_unlink (&srv->in_flight, &tkt->srv_link);
  tkt->srv = NULL;
}

/* Takes a mean of TBT_US over TOKENS tokens of one request.  */
void
srv_tokens (struct srv *srv, gint64 tbt_us, guint tokens, gint64 now)
{
  if (tokens > 0)
    srv->active = now;
  if (tokens == 0 || tbt_us <= 0)
    return;
  concurrency_limit_add_sample (&srv->concurrency_limit, tbt_us, tokens,
                                srv->in_flight.length);
  server_health_add_tbt (&srv->server_health, tbt_us, srv->in_flight.length);
}

/* Learns from how an attempt ended. Answers that a retry would not change,
   cancelled and unused attempts say nothing of the server.  */
void
srv_result (struct srv *srv, const struct tkt *tkt,
            const struct msg_release *release)
{
  if (release->ttft_us > 0)
    server_health_add_ttft (&srv->server_health, release->ttft_us,
                            tkt->prompt_tokens);
  switch (release->result)
    {
    case MSG_RESULT_OK:
      server_health_add_result (&srv->server_health, SERVER_HEALTH_SUCCESS);
      break;
    case MSG_RESULT_NOT_SENT:
      server_health_add_result (&srv->server_health, SERVER_HEALTH_UNREACHABLE);
      break;
    case MSG_RESULT_LEAVING:
      srv->leaving = TRUE;
      server_health_add_result (&srv->server_health, SERVER_HEALTH_FAILURE);
      break;
    case MSG_RESULT_BUSY:
    case MSG_RESULT_BROKEN:
    case MSG_RESULT_TIMED_OUT:
      server_health_add_result (&srv->server_health, SERVER_HEALTH_FAILURE);
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
srv_load (struct srv *srv, const struct cel_load *load, gint64 now)
{
  guint own = MAX (srv->peak, srv->peak_before);
  guint all = load->running + load->waiting;
  srv->load = *load;
  srv->load_at = now - MAX (0, load->age_us);
  srv->foreign_at_load = all > own ? all - own : 0;
}

static double
load_worth (const struct srv *srv, gint64 now)
{
  gint64 age = now - srv->load_at;
  return age >= SRV_LOAD_AGE_US ? 0 : 1 - (double)age / SRV_LOAD_AGE_US;
}

static gboolean
is_pressed (const struct srv *srv, gint64 now)
{
  return load_worth (srv, now) > 0
         && (srv->load.kv_used >= SRV_KV_FULL || srv->load.waiting > 0);
}

/* Finds the tightest target among the work in flight, each time a window of
   the limit is over.  */
static void
refresh_target (struct srv *srv, gint64 now)
{
  gint64 tightest = 0;
  for (GList *l = srv->in_flight.head; l; l = l->next)
    {
      const struct tkt *tkt = l->data;
      gint64 target = tkt->cls ? tkt->cls->cfg.tbt_us : 0;
      if (target > 0 && (tightest == 0 || target < tightest))
        tightest = target;
    }
  if (tightest > 0 && tightest <= srv->target_us)
    srv->target_seen = now;
  else if (now - srv->target_seen < SRV_TARGET_HOLD_US)
    return;
  srv->target_us = tightest;
}

static void
rotate_peak (struct srv *srv, gint64 now)
{
  if (now - srv->peak_start < SRV_PEAK_US)
    return;
  srv->peak_before = srv->peak;
  srv->peak = srv->in_flight.length;
  srv->peak_start = now;
}

/* Adjusts the limit and ages the load report.  */
void
srv_tick (struct srv *srv, gint64 now)
{
  struct concurrency_limit_input state = { .now = now,
                                           .target_us = srv->target_us,
                                           .scale = srv->scale,
                                           .max = srv->cfg.max_running,
                                           .saturated = is_pressed (srv, now) };
  double worth = load_worth (srv, now);
  srv->foreign = (guint)(srv->foreign_at_load * worth);
  srv->server_health.stalled = srv->engine && srv->in_flight.length > 0
                               && now - srv->active >= SRV_STALL_US;
  rotate_peak (srv, now);
  if (srv->server_health.state
      == SERVER_HEALTH_EJECTED) /* its samples are of the past */
    concurrency_limit_init (&srv->concurrency_limit, srv->cfg.max_running, now);
  if (concurrency_limit_adjust (&srv->concurrency_limit, &state))
    {
      concurrency_limit_record_in_flight (&srv->concurrency_limit,
                                          srv->in_flight.length);
      refresh_target (srv, now);
    }
}

#include "cell/srv.h"

/* Returns an idle server for CFG; freed by srv_free.  */
struct srv *
srv_new (const struct cfg_backend *cfg)
{
  struct srv *srv = g_new0 (struct srv, 1);
  srv->cfg = *cfg;
  g_queue_init (&srv->in_flight);
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

/* Returns how many requests SRV may have in flight.  */
guint
srv_limit (const struct srv *srv)
{
  return srv->cfg.max_running;
}

/* Returns how many more requests SRV may be given now.  */
guint
srv_free_slots (const struct srv *srv)
{
  guint limit = srv_takes_work (srv) ? srv_limit (srv) : 0;
  guint used = srv->in_flight.length;
  return used < limit ? limit - used : 0;
}

/* Counts TKT, granted or running, on SRV.  */
void
srv_take (struct srv *srv, struct tkt *tkt)
{
  tkt->srv = srv;
  g_queue_push_tail_link (&srv->in_flight, &tkt->srv_link);
}

void
srv_drop (struct srv *srv, struct tkt *tkt)
{
  g_queue_unlink (&srv->in_flight, &tkt->srv_link);
  tkt->srv = NULL;
}

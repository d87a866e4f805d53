#include "cell/cel.h"

#include "cell/cel_int.h"

#include <string.h>

static gint
by_deadline (gconstpointer a, gconstpointer b, gpointer unused)
{
  (void)unused;
  const struct tkt *x = a;
  const struct tkt *y = b;
  return (x->deadline > y->deadline) - (x->deadline < y->deadline);
}

static void
send_grant (struct cel *cel, const struct tkt *tkt)
{
  struct msg msg = { .kind = MSG_GRANT };
  msg.grant.ticket = tkt->id;
  msg.grant.backend = tkt->srv->cfg.name;
  msg.grant.priority = tkt->cls ? tkt->cls->cfg.tier : CFG_TIERS_MAX - 1;
  msg.grant.use_within_us = CEL_USE_WITHIN_US;
  cel->send (cel->ctx, tkt->ent->id.s, &msg);
}

static void
send_refuse (struct cel *cel, const char *to, guint64 ticket,
             enum msg_reason reason)
{
  struct msg msg = { .kind = MSG_REFUSE };
  msg.refuse.ticket = ticket;
  msg.refuse.reason = reason;
  msg.refuse.retry_after_us = CEL_RETRY_MIN_US;
  ctr_add (cel->ctr, CTR_REFUSALS, 1);
  cel->send (cel->ctx, to, &msg);
}

static void
unqueue (struct tkt *tkt)
{
  cls_remove (tkt->cls, tkt);
  g_sequence_remove (tkt->in_deadline);
  tkt->in_deadline = NULL;
}

/* Forgets TKT in whatever state it is, without a message.  */
static void
drop (struct cel *cel, struct tkt *tkt)
{
  if (tkt->state == TKT_WAITING)
    unqueue (tkt);
  else
    {
      srv_drop (tkt->srv, tkt);
      if (tkt->cls)
        tkt->cls->n_running--;
    }
  tkt_remove (&cel->tickets, tkt);
}

/* Gives TKT its final word: a refusal.  */
static void
refuse (struct cel *cel, struct tkt *tkt, enum msg_reason reason)
{
  struct str_id to = tkt->ent->id;
  guint64 id = tkt->id;
  drop (cel, tkt);
  send_refuse (cel, to.s, id, reason);
}

static gboolean
avoids (const struct tkt *tkt, const struct srv *srv)
{
  for (guint i = 0; i < MSG_AVOID_MAX && tkt->avoid[i].s[0]; i++)
    if (strcmp (tkt->avoid[i].s, srv->cfg.name.s) == 0)
      return TRUE;
  return FALSE;
}

static struct srv *
choose_server (struct cel *cel, const struct tkt *tkt)
{
  struct srv *best = NULL;
  for (guint i = 0; i < cel->servers->len; i++)
    {
      struct srv *srv = cel->servers->pdata[i];
      if (srv_free_slots (srv) == 0 || avoids (tkt, srv))
        continue;
      if (!best || srv_free_slots (srv) > srv_free_slots (best))
        best = srv;
    }
  return best;
}

static void
grant (struct cel *cel, struct tkt *tkt, struct srv *srv)
{
  unqueue (tkt);
  tkt->state = TKT_GRANTED;
  tkt->granted = clk_now (cel->clk);
  srv_take (srv, tkt);
  tkt->cls->n_running++;
  ctr_add (cel->ctr, CTR_GRANTS, 1);
  send_grant (cel, tkt);
}

/* Starts the first ticket in tier order that some server can take.  */
static gboolean
start_one (struct cel *cel)
{
  for (guint i = 0; i < cel->classes->len; i++)
    {
      struct tkt *tkt = cls_oldest (cel->classes->pdata[i]);
      struct srv *srv = tkt ? choose_server (cel, tkt) : NULL;
      if (srv)
        {
          grant (cel, tkt, srv);
          return TRUE;
        }
    }
  return FALSE;
}

static void
pump (struct cel *cel)
{
  while (start_one (cel))
    ;
}

static struct cls *
find_class (const struct cel *cel, const char *name)
{
  for (guint i = 0; i < cel->classes->len; i++)
    {
      struct cls *cls = cel->classes->pdata[i];
      if (strcmp (cls->cfg.name.s, name) == 0)
        return cls;
    }
  return NULL;
}

static struct srv *
find_server (const struct cel *cel, const char *name)
{
  for (guint i = 0; i < cel->servers->len; i++)
    {
      struct srv *srv = cel->servers->pdata[i];
      if (strcmp (srv->cfg.name.s, name) == 0)
        return srv;
    }
  return NULL;
}

static gint
by_tier (gconstpointer a, gconstpointer b)
{
  const struct cls *x = *(struct cls *const *)a;
  const struct cls *y = *(struct cls *const *)b;
  if (x->cfg.tier != y->cfg.tier)
    return x->cfg.tier < y->cfg.tier ? -1 : 1;
  return strcmp (x->cfg.name.s, y->cfg.name.s);
}

static void
class_gone (struct cel *cel, struct cls *cls)
{
  struct tkt *tkt;
  while ((tkt = cls_oldest (cls)))
    refuse (cel, tkt, MSG_REASON_NO_SERVER);
  for (GList *l = cel->tickets.by_heard.head; l; l = l->next)
    {
      tkt = l->data;
      if (tkt->cls == cls)
        tkt->cls = NULL;
    }
  g_ptr_array_remove (cel->classes, cls);
  cls_free (cls);
}

static void
take_classes (struct cel *cel, const struct cfg *cfg)
{
  for (guint i = cel->classes->len; i-- > 0;)
    {
      struct cls *cls = cel->classes->pdata[i];
      gboolean kept = FALSE;
      for (guint j = 0; j < cfg->n_classes && !kept; j++)
        kept = strcmp (cls->cfg.name.s, cfg->classes[j].name.s) == 0;
      if (!kept)
        class_gone (cel, cls);
    }
  for (guint j = 0; j < cfg->n_classes; j++)
    {
      struct cls *cls = find_class (cel, cfg->classes[j].name.s);
      if (cls)
        cls->cfg = cfg->classes[j];
      else
        g_ptr_array_add (cel->classes, cls_new (&cfg->classes[j]));
    }
  g_ptr_array_sort (cel->classes, by_tier);
}

static gboolean
in_cell (const struct cel *cel, const struct cfg *cfg, guint backend)
{
  guint cell = cfg->backends[backend].cell;
  return cell < cfg->n_cells
         && strcmp (cfg->cells[cell].name.s, cel->cell.s) == 0;
}

static void
free_idle_gone (struct cel *cel)
{
  for (guint i = cel->servers->len; i-- > 0;)
    {
      struct srv *srv = cel->servers->pdata[i];
      if (!srv->gone || srv->in_flight.length > 0)
        continue;
      g_ptr_array_remove_index (cel->servers, i);
      srv_free (srv);
    }
}

static void
take_servers (struct cel *cel, const struct cfg *cfg)
{
  for (guint i = 0; i < cel->servers->len; i++)
    ((struct srv *)cel->servers->pdata[i])->gone = TRUE;
  for (guint j = 0; j < cfg->n_backends; j++)
    {
      if (!in_cell (cel, cfg, j))
        continue;
      struct srv *srv = find_server (cel, cfg->backends[j].name.s);
      if (!srv)
        g_ptr_array_add (cel->servers, srv = srv_new (&cfg->backends[j]));
      srv->cfg = cfg->backends[j];
      srv->gone = FALSE;
    }
  free_idle_gone (cel);
}

/* Takes over configuration CFG. Servers that left it take no new work and
   count their running work to its end. Waiting tickets of a class that left
   it are refused with NO_SERVER; its running work goes on.  */
void
cel_set_config (struct cel *cel, struct cfg *cfg)
{
  struct cfg *old = cel->cfg;
  cel->cfg = cfg_ref (cfg);
  if (old)
    cfg_unref (old);
  take_classes (cel, cfg);
  take_servers (cel, cfg);
  pump (cel);
}

/* Returns the owner of a cell without tickets; freed by cel_free.  */
struct cel *
cel_new (const struct cel_options *options)
{
  struct cel *cel = g_new0 (struct cel, 1);
  cel->clk = options->clk;
  cel->rand = g_rand_new_with_seed (options->seed);
  cel->ctr = options->ctr;
  cel->cell = options->cell;
  cel->send = options->send;
  cel->ctx = options->ctx;
  cel->classes = g_ptr_array_new ();
  cel->servers = g_ptr_array_new ();
  cel->deadlines = g_sequence_new (NULL);
  tkt_table_init (&cel->tickets);
  cel_set_config (cel, options->cfg);
  return cel;
}

void
cel_free (struct cel *cel)
{
  if (!cel)
    return;
  g_sequence_free (cel->deadlines);
  for (guint i = 0; i < cel->classes->len; i++)
    cls_free (cel->classes->pdata[i]);
  for (guint i = 0; i < cel->servers->len; i++)
    srv_free (cel->servers->pdata[i]);
  g_ptr_array_free (cel->classes, TRUE);
  g_ptr_array_free (cel->servers, TRUE);
  tkt_table_clear (&cel->tickets);
  g_rand_free (cel->rand);
  cfg_unref (cel->cfg);
  g_free (cel);
}

static void
fill_ticket (struct cel *cel, struct tkt *tkt, const struct msg_offer *offer)
{
  gint64 now = clk_now (cel->clk);
  tkt->arrived = now - MAX (0, offer->waited_us);
  tkt->deadline = now + MAX (0, offer->wait_us);
  tkt->prefix = offer->prefix;
  tkt->prompt_tokens = offer->prompt_tokens;
  tkt->generated = offer->generated;
  tkt->resumable = offer->resumable;
  memcpy (tkt->avoid, offer->avoid, sizeof tkt->avoid);
}

static void
enqueue (struct cel *cel, struct tkt *tkt, struct cls *cls)
{
  tkt->state = TKT_WAITING;
  cls_push (cls, tkt);
  tkt->in_deadline
      = g_sequence_insert_sorted (cel->deadlines, tkt, by_deadline, NULL);
}

/* Counts work that already runs, as an entry tells a new owner.  */
static void
offer_running (struct cel *cel, const char *from, const struct msg_offer *offer)
{
  struct srv *srv = find_server (cel, offer->running.s);
  struct tkt *tkt
      = srv ? tkt_add (&cel->tickets, from, offer->ticket, clk_now (cel->clk))
            : NULL;
  if (!tkt)
    return;
  fill_ticket (cel, tkt, offer);
  tkt->state = TKT_RUNNING;
  tkt->cls = find_class (cel, offer->class_name.s);
  if (tkt->cls)
    tkt->cls->n_running++;
  srv_take (srv, tkt);
}

/* Handles an OFFER for a known ticket: a waiting one is updated, a grant that
   the entry does not know of is sent again.  */
static void
offer_again (struct cel *cel, const char *from, struct tkt *tkt,
             const struct msg_offer *offer)
{
  tkt_touch (&cel->tickets, tkt, clk_now (cel->clk));
  if (tkt->state == TKT_WAITING && !offer->running.s[0])
    {
      struct cls *cls = tkt->cls;
      unqueue (tkt);
      fill_ticket (cel, tkt, offer);
      enqueue (cel, tkt, cls);
    }
  else if (tkt->state == TKT_WAITING)
    {
      drop (cel, tkt);
      offer_running (cel, from, offer);
    }
  else if (offer->running.s[0])
    tkt->state = TKT_RUNNING;
  else
    {
      tkt->state = TKT_GRANTED;
      tkt->granted = clk_now (cel->clk);
      send_grant (cel, tkt);
    }
}

/* Takes a ticket: queues it, grants it, or refuses it at once.  */
void
cel_offer (struct cel *cel, const char *from, const struct msg_offer *offer)
{
  struct tkt *tkt = tkt_find (&cel->tickets, from, offer->ticket);
  struct cls *cls = find_class (cel, offer->class_name.s);
  if (tkt)
    offer_again (cel, from, tkt, offer);
  else if (offer->running.s[0])
    offer_running (cel, from, offer);
  else if (!cls)
    send_refuse (cel, from, offer->ticket, MSG_REASON_NO_SERVER);
  else if (cls_n_waiting (cls) >= cls->cfg.max_waiting)
    send_refuse (cel, from, offer->ticket, MSG_REASON_OVERLOAD);
  else if (!(tkt = tkt_add (&cel->tickets, from, offer->ticket,
                            clk_now (cel->clk))))
    send_refuse (cel, from, offer->ticket, MSG_REASON_OVERLOAD);
  else
    {
      fill_ticket (cel, tkt, offer);
      enqueue (cel, tkt, cls);
      pump (cel);
    }
}

/* Forgets a ticket that its entry gave up.  */
void
cel_withdraw (struct cel *cel, const char *from, guint64 ticket)
{
  struct tkt *tkt = tkt_find (&cel->tickets, from, ticket);
  if (!tkt)
    return;
  drop (cel, tkt);
  free_idle_gone (cel);
  pump (cel);
}

/* Keeps an entry's tickets alive and learns what its streams produced.  */
void
cel_progress (struct cel *cel, const char *from,
              const struct msg_progress *progress)
{
  gint64 now = clk_now (cel->clk);
  for (guint i = 0; i < progress->n_items; i++)
    {
      struct tkt *tkt
          = tkt_find (&cel->tickets, from, progress->items[i].ticket);
      if (!tkt)
        continue;
      tkt_touch (&cel->tickets, tkt, now);
      if (tkt->state == TKT_GRANTED && now - tkt->granted >= CEL_USE_SEEN_US)
        tkt->state = TKT_RUNNING;
      tkt->generated += progress->items[i].tokens;
    }
}

/* Frees the slot of a ticket whose attempt ended.  */
void
cel_release (struct cel *cel, const char *from,
             const struct msg_release *release)
{
  struct tkt *tkt = tkt_find (&cel->tickets, from, release->ticket);
  if (!tkt)
    return;
  if (release->result == MSG_RESULT_LEAVING && tkt->srv)
    tkt->srv->leaving = TRUE;
  drop (cel, tkt);
  free_idle_gone (cel);
  pump (cel);
}

/* Drops all tickets of an entry instance that is down or was restarted.  */
void
cel_entry_lost (struct cel *cel, const char *from)
{
  struct ent *ent;
  while ((ent = tkt_entry (&cel->tickets, from)))
    drop (cel, ent->tickets.head->data);
  free_idle_gone (cel);
  pump (cel);
}

/* Marks BACKEND leaving or back; a leaving one gets no new work.  */
void
cel_set_leaving (struct cel *cel, const char *backend, gboolean leaving)
{
  struct srv *srv = find_server (cel, backend);
  if (!srv)
    return;
  srv->leaving = leaving;
  pump (cel);
}

void
cel_load_report (struct cel *cel, const char *backend,
                 const struct cel_load *load)
{
  (void)cel;
  (void)backend;
  (void)load;
}

void
cel_cache_event (struct cel *cel, const char *backend, guint64 prefix,
                 gboolean held)
{
  (void)cel;
  (void)backend;
  (void)prefix;
  (void)held;
}

static void
expire_deadlines (struct cel *cel, gint64 now)
{
  while (!g_sequence_is_empty (cel->deadlines))
    {
      struct tkt *tkt
          = g_sequence_get (g_sequence_get_begin_iter (cel->deadlines));
      if (tkt->deadline > now)
        return;
      refuse (cel, tkt, MSG_REASON_DEADLINE);
    }
}

static void
expire_silent (struct cel *cel, gint64 now)
{
  GList *l;
  while ((l = cel->tickets.by_heard.head))
    {
      struct tkt *tkt = l->data;
      if (now - tkt->heard < CEL_SILENT_US)
        return;
      drop (cel, tkt);
    }
}

static void
expire_grants (struct cel *cel, gint64 now)
{
  for (guint i = 0; i < cel->servers->len; i++)
    {
      struct srv *srv = cel->servers->pdata[i];
      for (GList *l = srv->in_flight.head, *next; l; l = next)
        {
          struct tkt *tkt = l->data;
          next = l->next;
          if (tkt->state != TKT_GRANTED
              || now - tkt->granted < CEL_GRANT_EXPIRY_US)
            continue;
          ctr_add (cel->ctr, CTR_GRANT_EXPIRED, 1);
          drop (cel, tkt);
        }
    }
}

void
cel_tick (struct cel *cel)
{
  gint64 now = clk_now (cel->clk);
  expire_deadlines (cel, now);
  expire_grants (cel, now);
  expire_silent (cel, now);
  free_idle_gone (cel);
  pump (cel);
}

gboolean
cel_is_idle (const struct cel *cel)
{
  return g_hash_table_size (cel->tickets.tickets) == 0;
}

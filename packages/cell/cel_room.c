/* Room to wait. The cell has room for the sum of all classes' max_waiting. A
   class may fill its own max_waiting, less what other classes have reserved
   and not filled; beyond that it takes the place of a lower tier's ticket.  */
#include "cell/cel_int.h"

static guint
unfilled (const struct cls *cls)
{
  guint reserved = cls->cfg.reserved_waiting;
  return cls->n_waiting < reserved ? reserved - cls->n_waiting : 0;
}

/* Tells whether CLS may queue one more ticket without displacing any.  */
static gboolean
has_room (const struct cel *cel, const struct cls *cls)
{
  guint64 room = 0;
  guint64 used = 0;
  if (cls->n_waiting < cls->cfg.reserved_waiting)
    return TRUE;
  if (cls->n_waiting >= cls->cfg.max_waiting)
    return FALSE;
  for (guint i = 0; i < cel->classes->len; i++)
    {
      const struct cls *other = cel->classes->pdata[i];
      room += other->cfg.max_waiting;
      used += other->n_waiting + unfilled (other);
    }
  return used < room;
}

/* Returns the ticket to displace for one of TIER: of the lowest tier below it
   the youngest that is not within its class's reserved room, or NULL.  */
static struct tkt *
find_victim (const struct cel *cel, guint tier)
{
  struct tkt *victim = NULL;
  for (guint i = cel->classes->len; i-- > 0;)
    {
      const struct cls *cls = cel->classes->pdata[i];
      if (cls->cfg.tier <= tier
          || (victim && cls->cfg.tier < victim->cls->cfg.tier))
        break;
      if (cls->n_waiting <= cls->cfg.reserved_waiting)
        continue;
      struct tkt *tkt = cls_youngest (cls);
      if (!victim || tkt->arrived > victim->arrived)
        victim = tkt;
    }
  return victim;
}

/* Makes room for one more waiting ticket of CLS. Returns FALSE if there is
   none and no ticket of a lower tier can be displaced.  */
gboolean
cel_make_room (struct cel *cel, const struct cls *cls)
{
  if (has_room (cel, cls))
    return TRUE;
  struct tkt *victim = find_victim (cel, cls->cfg.tier);
  if (!victim)
    return FALSE;
  counter_add (cel->counter_set, COUNTER_EVICTED, 1);
  cel_refuse (cel, victim, MSG_REASON_EVICTED);
  return TRUE;
}

/* Tells whether any server takes new work.  */
gboolean
cel_takes_work (const struct cel *cel)
{
  for (guint i = 0; i < cel->servers->len; i++)
    if (srv_takes_work (cel->servers->pdata[i]))
      return TRUE;
  return FALSE;
}

/* Refuses all waiting tickets if no server takes new work, so that their
   entries try another cell at once.  */
void
cel_refuse_unless_served (struct cel *cel)
{
  if (cel_takes_work (cel))
    return;
  while (!g_sequence_is_empty (cel->deadlines))
    cel_refuse (cel,
                g_sequence_get (g_sequence_get_begin_iter (cel->deadlines)),
                MSG_REASON_NO_SERVER);
}

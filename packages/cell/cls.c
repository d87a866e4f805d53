#include "cell/cls.h"

/* Returns an empty queue for class CFG; freed by cls_free.  */
struct cls *
cls_new (const struct cfg_class *cfg)
{
  struct cls *cls = g_new0 (struct cls, 1);
  cls->cfg = *cfg;
  cls->waiting = g_sequence_new (NULL);
  return cls;
}

/* Frees CLS but not its tickets.  */
void
cls_free (struct cls *cls)
{
  g_sequence_free (cls->waiting);
  g_free (cls);
}

static gint
by_age (gconstpointer a, gconstpointer b, gpointer unused)
{
  (void)unused;
  const struct tkt *x = a;
  const struct tkt *y = b;
  return (x->arrived > y->arrived) - (x->arrived < y->arrived);
}

/* Queues TKT by its age.  */
void
cls_push (struct cls *cls, struct tkt *tkt)
{
  tkt->cls = cls;
  tkt->in_class = g_sequence_insert_sorted (cls->waiting, tkt, by_age, NULL);
}

/* Takes TKT out of the queue; it stays a ticket of the class.  */
void
cls_remove (struct cls *cls, struct tkt *tkt)
{
  (void)cls;
  g_sequence_remove (tkt->in_class);
  tkt->in_class = NULL;
}

guint
cls_n_waiting (const struct cls *cls)
{
  return (guint)g_sequence_get_length (cls->waiting);
}

/* Returns the ticket that has waited longest, or NULL.  */
struct tkt *
cls_oldest (const struct cls *cls)
{
  if (g_sequence_is_empty (cls->waiting))
    return NULL;
  return g_sequence_get (g_sequence_get_begin_iter (cls->waiting));
}

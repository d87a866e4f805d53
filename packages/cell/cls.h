/* The classes of one cell and their queues of waiting tickets: within a
   class, fair queueing over teams; within a team, the oldest first.  */
#ifndef CLS_H
#define CLS_H

#include "cell/tem.h"
#include "cell/tkt.h"
#include "config/cluster_config.h"
#include "policy/fair_queue.h"
#include "policy/share_credit.h"

/* One team's work within a class. */
struct flw
{
  struct tem *team;                  /* borrowed */
  GSequence *waiting;                /* of struct tkt, the oldest first */
  struct fair_queue_flow fair_queue; /* among the flows of the class */
  guint passed_over; /* starts in a row that went before its oldest */
};

struct cls
{
  struct cluster_class cfg; /* copy of the configuration's entry */
  GHashTable *flows;        /* struct tem -> struct flw, owned */
  GPtrArray *active;        /* of struct flw with waiting tickets */
  GSequence *waiting;       /* of struct tkt, the oldest first */
  guint n_waiting;
  guint n_preempted;                /* of these, told to stop */
  guint n_running;                  /* tickets granted or running */
  struct fair_queue fair_queue;     /* over its flows */
  struct fair_queue_flow own;       /* among the classes of its tier */
  struct share_credit share_credit; /* its minimum share of starts */
};

/* Tells whether TKT could start now. */
typedef gboolean (*cls_startable) (void *ctx, const struct tkt *tkt);

struct cls *cls_new (const struct cluster_class *cfg);
void cls_free (struct cls *cls);
void cls_set_config (struct cls *cls, const struct cluster_class *cfg);
struct flw *cls_flow (struct cls *cls, struct tem *team);
void cls_forget_team (struct cls *cls, struct tem *team);
void cls_push (struct cls *cls, struct tkt *tkt);
void cls_remove (struct cls *cls, struct tkt *tkt);
struct tkt *cls_oldest (const struct cls *cls);
struct tkt *cls_youngest (const struct cls *cls);
struct tkt *cls_pick (const struct cls *cls, gint64 now,
                      cls_startable startable, void *ctx);
guint cls_ahead (const struct cls *cls, const struct tem *team);
void cls_serve (struct cls *cls, const struct tkt *tkt);
void cls_charge (struct cls *cls, const struct tkt *tkt, double tokens);

#endif

/* The waiting requests of one priority class in a shard. Teams share the class
   by weighted fair queueing; a team's own requests are ordered by arrival
   time.  */
#ifndef CLASS_QUEUE_H
#define CLASS_QUEUE_H

#include "cell/team_state.h"
#include "cell/queued_request.h"
#include "config/cluster_config.h"
#include "policy/fair_queue.h"
#include "policy/share_credit.h"

/* The requests of one team within a class. */
struct team_flow
{
  struct team_state *team; /* borrowed */
  GSequence *waiting;      /* of struct queued_request, by arrival time */
  /* Shares the class with the flows of other teams. */
  struct fair_queue_flow fair_flow;
  guint passed_over; /* consecutive starts that skipped the oldest request */
};

struct class_queue
{
  struct cluster_class cfg; /* copy of the class's configuration */
  GHashTable *flows;        /* struct team_state -> struct team_flow, owned */
  GPtrArray *active;        /* of struct team_flow with waiting requests */
  GSequence *waiting;       /* of struct queued_request, by arrival time */
  guint n_waiting;
  guint n_preempted;            /* running requests to which PREEMPT was sent */
  guint n_running;              /* requests granted or running */
  struct fair_queue fair_queue; /* over the flows of its teams */
  /* Shares the tier with the other classes of the tier. */
  struct fair_queue_flow tier_flow;
  /* Guarantees the class's minimum share of starts. */
  struct share_credit start_share;
};

/* Returns whether REQUEST could start now. CTX is that given to class_pick. */
typedef gboolean (*class_startable) (void *ctx,
                                     const struct queued_request *request);

struct class_queue *class_new (const struct cluster_class *cfg);
void class_free (struct class_queue *class);
void class_set_config (struct class_queue *class,
                       const struct cluster_class *cfg);
struct team_flow *class_team_flow (struct class_queue *class,
                                   struct team_state *team);
void class_remove_team (struct class_queue *class, struct team_state *team);
void class_push (struct class_queue *class, struct queued_request *request);
void class_remove (struct class_queue *class, struct queued_request *request);
struct queued_request *class_oldest (const struct class_queue *class);
struct queued_request *class_youngest (const struct class_queue *class);
struct queued_request *class_pick (const struct class_queue *class, gint64 now,
                                   class_startable startable, void *ctx);
guint class_n_ahead (const struct class_queue *class,
                     const struct team_state *team);
void class_count_start (struct class_queue *class,
                        const struct queued_request *request);
void class_charge (struct class_queue *class,
                   const struct queued_request *request, double tokens);

#endif

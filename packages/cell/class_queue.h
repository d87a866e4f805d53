/* The classes of one cell and their queues of waiting tickets: within a
   class, fair queueing over teams; within a team, the oldest first.  */
#ifndef CLASS_QUEUE_H
#define CLASS_QUEUE_H

#include "cell/team_state.h"
#include "cell/queued_request.h"
#include "config/cfg.h"
#include "policy/dfq.h"
#include "policy/shr.h"

/* One team's work within a class. */
struct team_flow
{
  struct team_state *team; /* borrowed */
  GSequence *waiting;      /* of struct tkt, the oldest first */
  struct dfq_flow dfq;     /* among the flows of the class */
  guint passed_over;       /* starts in a row that went before its oldest */
};

struct class_queue
{
  struct cfg_class cfg; /* copy of the configuration's entry */
  GHashTable *flows;    /* struct tem -> struct flw, owned */
  GPtrArray *active;    /* of struct flw with waiting tickets */
  GSequence *waiting;   /* of struct tkt, the oldest first */
  guint n_waiting;
  guint n_preempted;   /* of these, told to stop */
  guint n_running;     /* tickets granted or running */
  struct dfq dfq;      /* over its flows */
  struct dfq_flow own; /* among the classes of its tier */
  struct shr shr;      /* its minimum share of starts */
};

/* Tells whether TKT could start now. */
typedef gboolean (*class_startable) (
    void *ctx, const struct queued_request *queued_request);

struct class_queue *class_new (const struct cfg_class *cfg);
void class_free (struct class_queue *class_queue);
void class_set_config (struct class_queue *class_queue,
                       const struct cfg_class *cfg);
struct team_flow *class_team_flow (struct class_queue *class_queue,
                                   struct team_state *team);
void class_remove_team (struct class_queue *class_queue,
                        struct team_state *team);
void class_push (struct class_queue *class_queue,
                 struct queued_request *queued_request);
void class_remove (struct class_queue *class_queue,
                   struct queued_request *queued_request);
struct queued_request *class_oldest (const struct class_queue *class_queue);
struct queued_request *class_youngest (const struct class_queue *class_queue);
struct queued_request *class_pick (const struct class_queue *class_queue,
                                   gint64 now, class_startable startable,
                                   void *ctx);
guint class_n_ahead (const struct class_queue *class_queue,
                     const struct team_state *team);
void class_count_start (struct class_queue *class_queue,
                        const struct queued_request *queued_request);
void class_charge (struct class_queue *class_queue,
                   const struct queued_request *queued_request, double tokens);

#endif

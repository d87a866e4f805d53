/* State of a shard owner and the functions shared by its source files.  */
#ifndef SHARD_INTERNAL_H
#define SHARD_INTERNAL_H

#include "cell/shard.h"
#include "cell/class_queue.h"
#include "cell/shard_server.h"
#include "cell/team_state.h"
#include "cell/queued_request.h"
#include "policy/prefix_affinity.h"
#include "policy/rate_window.h"

/* Includes removed servers that still run requests. */
#define SHARD_SERVERS_MAX AFFINITY_SLOTS_MAX
/* Time to use a grant, sent to the ingress with it. Shorter than the expiry, so
   that the ingress stops using the grant first. */
#define SHARD_USE_WITHIN_US (1500 * CLK_MS)
/* Time after which an unconfirmed grant is dropped and its slot freed. */
#define SHARD_GRANT_EXPIRY_US (2000 * CLK_MS)
/* Progress this long after the grant confirms its use even without tokens. */
#define SHARD_USE_CONFIRM_US (250 * CLK_MS)
/* Upper bound for times in ENQUEUE messages. */
#define SHARD_WAIT_MAX_US (86400 * CLK_S)
/* A request on which no message came for so long is dropped. */
#define SHARD_SILENCE_MAX_US (10 * CLK_S)
/* Prefill time of one prompt token before the first measurement. */
#define SHARD_PREFILL_DEFAULT_US 50.0
/* Weight of a new sample in the mean prefill time. */
#define SHARD_PREFILL_WEIGHT 0.05
/* Prompts shorter than this give no sample of the prefill time. */
#define SHARD_PREFILL_TOKENS_MIN 64
#define SHARD_RETRY_MIN_US (200 * CLK_MS)

/* Server slots reserved for the class with the tightest time between tokens;
   see shard_reservation.c. */
struct shard_reservation
{
  /* Tightest target, microseconds between tokens; 0: nothing is reserved. */
  gint64 target_us;
  /* Waiting and running requests with this target; a decaying maximum. */
  double demand;
  gint64 updated;         /* clock time of the last update of demand */
  gboolean has_free_slot; /* some server with reserved slots has a free slot */
};

struct shard_owner
{
  const struct clk *clk; /* borrowed */
  GRand *rand;
  struct counter_set *counter_set; /* borrowed */
  struct cluster_config *cfg;      /* reference held */
  struct str_id name;
  void (*send) (void *ctx, const char *to, const struct msg *msg);
  void *ctx;

  GPtrArray *classes; /* of struct class_queue, owned, the highest tier first */
  GPtrArray *servers; /* of struct shard_server, owned */
  struct shard_reservation reservation;
  /* Some server accepts requests and is not on probation. */
  gboolean any_healthy;
  struct team_table teams;
  struct queued_table requests;
  struct prefix_affinity *affinity;
  struct server_health_mean prefill_us_per_token; /* mean over past requests */
  struct rate_window rate;
  gint64 last_preemption; /* clock time of the last preemption */
  /* Clock time of the last check whether a preemption is needed. */
  gint64 last_preempt_check;
  /* Of waiting struct queued_request, the earliest deadline first. */
  GSequence *deadlines;
  /* Fair queueing over the classes of each tier. */
  struct fair_queue tier_queues[CLUSTER_TIERS_MAX];
};

/* shard_config.c */
struct class_queue *shard_find_class (const struct shard_owner *shard,
                                      const char *name);
struct shard_server *shard_find_server (const struct shard_owner *shard,
                                        const char *name);
void shard_free_removed_servers (struct shard_owner *shard);

/* shard_transitions.c */
void shard_add_waiting (struct shard_owner *shard,
                        struct queued_request *request,
                        struct class_queue *class, struct team_state *team);
void shard_deadline_changed (struct queued_request *request);
void shard_dequeue (struct shard_owner *shard, struct queued_request *request);
void shard_grant (struct shard_owner *shard, struct queued_request *request,
                  struct shard_server *server);
void shard_add_running (struct shard_owner *shard,
                        struct queued_request *request,
                        struct shard_server *server, struct class_queue *class,
                        struct team_state *team);
void shard_drop (struct shard_owner *shard, struct queued_request *request);
void shard_reject (struct shard_owner *shard, struct queued_request *request,
                   enum msg_reason reason);
void shard_send_grant (struct shard_owner *shard,
                       const struct queued_request *request);
void shard_send_reject (struct shard_owner *shard, const char *to, guint64 id,
                        enum msg_reason reason, const struct class_queue *class,
                        const struct team_state *team);

/* shard_admission.c */
gboolean shard_make_room (struct shard_owner *shard,
                          const struct class_queue *class);

gboolean shard_has_server (const struct shard_owner *shard);
void shard_reject_if_unserved (struct shard_owner *shard);

/* shard_wait_estimate.c */
guint shard_n_waiting (const struct shard_owner *shard);
gboolean shard_is_wait_too_long (const struct shard_owner *shard,
                                 const struct class_queue *class,
                                 const struct team_state *team, gint64 wait_us);
gint64 shard_retry_after (struct shard_owner *shard,
                          const struct class_queue *class,
                          const struct team_state *team);

/* shard_reservation.c */
void shard_reserve (struct shard_owner *shard);
gboolean shard_reservation_allows (const struct shard_owner *shard,
                                   const struct shard_server *server,
                                   const struct queued_request *request);

/* shard_placement.c */
gboolean shard_may_start (const struct shard_owner *shard,
                          const struct shard_server *server,
                          const struct queued_request *request);
struct shard_server *shard_place (struct shard_owner *shard,
                                  const struct queued_request *request);

gboolean shard_avoids (const struct queued_request *request,
                       const struct shard_server *server);
double shard_prefill_us (const struct shard_owner *shard,
                         const struct queued_request *request);

/* shard_preemption.c */
void shard_preempt (struct shard_owner *shard);
void shard_preempt_refused (struct shard_owner *shard,
                            struct queued_request *request);

/* shard_dispatch.c */
void shard_dispatch (struct shard_owner *shard);

#endif

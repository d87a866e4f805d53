/* The cell owner's state and the steps shared by its files.  */
#ifndef SHARD_INTERNAL_H
#define SHARD_INTERNAL_H

#include "cell/shard.h"
#include "cell/class_queue.h"
#include "cell/shard_server.h"
#include "cell/team_state.h"
#include "cell/queued_request.h"
#include "policy/aff.h"
#include "policy/rte.h"

#define SHARD_SERVERS_MAX                                                      \
  AFF_SLOTS /* with those that left and still have work                        \
             */
#define SHARD_USE_WITHIN_US (1500 * CLK_MS)   /* told to the entry */
#define SHARD_GRANT_EXPIRY_US (2000 * CLK_MS) /* the slot is freed */
#define SHARD_USE_CONFIRM_US                                                   \
  (250 * CLK_MS)                          /* later progress proves the use     \
                                           */
#define SHARD_WAIT_MAX_US (86400 * CLK_S) /* times in offers are cut to it */
#define SHARD_SILENCE_MAX_US (10 * CLK_S) /* silence that drops a ticket */
#define SHARD_PREFILL_DEFAULT_US                                               \
  50.0                            /* a prompt token, before any was measured */
#define SHARD_PREFILL_WEIGHT 0.05 /* of a new sample */
#define SHARD_PREFILL_TOKENS_MIN 64 /* prompt of a sample */
#define SHARD_RETRY_MIN_US (200 * CLK_MS)

/* Where work of the tightest target goes; see shard_reservation.c. */
struct shard_reservation
{
  gint64 target_us; /* between tokens; 0: none binds */
  double demand;    /* requests of it, waiting and running, fading maximum */
  gint64 noted;     /* clock time of the last note */
  gboolean room;    /* a reserved server has a free slot */
};

struct shard_owner
{
  const struct clk *clk; /* borrowed */
  GRand *rand;
  struct ctr *ctr; /* borrowed */
  struct cfg *cfg; /* a reference */
  struct str_id cell;
  void (*send) (void *ctx, const char *to, const struct msg *msg);
  void *ctx;

  GPtrArray *classes; /* of struct cls, owned, the highest tier first */
  GPtrArray *servers; /* of struct srv, owned */
  struct shard_reservation pack;
  gboolean any_well; /* some server takes work and is not on probation */
  struct team_table teams;
  struct queued_table tickets;
  struct aff *aff;
  struct hea_mean prefill; /* microseconds per prompt token */
  struct rte rate;
  gint64 preempted;       /* clock time of the last preemption */
  gint64 preempt_checked; /* clock time of the last look for one */
  GSequence *deadlines;   /* of waiting struct tkt, the next due first */
  struct dfq tiers[CFG_TIERS_MAX]; /* over the classes of each tier */
};

/* cel_cfg.c */
struct class_queue *shard_find_class (const struct shard_owner *shard_owner,
                                      const char *name);
struct shard_server *shard_find_server (const struct shard_owner *shard_owner,
                                        const char *name);
void shard_free_removed_servers (struct shard_owner *shard_owner);

/* cel_step.c */
void shard_add_waiting (struct shard_owner *shard_owner,
                        struct queued_request *queued_request,
                        struct class_queue *class_queue,
                        struct team_state *team);
void shard_deadline_changed (struct queued_request *queued_request);
void shard_dequeue (struct shard_owner *shard_owner,
                    struct queued_request *queued_request);
void shard_grant (struct shard_owner *shard_owner,
                  struct queued_request *queued_request,
                  struct shard_server *shard_server);
void shard_add_running (struct shard_owner *shard_owner,
                        struct queued_request *queued_request,
                        struct shard_server *shard_server,
                        struct class_queue *class_queue,
                        struct team_state *team);
void shard_drop (struct shard_owner *shard_owner,
                 struct queued_request *queued_request);
void shard_reject (struct shard_owner *shard_owner,
                   struct queued_request *queued_request,
                   enum msg_reason reason);
void shard_send_grant (struct shard_owner *shard_owner,
                       const struct queued_request *queued_request);
void shard_send_reject (struct shard_owner *shard_owner, const char *to,
                        guint64 ticket, enum msg_reason reason,
                        const struct class_queue *class_queue,
                        const struct team_state *team);

/* cel_room.c */
gboolean shard_make_room (struct shard_owner *shard_owner,
                          const struct class_queue *class_queue);

gboolean shard_has_server (const struct shard_owner *shard_owner);
void shard_reject_if_unserved (struct shard_owner *shard_owner);

/* cel_wait.c */
guint shard_n_waiting (const struct shard_owner *shard_owner);
gboolean shard_is_wait_too_long (const struct shard_owner *shard_owner,
                                 const struct class_queue *class_queue,
                                 const struct team_state *team, gint64 wait_us);
gint64 shard_retry_after (struct shard_owner *shard_owner,
                          const struct class_queue *class_queue,
                          const struct team_state *team);

/* shard_reservation.c */
void shard_reserve (struct shard_owner *shard_owner);
gboolean shard_reservation_allows (const struct shard_owner *shard_owner,
                                   const struct shard_server *shard_server,
                                   const struct queued_request *queued_request);

/* shard_place.c */
gboolean shard_may_start (const struct shard_owner *shard_owner,
                          const struct shard_server *shard_server,
                          const struct queued_request *queued_request);
struct shard_server *shard_place (struct shard_owner *shard_owner,
                                  const struct queued_request *queued_request);

gboolean shard_avoids (const struct queued_request *queued_request,
                       const struct shard_server *shard_server);
double shard_prefill_us (const struct shard_owner *shard_owner,
                         const struct queued_request *queued_request);

/* shard_preempt.c */
void shard_preempt (struct shard_owner *shard_owner);

/* shard_dispatch.c */
void shard_dispatch (struct shard_owner *shard_owner);

#endif

/* The cell owner's state and the steps shared by its files.  */
#ifndef CEL_INT_H
#define CEL_INT_H

#include "cell/cel.h"
#include "cell/cls.h"
#include "cell/srv.h"
#include "cell/tem.h"
#include "cell/tkt.h"
#include "policy/prefix_affinity.h"
#include "policy/rate_window.h"

#define CEL_SERVERS_MAX                                                        \
  PREFIX_AFFINITY_SLOTS_MAX /* with those that left and still have work        \
                             */
#define CEL_USE_WITHIN_US (1500 * CLK_MS)   /* told to the entry */
#define CEL_GRANT_EXPIRY_US (2000 * CLK_MS) /* the slot is freed */
#define CEL_USE_SEEN_US (250 * CLK_MS)      /* later progress proves the use */
#define CEL_WAIT_MAX_US (86400 * CLK_S)     /* times in offers are cut to it */
#define CEL_SILENT_US (10 * CLK_S)          /* silence that drops a ticket */
#define CEL_PREFILL_US 50.0       /* a prompt token, before any was measured */
#define CEL_PREFILL_WEIGHT 0.05   /* of a new sample */
#define CEL_PREFILL_TOKENS_MIN 64 /* prompt of a sample */
#define CEL_RETRY_MIN_US (200 * CLK_MS)

/* Where work of the tightest target goes; see cel_pack.c. */
struct cel_pack
{
  gint64 target_us; /* between tokens; 0: none binds */
  double demand;    /* requests of it, waiting and running, fading maximum */
  gint64 noted;     /* clock time of the last note */
  gboolean room;    /* a reserved server has a free slot */
};

struct cel
{
  const struct clk *clk; /* borrowed */
  GRand *rand;
  struct counter_set *counter_set; /* borrowed */
  struct cluster_config *cfg;      /* a reference */
  struct str_id cell;
  void (*send) (void *ctx, const char *to, const struct msg *msg);
  void *ctx;

  GPtrArray *classes; /* of struct cls, owned, the highest tier first */
  GPtrArray *servers; /* of struct srv, owned */
  struct cel_pack pack;
  gboolean any_well; /* some server takes work and is not on probation */
  struct tem_table teams;
  struct tkt_table tickets;
  struct prefix_affinity *prefix_affinity;
  struct server_health_mean prefill; /* microseconds per prompt token */
  struct rate_window rate;
  gint64 preempted;       /* clock time of the last preemption */
  gint64 preempt_checked; /* clock time of the last look for one */
  GSequence *deadlines;   /* of waiting struct tkt, the next due first */
  struct fair_queue
      tiers[CLUSTER_TIERS_MAX]; /* over the classes of each tier */
};

/* cel_cfg.c */
struct cls *cel_find_class (const struct cel *cel, const char *name);
struct srv *cel_find_server (const struct cel *cel, const char *name);
void cel_free_idle_gone (struct cel *cel);

/* cel_step.c */
void cel_enqueue (struct cel *cel, struct tkt *tkt, struct cls *cls,
                  struct tem *team);
void cel_reschedule (struct tkt *tkt);
void cel_unqueue (struct cel *cel, struct tkt *tkt);
void cel_start (struct cel *cel, struct tkt *tkt, struct srv *srv);
void cel_adopt (struct cel *cel, struct tkt *tkt, struct srv *srv,
                struct cls *cls, struct tem *team);
void cel_drop (struct cel *cel, struct tkt *tkt);
void cel_refuse (struct cel *cel, struct tkt *tkt, enum msg_reason reason);
void cel_send_grant (struct cel *cel, const struct tkt *tkt);
void cel_send_refuse (struct cel *cel, const char *to, guint64 ticket,
                      enum msg_reason reason, const struct cls *cls,
                      const struct tem *team);

/* cel_room.c */
gboolean cel_make_room (struct cel *cel, const struct cls *cls);

gboolean cel_takes_work (const struct cel *cel);
void cel_refuse_unless_served (struct cel *cel);

/* cel_wait.c */
guint cel_n_waiting (const struct cel *cel);
gboolean cel_is_hopeless (const struct cel *cel, const struct cls *cls,
                          const struct tem *team, gint64 wait_us);
gint64 cel_retry_after (struct cel *cel, const struct cls *cls,
                        const struct tem *team);

/* cel_pack.c */
void cel_pack_update (struct cel *cel);
gboolean cel_pack_suits (const struct cel *cel, const struct srv *srv,
                         const struct tkt *tkt);

/* cel_place.c */
gboolean cel_is_open (const struct cel *cel, const struct srv *srv,
                      const struct tkt *tkt);
struct srv *cel_place (struct cel *cel, const struct tkt *tkt);

gboolean cel_avoids (const struct tkt *tkt, const struct srv *srv);
double cel_prefill_us (const struct cel *cel, const struct tkt *tkt);

/* cel_preempt.c */
void cel_preempt (struct cel *cel);

/* cel_pump.c */
void cel_pump (struct cel *cel);

#endif

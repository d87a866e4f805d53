/* What the files of this package share; not for others.  */
#ifndef NOD_INT_H
#define NOD_INT_H

#include "chart/chr.h"
#include "ledger/lec.h"
#include "ledger/led.h"
#include "lease/ord.h"
#include "node/nod.h"

#define NOD_REQUESTS_MAX 65536      /* in progress at one entry */
#define NOD_CELLS_TRIED_MAX 4       /* cells that may refuse one request */
#define NOD_PROGRESS_US (1 * CLK_S) /* between progress reports */
#define NOD_MOVE_US (1 * CLK_S)     /* a ticket waits so long before it moves */
#define NOD_MEMBERS_US (5 * CLK_S)  /* between lists of instances */
#define NOD_SUMMARY_US (500 * CLK_MS) /* between summaries, small domains */
/* Summaries of large failure domains come less often, so that a sender's
   bytes a second do not grow with the domain. */
#define NOD_SUMMARY_PER_MEMBER_US (60 * CLK_MS)
#define NOD_SUMMARY_FRESH_US (4 * CLK_S) /* older ones are not used */
#define NOD_GATHER_US (600 * CLK_MS)     /* after the start, before owning */
/* After the first configuration, for the summaries of other cells to come. */
#define NOD_SETTLE_US (1200 * CLK_MS)
#define NOD_RECONNECT_US (200 * CLK_MS)  /* for a lost connection to return */
#define NOD_WATCHERS_US (200 * CLK_MS)   /* between choices of the watchers */
#define NOD_GRANT_AGE_US (2500 * CLK_MS) /* older grants are not used */
#define NOD_PAUSE_US (1500 * CLK_MS)     /* without an event: it was frozen */
#define NOD_HOLD_US (700 * CLK_MS)       /* after the start or a pause, idle */
#define NOD_HOLD_MAX_US (3 * CLK_S)      /* while no peer is heard */
#define NOD_REQUEUE_US (50 * CLK_MS) /* before asking the same owner again */

/* X (NAME, "name") in the order of charts/request.chart */
#define REQ_STATES(X)                                                          \
  X (WAITING, "waiting")                                                       \
  X (RECORDING, "recording")                                                   \
  X (RUNNING, "running")                                                       \
  X (ANSWERED, "answered")                                                     \
  X (REFUSED, "refused")                                                       \
  X (FAILED, "failed")                                                         \
  X (GONE, "gone")

enum req_state
{
#define REQ_STATE_ENUM(id, name) REQ_##id,
  REQ_STATES (REQ_STATE_ENUM)
#undef REQ_STATE_ENUM
      REQ_STATE_N
};

/* X (NAME, "name") */
#define REQ_EVENTS(X)                                                          \
  X (GRANT, "grant")                                                           \
  X (GRANT_KEYED, "grant_keyed")                                               \
  X (FRESH, "fresh")                                                           \
  X (REPLAY, "replay")                                                         \
  X (REFUSE, "refuse")                                                         \
  X (REQUEUE, "requeue")                                                       \
  X (COMPLETE, "complete")                                                     \
  X (FAIL, "fail")                                                             \
  X (CALLER_GONE, "caller_gone")

enum req_event
{
#define REQ_EVENT_ENUM(id, name) REQ_EV_##id,
  REQ_EVENTS (REQ_EVENT_ENUM)
#undef REQ_EVENT_ENUM
      REQ_EVENT_N
};

/* A caller's request in progress. */
struct nod_req
{
  struct nod_request spec;
  struct cfg *cfg;     /* under which it was admitted, a reference */
  int state;           /* of the chart */
  gint64 arrived;      /* microseconds */
  gint64 deadline;     /* for the whole request, microseconds */
  guint64 ticket;      /* with the owner; 0: none */
  struct str_id cell;  /* where the ticket is */
  struct str_id owner; /* instance that has the ticket */
  gint64 offer_at;     /* >0: offer again at this time, microseconds */
  struct str_id tried[NOD_CELLS_TRIED_MAX]; /* cells that refused */
  guint n_tried;
  enum msg_reason no_route; /* why no cell was left to try */
  struct str_id backend;    /* of the running attempt or of the grant */
  guint32 priority;         /* for the engine, from the grant */
  gint64 grant_echo;        /* own clock time that the grant is no older than */
  guint32 attempt;          /* of the last attempt; 0: none */
  guint sent_attempts;      /* that may have left */
  guint32 generated;        /* tokens that the caller got, all attempts */
  guint32 unreported;       /* tokens since the last progress report */
  gint64 opened;            /* start of this attempt, microseconds */
  gint64 first_token;       /* of this attempt, microseconds; 0: none */
  gint64 last_token;        /* of this attempt, microseconds */
  guint32 attempt_tokens;   /* of this attempt */
  struct str_id avoid[MSG_AVOID_MAX];
  guint n_avoid;
  gboolean forgiven; /* the list was emptied once */
  gboolean fixed;    /* its text is too long to be resumed elsewhere */
  gboolean recorded; /* the ledger holds this request's intent */
  gboolean crosses;  /* the attempt runs beyond the link */
};

/* What another failure domain or another owner said of a cell. */
struct nod_cell_info
{
  struct msg_cell_summary summary;
  struct str_id domain;
  gint64 heard;  /* microseconds */
  guint claimed; /* free slots that this entry took since */
};

struct nod_led_shard
{
  struct nod *nod; /* borrowed */
  guint number;
  struct led *led; /* NULL: not served here */
};

/* An object of the platform that every instance follows. */
enum nod_followed
{
  NOD_CONFIG,
  NOD_FLEET,
  NOD_FOLLOWED /* count */
};

struct nod_follow
{
  struct nod *nod; /* borrowed */
  guint object;    /* enum nod_followed */
  struct cft *cft;
  gboolean push;       /* a version was taken over and is not pushed yet */
  gboolean from_store; /* it did not come from a peer */
};

/* Orders to the engines of the own failure domain. */
struct nod_lease
{
  struct chr *lease_chart;
  struct chr *order_chart;
  struct lse *lse;
  struct ord *ord;
  GHashTable *ordered; /* name -> itself; engines known to ORD */
  gboolean needed;     /* some engine here has a desired state */
  guint64 fence;       /* of the last acquisition seen */
  gboolean confirmed;  /* the configuration was read under FENCE */
  gboolean reading;    /* that read is under way */
  gint64 read_at;      /* not before, microseconds */
  gint64 tick_at;      /* next, microseconds */
};

struct nod_budget
{
  double retries;    /* tokens of the retry budget */
  double link_bytes; /* left on the link between regions */
};

struct nod
{
  const struct clk *clk;
  struct ctr *ctr;
  GRand *rand;
  struct str_id self;
  struct str_id domain;
  struct str_id region;
  guint64 incarnation;
  gint64 started; /* microseconds */
  void (*act) (void *ctx, const struct nod_action *action);
  void *ctx;

  struct cfg *cfg;   /* in force; NULL: none */
  struct chr *chart; /* request.chart */
  struct membership *membership;
  struct chr *member_chart;
  GQueue local; /* struct msg *, from this instance to itself */
  gboolean leaving;
  gboolean drained; /* told by NOD_DO_DRAINED */

  GHashTable *requests; /* guint64 id -> struct nod_req * */
  GHashTable *tickets;  /* guint64 ticket -> struct nod_req *, borrowed */
  guint64 next_ticket;
  struct nod_budget budgets[CFG_CLASSES_MAX];
  gint64 budget_at; /* last refill, microseconds */

  struct nod_follow follows[NOD_FOLLOWED];
  GHashTable *cells;           /* cell name -> struct cel * served here */
  GHashTable *infos;           /* cell name -> struct nod_cell_info * */
  GHashTable *leaving_servers; /* name -> itself; by their own word */
  GHashTable *listed_leaving;  /* name -> itself; by the platform's list */
  struct lec *lec;             /* this entry's side of the ledger */
  struct nod_led_shard shards[LED_SHARDS];
  struct nod_lease lease;
  guint64 next_token; /* of calls to the platform */
  GHashTable *calls;  /* token -> struct nod_call * */

  gint64 handled_at;   /* last event, microseconds */
  gint64 resumed_at;   /* start, or end of the last pause, microseconds */
  gboolean held;       /* shows as leaving for that */
  gboolean caught_up;  /* heard a peer since then, or has none */
  gint64 ready_at;     /* not ready before, microseconds */
  gint64 heartbeat_at; /* next, microseconds */
  gint64 far_heartbeat_at;
  gint64 progress_at;
  gint64 members_at;
  gint64 summary_at;
  gint64 cell_tick_at;
  gint64 watch_at; /* next choice of the watchers */
};

/* Who waits for an answer of the platform: a ledger shard, a followed object
   by its number above the shards, the lease, or the holder of the lease for
   the configuration. */
#define NOD_CALLER_OBJECT LED_SHARDS
#define NOD_CALLER_LEASE (NOD_CALLER_OBJECT + NOD_FOLLOWED)
#define NOD_CALLER_HOLDER (NOD_CALLER_LEASE + 1)
struct nod_call
{
  guint caller;  /* 0 to LED_SHARDS - 1, or NOD_CALLER_ */
  guint64 token; /* of the caller's own count */
};

/* Codes of errors that are no refusal. */
extern const char nod_backend_failed[];
extern const char nod_outcome_unknown[];

/* nod.c */
void nod_send (struct nod *nod, const char *to, const struct msg *msg);
void nod_dial (struct nod *nod, const char *address);
gboolean nod_is_held (const struct nod *nod);
void nod_store (struct nod *nod, guint caller, guint64 token,
                const struct sto_call *call);

/* A request's final error. */
struct nod_failure
{
  guint32 status;
  const char *code;
  gint64 retry_after_us;
  const char *step;
  const char *peer;
};

/* nod_req.c: requests taken as an entry */
const struct cfg_class *nod_req_class (const struct nod_req *req);
gboolean nod_req_is_resumable (const struct nod_req *req);
gboolean nod_req_step (struct nod *nod, struct nod_req *req,
                       enum req_event event);
void nod_req_forget (struct nod *nod, struct nod_req *req);
void nod_req_end_record (struct nod *nod, struct nod_req *req,
                         const struct msg_ledger_result *answer);
void nod_req_fail (struct nod *nod, struct nod_req *req,
                   const struct nod_failure *failure);
void nod_req_end_refused (struct nod *nod, struct nod_req *req,
                          enum msg_reason reason, gint64 retry_after_us,
                          const char *peer);
void nod_req_let_go (struct nod *nod, struct nod_req *req);
int nod_req_init (struct nod *nod, const char *chart_folder, struct err *err);
void nod_req_arrive (struct nod *nod, const struct nod_request *spec);
void nod_req_caller_gone (struct nod *nod, guint64 id);
void nod_req_tick (struct nod *nod);
void nod_req_free (void *data);
void nod_req_dump (const struct nod *nod, JsonBuilder *json);

/* nod_ticket.c: tickets with cell owners */
void nod_ticket_grant (struct nod *nod, const char *from,
                       const struct msg_grant *grant);
void nod_ticket_refuse (struct nod *nod, const char *from,
                        const struct msg_refuse *refuse);
void nod_ticket_preempt (struct nod *nod, const char *from,
                         const struct msg_preempt *preempt);
void nod_ticket_view_changed (struct nod *nod, const char *lost);
void nod_ticket_reconnect (struct nod *nod, const char *id, gint64 delay);
void nod_ticket_progress (struct nod *nod);
void nod_ticket_rebalance (struct nod *nod);
void nod_ticket_drop (struct nod *nod, struct nod_req *req);
void nod_ticket_release (struct nod *nod, struct nod_req *req,
                         enum msg_result result);
void nod_ticket_withdraw (struct nod *nod, const char *to, guint64 ticket);
gboolean nod_ticket_offer_anew (struct nod *nod, struct nod_req *req);
void nod_ticket_offer_again (struct nod *nod, struct nod_req *req);

/* nod_attempt.c: attempts on backend servers */
void nod_attempt_tokens (struct nod *nod, guint64 id, guint32 attempt,
                         guint32 count, gsize bytes, gboolean resumable);
void nod_attempt_ended (struct nod *nod, const struct nod_attempt_end *end);
void nod_attempt_verdict (struct nod *nod, guint64 id,
                          const struct msg_ledger_verdict *verdict);
guint32 nod_attempt_mean_tbt (const struct nod_req *req);
void nod_attempt_open (struct nod *nod, struct nod_req *req);
gboolean nod_attempt_may_use (const struct nod *nod, gint64 echo_us,
                              const char *backend);

/* nod_route.c: choice of a cell and of its owner */
gboolean nod_route (struct nod *nod, struct nod_req *req);
gboolean nod_route_move (struct nod *nod, struct nod_req *req);
const char *nod_owner (struct nod *nod, struct str cell);
gboolean nod_crosses_link (const struct nod *nod, const struct cfg *cfg,
                           guint domain);

/* nod_budget.c: retry and link budgets per class */
void nod_budget_init (struct nod *nod);
void nod_budget_refill (struct nod *nod);
void nod_budget_first_try (struct nod *nod, guint class_index);
gboolean nod_budget_retry (struct nod *nod, guint class_index);
gboolean nod_budget_may_cross (const struct nod *nod, guint class_index);
void nod_budget_charge_link (struct nod *nod, guint class_index, guint64 bytes);

/* nod_cell.c: cells served as an owner, summaries */
struct shard_owner *nod_cell_get (struct nod *nod, struct str name);
void nod_cell_message (struct nod *nod, const char *from,
                       const struct msg *msg);
void nod_cell_entry_lost (struct nod *nod, const char *id);
void nod_cell_config (struct nod *nod);
void nod_cell_load (struct nod *nod, const char *backend,
                    const struct shard_load *load, gboolean leaving);
void nod_cell_cache (struct nod *nod, const char *backend, guint64 prefix,
                     gboolean held);
void nod_cell_leaving_changed (struct nod *nod);
void nod_cell_tick (struct nod *nod);
void nod_cell_send_summaries (struct nod *nod);
void nod_cell_take_summary (struct nod *nod, const char *from,
                            const struct msg_summary *summary);
gboolean nod_cell_idle (const struct nod *nod);
void nod_cell_dump (const struct nod *nod, JsonBuilder *json);

/* nod_peer.c: heartbeats, lists of instances */
int nod_peer_init (struct nod *nod, const struct nod_options *options,
                   struct err *err);
void nod_peer_free (struct nod *nod);
void nod_peer_heartbeat (struct nod *nod, const char *from,
                         const struct msg_heartbeat *heartbeat);
void nod_peer_greet (struct nod *nod, const char *id);
void nod_peer_members (struct nod *nod, const struct msg_members *members);
void nod_peer_tick (struct nod *nod);

/* nod_led.c: ledger shards served */
void nod_led_intent (struct nod *nod, const char *from,
                     const struct msg_ledger_intent *intent);
void nod_led_result (struct nod *nod, const char *from,
                     const struct msg_ledger_result *result);
void nod_led_answer (struct nod *nod, guint number, guint64 token,
                     const struct sto_answer *answer);
void nod_led_tick (struct nod *nod);
void nod_led_init (struct nod *nod);
void nod_led_free (struct nod *nod);
void nod_led_dump (const struct nod *nod, JsonBuilder *json);

/* nod_config.c: the configuration and the list of servers */
void nod_config_init (struct nod *nod);
void nod_config_free (struct nod *nod);
void nod_config_tick (struct nod *nod);
void nod_config_answer (struct nod *nod, guint object, guint64 token,
                        const struct sto_answer *answer);
void nod_config_ask (struct nod *nod, const char *from,
                     const struct msg_object_ask *ask);
void nod_config_body (struct nod *nod, const struct msg_object_body *body);
void nod_config_dump (const struct nod *nod, JsonBuilder *json);
void nod_config_peer (struct nod *nod, const char *from,
                      const struct msg_heartbeat *heartbeat);

/* nod_lease.c: orders to engines under a lease */
int nod_lease_init (struct nod *nod, const char *chart_folder, struct err *err);
void nod_lease_free (struct nod *nod);
void nod_lease_config (struct nod *nod);
void nod_lease_answer (struct nod *nod, guint64 token,
                       const struct sto_answer *answer);
void nod_lease_take_config (struct nod *nod, guint64 fence,
                            const struct sto_answer *answer);
void nod_lease_order_answer (struct nod *nod, guint64 token,
                             const struct ord_answer *answer);
void nod_lease_tick (struct nod *nod);
void nod_lease_dump (const struct nod *nod, JsonBuilder *json);

#endif

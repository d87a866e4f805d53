/* What the files of this package share; not for others.  */
#ifndef CORE_INTERNAL_H
#define CORE_INTERNAL_H

#include "chart/chr.h"
#include "ledger/lec.h"
#include "ledger/led.h"
#include "lease/ord.h"
#include "node/core.h"

#define CORE_REQUESTS_MAX 65536 /* in progress at one entry */
#define CORE_SHARDS_TRIED_MAX 4 /* cells that may refuse one request */
#define CORE_PROGRESS_INTERVAL_US (1 * CLK_S) /* between progress reports */
#define CORE_MOVE_AFTER_US                                                     \
  (1 * CLK_S) /* a ticket waits so long before it moves */
#define CORE_MEMBERS_INTERVAL_US (5 * CLK_S) /* between lists of instances */
#define CORE_SUMMARY_INTERVAL_US                                               \
  (500 * CLK_MS) /* between summaries, small domains */
/* Summaries of large failure domains come less often, so that a sender's
   bytes a second do not grow with the domain. */
#define CORE_SUMMARY_PER_MEMBER_US (60 * CLK_MS)
#define CORE_SUMMARY_MAX_AGE_US (4 * CLK_S) /* older ones are not used */
#define CORE_DISCOVERY_US (600 * CLK_MS)    /* after the start, before owning */
/* After the first configuration, for the summaries of other cells to come. */
#define CORE_READY_DELAY_US (1200 * CLK_MS)
#define CORE_RECONNECT_DELAY_US                                                \
  (200 * CLK_MS) /* for a lost connection to return */
#define CORE_READERS_INTERVAL_US                                               \
  (200 * CLK_MS) /* between choices of the watchers */
#define CORE_GRANT_MAX_AGE_US (2500 * CLK_MS) /* older grants are not used */
#define CORE_PAUSE_MIN_US                                                      \
  (1500 * CLK_MS)                      /* without an event: it was frozen      \
                                        */
#define CORE_WARMUP_US (700 * CLK_MS)  /* after the start or a pause, idle */
#define CORE_WARMUP_MAX_US (3 * CLK_S) /* while no peer is heard */
#define CORE_REQUEUE_DELAY_US                                                  \
  (50 * CLK_MS) /* before asking the same owner again */

/* X (NAME, "name") in the order of charts/request.chart */
#define REQUEST_STATES(X)                                                      \
  X (WAITING, "waiting")                                                       \
  X (RECORDING, "recording")                                                   \
  X (RUNNING, "running")                                                       \
  X (COMPLETED, "answered")                                                    \
  X (REJECTED, "refused")                                                      \
  X (FAILED, "failed")                                                         \
  X (DISCONNECTED, "gone")

enum request_state
{
#define REQUEST_STATE_ENUM(id, name) REQUEST_##id,
  REQUEST_STATES (REQUEST_STATE_ENUM)
#undef REQUEST_STATE_ENUM
      REQUEST_STATE_N
};

/* X (NAME, "name") */
#define REQUEST_EVENTS(X)                                                      \
  X (GRANT, "grant")                                                           \
  X (GRANT_KEYED, "grant_keyed")                                               \
  X (FRESH, "fresh")                                                           \
  X (REPLAY, "replay")                                                         \
  X (REJECT, "refuse")                                                         \
  X (REQUEUE, "requeue")                                                       \
  X (COMPLETE, "complete")                                                     \
  X (FAIL, "fail")                                                             \
  X (CLIENT_DISCONNECTED, "caller_gone")

enum request_event
{
#define REQUEST_EVENT_ENUM(id, name) REQUEST_EV_##id,
  REQUEST_EVENTS (REQUEST_EVENT_ENUM)
#undef REQUEST_EVENT_ENUM
      REQUEST_EVENT_N
};

/* A caller's request in progress. */
struct core_request
{
  struct core_request_spec spec;
  struct cfg *cfg;     /* under which it was admitted, a reference */
  int state;           /* of the chart */
  gint64 arrived;      /* microseconds */
  gint64 deadline;     /* for the whole request, microseconds */
  guint64 queue_entry; /* with the owner; 0: none */
  struct str_id shard; /* where the ticket is */
  struct str_id owner; /* instance that has the ticket */
  gint64 enqueue_at;   /* >0: offer again at this time, microseconds */
  struct str_id tried_shards[CORE_SHARDS_TRIED_MAX]; /* cells that refused */
  guint n_tried_shards;
  enum msg_reason no_route_reason; /* why no cell was left to try */
  struct str_id backend;           /* of the running attempt or of the grant */
  guint32 priority;                /* for the engine, from the grant */
  gint64 grant_not_before; /* own clock time that the grant is no older than */
  guint32 attempt;         /* of the last attempt; 0: none */
  guint sent_attempts;     /* that may have left */
  guint32 generated;       /* tokens that the caller got, all attempts */
  guint32 unreported;      /* tokens since the last progress report */
  gint64 attempt_started;  /* start of this attempt, microseconds */
  gint64 first_token;      /* of this attempt, microseconds; 0: none */
  gint64 last_token;       /* of this attempt, microseconds */
  guint32 attempt_tokens;  /* of this attempt */
  struct str_id avoid[MSG_AVOID_MAX];
  guint n_avoid;
  gboolean avoid_cleared; /* the list was emptied once */
  gboolean not_resumable; /* its text is too long to be resumed elsewhere */
  gboolean recorded;      /* the ledger holds this request's intent */
  gboolean crosses_link;  /* the attempt runs beyond the link */
};

/* What another failure domain or another owner said of a cell. */
struct core_shard_info
{
  struct msg_cell_summary summary;
  struct str_id domain;
  gint64 received_at;  /* microseconds */
  guint claimed_slots; /* free slots that this entry took since */
};

struct core_ledger_shard
{
  struct core *core; /* borrowed */
  guint number;
  struct led *led; /* NULL: not served here */
};

/* An object of the platform that every instance follows. */
enum core_object
{
  CORE_OBJECT_CONFIG,
  CORE_OBJECT_REGISTRY,
  CORE_OBJECT_COUNT /* count */
};

struct core_object_sync
{
  struct core *core; /* borrowed */
  guint object;      /* enum core_object */
  struct cft *cft;
  gboolean push_pending; /* a version was taken over and is not pushed yet */
  gboolean from_store;   /* it did not come from a peer */
};

/* Orders to the engines of the own failure domain. */
struct core_lease
{
  struct chr *lease_chart;
  struct chr *order_chart;
  struct lse *lse;
  struct ord *ord;
  GHashTable *engines;        /* name -> itself; engines known to ORD */
  gboolean has_desired_state; /* some engine here has a desired state */
  guint64 fence;              /* of the last acquisition seen */
  gboolean config_confirmed;  /* the configuration was read under FENCE */
  gboolean config_reading;    /* that read is under way */
  gint64 config_read_at;      /* not before, microseconds */
  gint64 tick_at;             /* next, microseconds */
};

struct core_budget
{
  double retries;    /* tokens of the retry budget */
  double link_bytes; /* left on the link between regions */
};

struct core
{
  const struct clk *clk;
  struct ctr *ctr;
  GRand *rand;
  struct str_id self;
  struct str_id domain;
  struct str_id region;
  guint64 incarnation;
  gint64 started; /* microseconds */
  void (*act) (void *ctx, const struct core_action *action);
  void *ctx;

  struct cfg *cfg;   /* in force; NULL: none */
  struct chr *chart; /* request.chart */
  struct mem *mem;
  struct chr *member_chart;
  GQueue self_messages; /* struct msg *, from this instance to itself */
  gboolean leaving;
  gboolean drained; /* told by CORE_DO_DRAINED */

  GHashTable *requests; /* guint64 id -> struct core_request * */
  GHashTable
      *queue_entries; /* guint64 ticket -> struct core_request *, borrowed */
  guint64 next_queue_entry;
  struct core_budget budgets[CFG_CLASSES_MAX];
  gint64 budgets_at; /* last refill, microseconds */

  struct core_object_sync objects[CORE_OBJECT_COUNT];
  GHashTable *shards;          /* cell name -> struct cel * served here */
  GHashTable *shard_infos;     /* cell name -> struct core_shard_info * */
  GHashTable *leaving_servers; /* name -> itself; by their own word */
  GHashTable *listed_leaving;  /* name -> itself; by the platform's list */
  struct lec *lec;             /* this entry's side of the ledger */
  struct core_ledger_shard ledger_shards[LED_SHARDS];
  struct core_lease lease;
  guint64 next_token;      /* of calls to the platform */
  GHashTable *store_calls; /* token -> struct core_store_call * */

  gint64 last_event_at;      /* last event, microseconds */
  gint64 resumed_at;         /* start, or end of the last pause, microseconds */
  gboolean shown_warming_up; /* shows as leaving for that */
  gboolean heard_from_peer;  /* heard a peer since then, or has none */
  gint64 ready_at;           /* not ready before, microseconds */
  gint64 heartbeat_at;       /* next, microseconds */
  gint64 remote_heartbeat_at;
  gint64 progress_at;
  gint64 members_at;
  gint64 summary_at;
  gint64 shard_tick_at;
  gint64 readers_at; /* next choice of the watchers */
};

/* Who waits for an answer of the platform: a ledger shard, a followed object
   by its number above the shards, the lease, or the holder of the lease for
   the configuration. */
#define CORE_ORIGIN_OBJECT LED_SHARDS
#define CORE_ORIGIN_LEASE (CORE_ORIGIN_OBJECT + CORE_OBJECT_COUNT)
#define CORE_ORIGIN_HOLDER (CORE_ORIGIN_LEASE + 1)
struct core_store_call
{
  guint origin;  /* 0 to LED_SHARDS - 1, or NOD_CALLER_ */
  guint64 token; /* of the caller's own count */
};

/* Codes of errors that are no refusal. */
extern const char core_backend_failed[];
extern const char core_outcome_unknown[];

/* nod.c */
void core_send (struct core *core, const char *to, const struct msg *msg);
void core_dial (struct core *core, const char *address);
gboolean core_is_warming_up (const struct core *core);
void core_start_store_call (struct core *core, guint origin, guint64 token,
                            const struct sto_call *call);

/* A request's final error. */
struct core_failure
{
  guint32 status;
  const char *code;
  gint64 retry_after_us;
  const char *step;
  const char *peer;
};

/* core_request.c: requests taken as an entry */
const struct cfg_class *core_request_class (const struct core_request *req);
gboolean core_request_is_resumable (const struct core_request *req);
gboolean core_request_step (struct core *core, struct core_request *req,
                            enum request_event event);
void core_request_remove (struct core *core, struct core_request *req);
void core_request_end_record (struct core *core, struct core_request *req,
                              const struct msg_ledger_result *response);
void core_request_fail (struct core *core, struct core_request *req,
                        const struct core_failure *failure);
void core_request_reject (struct core *core, struct core_request *req,
                          enum msg_reason reason, gint64 retry_after_us,
                          const char *peer);
void core_request_cancel_work (struct core *core, struct core_request *req);
int core_request_init (struct core *core, const char *chart_folder,
                       struct err *err);
void core_request_arrive (struct core *core,
                          const struct core_request_spec *spec);
void core_request_client_disconnected (struct core *core, guint64 id);
void core_request_tick (struct core *core);
void core_request_free (void *data);
void core_request_dump (const struct core *core, JsonBuilder *json);

/* queue_entries.c: tickets with cell owners */
void core_queue_grant (struct core *core, const char *from,
                       const struct msg_grant *grant);
void core_queue_rejected (struct core *core, const char *from,
                          const struct msg_refuse *rejection);
void core_queue_preempt (struct core *core, const char *from,
                         const struct msg_preempt *preempt);
void core_queue_view_changed (struct core *core, const char *lost);
void core_queue_reenqueue_after (struct core *core, const char *id,
                                 gint64 delay);
void core_queue_report_progress (struct core *core);
void core_queue_rebalance (struct core *core);
void core_queue_remove (struct core *core, struct core_request *req);
void core_queue_release (struct core *core, struct core_request *req,
                         enum msg_result result);
void core_queue_withdraw (struct core *core, const char *to,
                          guint64 queue_entry);
gboolean core_queue_enqueue (struct core *core, struct core_request *req);
void core_queue_reenqueue (struct core *core, struct core_request *req);

/* attempts.c: attempts on backend servers */
void core_attempt_tokens (struct core *core, guint64 id, guint32 attempt,
                          guint32 count, gsize bytes, gboolean resumable);
void core_attempt_ended (struct core *core, const struct core_attempt_end *end);
void core_attempt_ledger_verdict (struct core *core, guint64 id,
                                  const struct msg_ledger_verdict *verdict);
guint32 core_attempt_mean_tbt (const struct core_request *req);
void core_attempt_open (struct core *core, struct core_request *req);
gboolean core_attempt_may_use (const struct core *core, gint64 echo_us,
                               const char *backend);

/* core_route.c: choice of a cell and of its owner */
gboolean core_route (struct core *core, struct core_request *req);
gboolean core_route_move (struct core *core, struct core_request *req);
const char *core_shard_owner (struct core *core, struct str cell);
gboolean core_crosses_link (const struct core *core, const struct cfg *cfg,
                            guint domain);

/* core_budget.c: retry and link budgets per class */
void core_budget_init (struct core *core);
void core_budget_refill (struct core *core);
void core_budget_first_attempt (struct core *core, guint class_index);
gboolean core_budget_retry (struct core *core, guint class_index);
gboolean core_budget_may_cross (const struct core *core, guint class_index);
void core_budget_charge_link (struct core *core, guint class_index,
                              guint64 bytes);

/* owned_shards.c: cells served as an owner, summaries */
struct cel *core_shard_get (struct core *core, struct str name);
void core_shards_message (struct core *core, const char *from,
                          const struct msg *msg);
void core_shards_ingress_lost (struct core *core, const char *id);
void core_shards_set_config (struct core *core);
void core_shard_load_report (struct core *core, const char *backend,
                             const struct cel_load *load, gboolean leaving);
void core_shard_cache_event (struct core *core, const char *backend,
                             guint64 prefix, gboolean held);
void core_shards_update_leaving (struct core *core);
void core_shards_tick (struct core *core);
void core_shard_send_summaries (struct core *core);
void core_shard_take_summary (struct core *core, const char *from,
                              const struct msg_summary *summary);
gboolean core_shards_idle (const struct core *core);
void core_shards_dump (const struct core *core, JsonBuilder *json);

/* peer_heartbeats.c: heartbeats, lists of instances */
int core_peer_init (struct core *core, const struct core_options *options,
                    struct err *err);
void core_peer_free (struct core *core);
void core_peer_heartbeat (struct core *core, const char *from,
                          const struct msg_heartbeat *heartbeat);
void core_peer_send_heartbeat (struct core *core, const char *id);
void core_peer_members (struct core *core, const struct msg_members *members);
void core_peer_tick (struct core *core);

/* ledger_shards.c: ledger shards served */
void core_ledger_record (struct core *core, const char *from,
                         const struct msg_ledger_intent *record);
void core_ledger_result (struct core *core, const char *from,
                         const struct msg_ledger_result *result);
void core_ledger_store_response (struct core *core, guint number, guint64 token,
                                 const struct sto_answer *response);
void core_ledger_tick (struct core *core);
void core_ledger_init (struct core *core);
void core_ledger_free (struct core *core);
void core_ledger_dump (const struct core *core, JsonBuilder *json);

/* core_config.c: the configuration and the list of servers */
void core_config_init (struct core *core);
void core_config_free (struct core *core);
void core_config_tick (struct core *core);
void core_config_store_response (struct core *core, guint object, guint64 token,
                                 const struct sto_answer *response);
void core_config_requested (struct core *core, const char *from,
                            const struct msg_object_ask *ask);
void core_config_received (struct core *core,
                           const struct msg_object_body *body);
void core_config_dump (const struct core *core, JsonBuilder *json);
void core_config_peer_versions (struct core *core, const char *from,
                                const struct msg_heartbeat *heartbeat);

/* core_lease.c: orders to engines under a lease */
int core_lease_init (struct core *core, const char *chart_folder,
                     struct err *err);
void core_lease_free (struct core *core);
void core_lease_config (struct core *core);
void core_lease_store_response (struct core *core, guint64 token,
                                const struct sto_answer *response);
void core_lease_config_read (struct core *core, guint64 fence,
                             const struct sto_answer *response);
void core_lease_order_response (struct core *core, guint64 token,
                                const struct ord_answer *response);
void core_lease_tick (struct core *core);
void core_lease_dump (const struct core *core, JsonBuilder *json);

#endif

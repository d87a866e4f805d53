/* Declarations shared by the files of this package only.  */
#ifndef CORE_INTERNAL_H
#define CORE_INTERNAL_H

#include "chart/statechart.h"
#include "ledger/claims.h"
#include "ledger/ledger.h"
#include "lease/reconciler.h"
#include "node/core.h"

/* Client requests in progress at one instance. */
#define CORE_REQUESTS_MAX 65536

/* Shards that may reject a request before it fails. */
#define CORE_SHARDS_TRIED_MAX 4

/* Interval of progress reports to shard owners. */
#define CORE_PROGRESS_INTERVAL_US (1 * CLK_S)

/* A queued request may be moved to another shard this long after its
   arrival. */
#define CORE_MOVE_AFTER_US (1 * CLK_S)

/* Interval of instance lists sent to a peer. */
#define CORE_MEMBERS_INTERVAL_US (5 * CLK_S)

/* Interval of shard summaries: the larger of the fixed value and the value
   for each instance. In large failure domains summaries are sent less often,
   so that the bytes per second of a sender do not grow with the domain. */
#define CORE_SUMMARY_INTERVAL_US (500 * CLK_MS)
#define CORE_SUMMARY_PER_MEMBER_US (60 * CLK_MS)

/* Older summaries are ignored. */
#define CORE_SUMMARY_MAX_AGE_US (4 * CLK_S)

/* After its start an instance waits this long for other instances to become
   known before it acts as a designated reader or tries to hold the lease. */
#define CORE_DISCOVERY_US (600 * CLK_MS)

/* After the first configuration an instance waits this long for summaries of
   shards in other failure domains before it reports ready. */
#define CORE_READY_DELAY_US (1200 * CLK_MS)

/* Time given to a lost connection to be established again before the queue
   entries at that peer are sent again. */
#define CORE_RECONNECT_DELAY_US (200 * CLK_MS)

/* Interval between choices of the designated readers. */
#define CORE_READERS_INTERVAL_US (200 * CLK_MS)

/* Older grants are not used. */
#define CORE_GRANT_MAX_AGE_US (2500 * CLK_MS)

/* Without an event for this long, the process was suspended. */
#define CORE_PAUSE_MIN_US (1500 * CLK_MS)

/* After its start or a pause an instance takes no work for CORE_WARMUP_US,
   and then until it has heard from a peer, for CORE_WARMUP_MAX_US in all. */
#define CORE_WARMUP_US (700 * CLK_MS)
#define CORE_WARMUP_MAX_US (3 * CLK_S)

/* Delay before a request is sent to the same shard owner again. */
#define CORE_REQUEUE_DELAY_US (50 * CLK_MS)

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
  X (RECORDED, "fresh")                                                        \
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

/* A client request in progress. */
struct core_request
{
  struct core_request_spec spec;
  struct cluster_config *cfg; /* in force at its arrival, a reference */
  int state;                  /* in charts/request.chart */
  gint64 arrived;             /* microseconds */
  gint64 deadline;            /* for the complete request, microseconds */
  guint64 queue_entry;        /* its number at the shard owner; 0: not queued */
  struct str_id shard;        /* in which it is queued */
  struct str_id owner;        /* instance that owns the shard */
  gint64 enqueue_at;          /* >0: enqueue again at this time, microseconds */
  struct str_id tried_shards[CORE_SHARDS_TRIED_MAX]; /* that rejected it */
  guint n_tried_shards;
  enum msg_reason no_route_reason; /* why no shard was left to try */
  struct str_id backend;           /* granted, or of the running attempt */
  guint32 priority;                /* passed to the engine, from the grant */
  gint64 grant_not_before;         /* local time; the grant is not older */
  guint32 attempt;                 /* number of the last attempt; 0: none */
  guint sent_attempts;             /* that may have reached a server */
  guint n_broken;                  /* attempts in a row that broke off without
                                      a token */
  guint32 generated;               /* tokens sent to the client, all attempts */
  guint32 unreported;              /* tokens since the last progress report */
  gint64 attempt_started;          /* start of this attempt, microseconds */
  gint64 first_token;              /* of this attempt, microseconds; 0: none */
  gint64 last_token;               /* of this attempt, microseconds */
  guint32 attempt_tokens;          /* of this attempt */
  struct str_id avoid[MSG_AVOID_MAX]; /* servers with a failed attempt */
  guint n_avoid;
  gboolean avoid_cleared; /* avoid was emptied once already */
  gboolean not_resumable; /* the text is too long to resume elsewhere */
  gboolean recorded;      /* the ledger holds its write-ahead record */
  gboolean crosses_link;  /* the attempt runs in another region */
};

/* The last summary of a shard owned by another instance. */
struct core_shard_info
{
  struct msg_shard_summary summary;
  struct str_id domain;
  gint64 received_at;  /* microseconds */
  guint claimed_slots; /* free slots used from here since then */
};

struct core_ledger_shard
{
  struct core *core; /* borrowed */
  guint number;
  struct ledger_shard *ledger_shard; /* NULL: not served here */
};

/* Objects in the platform's store of which every instance keeps the newest
   version. */
enum core_object
{
  CORE_OBJECT_CONFIG,
  CORE_OBJECT_REGISTRY,
  CORE_OBJECT_COUNT
};

struct core_object_sync
{
  struct core *core; /* borrowed */
  guint object;      /* enum core_object */
  struct follower *follower;
  gboolean push_pending; /* a new version must be sent to peers */
  gboolean from_store;   /* that version was not sent by a peer */
};

/* Lease of the failure domain and the orders that its holder sends to
   engines: calls to load models, adapters or versions and to set roles. */
struct core_lease
{
  struct statechart *lease_chart;
  struct statechart *order_chart;
  struct lease_lock *lease_lock;
  struct reconciler *reconciler;
  GHashTable *engines;        /* set of names passed to the reconciler */
  gboolean has_desired_state; /* for some engine of this failure domain */
  guint64 fence;              /* fencing number of the last acquisition */
  gboolean config_confirmed;  /* read from the store since that */
  gboolean config_reading;    /* a read is in progress */
  gint64 config_read_at;      /* earliest next read, microseconds */
  gint64 tick_at;             /* microseconds */
};

/* Budgets of one class. */
struct core_budget
{
  double retries;    /* tokens of the retry budget */
  double link_bytes; /* left for other regions */
};

struct core
{
  const struct clk *clk;
  struct counter_set *counter_set;
  GRand *rand;
  struct str_id self;
  struct str_id domain;
  struct str_id region;
  guint64 incarnation;
  gint64 started; /* microseconds */
  void (*act) (void *ctx, const struct core_action *action);
  void *ctx;

  struct cluster_config *cfg; /* in force; NULL: none */
  struct statechart *chart;   /* request.chart */
  struct membership *membership;
  struct statechart *member_chart;
  GQueue self_messages; /* struct msg * */
  gboolean leaving;
  gboolean drained; /* CORE_DO_DRAINED was sent */

  GHashTable *requests; /* guint64 id -> struct core_request * */
  /* guint64 queue entry -> struct core_request *, borrowed */
  GHashTable *queue_entries;
  guint64 next_queue_entry;
  struct core_budget budgets[CLUSTER_CLASSES_MAX];
  gint64 budgets_at; /* last refill, microseconds */

  struct core_object_sync objects[CORE_OBJECT_COUNT];
  GHashTable *shards;          /* name -> struct shard_owner *, served here */
  GHashTable *shard_infos;     /* name -> struct core_shard_info * */
  GHashTable *leaving_servers; /* set of names, from their load reports */
  GHashTable *listed_leaving;  /* set of names, from the server registry */
  struct claims *claims;       /* client side of the ledger */
  struct core_ledger_shard ledger_shards[LEDGER_SHARDS];
  struct core_lease lease;
  guint64 next_token;      /* of calls to the platform's store */
  GHashTable *store_calls; /* token -> struct core_store_call * */

  gint64 last_event_at;      /* microseconds */
  gint64 resumed_at;         /* start, or end of the last pause, microseconds */
  gboolean shown_warming_up; /* announced as leaving while warming up */
  gboolean heard_from_peer;  /* since resumed_at; TRUE without peers */
  gint64 ready_at;           /* not ready before, microseconds */
  gint64 heartbeat_at;       /* next one in this failure domain */
  gint64 remote_heartbeat_at; /* next one to other failure domains */
  gint64 progress_at;
  gint64 members_at;
  gint64 summary_at;
  gint64 shard_tick_at;
  gint64 readers_at; /* next choice of the designated readers */
};

/* Origin of a call to the platform's store: the number of a ledger shard,
   CORE_ORIGIN_OBJECT plus the number of a shared object, the lease, or the
   lease holder's read of the configuration. */
#define CORE_ORIGIN_OBJECT LEDGER_SHARDS
#define CORE_ORIGIN_LEASE (CORE_ORIGIN_OBJECT + CORE_OBJECT_COUNT)
#define CORE_ORIGIN_HOLDER (CORE_ORIGIN_LEASE + 1)
struct core_store_call
{
  guint origin;  /* 0 to LEDGER_SHARDS - 1, or CORE_ORIGIN_ */
  guint64 token; /* of the origin */
};

/* Error codes that are not a msg_reason. */
extern const char core_backend_failed[];
extern const char core_outcome_unknown[];

/* core.c */
void core_send (struct core *core, const char *to, const struct msg *msg);
void core_dial (struct core *core, const char *address);
gboolean core_is_warming_up (const struct core *core);
void core_start_store_call (struct core *core, guint origin, guint64 token,
                            const struct storage_request *call);

/* Error that ends a request. */
struct core_failure
{
  guint32 status;
  const char *code;
  gint64 retry_after_us;
  const char *step;
  const char *peer;
};

/* client_requests.c: requests received from clients */
const struct cluster_class *core_request_class (const struct core_request *req);
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

/* queue_entries.c: entries in the queues of shard owners */
void core_queue_grant (struct core *core, const char *from,
                       const struct msg_grant *grant);
void core_queue_rejected (struct core *core, const char *from,
                          const struct msg_reject *rejection);
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
                                  const struct msg_ledger_reply *reply);
guint32 core_attempt_mean_tbt (const struct core_request *req);
void core_attempt_open (struct core *core, struct core_request *req);
gboolean core_attempt_may_use (const struct core *core, gint64 echo_us,
                               const char *backend);

/* shard_routing.c: choice of a scheduling shard and of its owner */
gboolean core_route (struct core *core, struct core_request *req);
gboolean core_route_move (struct core *core, struct core_request *req);
const char *core_shard_owner (struct core *core, struct str shard);
gboolean core_crosses_link (const struct core *core,
                            const struct cluster_config *cfg, guint domain);

/* class_budgets.c: retry and link budgets of each class */
void core_budget_init (struct core *core);
void core_budget_refill (struct core *core);
void core_budget_first_attempt (struct core *core, guint class_index);
gboolean core_budget_retry (struct core *core, guint class_index);
gboolean core_budget_may_cross (const struct core *core, guint class_index);
void core_budget_charge_link (struct core *core, guint class_index,
                              guint64 bytes);

/* owned_shards.c: scheduling shards owned here, shard summaries */
struct shard_owner *core_shard_get (struct core *core, struct str name);
void core_shards_message (struct core *core, const char *from,
                          const struct msg *msg);
void core_shards_ingress_lost (struct core *core, const char *id);
void core_shards_set_config (struct core *core);
void core_shard_load_report (struct core *core, const char *backend,
                             const struct shard_load *load, gboolean leaving);
void core_shard_cache_event (struct core *core, const char *backend,
                             guint64 prefix, gboolean cached);
void core_shards_update_leaving (struct core *core);
void core_shards_tick (struct core *core);
void core_shard_send_summaries (struct core *core);
void core_shard_summary_received (struct core *core, const char *from,
                                  const struct msg_summary *summary);
gboolean core_shards_idle (const struct core *core);
void core_shards_dump (const struct core *core, JsonBuilder *json);

/* peer_heartbeats.c: heartbeats and instance lists */
int core_peer_init (struct core *core, const struct core_options *options,
                    struct err *err);
void core_peer_free (struct core *core);
void core_peer_heartbeat (struct core *core, const char *from,
                          const struct msg_heartbeat *heartbeat);
void core_peer_send_heartbeat (struct core *core, const char *id);
void core_peer_members (struct core *core, const struct msg_members *members);
void core_peer_tick (struct core *core);

/* ledger_shards.c: ledger shards owned here, client side of the ledger */
void core_ledger_record (struct core *core, const char *from,
                         const struct msg_ledger_record *record);
void core_ledger_result (struct core *core, const char *from,
                         const struct msg_ledger_result *result);
void core_ledger_store_response (struct core *core, guint number, guint64 token,
                                 const struct storage_response *response);
void core_ledger_tick (struct core *core);
void core_ledger_init (struct core *core);
void core_ledger_free (struct core *core);
void core_ledger_dump (const struct core *core, JsonBuilder *json);

/* shared_objects.c: the configuration and the server registry */
void core_object_init (struct core *core);
void core_object_free (struct core *core);
void core_object_tick (struct core *core);
void core_object_store_response (struct core *core, guint object, guint64 token,
                                 const struct storage_response *response);
void core_object_requested (struct core *core, const char *from,
                            const struct msg_object_request *request);
void core_object_received (struct core *core,
                           const struct msg_object_body *body);
void core_object_dump (const struct core *core, JsonBuilder *json);
void core_object_peer_versions (struct core *core, const char *from,
                                const struct msg_heartbeat *heartbeat);

/* engine_orders.c: orders to engines, sent under a lease */
int core_lease_init (struct core *core, const char *chart_folder,
                     struct err *err);
void core_lease_free (struct core *core);
void core_lease_config (struct core *core);
void core_lease_store_response (struct core *core, guint64 token,
                                const struct storage_response *response);
void core_lease_config_read (struct core *core, guint64 fence,
                             const struct storage_response *response);
void core_lease_order_response (struct core *core, guint64 token,
                                const struct reconciler_response *response);
void core_lease_tick (struct core *core);
void core_lease_dump (const struct core *core, JsonBuilder *json);

#endif

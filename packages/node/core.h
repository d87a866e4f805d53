/* Decision core of one instance. It does no I/O: the program around it (the
   shell) passes in events and carries out the actions that the core returns
   through a callback. Benchmarks and tests do the same with a fake clock.

   The core keeps the client requests that this instance received, the
   scheduling shards (groups of backend servers with one queue) and ledger
   shards (records of idempotency keys) that it owns, its view of the other
   instances, and the configuration in force.  */
#ifndef CORE_H
#define CORE_H

#include "base/clock.h"
#include "base/counter.h"
#include "cell/shard.h"
#include "config/cluster_config.h"
#include "config/follower.h"
#include "lease/reconciler.h"
#include "member/membership.h"
#include "msg/msg.h"
#include "store/storage.h"

#define CORE_TICK_US (20 * CLK_MS) /* maximum time between CORE_TICK events */

struct core;

/* A client request as parsed by the shell. */
struct core_request_spec
{
  guint64 id;        /* unique in this process */
  guint class_index; /* in the configuration in force */
  guint team_index;
  guint pool;
  guint64 prefix;        /* hash of the prompt's prefix; 0: no prefix */
  guint32 prompt_tokens; /* estimate */
  guint32 max_tokens;    /* 0: unknown */
  guint64 bytes;         /* size of the request's body */
  gboolean streamed;
  gboolean repeatable;       /* may run more than once */
  gboolean keyed;            /* not repeatable, with an idempotency key */
  guint8 key[MSG_KEY_BYTES]; /* digest of team, service and idempotency key */
  guint8 body_digest[MSG_KEY_BYTES]; /* of method, path and body */
};

/* The end of an attempt, as observed by the shell. */
struct core_attempt_end
{
  guint64 request;
  guint32 attempt;
  enum msg_result result;
  gboolean sent;           /* some byte may have been sent to the server */
  gboolean delivered;      /* some byte of the response went to the client */
  gboolean resumable;      /* the stream can continue on another server */
  guint32 tokens;          /* in a response that was not streamed */
  gsize bytes;             /* of a response that was not streamed */
  guint32 status;          /* HTTP status; 0: none */
  struct str content_type; /* borrowed; keyed requests only */
  struct str body;         /* borrowed; keyed requests only */
};

/* X (KIND) */
#define CORE_EVENTS(X)                                                         \
  X (REQUEST)             /* a client request arrived */                       \
  X (CLIENT_DISCONNECTED) /* the client closed its connection */               \
  X (TOKENS)              /* a running attempt sent a part of its stream */    \
  X (ATTEMPT_END)         /* a running attempt ended */                        \
  X (MESSAGE)             /* from another instance */                          \
  X (PEER_UP)             /* a connection to an instance is established */     \
  X (PEER_LOST)           /* no connection to an instance is left */           \
  X (STORE_RESPONSE)      /* of the platform's store, to a call */             \
  X (LOAD)                /* a backend server's load report */                 \
  X (CACHE)               /* a backend server's cache event */                 \
  X (ORDER_RESPONSE)      /* of an engine, to an order call */                 \
  X (SHUTDOWN)            /* drain: own no shards, accept no new work */       \
  X (TICK)

enum core_event_kind
{
#define CORE_EVENT_ENUM(id) CORE_##id,
  CORE_EVENTS (CORE_EVENT_ENUM)
#undef CORE_EVENT_ENUM
};

struct core_event
{
  enum core_event_kind kind;
  union
  {
    struct core_request_spec request;
    guint64 client_disconnected; /* request id */
    struct
    {
      guint64 request;
      guint32 attempt;
      guint32 count;
      gsize bytes;        /* of the stream */
      gboolean resumable; /* the stream could continue on another server */
    } tokens;
    struct core_attempt_end attempt_end;
    struct
    {
      const char *from; /* borrowed */
      const struct msg *msg;
    } message;
    const char *peer_up;   /* instance id, borrowed */
    const char *peer_lost; /* instance id, borrowed */
    struct
    {
      guint64 token;
      const struct storage_response *response;
    } store_response;
    struct
    {
      const char *backend;
      struct shard_load load;
      gboolean leaving; /* the server reports that it shuts down */
    } load;
    struct
    {
      const char *backend;
      guint64 prefix;
      gboolean cached;
    } cache;
    struct
    {
      guint64 token;
      const struct reconciler_response *response;
    } order_response;
  };
};

/* Whether a request ran on a backend server, as reported to the client.
   X (NAME, "name") */
#define CORE_RAN_VALUES(X)                                                     \
  X (NO, "no")                                                                 \
  X (YES, "yes")                                                               \
  X (UNKNOWN, "unknown")

enum core_ran
{
#define CORE_RAN_ENUM(id, name) CORE_RAN_##id,
  CORE_RAN_VALUES (CORE_RAN_ENUM)
#undef CORE_RAN_ENUM
};

/* X (KIND) */
#define CORE_ACTIONS(X)                                                        \
  X (SEND)           /* a message to another instance */                       \
  X (DIAL)           /* connect to an instance and stay connected */           \
  X (OPEN)           /* start an attempt */                                    \
  X (CANCEL)         /* cancel an attempt; no ATTEMPT_END is due for it */     \
  X (FAIL)           /* end the request with an error response */              \
  X (REPLAY)         /* end the request with a response from the ledger */     \
  X (FINISH)         /* the attempt's response is complete; end the request */ \
  X (STORE)          /* start a call to the platform's store */                \
  X (ORDER)          /* start an order call to an engine */                    \
  X (CONFIG)         /* a new configuration is in force */                     \
  X (CONFIG_INVALID) /* the stored configuration is not valid */               \
  X (DRAINED)        /* after SHUTDOWN: no work is left in progress */

enum core_action_kind
{
#define CORE_ACTION_ENUM(id) CORE_DO_##id,
  CORE_ACTIONS (CORE_ACTION_ENUM)
#undef CORE_ACTION_ENUM
};

struct core_action
{
  enum core_action_kind kind;
  union
  {
    struct
    {
      const char *to; /* borrowed */
      const struct msg *msg;
    } send;
    const char *dial; /* IP:PORT, borrowed */
    struct
    {
      guint64 request;
      guint32 attempt;
      const struct cluster_backend *backend; /* borrowed for the call */
      guint32 priority;                      /* 0 is the highest */
      gboolean resume;   /* continue after the tokens delivered so far */
      gint64 timeout_us; /* for the complete attempt */
      /* An attempt that has not been sent by then must end with UNUSED, since
         its grant is too old. */
      gint64 send_within_us;
    } open;
    struct
    {
      guint64 request;
      guint32 attempt;
    } cancel;
    struct
    {
      guint64 request;
      guint32 status;   /* HTTP status */
      const char *code; /* error code in the response, static */
      enum core_ran ran;
      gint64 retry_after_us; /* 0: no Retry-After */
      struct err err;        /* step and peer */
    } fail;
    struct
    {
      guint64 request;
      guint32 status;
      struct str content_type; /* borrowed */
      struct str body;         /* borrowed */
    } replay;
    guint64 finish; /* request id */
    struct
    {
      guint64 token;
      const struct storage_request *call; /* borrowed for the call */
    } store;
    struct
    {
      guint64 token;
      const struct cluster_backend *backend; /* borrowed for the call */
      const struct reconciler_request *call; /* borrowed for the call */
    } order;
    const struct cluster_config *config;
    struct
    {
      guint64 version;
      const GPtrArray *problems; /* char *, borrowed for the call */
    } config_invalid;
  };
};

struct core_options
{
  const struct clk *clk; /* borrowed */
  guint32 seed;
  struct counter_set *counter_set; /* borrowed */
  struct str_id self;
  struct str_id domain;
  struct str_id region;
  const char *address;      /* IP:PORT for peers, copied */
  const char *const *peers; /* addresses to dial, NULL-terminated, copied */
  guint64 incarnation;
  const char *chart_folder; /* holds the state charts */
  /* Carries out one action; must not call core_handle. */
  void (*act) (void *ctx, const struct core_action *action);
  void *ctx;
};

int core_new (const struct core_options *options, struct core **result,
              struct err *err);
void core_free (struct core *core);
void core_handle (struct core *core, const struct core_event *event);

/* Puts CFG into force if it is newer than the current configuration. Returns
   whether it did. */
gboolean core_set_config (struct core *core, struct cluster_config *cfg);
int core_update_config (struct core *core, guint64 expected, GBytes *body,
                        follower_done done, void *ctx);
const struct cluster_config *
core_config (const struct core *core); /* NULL: none yet */
const struct membership *core_members (const struct core *core);
/* Whether this instance owns the scheduling shard of BACKEND and so needs its
   load reports. */
gboolean core_serves (const struct core *core,
                      const struct cluster_backend *backend);
/* Whether this instance accepts client requests: it has a configuration, its
   start-up delay is over and it is not shutting down. */
gboolean core_ready (const struct core *core);
guint core_in_progress (const struct core *core);
void core_dump (const struct core *core, JsonBuilder *json);
const char *core_ran_name (enum core_ran ran);

#endif

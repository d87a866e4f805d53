/* One instance's decisions, without I/O: the requests it took as an entry,
   the cells and ledger shards it owns, its view of the other instances and
   the configuration in force. The shell hands in events and carries out
   actions; the bench and the tests do the same with a fake clock.  */
#ifndef NOD_H
#define NOD_H

#include "base/clk.h"
#include "base/ctr.h"
#include "cell/shard.h"
#include "config/cfg.h"
#include "config/cft.h"
#include "lease/ord.h"
#include "member/membership.h"
#include "msg/msg.h"
#include "store/sto.h"

#define NOD_TICK_US (20 * CLK_MS) /* longest time between NOD_TICK events */

struct nod;

/* A request as the shell understood it. */
struct nod_request
{
  guint64 id;        /* unique in this process */
  guint class_index; /* in the configuration in force */
  guint team_index;
  guint pool;
  guint64 prefix;        /* hash of the prompt's prefix; 0: none */
  guint32 prompt_tokens; /* estimate */
  guint32 max_tokens;    /* 0: unknown */
  guint64 bytes;         /* of the request's body */
  gboolean streamed;
  gboolean repeatable;
  gboolean keyed; /* not repeatable, with an idempotency key */
  guint8 key[MSG_KEY_BYTES];
  guint8 body[MSG_KEY_BYTES];
};

/* How the shell saw an attempt end. */
struct nod_attempt_end
{
  guint64 request;
  guint32 attempt;
  enum msg_result result;
  gboolean sent;           /* some byte may have left */
  gboolean delivered;      /* some byte of the answer went to the caller */
  gboolean resumable;      /* the stream can go on elsewhere */
  guint32 tokens;          /* of an answer that was not streamed */
  gsize bytes;             /* of an answer that was not streamed */
  guint32 status;          /* HTTP status; 0: none */
  struct str content_type; /* of the answer, borrowed; keyed requests only */
  struct str answer;       /* borrowed; keyed requests only */
};

/* X (KIND) */
#define NOD_EVENTS(X)                                                          \
  X (REQUEST)      /* a caller's request arrived */                            \
  X (CALLER_GONE)  /* the caller hung up */                                    \
  X (TOKENS)       /* a running attempt got tokens */                          \
  X (ATTEMPT_END)  /* a running attempt ended */                               \
  X (MESSAGE)      /* from another instance */                                 \
  X (PEER_UP)      /* a connection to an instance stands */                    \
  X (PEER_LOST)    /* no connection to an instance is left */                  \
  X (STORE_ANSWER) /* the platform answered a call */                          \
  X (LOAD)         /* a backend server's load report */                        \
  X (CACHE)        /* a backend server's cache event */                        \
  X (ORDER_ANSWER) /* an engine answered a call for orders */                  \
  X (SHUTDOWN)     /* leave: own nothing, take nothing new */                  \
  X (TICK)

enum nod_event_kind
{
#define NOD_EVENT_ENUM(id) NOD_##id,
  NOD_EVENTS (NOD_EVENT_ENUM)
#undef NOD_EVENT_ENUM
};

struct nod_event
{
  enum nod_event_kind kind;
  union
  {
    struct nod_request request;
    guint64 caller_gone; /* request id */
    struct
    {
      guint64 request;
      guint32 attempt;
      guint32 count;
      gsize bytes;        /* of the stream */
      gboolean resumable; /* the stream could go on elsewhere now */
    } tokens;
    struct nod_attempt_end attempt_end;
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
      const struct sto_answer *answer;
    } store_answer;
    struct
    {
      const char *backend;
      struct shard_load load;
      gboolean leaving; /* the server's own word */
    } load;
    struct
    {
      const char *backend;
      guint64 prefix;
      gboolean held;
    } cache;
    struct
    {
      guint64 token;
      const struct ord_answer *answer;
    } order_answer;
  };
};

/* Whether a request ran, as told to the caller. X (NAME, "name") */
#define NOD_RANS(X)                                                            \
  X (NO, "no")                                                                 \
  X (YES, "yes")                                                               \
  X (UNKNOWN, "unknown")

enum nod_ran
{
#define NOD_RAN_ENUM(id, name) NOD_RAN_##id,
  NOD_RANS (NOD_RAN_ENUM)
#undef NOD_RAN_ENUM
};

/* X (KIND) */
#define NOD_ACTIONS(X)                                                         \
  X (SEND)       /* a message to another instance */                           \
  X (DIAL)       /* keep a connection to an instance's address */              \
  X (OPEN)       /* start an attempt */                                        \
  X (CANCEL)     /* cancel an attempt; no ATTEMPT_END is due for it */         \
  X (FAIL)       /* the request's final answer is an error */                  \
  X (REPLAY)     /* the request's final answer stands in the ledger */         \
  X (FINISH)     /* the attempt's answer is complete; close it */              \
  X (STORE)      /* start a call to the platform */                            \
  X (ORDER)      /* start a call for orders to an engine */                    \
  X (CONFIG)     /* a new configuration is in force */                         \
  X (CONFIG_BAD) /* the platform has a configuration that is not valid */      \
  X (DRAINED)    /* after SHUTDOWN: nothing is in progress any more */

enum nod_action_kind
{
#define NOD_ACTION_ENUM(id) NOD_DO_##id,
  NOD_ACTIONS (NOD_ACTION_ENUM)
#undef NOD_ACTION_ENUM
};

struct nod_action
{
  enum nod_action_kind kind;
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
      const struct cfg_backend *backend; /* borrowed for the call */
      guint32 priority;                  /* 0 is the highest */
      gboolean resume;   /* go on from the tokens delivered so far */
      gboolean fresh;    /* on a new connection */
      gint64 timeout_us; /* for the whole attempt */
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
      const char *code; /* name of the reason, static */
      enum nod_ran ran;
      gint64 retry_after_us; /* 0: no advice */
      struct err err;        /* step and peer */
    } fail;
    struct
    {
      guint64 request;
      guint32 status;
      struct str content_type; /* borrowed */
      struct str answer;       /* borrowed */
    } replay;
    guint64 finish; /* request id */
    struct
    {
      guint64 token;
      const struct sto_call *call; /* borrowed for the call */
    } store;
    struct
    {
      guint64 token;
      const struct cfg_backend *backend; /* borrowed for the call */
      const struct ord_call *call;       /* borrowed for the call */
    } order;
    const struct cfg *config;
    struct
    {
      guint64 version;
      const GPtrArray *problems; /* char *, borrowed for the call */
    } config_bad;
  };
};

struct nod_options
{
  const struct clk *clk; /* borrowed */
  guint32 seed;
  struct ctr *ctr; /* borrowed */
  struct str_id self;
  struct str_id domain;
  struct str_id region;
  const char *address;      /* IP:PORT for peers, copied */
  const char *const *peers; /* addresses to dial, NULL-terminated, copied */
  guint64 incarnation;
  const char *chart_folder; /* holds the state charts */
  /* Carries out one action; must not call nod_handle. */
  void (*act) (void *ctx, const struct nod_action *action);
  void *ctx;
};

int nod_new (const struct nod_options *options, struct nod **result,
             struct err *err);
void nod_free (struct nod *nod);
void nod_handle (struct nod *nod, const struct nod_event *event);

/* Takes over configuration CFG if it is newer than the one in force. */
gboolean nod_set_config (struct nod *nod, struct cfg *cfg);
int nod_update_config (struct nod *nod, guint64 expected, GBytes *body,
                       cft_done done, void *ctx);
const struct cfg *nod_config (const struct nod *nod); /* NULL: none yet */
const struct membership *nod_members (const struct nod *nod);
/* Whether this instance serves the cell of BACKEND, so that it should hear of
   its load. */
gboolean nod_serves (const struct nod *nod, const struct cfg_backend *backend);
/* Has a configuration and is not shutting down. */
gboolean nod_ready (const struct nod *nod);
guint nod_in_progress (const struct nod *nod);
void nod_dump (const struct nod *nod, JsonBuilder *json);
const char *nod_ran_name (enum nod_ran ran);

#endif

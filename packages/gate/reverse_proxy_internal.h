/* Shared by the files of the gate only.  */
#ifndef REVERSE_PROXY_INTERNAL_H
#define REVERSE_PROXY_INTERNAL_H

#include "chart/chr.h"
#include "gate/reverse_proxy.h"
#include "gate/event_splitter.h"
#include "http/htm.h"
#include "http/htr.h"
#include "net/cnx.h"
#include "sched/rty.h"

#define DOWNSTREAM_READ_AHEAD_MAX                                              \
  (64 * 1024)                             /* bytes read ahead of a caller      \
                                           */
#define DOWNSTREAM_QUEUE_MAX (256 * 1024) /* bytes queued for a slow caller */
#define UPSTREAM_BUFFERED_BODY_MAX                                             \
  (8 * 1024 * 1024)         /* bytes of an answer kept whole */
#define EXCHANGE_ID_MAX 127 /* bytes of a request's id */

struct backend_pool; /* connections to backend servers */

struct reverse_proxy
{
  struct reverse_proxy_options options;
  const struct header_names *header_names;
  struct cnx_listener *listener;
  struct chr *chart; /* owned */
  struct rtb *rtb;   /* referenced; NULL: no configuration yet */
  struct frs frs;
  struct backend_pool *backend_pool;
  GHashTable *retry_budgets; /* service: struct bud, owned */
  GQueue clients;            /* of struct gcl */
  GRand *rand;
  guint instances;         /* of the system, as known */
  guint exchanges;         /* in progress */
  gint64 shutdown_started; /* clock time of the shutdown; 0: none */
  guint shutdown_timer;    /* GLib source; 0: none */
  guint poll_source;       /* GLib source: a poll is due; 0: none */
};

/* A caller's connection. */
struct exchange;
struct downstream
{
  struct reverse_proxy *reverse_proxy;
  struct cnx *cnx; /* owned */
  struct htr *htr; /* owned */
  GList link;
  GByteArray *read_ahead; /* bytes that came while a request was in progress */
  struct exchange *exchange;  /* the request in progress, owned; NULL: none */
  guint timer;                /* GLib source: head or idle limit; 0: none */
  gboolean timer_limits_read; /* TIMER limits a head or a body */
  gboolean closing;           /* no further request is taken */
  gboolean parsing;           /* downstream_parse is running */
  gboolean release_pending;   /* freed once downstream_parse returns */
  gboolean body_too_long;     /* the body is over the limit */
  guint served;               /* requests so far */
  char peer[ERR_PEER_MAX];
};

void downstream_accept (struct reverse_proxy *reverse_proxy, int fd,
                        const char *peer);
void downstream_free (struct downstream *downstream);
void downstream_end_exchange (struct downstream *downstream, gboolean keep);
void downstream_reset (struct downstream *downstream);
void downstream_drain (struct downstream *downstream);

void reverse_proxy_schedule_poll (struct reverse_proxy *reverse_proxy);

/* States and events of a request; the chart exchange.chart binds to them. */
#define EXCHANGE_STATES(X)                                                     \
  X (RECEIVING, "receiving")                                                   \
  X (WAITING, "waiting")                                                       \
  X (SENDING, "sending")                                                       \
  X (RELAYING, "relaying")                                                     \
  X (RESPONDED, "answered")                                                    \
  X (FAILED, "failed")                                                         \
  X (DISCONNECTED, "gone")
#define EXCHANGE_EVENTS(X)                                                     \
  X (REQUEST_END, "whole")                                                     \
  X (PLACE, "place")                                                           \
  X (RESPONSE_START, "begin")                                                  \
  X (RETRY, "again")                                                           \
  X (RESPONSE_END, "answer")                                                   \
  X (ABORT, "cut")                                                             \
  X (DISCONNECT, "leave")

enum exchange_state
{
#define EXCHANGE_ENUM(id, name) EXCHANGE_##id,
  EXCHANGE_STATES (EXCHANGE_ENUM)
#undef EXCHANGE_ENUM
};
enum exchange_event
{
#define EXCHANGE_ENUM(id, name) EXCHANGE_ON_##id,
  EXCHANGE_EVENTS (EXCHANGE_ENUM)
#undef EXCHANGE_ENUM
};

struct upstream;

/* A caller's request from its head to the end of its answer. */
struct exchange
{
  struct reverse_proxy *reverse_proxy;
  struct downstream *downstream; /* the caller's connection */
  enum exchange_state state;
  const struct htm_head *head; /* of the request; the reader's, borrowed */
  GByteArray *body;            /* of the request */
  char id[EXCHANGE_ID_MAX + 1];
  struct rtb *rtb;               /* the table that ROUTE lies in, referenced */
  const struct rtb_route *route; /* NULL until the request is routed */
  const struct rtb_team *team;   /* NULL: a public route */
  guint tier;                    /* 0: the most urgent */
  struct sch_ticket queue_entry;
  struct upstream *upstream; /* the attempt in progress, owned; NULL: none */
  gint64 arrived;            /* clock time at which the head was whole */
  gint64 deadline; /* clock time; the sooner of the caller's and the route's */
  guint timer;     /* GLib source: the deadline; 0: none */
  guint sent;      /* servers that the request was sent to */
  gint64 attempt_started; /* clock time of the attempt in progress */
  guint attempts; /* attempts, those that reached no server among them */
  gboolean may_have_run;
  gboolean head_sent; /* the head of the answer has gone to the caller */
  gboolean is_sse;    /* the answer is an event stream */
  gboolean chunked;   /* the answer goes out in chunks */
  struct event_splitter event_splitter; /* of an event stream */
  gint64 last_event_at;                 /* clock time */
  gint64 first_event_us; /* from the arrival to the first event; 0: none */
  gint64 longest_gap_us; /* longest pause after the first event */
  guint status;          /* of the answer */
  guint64 response_bytes;
};

struct exchange *exchange_new (struct downstream *downstream,
                               const struct htm_head *head);
void exchange_free (struct exchange *exchange);
gboolean exchange_append_body (struct exchange *exchange, struct str bytes);
void exchange_request_complete (struct exchange *exchange);
void exchange_client_disconnected (struct exchange *exchange);
void exchange_on_decision (void *ctx, struct sch_ticket *queue_entry,
                           const struct sch_decision *decision);
void exchange_output_drained (struct exchange *exchange);
const char *exchange_state_name (enum exchange_state state);

/* From the attempt. */
void exchange_begin_response (struct exchange *exchange,
                              const struct htm_head *head);
void exchange_relay (struct exchange *exchange, struct str bytes);
void exchange_end_response (struct exchange *exchange);
void exchange_send_buffered_response (struct exchange *exchange,
                                      const struct htm_head *head,
                                      struct str body);
void exchange_attempt_failed (struct exchange *exchange, enum rty_result result,
                              const struct htm_head *head, struct str body,
                              const struct err *err);

/* One try at one backend server. */
struct upstream *upstream_start (struct exchange *exchange,
                                 const struct spl_choice *choice);
void upstream_free (struct upstream *upstream);
void upstream_pause (struct upstream *upstream, gboolean paused);
const struct flt_server *upstream_server (const struct upstream *upstream);
void upstream_build_request_head (struct exchange *exchange,
                                  const struct spl_choice *choice,
                                  GString *out);

/* Answers of the gate itself. */
struct local_response
{
  guint status;
  const char *code;      /* short name of the cause */
  const char *ran;       /* "no", "yes" or "unknown" */
  gint64 retry_after_us; /* 0: none */
  gboolean close;        /* the connection ends with it */
};

void local_response_send (struct downstream *downstream, const char *id,
                          const struct local_response *local_response);

/* Connections to backend servers. */
struct backend_pool *backend_pool_new (const struct clk *clk);
void backend_pool_free (struct backend_pool *backend_pool);
struct cnx *backend_pool_take (struct backend_pool *backend_pool,
                               const struct flt_server *server,
                               gint64 max_idle_us);
void backend_pool_put (struct backend_pool *backend_pool,
                       const struct flt_server *server, struct cnx *cnx,
                       gint64 keep_us);
void backend_pool_drop_server (struct backend_pool *backend_pool,
                               const struct flt_server *server);
guint backend_pool_idle_count (const struct backend_pool *backend_pool);

#endif

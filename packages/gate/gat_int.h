/* Shared by the files of the gate only.  */
#ifndef GAT_INT_H
#define GAT_INT_H

#include "chart/statechart.h"
#include "gate/gat.h"
#include "gate/ses.h"
#include "http/head.h"
#include "http/reader.h"
#include "net/tcp_conn.h"
#include "sched/rty.h"

#define GAT_STASH_MAX (64 * 1024)       /* bytes read ahead of a caller */
#define GAT_QUEUE_MAX (256 * 1024)      /* bytes queued for a slow caller */
#define GAT_BODY_KEPT (8 * 1024 * 1024) /* bytes of an answer kept whole */
#define GAT_ID_MAX 127                  /* bytes of a request's id */

struct bkp; /* connections to backend servers */

struct gat
{
  struct gat_options options;
  const struct dia *dia;
  struct tcp_listener *listener;
  struct statechart *chart; /* owned */
  struct rtb *rtb;          /* referenced; NULL: no configuration yet */
  struct frs frs;
  struct bkp *bkp;
  GHashTable *budgets; /* service: struct bud, owned */
  GQueue callers;      /* of struct gcl */
  GRand *rand;
  guint instances;  /* of the system, as known */
  guint exchanges;  /* in progress */
  gint64 stopping;  /* clock time of the shutdown; 0: none */
  guint stop_timer; /* GLib source; 0: none */
  guint wake;       /* GLib source: a poll is due; 0: none */
};

/* A caller's connection. */
struct exc;
struct gcl
{
  struct gat *gat;
  struct tcp_conn *tcp_conn;       /* owned */
  struct http_reader *http_reader; /* owned */
  GList link;
  GByteArray *stash;   /* bytes that came while a request was in progress */
  struct exc *exc;     /* the request in progress, owned; NULL: none */
  guint timer;         /* GLib source: head or idle limit; 0: none */
  gboolean head_timer; /* TIMER limits a head or a body */
  gboolean ending;     /* no further request is taken */
  gboolean feeding;    /* gcl_feed is running */
  gboolean dead;       /* freed once gcl_feed returns */
  gboolean too_long;   /* the body is over the limit */
  guint served;        /* requests so far */
  char peer[ERR_PEER_MAX];
};

void gcl_accept (struct gat *gat, int fd, const char *peer);
void gcl_free (struct gcl *gcl);
void gcl_done (struct gcl *gcl, gboolean keep);
void gcl_cut (struct gcl *gcl);
void gcl_stop (struct gcl *gcl);

void gat_wake (struct gat *gat);

/* States and events of a request; the chart exchange.chart binds to them. */
#define EXC_STATES(X)                                                          \
  X (RECEIVING, "receiving")                                                   \
  X (WAITING, "waiting")                                                       \
  X (SENDING, "sending")                                                       \
  X (RELAYING, "relaying")                                                     \
  X (ANSWERED, "answered")                                                     \
  X (FAILED, "failed")                                                         \
  X (GONE, "gone")
#define EXC_EVENTS(X)                                                          \
  X (WHOLE, "whole")                                                           \
  X (PLACE, "place")                                                           \
  X (BEGIN, "begin")                                                           \
  X (AGAIN, "again")                                                           \
  X (ANSWER, "answer")                                                         \
  X (CUT, "cut")                                                               \
  X (LEAVE, "leave")

enum exc_state
{
#define EXC_ENUM(id, name) EXC_##id,
  EXC_STATES (EXC_ENUM)
#undef EXC_ENUM
};
enum exc_event
{
#define EXC_ENUM(id, name) EXC_ON_##id,
  EXC_EVENTS (EXC_ENUM)
#undef EXC_ENUM
};

struct att;

/* A caller's request from its head to the end of its answer. */
struct exc
{
  struct gat *gat;
  struct gcl *gcl; /* the caller's connection */
  enum exc_state state;
  const struct http_head *head; /* of the request; the reader's, borrowed */
  GByteArray *body;             /* of the request */
  char id[GAT_ID_MAX + 1];
  struct rtb *rtb;               /* the table that ROUTE lies in, referenced */
  const struct rtb_route *route; /* NULL until the request is routed */
  const struct rtb_team *team;   /* NULL: a public route */
  guint tier;                    /* 0: the most urgent */
  struct sch_ticket ticket;
  struct att *att;  /* the attempt in progress, owned; NULL: none */
  gint64 arrived;   /* clock time at which the head was whole */
  gint64 deadline;  /* clock time; the sooner of the caller's and the route's */
  guint timer;      /* GLib source: the deadline; 0: none */
  guint sent;       /* servers that the request was sent to */
  gint64 attempted; /* clock time of the attempt in progress */
  guint attempts;   /* attempts, those that reached no server among them */
  gboolean may_have_run;
  gboolean head_sent;   /* the head of the answer has gone to the caller */
  gboolean is_sse;      /* the answer is an event stream */
  gboolean chunked;     /* the answer goes out in chunks */
  struct ses ses;       /* of an event stream */
  gint64 last_event_at; /* clock time */
  gint64 first_us;      /* from the arrival to the first event; 0: none */
  gint64 longest_us;    /* longest pause after the first event */
  guint status;         /* of the answer */
  guint64 answer_bytes;
};

struct exc *exc_new (struct gcl *gcl, const struct http_head *head);
void exc_free (struct exc *exc);
gboolean exc_body (struct exc *exc, struct str bytes);
void exc_whole (struct exc *exc);
void exc_gone (struct exc *exc);
void exc_decided (void *ctx, struct sch_ticket *ticket,
                  const struct sch_decision *decision);
void exc_drained (struct exc *exc);
const char *exc_state_name (enum exc_state state);

/* From the attempt. */
void exc_begin (struct exc *exc, const struct http_head *head);
void exc_relay (struct exc *exc, struct str bytes);
void exc_complete (struct exc *exc);
void exc_answer_whole (struct exc *exc, const struct http_head *head,
                       struct str body);
void exc_lost (struct exc *exc, enum rty_result result,
               const struct http_head *head, struct str body,
               const struct err *err);

/* One try at one backend server. */
struct att *att_start (struct exc *exc, const struct spl_choice *choice);
void att_free (struct att *att);
void att_pause (struct att *att, gboolean paused);
const struct flt_server *att_server (const struct att *att);
void att_request (struct exc *exc, const struct spl_choice *choice,
                  GString *out);

/* Answers of the gate itself. */
struct ans
{
  guint status;
  const char *code;      /* short name of the cause */
  const char *ran;       /* "no", "yes" or "unknown" */
  gint64 retry_after_us; /* 0: none */
  gboolean close;        /* the connection ends with it */
};

void ans_send (struct gcl *gcl, const char *id, const struct ans *ans);

/* Connections to backend servers. */
struct bkp *bkp_new (const struct clk *clk);
void bkp_free (struct bkp *bkp);
struct tcp_conn *bkp_take (struct bkp *bkp, const struct flt_server *server,
                           gint64 idle_max_us);
void bkp_put (struct bkp *bkp, const struct flt_server *server,
              struct tcp_conn *tcp_conn, gint64 keep_us);
void bkp_drop (struct bkp *bkp, const struct flt_server *server);
guint bkp_idle (const struct bkp *bkp);

#endif

/* Internal declarations of the reverse proxy, shared by the files of this
   package only.  */
#ifndef REVERSE_PROXY_INTERNAL_H
#define REVERSE_PROXY_INTERNAL_H

#include "chart/statechart.h"
#include "gate/reverse_proxy.h"
#include "gate/event_splitter.h"
#include "gate/stream_position.h"
#include "http/head.h"
#include "http/reader.h"
#include "net/tcp_conn.h"
#include "net/tcp_listener.h"
#include "policy/memory_budget.h"
#include "sched/retry.h"

#define RELAYS_MAX 3             /* instances that a request is passed on to */
#define PART_TRIAL_SERVERS_MAX 2 /* that end under one request */

#define DOWNSTREAM_READ_AHEAD_MAX                                              \
  (64 * 1024) /* bytes; reading from the client pauses from here on */
#define DOWNSTREAM_QUEUE_MAX                                                   \
  (256 * 1024) /* bytes queued for a slow client; beyond it reading from the   \
                  backend server pauses */
#define UPSTREAM_BUFFERED_BODY_MAX                                             \
  (8 * 1024 * 1024)         /* bytes of a response body that is buffered */
#define EXCHANGE_ID_MAX 127 /* bytes of a request id */

struct backend_pool; /* idle connections to backend servers */

struct reverse_proxy
{
  struct proxy_options options;
  const struct header_names *header_names;
  struct tcp_listener *listener;
  struct statechart *chart;            /* state machine of exchanges; owned */
  struct routing_table *routing_table; /* referenced; NULL: none received yet */
  struct freshness freshness;          /* of the configuration */
  gint64 started_at;                   /* clock time */
  gboolean was_configured; /* has had a confirmed configuration and a list of
                              servers */
  GQueue awaiting_config;  /* of struct exchange: requests that wait for it */
  guint config_source;     /* GLib source: routes them; 0: none */
  struct backend_pool *backend_pool;
  GQueue awaiting_parts; /* of struct exchange: requests that wait for the trial
                            of a suspected part */
  guint parts_source;    /* GLib source: checks them; 0: none waits */
  GQueue awaiting_versions;  /* of struct exchange: requests that wait for the
                                version of their stream */
  GQueue server_checks;      /* of struct server_check */
  struct server_reach reach; /* of the servers from here */
  guint probe_timer;         /* GLib source; 0: not in doubt */
  struct tcp_conn *probe;    /* being opened, owned; NULL: none */
  guint64 probed;            /* life of the server that it goes to */
  GHashTable *relay_peers;   /* address: struct registry_server, owned; NULL:
                                none */
  GHashTable *retry_budgets; /* service name: struct retry_budget, owned */
  GQueue clients;            /* of struct downstream */
  GQueue closing;            /* of struct closing_connection */
  GRand *rand;
  guint instances;           /* of the deployment, estimated */
  guint exchanges;           /* in progress */
  gint64 shutdown_started;   /* clock time; 0: not shutting down */
  gint64 shutdown_requested; /* clock time; earlier than SHUTDOWN_STARTED if the
                                main loop was busy */
  guint shutdown_timer;      /* GLib source; 0: none */
  gint64 shutdown_step_due;  /* clock time of the next step */
  gint64 shutdown_late_us;   /* how late recent steps were */
  guint poll_source;         /* GLib source: scheduled poll; 0: none */
  struct memory_budget memory; /* kept for clients and servers */
  guint memory_source;         /* GLib source: on_relief; 0: none */
  guint body_timer;            /* GLib source: on_bodies_due; 0: none waits */
};

/* Which connection keeps memory; one of both is set.  */
struct memory_owner
{
  struct memory_holder holder; /* the first member */
  struct downstream *downstream;
  struct closing_connection *closing;
};

struct exchange;

/* A client's connection. */
struct downstream
{
  struct reverse_proxy *reverse_proxy;
  struct tcp_conn *tcp_conn;       /* owned */
  struct http_reader *http_reader; /* owned */
  GList link;
  GByteArray *read_ahead;       /* received bytes that are not parsed yet */
  gboolean read_ahead_is_large; /* it has more room than is worth keeping */
  struct exchange *exchange;    /* the request in progress, owned; NULL: none */
  guint timer;                /* GLib source: read or idle time-out; 0: none */
  gboolean timer_limits_read; /* TIMER is for a head or a body, not for an idle
                                 connection */
  gboolean closing;           /* accepts no further request */
  gboolean parsing;           /* downstream_parse is on the call stack */
  gboolean release_pending;   /* free when downstream_parse returns */
  gboolean body_too_long;     /* the request body exceeds the limit */
  guint served;               /* complete requests received so far */
  struct memory_owner memory;
  gboolean body_waits;     /* no more of the request body is read, until there
                              is memory for it */
  gint64 body_waits_since; /* clock time */
  gint64 body_read_at;     /* clock time of the last bytes of a body */
  char peer[ERR_PEER_MAX]; /* IP number, for the log */
};

void downstream_accept (struct reverse_proxy *reverse_proxy, int fd,
                        const char *peer);
void downstream_free (struct downstream *downstream);
void downstream_end_exchange (struct downstream *downstream, gboolean keep);
void downstream_reset (struct downstream *downstream);
void downstream_drain (struct downstream *downstream);
void downstream_end_at_limit (struct downstream *downstream);
void downstream_give_up_body (struct downstream *downstream, guint status,
                              const char *code, gint64 retry_after_us);
void downstream_read_on (struct downstream *downstream);
gboolean downstream_end_if_left (struct downstream *downstream);

/* Connections of clients that are being closed: the last response is being
   sent, or the client's FIN is awaited. */
void closing_start (struct reverse_proxy *reverse_proxy,
                    struct tcp_conn *tcp_conn, const char *peer);
void closing_free_all (struct reverse_proxy *reverse_proxy);

struct tcp_conn *closing_tcp_conn (const struct closing_connection *closing);
void closing_drop (struct closing_connection *closing);

/* The memory that is kept for clients and servers. */
void memory_relief_add (struct reverse_proxy *reverse_proxy,
                        struct memory_owner *owner);
void memory_relief_remove (struct reverse_proxy *reverse_proxy,
                           struct memory_owner *owner);
void memory_relief_note (struct downstream *downstream);
gsize memory_relief_output_max (const struct reverse_proxy *reverse_proxy);
gboolean memory_relief_is_tight (const struct reverse_proxy *reverse_proxy);
gboolean memory_relief_admits (struct downstream *downstream, gsize received);
void memory_relief_body_ended (struct downstream *downstream);

void proxy_schedule_poll (struct reverse_proxy *reverse_proxy);
gboolean proxy_ends_before (const struct reverse_proxy *reverse_proxy,
                            gint64 deadline);

/* X (NAME, "name"): states and events of an exchange. charts/exchange.chart
   defines the transitions between them and refers to them by the quoted names.
   */
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

/* X (NAME): whether a stream must go on at a version of the software */
#define STREAM_BINDINGS(X)                                                     \
  X (UNBOUND) /* it has not begun */                                           \
  X (BOUND)                                                                    \
  X (UNKNOWN) /* it has begun at an unknown one: no other server may go on */

enum stream_binding
{
#define STREAM_BINDING_ENUM(id) STREAM_##id,
  STREAM_BINDINGS (STREAM_BINDING_ENUM)
#undef STREAM_BINDING_ENUM
};

struct upstream;

/* A request and its response, from the arrival of the request's head to the
   end of the response. */
struct exchange
{
  struct reverse_proxy *reverse_proxy;
  struct downstream *downstream; /* the client's connection */
  enum exchange_state state;
  const struct http_head *head; /* of the request; borrowed from the parser */
  GByteArray *body;             /* of the request */
  char id[EXCHANGE_ID_MAX + 1];
  struct routing_table *routing_table; /* owner of ROUTE, referenced */
  const struct routing_route *route;   /* NULL until the request is routed */
  const struct routing_team *team;     /* NULL: no key is needed */
  guint tier; /* from routing_tier; 0: the most urgent */
  struct scheduler_entry queue_entry;
  guint64 fingerprints[FINGERPRINTS_MAX];
  guint n_fingerprints;      /* 0: not computed yet */
  struct upstream *upstream; /* the attempt in progress, owned; NULL: none */
  gint64 arrived;            /* clock time at which the head was complete */
  gint64 deadline; /* clock time; the earlier of the client's and the route's */
  guint timer;     /* GLib source: deadline, or end of the wait for a
                      configuration; 0: none */
  GList config_link; /* in awaiting_config; data is NULL if it is not there */
  gboolean waited_for_config;
  GList parts_link; /* in awaiting_parts; data is NULL if it is not there */
  struct suspects_attempt suspects_attempt;
  GList version_link; /* in awaiting_versions; data is NULL: not there */
  enum stream_binding binding;
  char software[STR_ID_MAX + 1]; /* BOUND: version of the stream's servers; else
                                    the one at which it may begin */
  char relay_software[STR_ID_MAX + 1]; /* as another instance says; "": not */
  gboolean awaited_trial;              /* has been logged as waiting for one */
  gboolean trial_broke; /* the trial of a part has broken off under it */
  /* Keys of the servers' lives that broke it off without an event, the first
     ones. */
  guint64 broken_servers[PART_TRIAL_SERVERS_MAX];
  guint n_broken_servers;
  guint sent;             /* attempts that count towards the route's limit */
  gint64 attempt_started; /* clock time of the attempt's start */
  guint attempts;         /* all attempts, also those that reached no server */
  gboolean was_relayed;   /* another instance has passed it on */
  guint n_unreached;      /* attempts that could not reach a server */
  struct proxy_peer relays[RELAYS_MAX]; /* instances it was passed on to */
  guint n_relays;
  gboolean may_have_run; /* an earlier attempt may have been executed */
  gboolean head_sent;    /* the response head has been sent to the client */
  gboolean is_sse;       /* the response is an event stream */
  gboolean chunked;      /* the response is sent with chunked encoding */
  struct event_splitter event_splitter; /* of the response, if is_sse */
  struct stream_position position;      /* of the client in the stream */
  guint events;                         /* with data or an id, relayed */
  gboolean began_event;     /* an attempt has ended inside the event after the
                               position */
  gboolean is_continuation; /* the client has events of an earlier request */
  gboolean is_counted;      /* its first token has been counted */
  guint64 uncached_tokens;  /* of the prompt, at the server chosen last */
  guint attempt_events;     /* those of the present attempt */
  gint64 last_event_at;     /* clock time; before the first event: of the
                               attempt's start */
  gint64 first_event_us;  /* from the arrival to the first event; 0: none yet */
  gint64 longest_gap_us;  /* longest inter-event gap */
  guint status;           /* of the response */
  char *media_type;       /* of a relayed response; owned; NULL: none yet */
  guint64 response_bytes; /* of the response body */
  gboolean *freed;        /* set to TRUE by exchange_free; NULL: none */
};

struct exchange *exchange_new (struct downstream *downstream,
                               const struct http_head *head);
void exchange_free (struct exchange *exchange);
gboolean exchange_append_body (struct exchange *exchange, struct str bytes);
void exchange_request_complete (struct exchange *exchange);
void exchange_route_request (struct exchange *exchange);
void exchange_client_disconnected (struct exchange *exchange);
void exchange_on_decision (void *ctx, struct scheduler_entry *queue_entry,
                           const struct scheduler_decision *decision);
void exchange_output_drained (struct exchange *exchange);
void exchange_end_at_limit (struct exchange *exchange);
void exchange_dropped (const struct exchange *exchange, const char *why);
const char *exchange_state_name (enum exchange_state state);

/* Requests that wait for the first configuration and list of servers. */
gboolean config_wait_begin (struct exchange *exchange);
void config_wait_cancel (struct exchange *exchange);
void config_wait_check (struct reverse_proxy *reverse_proxy);

/* Requests that are suspected of crashing servers, or parts of whose prompts
   are. */
gboolean part_trial_is_active (const struct reverse_proxy *reverse_proxy);
gboolean part_trial_allows (struct exchange *exchange,
                            const struct registry_server *server);
void part_trial_cancel (struct exchange *exchange);
void part_trial_check (struct reverse_proxy *reverse_proxy);
void part_trial_begin (struct exchange *exchange,
                       const struct registry_server *server);
void part_trial_wrote (struct exchange *exchange);
void part_trial_completed (struct exchange *exchange);
void part_trial_end (struct exchange *exchange);
void part_trial_broke (struct exchange *exchange, const struct err *err);
void part_trial_checked (struct reverse_proxy *reverse_proxy,
                         const struct registry_server *server,
                         enum suspects_server_state state);
void part_trial_server_removed (struct reverse_proxy *reverse_proxy,
                                const struct registry_server *server);

/* Versions of the software at which streams begin and go on. */
gboolean stream_version_admit (struct exchange *exchange);
gboolean stream_version_resumes (const struct exchange *exchange,
                                 struct str *id);
struct str stream_version_first_id (const struct exchange *exchange);
gboolean stream_version_can_resume (const struct exchange *exchange);
void stream_version_began (struct exchange *exchange);
void stream_version_cancel (struct exchange *exchange);
void stream_version_check (struct reverse_proxy *reverse_proxy);
void stream_version_read_request (struct exchange *exchange);
void stream_version_read_response (struct exchange *exchange,
                                   const struct http_head *head);
void stream_version_put_request (const struct exchange *exchange, GString *out);
void stream_version_put_response (const struct exchange *exchange,
                                  GString *out);

/* Whether the backend servers can be reached. */
void reachability_heard (struct reverse_proxy *reverse_proxy);
void reachability_accepted (struct reverse_proxy *reverse_proxy);
void reachability_failed (struct reverse_proxy *reverse_proxy,
                          const struct registry_server *server);
void reachability_review (struct reverse_proxy *reverse_proxy);
struct registry_server *
reachability_any_server (struct reverse_proxy *reverse_proxy,
                         const struct registry_server *except);
void reachability_free (struct reverse_proxy *reverse_proxy);

/* Passing requests on to another instance. */
void relay_read_header (struct exchange *exchange);
gboolean relay_is_wanted (const struct exchange *exchange);
gboolean relay_may_help (const struct exchange *exchange);
gboolean relay_start (struct exchange *exchange, gboolean no_server);
void relay_free_peers (struct reverse_proxy *reverse_proxy);

/* Checks whether backend servers have ended. */
void server_check_start (struct reverse_proxy *reverse_proxy,
                         struct registry_server *server);
void server_check_free_all (struct reverse_proxy *reverse_proxy);

/* What requests use of the services. */
void exchange_usage_started (struct exchange *exchange);
void exchange_usage_events (struct exchange *exchange, guint n);
void exchange_usage_rejected (struct exchange *exchange);

/* Called by the attempt at a backend server. */
gboolean exchange_begin_response (struct exchange *exchange,
                                  const struct http_head *head);
gboolean exchange_relay (struct exchange *exchange, struct str bytes);
const char *exchange_response_incomplete (const struct exchange *exchange,
                                          gboolean framed);
void exchange_end_response (struct exchange *exchange);
void exchange_send_buffered_response (struct exchange *exchange,
                                      const struct http_head *head,
                                      struct str body);
void exchange_attempt_failed (struct exchange *exchange,
                              enum retry_result result,
                              const struct http_head *head, struct str body,
                              const struct err *err);

/* One attempt to have a request served by one backend server, or by another
   instance if CHOICE is NULL. */
struct upstream *upstream_start (struct exchange *exchange,
                                 struct registry_server *server,
                                 const struct placement_choice *choice);
void upstream_free (struct upstream *upstream);
void upstream_pause (struct upstream *upstream, gboolean paused);
gsize upstream_kept (const struct upstream *upstream);
gsize upstream_buffered (const struct upstream *upstream);
void upstream_give_up (struct upstream *upstream);
gboolean upstream_read_arrived (struct exchange *exchange);
gboolean upstream_has_body (const struct exchange *exchange,
                            const struct http_head *head);
gboolean upstream_request_was_sent (const struct upstream *upstream);
gboolean upstream_is_relay (const struct upstream *upstream);
gboolean upstream_response_started (const struct upstream *upstream);
const struct registry_server *upstream_server (const struct upstream *upstream);
void upstream_build_request_head (struct exchange *exchange,
                                  const struct placement_choice *choice,
                                  GString *out);

void response_hints_record (struct reverse_proxy *reverse_proxy,
                            struct registry_server *server,
                            const char *request_id,
                            const struct http_head *head, gint64 started);

/* A response that the reverse proxy generates itself. */
struct local_response
{
  guint status;
  const char *code;      /* error code in the JSON body */
  const char *ran;       /* whether the request was executed: "no", "yes" or
                            "unknown" */
  gint64 retry_after_us; /* 0: none */
  gboolean close;        /* close the connection after it */
};

void local_response_send (struct downstream *downstream, const char *id,
                          const struct local_response *local_response);

/* Pool of idle connections to backend servers. */
struct backend_pool *backend_pool_new (const struct clk *clk);
void backend_pool_free (struct backend_pool *backend_pool);
struct tcp_conn *backend_pool_take (struct backend_pool *backend_pool,
                                    const struct registry_server *server,
                                    gint64 max_idle_us);
void backend_pool_put (struct backend_pool *backend_pool,
                       struct registry_server *server,
                       struct tcp_conn *tcp_conn, gint64 keep_us);
void backend_pool_record_extra (struct registry_server *server,
                                const char *request_id);
void backend_pool_drop_server (struct backend_pool *backend_pool,
                               const struct registry_server *server);
guint backend_pool_idle_count (const struct backend_pool *backend_pool);

#endif

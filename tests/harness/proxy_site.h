/* Real reverse proxies between clients and scripted backend servers. The
   instances, each with a store of its own, are processes; clients and servers
   run on the main loop of the test. What clients and servers observe of each
   request is recorded and checked afterwards.  */
#ifndef PROXY_SITE_H
#define PROXY_SITE_H

#include "harness/harness.h"
#include "harness/scripted_server.h"
#include "http/reader.h"
#include "net/tcp_conn.h"

/* The even ones belong to service pool, the odd ones to pool2, unless the
   options say otherwise. */
#define PROXY_SITE_SERVERS 4
#define PROXY_SITE_INSTANCES_MAX 32
#define PROXY_SITE_KEY "key-steady" /* in every configuration */
/* A second key; the configuration has the one with its own OTHER_KEY. */
#define PROXY_SITE_OTHER_KEY "key-other-0"
#define PROXY_SITE_STREAM_EVENTS 8
/* A long response has at least as many bytes, but less than twice as many. */
#define PROXY_SITE_LONG_BYTES (200 * 1000)

/* What varies between configurations.  */
struct proxy_site_config
{
  guint timeout_ms; /* of the routes */
  guint idle_ms;    /* time-out of idle connections */
  guint other_key;  /* number of the second key */
  gboolean moved;   /* route /moved/ goes to pool2 instead of pool */
  gboolean renamed; /* route /renamed/ is /renamed-2/ instead */
};

struct proxy_site_options
{
  struct proxy_site_config config;
  guint grace_ms;       /* setting of the instances; 0: a default */
  guint key_limit_ms;   /* setting of the instances */
  guint slots;          /* requests that a server takes at once; 0: many */
  guint drain_ms;       /* setting of the instances; 0: a default */
  gboolean one_service; /* all servers belong to pool */
  /* Some responses take longer than the grace time; otherwise a request that is
     ended at its limit breaks the rules. */
  gboolean outlasts_grace;
  /* Empty comment lines in the settings, which prolong the start. */
  guint comment_lines;
};

struct proxy_site_instance
{
  struct proxy_site *site;
  struct harness_process *store;
  struct harness_process *proc;
  char *settings; /* path */
  char address[ERR_PEER_MAX];
  char ready_address[ERR_PEER_MAX];
  guint grace_ms;
  guint64 config_version; /* newest one written */
  gint64 disturbed_until; /* see struct server_hints_sender */
  gint64 terminated_at;   /* first SIGTERM, monotonic microseconds; 0: none */
  gint64 ended_at;        /* of the process; 0: it runs */
};

/* X (NAME): what a server responds */
#define PROXY_SITE_RESPONSES(X)                                                \
  X (PLAIN)  /* a short response after RESPOND_MS */                           \
  X (LONG)   /* half of it at once, the rest after RESPOND_MS */               \
  X (STREAM) /* events over RESPOND_MS */

enum proxy_site_response
{
#define PROXY_SITE_RESPONSE_ENUM(id) PROXY_SITE_##id,
  PROXY_SITE_RESPONSES (PROXY_SITE_RESPONSE_ENUM)
#undef PROXY_SITE_RESPONSE_ENUM
      PROXY_SITE_RESPONSE_N
};

/* X (NAME): how a client sends a request; later pieces follow after PIECE_MS */
#define PROXY_SITE_PIECES(X)                                                   \
  X (WHOLE)      /* at once */                                                 \
  X (SPLIT_HEAD) /* the head without its last byte, then the rest */           \
  X (BODY_LATER) /* the head, then the body */

enum proxy_site_pieces
{
#define PROXY_SITE_PIECES_ENUM(id) PROXY_SITE_##id,
  PROXY_SITE_PIECES (PROXY_SITE_PIECES_ENUM)
#undef PROXY_SITE_PIECES_ENUM
      PROXY_SITE_PIECES_N
};

struct proxy_site_call
{
  const char *path; /* static */
  const char *key;  /* static; NULL: none */
  enum proxy_site_response response;
  guint respond_ms;
  enum proxy_site_pieces pieces;
  guint piece_ms;
  gboolean may_be_denied; /* 401 and 404 are allowed */
};

/* A request and what client and servers have observed of it. Times are
   monotonic microseconds, 0: not yet.  */
struct proxy_site_request
{
  struct proxy_site_instance *instance;
  struct proxy_site_call call;
  char id[32];
  gint64 begun_at;     /* first byte sent */
  gint64 last_byte_at; /* latest byte sent */
  gboolean sent_whole;
  guint executions;   /* times that a server has received it */
  gint64 executed_at; /* latest execution */
  guint arrivals;     /* at servers, rejected ones too */
  const char *broken; /* rule of server_hints_arrived; static; NULL: none */
  gint64 served_at;   /* a server has sent its complete response */
  guint status;       /* 0: no head of a response received */
  GString *body;
  gboolean closes;   /* the response has "Connection: close" */
  gboolean complete; /* the response */
  gint64 done_at;    /* the response was complete or the connection ended */
  gint64 open_at;    /* latest time at which the connection, which ended without
                        a response, was still open */
};

struct proxy_site_client;
typedef void (*proxy_site_answered) (struct proxy_site_client *client,
                                     struct proxy_site_request *request);

struct proxy_site_client
{
  struct proxy_site_instance *instance;
  struct tcp_conn *tcp_conn; /* NULL: closed */
  struct http_reader *http_reader;
  GQueue requests; /* without a response; borrowed */
  gboolean opened; /* the connection was accepted */
  guint number;
  /* Called after each complete response; may be NULL. */
  proxy_site_answered answered;
};

/* Results of all requests.  */
struct proxy_site_counts
{
  guint sent;
  guint served;     /* 200 */
  guint rejected;   /* 408, 421, 429, 503 */
  guint denied;     /* 401, 404 */
  guint cut;        /* 502, 504 or an incomplete response, at the grace limit */
  guint crossed;    /* not passed on, and the connection ended */
  guint violations; /* each is printed with the log lines of the request */
};

struct proxy_site
{
  struct harness *harness;
  struct proxy_site_options options;
  struct proxy_site_instance instances[PROXY_SITE_INSTANCES_MAX];
  guint n_instances;
  struct scripted_server *servers[PROXY_SITE_SERVERS]; /* owned */
  gint64 born_ms;         /* start of the servers, wall clock */
  GPtrArray *clients;     /* of struct proxy_site_client, owned */
  GPtrArray *requests;    /* of struct proxy_site_request, owned */
  GHashTable *by_id;      /* id -> request, borrowed */
  GPtrArray *scheduled;   /* of GSource, owned: proxy_site_at */
  guint unknown_requests; /* at servers: no client has sent them */
  gint64 polled_at;       /* all ends of connections before were observed */
};

struct proxy_site *proxy_site_new (const struct proxy_site_options *options);
void proxy_site_free (struct proxy_site *site);

/* Adds an instance with its store. Returns it when it is ready, NULL if it does
   not become ready.  */
struct proxy_site_instance *proxy_site_add (struct proxy_site *site);
/* Adds an instance with its store and settings. Its process does not run yet.
   Blocks until the store is ready; NULL on error.  */
struct proxy_site_instance *proxy_site_prepare (struct proxy_site *site);
/* Starts the process. Does not block.  */
gboolean proxy_site_launch (struct proxy_site_instance *instance);
/* Asks the instance whether it is ready. Blocks until it responds.  */
gboolean proxy_site_is_ready (struct proxy_site_instance *instance);
/* Writes a newer configuration to the instance's store. Returns whether the
   store has acknowledged it. Blocks.  */
gboolean proxy_site_put (struct proxy_site_instance *instance,
                         const struct proxy_site_config *config);
/* Writes the entries of all servers to the instance's store, like servers that
   are running. Returns whether the store has acknowledged them. Blocks.  */
gboolean proxy_site_put_servers (struct proxy_site_instance *instance);
/* Has the instance's store return to what it was at a monotonic time, in a new
   era. Blocks.  */
gboolean proxy_site_go_back (struct proxy_site_instance *instance, gint64 time);
void proxy_site_signal (struct proxy_site_instance *instance, int signal);
/* Waits until the process has ended. Returns its exit status, 128 + the number
   of the signal that killed it, or -1 if it still runs after MS.  */
int proxy_site_wait_ended (struct proxy_site_instance *instance, guint ms);

struct proxy_site_client *
proxy_site_open (struct proxy_site_instance *instance);
/* Sends a request now; does nothing if the connection is closed.  */
void proxy_site_send (struct proxy_site_client *client,
                      const struct proxy_site_call *call);
/* Sends a request at a monotonic time.  */
void proxy_site_send_at (struct proxy_site_client *client,
                         const struct proxy_site_call *call, gint64 at);

typedef void (*proxy_site_action) (gpointer data);
/* Calls ACTION at a monotonic time. DESTROY frees DATA afterwards; NULL:
   nothing.  */
void proxy_site_at (struct proxy_site *site, gint64 at,
                    proxy_site_action action, gpointer data,
                    GDestroyNotify destroy);
/* Runs the main loop until CONDITION holds, for MS at most. Returns whether it
   holds.  */
gboolean proxy_site_run_until (struct proxy_site *site,
                               harness_condition condition, void *ctx,
                               guint ms);
void proxy_site_run_for (struct proxy_site *site, guint ms);
/* Runs the main loop until nothing is scheduled and each request has a response
   or the end of its connection. Returns FALSE if that takes longer than MS.  */
gboolean proxy_site_settle (struct proxy_site *site, guint ms);

/* Checks all requests and prints those that break the rules.  */
struct proxy_site_counts proxy_site_check (struct proxy_site *site);

/* Between the parts of the implementation.  */
struct scripted_server *proxy_site_server_new (struct proxy_site *site,
                                               guint number);
struct server_hints_sender
proxy_site_sender (const struct proxy_site_instance *instance);
void proxy_site_client_free (gpointer data);
/* Returns the body of the complete response to REQUEST.  */
GString *proxy_site_expected_body (const struct proxy_site_request *request);

#endif

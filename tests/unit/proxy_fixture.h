/* Test fixture: a reverse proxy between clients that send raw text and scripted
   backend servers, all in one process and on one main loop, over loopback.  */
#ifndef PROXY_FIXTURE_H
#define PROXY_FIXTURE_H

#include "unit/unit.h"

#include <glib-unix.h>
#include <string.h>
#include <sys/socket.h>

#include "gate/reverse_proxy.h"
#include "http/reader.h"
#include "net/tcp_conn.h"
#include "net/tcp_listener.h"

#define PROXY_TEST_SERVERS 3
#define PROXY_TEST_WAIT_MS 5000 /* such a wait normally takes a few ms */
#define PROXY_TEST_KEY "key-of-crew"
#define PROXY_TEST_RECEIVE_BUFFER_BYTES (32 * 1024) /* of a small buffer */
/* Larger than what the kernel buffers between the proxy and a client with a
   small buffer. */
#define PROXY_TEST_LONG_BYTES (7 * 1024 * 1024)

struct proxy_test_server;

/* A request as a backend server received it.  */
struct proxy_test_request
{
  char *method;
  char *target;
  GHashTable *fields; /* headers: name in lower case to value */
  GString *body;
  struct proxy_test_server *server;
  guint connection; /* number of the connection, counted by server */
  gboolean closed;  /* the proxy has closed the connection since */
};

struct proxy_test_link;
typedef void (*proxy_test_script) (struct proxy_test_link *link,
                                   struct proxy_test_request *request);

struct proxy_test_server
{
  struct tcp_listener *listener;
  int reserved_fd; /* keeps the port if the listener is closed */
  proxy_test_script script;
  proxy_test_script head_script; /* called before the body has been read; NULL:
                                    none */
  GPtrArray *links;              /* of struct proxy_test_link, owned */
  guint connections;
  char address[ERR_PEER_MAX];
  char id[16];
  gboolean silent; /* ignores all received bytes */
};

/* A connection from the proxy to a backend server.  */
struct proxy_test_link
{
  struct proxy_test_server *server;
  struct tcp_conn *tcp_conn;
  struct http_reader *http_reader;
  /* The request being read; owned by proxy_test.requests. */
  struct proxy_test_request *request;
  guint number;
};

/* A client's connection.  */
struct proxy_test_client
{
  struct tcp_conn *tcp_conn;
  GString *in;
  gboolean ended;
  gboolean reset;
};

struct proxy_test
{
  struct clk clk;
  gint64 skew; /* added to the time, microseconds */
  struct counter_set counter_set;
  struct histogram_set histogram_set;
  struct topology *topology;
  struct registry *registry;
  struct scheduler *scheduler;
  struct reverse_proxy *reverse_proxy;
  struct proxy_test_server servers[PROXY_TEST_SERVERS];
  GPtrArray *requests; /* of struct proxy_test_request, owned */
  guint n_ids;
  gboolean shutdown_done;
};

extern struct proxy_test proxy_test;

/* Longest request body of configurations made from now on. */
extern gsize proxy_test_body_limit;

/* Option versions of proxies started from now on, borrowed; NULL: none. */
extern struct stream_versions *proxy_test_stream_versions;

/* Versions of the servers' software as listed from now on; NULL: none. */
extern const char *proxy_test_versions[PROXY_TEST_SERVERS];

/* Time-out of routes added from now on. */
extern gint64 proxy_test_timeout_us;

/* Option shutdown_limit_us of proxies started from now on. */
extern gint64 proxy_test_shutdown_limit_us;

/* Option suspects of proxies started from now on, borrowed; NULL: none. */
extern struct suspects *proxy_test_suspects;

/* Options of these names of proxies started from now on. */
extern gint64 (*proxy_test_peers_sure_at) (void *ctx);
extern gboolean (*proxy_test_choose_peer) (void *ctx,
                                           const struct proxy_peer *tried,
                                           guint n_tried,
                                           struct proxy_peer *peer);

extern void (*proxy_test_used) (void *ctx, const struct proxy_usage *usage);

#define PROXY_TEST_SIGNED "X-Signature: sig\r\n"

typedef gboolean (*proxy_test_condition) (void *ctx);

struct proxy_test_response
{
  guint status;      /* 0: no head received */
  gboolean complete; /* received to the end, by its framing */
  gboolean malformed;
  GString *body;
  char *retry_after; /* NULL: none */
  gboolean closes;   /* has "Connection: close" */
};

gint64 proxy_test_now (const struct clk *clk);
const char *proxy_test_field (const struct proxy_test_request *request,
                              const char *name);
void proxy_test_write (struct proxy_test_link *link,
                       const struct proxy_test_request *request,
                       const char *text);
void proxy_test_respond (struct proxy_test_link *link,
                         const struct proxy_test_request *request,
                         const char *status, const char *fields,
                         const char *body);
void proxy_test_respond_ok (struct proxy_test_link *link,
                            struct proxy_test_request *request);
void proxy_test_never_respond (struct proxy_test_link *link,
                               struct proxy_test_request *request);
void proxy_test_reset_link (struct proxy_test_link *link,
                            struct proxy_test_request *request);
void proxy_test_add_route (struct routing_table *routing_table,
                           const char *name, enum routing_kind kind,
                           gboolean resumable, guint attempts, gboolean open);
struct routing_table *proxy_test_table (guint64 version, const char *key);
void proxy_test_set_table (guint64 version, const char *key);
void proxy_test_list_servers (guint first, guint last, guint leaving);
void proxy_test_start (guint n_servers);
void proxy_test_stop (void);
void proxy_test_close_server (guint i);
void proxy_test_open_server (guint i);
gboolean proxy_test_wait_until (proxy_test_condition condition, void *ctx,
                                gint64 ms);
void proxy_test_run_for (gint64 ms);

/* Clients.  */
gboolean proxy_test_has_ended (void *ctx);
struct proxy_test_client *proxy_test_open_client_port (guint port);
struct proxy_test_client *proxy_test_open_client (void);
void proxy_test_close_client (struct proxy_test_client *client);
void proxy_test_send_text (struct proxy_test_client *client, const char *text);
void proxy_test_send_request (struct proxy_test_client *client,
                              const char *path, const char *fields);
void proxy_test_response_clear (struct proxy_test_response *response);
struct proxy_test_response
proxy_test_parse_response (struct proxy_test_client *client);
gboolean proxy_test_has_response (void *ctx);
struct proxy_test_response
proxy_test_wait_response (struct proxy_test_client *client);
struct proxy_test_response proxy_test_request_once (const char *path,
                                                    const char *fields);
guint proxy_test_request_status (const char *path, const char *fields);
guint proxy_test_n_requests (void);
struct proxy_test_request *proxy_test_request_at (guint i);
void proxy_test_script_all (proxy_test_script script);
void proxy_test_respond_long (struct proxy_test_link *link,
                              struct proxy_test_request *request);
int proxy_test_connect_socket (gboolean small_buffer);
struct proxy_test_client *proxy_test_open_stalled_client (void);

#endif

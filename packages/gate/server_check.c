/* Checks by a connection whether a backend server that has broken off a
   response has ended: then it refuses the connection. A broken response alone
   does not say so. A server that is ending may still accept a connection, but
   closes it at once; then another one is tried. An instance that is cut off is
   refused by all servers, so a refusal counts only if another server accepts.
 */
#include "gate/reverse_proxy_internal.h"

#include "base/log.h"

#define CONNECT_TIMEOUT_MS 400
#define OPEN_MS                                                                \
  50 /* a connection that stays open shows that the server runs                \
      */
#define CONNECTIONS_MAX 4
#define AGAIN_MS 10 /* until the next connection */

/* Other servers that are tried: it may be this instance that is cut off. */
#define OTHERS_MAX 8
/* Without an answer of any server the check is repeated until so much time has
   passed; until then the list may tell. */
#define UNKNOWN_RETRY_MS 200
#define UNKNOWN_MAX_US (6 * CLK_S)

/* As the log says whether a server has ended. */
static const char *const state_names[]
    = { [SUSPECTS_SERVER_ENDED] = "yes",
        [SUSPECTS_SERVER_LIVES] = "no",
        [SUSPECTS_SERVER_UNKNOWN] = "unknown" };

struct server_check
{
  struct reverse_proxy *reverse_proxy;
  struct registry_server *server; /* referenced */
  struct registry_server *other;  /* tried meanwhile, referenced; NULL: none */
  struct tcp_conn *other_conn; /* to it, owned; NULL: none could be reached */
  guint others;                /* so far */
  gboolean reached;            /* another server has accepted a connection */
  gboolean refused;            /* by the server; others are being tried */
  struct tcp_conn *tcp_conn;   /* owned; NULL: closed by the server */
  guint connections;           /* so far */
  gint64 started;              /* clock time */
  gboolean unknown;            /* that no server can be reached was reported */
  guint timer;                 /* GLib source, 0: none */
  GList link;
};

static void open_connection (struct server_check *check);

static void
server_check_free (struct server_check *check)
{
  g_queue_unlink (&check->reverse_proxy->server_checks, &check->link);
  if (check->tcp_conn != NULL)
    tcp_conn_close (check->tcp_conn);
  g_clear_handle_id (&check->timer, g_source_remove);
  registry_server_unref (check->server);
  if (check->other_conn != NULL)
    tcp_conn_close (check->other_conn);
  registry_server_unref (check->other);
  g_free (check);
}

static void
log_result (const struct server_check *check, enum suspects_server_state state)
{
  log_write (&(struct log_entry){ .level = LOG_INFO,
                                  .event = "server.checked",
                                  .peer = check->server->entry.id },
             "ended=%s", state_names[state]);
}

/* Ends the check with its result.  */
static void
finish (struct server_check *check, enum suspects_server_state state)
{
  struct reverse_proxy *reverse_proxy = check->reverse_proxy;
  struct registry_server *server = registry_server_ref (check->server);
  log_result (check, state);
  server_check_free (check);
  part_trial_checked (reverse_proxy, server, state);
  registry_server_unref (server);
}

static void try_other_server (struct server_check *check);

static gboolean
on_retry (gpointer data)
{
  struct server_check *check = data;
  check->timer = 0;
  check->others = check->connections = 0;
  check->refused = FALSE;
  try_other_server (check);
  open_connection (check);
  return G_SOURCE_REMOVE;
}

/* The server has refused a connection, and no other server could be reached:
   checks again later, unless the list has told meanwhile. May free CHECK.  */
static void
find_out_later (struct server_check *check)
{
  struct reverse_proxy *reverse_proxy = check->reverse_proxy;
  gint64 us = clk_now (reverse_proxy->options.clk) - check->started;
  if (us >= UNKNOWN_MAX_US || check->server->state == REGISTRY_REMOVED)
    {
      finish (check, SUSPECTS_SERVER_LIVES);
      return;
    }
  check->timer = g_timeout_add (UNKNOWN_RETRY_MS, on_retry, check);
  if (check->unknown)
    return;
  check->unknown = TRUE;
  log_result (check, SUSPECTS_SERVER_UNKNOWN);
  part_trial_checked (reverse_proxy, check->server, SUSPECTS_SERVER_UNKNOWN);
}

static gboolean
on_still_open (gpointer data)
{
  struct server_check *check = data;
  check->timer = 0;
  finish (check, SUSPECTS_SERVER_LIVES);
  return G_SOURCE_REMOVE;
}

static gboolean
on_again (gpointer data)
{
  struct server_check *check = data;
  check->timer = 0;
  open_connection (check);
  return G_SOURCE_REMOVE;
}

static void
on_opened (void *ctx)
{
  struct server_check *check = ctx;
  check->timer = g_timeout_add (OPEN_MS, on_still_open, check);
}

/* The server has closed the connection. One that is ending may close it before
   it is known that it was opened.  */
static void
on_closed (void *ctx)
{
  struct server_check *check = ctx;
  g_clear_pointer (&check->tcp_conn, tcp_conn_close);
  g_clear_handle_id (&check->timer, g_source_remove);
  if (check->connections == CONNECTIONS_MAX)
    finish (check, SUSPECTS_SERVER_LIVES);
  else
    check->timer = g_timeout_add (AGAIN_MS, on_again, check);
}

/* The server has refused the connection. May free CHECK.  */
static void
refuse (struct server_check *check)
{
  g_clear_pointer (&check->tcp_conn, tcp_conn_close);
  check->refused = TRUE;
  reachability_failed (check->reverse_proxy, check->server);
  if (check->reached || check->others == 0)
    finish (check, SUSPECTS_SERVER_ENDED);
  else if (check->other_conn == NULL)
    find_out_later (check);
}

static void
on_failed (void *ctx, const struct err *err)
{
  struct server_check *check = ctx;
  if (check->timer != 0 || err->code == ERR_CLOSED)
    on_closed (check);
  else if (err->code == ERR_UNAVAILABLE)
    refuse (check);
  else
    finish (check, SUSPECTS_SERVER_LIVES);
}

static const struct tcp_conn_handler connection
    = { .opened = on_opened, .ended = on_closed, .failed = on_failed };

/* Opens a connection to the server. May free CHECK.  */
static void
open_connection (struct server_check *check)
{
  struct err err = { 0 };
  const struct tcp_conn_options options = { .handler = &connection,
                                            .ctx = check,
                                            .connect_ms = CONNECT_TIMEOUT_MS };
  check->connections++;
  check->tcp_conn
      = tcp_conn_connect (check->server->entry.address, &options, &err);
  if (check->tcp_conn == NULL)
    finish (check, SUSPECTS_SERVER_LIVES);
}

static void
on_other_opened (void *ctx)
{
  struct server_check *check = ctx;
  check->reached = TRUE;
  reachability_accepted (check->reverse_proxy);
  if (check->refused)
    finish (check, SUSPECTS_SERVER_ENDED);
}

static void
on_other_failed (void *ctx, const struct err *err)
{
  struct server_check *check = ctx;
  (void)err;
  g_clear_pointer (&check->other_conn, tcp_conn_close);
  if (check->reached)
    return;
  reachability_failed (check->reverse_proxy, check->other);
  try_other_server (check);
  if (check->refused && check->other_conn == NULL)
    find_out_later (check);
}

static const struct tcp_conn_handler other_handler
    = { .opened = on_other_opened, .failed = on_other_failed };

/* Connects to another server, which shows that the servers can be reached from
   here, unless enough have been tried.  */
static void
try_other_server (struct server_check *check)
{
  struct err err = { 0 };
  const struct tcp_conn_options options = { .handler = &other_handler,
                                            .ctx = check,
                                            .connect_ms = CONNECT_TIMEOUT_MS };
  struct registry_server *other
      = reachability_any_server (check->reverse_proxy, check->server);
  if (other == NULL || check->others == OTHERS_MAX)
    return;
  registry_server_unref (check->other);
  check->other = registry_server_ref (other);
  check->others++;
  check->other_conn = tcp_conn_connect (other->entry.address, &options, &err);
}

/* Checks SERVER, unless it is being checked. The result goes to the suspected
   parts.  */
void
server_check_start (struct reverse_proxy *reverse_proxy,
                    struct registry_server *server)
{
  for (const GList *l = reverse_proxy->server_checks.head; l != NULL;
       l = l->next)
    if (((const struct server_check *)l->data)->server == server)
      return;
  struct server_check *check = g_new0 (struct server_check, 1);
  check->reverse_proxy = reverse_proxy;
  check->server = registry_server_ref (server);
  check->started = clk_now (reverse_proxy->options.clk);
  check->link = (GList){ .data = check };
  g_queue_push_tail_link (&reverse_proxy->server_checks, &check->link);
  try_other_server (check);
  open_connection (check);
}

void
server_check_free_all (struct reverse_proxy *reverse_proxy)
{
  struct server_check *check;
  while ((check = g_queue_peek_head (&reverse_proxy->server_checks)) != NULL)
    server_check_free (check);
}

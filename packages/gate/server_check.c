/* Checks by a connection whether a backend server that has broken off a
   response has ended: then it refuses the connection. A broken response alone
   does not say so.  */
#include "gate/reverse_proxy_internal.h"

#include "base/log.h"

#define CONNECT_TIMEOUT_MS 400

struct server_check
{
  struct reverse_proxy *reverse_proxy;
  struct registry_server *server; /* referenced */
  struct tcp_conn *tcp_conn;      /* owned */
  GList link;
};

static void
server_check_free (struct server_check *check)
{
  g_queue_unlink (&check->reverse_proxy->server_checks, &check->link);
  if (check->tcp_conn != NULL)
    tcp_conn_close (check->tcp_conn);
  registry_server_unref (check->server);
  g_free (check);
}

/* Ends the check with its result.  */
static void
finish (struct server_check *check, gboolean ended)
{
  struct reverse_proxy *reverse_proxy = check->reverse_proxy;
  struct registry_server *server = registry_server_ref (check->server);
  log_write (&(struct log_entry){ .level = LOG_INFO,
                                  .event = "server.checked",
                                  .peer = server->entry.id },
             "ended=%s", ended ? "yes" : "no");
  server_check_free (check);
  part_trial_checked (reverse_proxy, server, ended);
  registry_server_unref (server);
}

static void
on_opened (void *ctx)
{
  finish (ctx, FALSE);
}

static void
on_failed (void *ctx, const struct err *err)
{
  finish (ctx, err->code == ERR_UNAVAILABLE);
}

static const struct tcp_conn_handler connection
    = { .opened = on_opened, .failed = on_failed };

/* Checks SERVER, unless it is being checked. The result goes to the suspected
   parts.  */
void
server_check_start (struct reverse_proxy *reverse_proxy,
                    struct registry_server *server)
{
  struct err err = { 0 };
  for (const GList *l = reverse_proxy->server_checks.head; l != NULL;
       l = l->next)
    if (((const struct server_check *)l->data)->server == server)
      return;
  struct server_check *check = g_new0 (struct server_check, 1);
  const struct tcp_conn_options options = { .handler = &connection,
                                            .ctx = check,
                                            .connect_ms = CONNECT_TIMEOUT_MS };
  check->reverse_proxy = reverse_proxy;
  check->server = registry_server_ref (server);
  check->link = (GList){ .data = check };
  g_queue_push_tail_link (&reverse_proxy->server_checks, &check->link);
  check->tcp_conn = tcp_conn_connect (server->entry.address, &options, &err);
  if (check->tcp_conn == NULL)
    finish (check, FALSE);
}

void
server_check_free_all (struct reverse_proxy *reverse_proxy)
{
  struct server_check *check;
  while ((check = g_queue_peek_head (&reverse_proxy->server_checks)) != NULL)
    server_check_free (check);
}

/* A backend server that sends a response once more, late, when the next request
   has arrived on the connection. Its client must not get the response of
   another one.  */
#include "unit/unit.h"

#include "backend/backend_client.h"
#include "base/clock.h"
#include "http/reader.h"
#include "net/tcp_conn.h"
#include "net/tcp_listener.h"

#include <string.h>

#define TIMEOUT_US (2 * CLK_S) /* of a call */

struct server
{
  struct tcp_listener *listener;
  GPtrArray *links; /* of struct link, owned */
  guint n_requests; /* received so far */
};

/* A connection of the backend client.  */
struct link
{
  struct server *server;
  struct tcp_conn *tcp_conn;
  struct http_reader *http_reader;
  guint last; /* number of the request before; 0: none */
};

struct call
{
  GString *body;
  gboolean ended;
  enum msg_result result;
};

static void
respond (const struct link *link, guint number)
{
  char *text = g_strdup_printf (
      "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n%u", number);
  tcp_conn_write (link->tcp_conn, text, strlen (text));
  g_free (text);
}

static void
on_request (void *ctx)
{
  struct link *link = ctx;
  guint number = ++link->server->n_requests;
  if (link->last != 0)
    respond (link, link->last);
  respond (link, number);
  link->last = number;
}

static const struct http_reader_handler requests = { NULL, NULL, on_request };

static void
on_server_data (void *ctx, struct str data)
{
  struct link *link = ctx;
  struct err err = { 0 };
  CU_ASSERT_EQUAL (http_reader_feed (link->http_reader, data, &err),
                   (gssize)data.n);
  http_reader_next (link->http_reader, FALSE);
}

static const struct tcp_conn_handler server_handler
    = { .data = on_server_data };

static void
link_free (gpointer data)
{
  struct link *link = data;
  tcp_conn_close (link->tcp_conn);
  http_reader_free (link->http_reader);
  g_free (link);
}

static void
on_accepted (void *ctx, int fd, const char *peer)
{
  struct link *link = g_new0 (struct link, 1);
  const struct tcp_conn_options options
      = { .handler = &server_handler, .ctx = link };
  (void)peer;
  link->server = ctx;
  link->http_reader = http_reader_new (FALSE, &requests, link);
  link->tcp_conn = tcp_conn_adopt (fd, &options);
  g_ptr_array_add (link->server->links, link);
}

static void
on_head (void *ctx, guint status, SoupMessageHeaders *headers)
{
  (void)ctx;
  (void)status;
  (void)headers;
}

static void
on_data (void *ctx, struct str data)
{
  g_string_append_len (((struct call *)ctx)->body, data.p, (gssize)data.n);
}

static void
on_end (void *ctx, enum msg_result result, gboolean sent, const struct err *err)
{
  struct call *call = ctx;
  (void)sent;
  (void)err;
  call->ended = TRUE;
  call->result = result;
}

/* Makes call NUMBER and checks that it gets its own response.  */
static void
check_call (struct backend_client *client,
            const struct cluster_backend *backend, guint number)
{
  struct call call = { .body = g_string_new (NULL) };
  SoupMessageHeaders *headers
      = soup_message_headers_new (SOUP_MESSAGE_HEADERS_REQUEST);
  const struct backend_call_options options = { .backend = backend,
                                                .method = "GET",
                                                .path = "/",
                                                .headers = headers,
                                                .timeout_us = TIMEOUT_US,
                                                .stall_us = TIMEOUT_US,
                                                .head = on_head,
                                                .data = on_data,
                                                .end = on_end,
                                                .ctx = &call };
  char *expected = g_strdup_printf ("%u", number);
  CU_ASSERT_PTR_NOT_NULL (backend_call_open (client, &options));
  while (!call.ended)
    g_main_context_iteration (NULL, TRUE);
  CU_ASSERT_EQUAL (call.result, MSG_RESULT_OK);
  CU_ASSERT_STRING_EQUAL (call.body->str, expected);
  g_free (expected);
  g_string_free (call.body, TRUE);
  soup_message_headers_unref (headers);
}

static void
test_late_copy (void)
{
  struct server server
      = { .links = g_ptr_array_new_with_free_func (link_free) };
  struct err err = { 0 };
  struct cluster_backend backend = { 0 };
  struct backend_client *client = backend_client_new ();
  server.listener
      = tcp_listener_new ("127.0.0.1:0", on_accepted, &server, &err);
  CU_ASSERT_PTR_NOT_NULL_FATAL (server.listener);
  g_snprintf (backend.address, sizeof backend.address, "127.0.0.1:%u",
              tcp_listener_port (server.listener));
  str_id_set (&backend.name, STR_LIT ("e1"));
  for (guint number = 1; number <= 3; number++)
    check_call (client, &backend, number);
  backend_client_free (client);
  g_ptr_array_unref (server.links);
  tcp_listener_free (server.listener);
}

static CU_TestInfo tests[] = {
  { "a late copy of the response before", test_late_copy },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "backend client and copies", NULL, NULL, NULL, NULL, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)

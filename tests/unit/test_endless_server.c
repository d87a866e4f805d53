/* Clients of the listeners for readiness, metrics and peers that send without
   end: what is read, kept and computed for them is bounded.  */
#include "unit/proxy_fixture.h"

#include "http/server.h"

#define IDLE_MS 300       /* limit for a complete request in the tests */
#define STEP_MS 20        /* between the pieces that a client sends */
#define MARGIN_MS 1000    /* for a busy machine */
#define BODY_BYTES 100000 /* of a response */
#define REQUESTS 1000     /* pipelined; they arrive with one read */
#define RESPONSES_MAX                                                          \
  200 /* that a client which reads nothing can cause:                          \
         the kernel takes so many */
#define REQUEST "GET /dump HTTP/1.1\r\nHost: a\r\n\r\n"

#define CONNS_MAX 3                  /* option of the server */
#define CLIENTS 8                    /* that read nothing */
#define LONG_BYTES (7 * 1024 * 1024) /* more than the kernel takes */

static guint handled;    /* requests */
static gsize body_bytes; /* of a response */

static void
handle (void *ctx, const struct http_head *head,
        struct http_server_response *response)
{
  (void)ctx;
  (void)head;
  handled++;
  response->status = 200;
  g_string_set_size (response->body, body_bytes);
  memset (response->body->str, 'x', body_bytes);
}

static struct http_server *
start (void)
{
  struct err err = { 0 };
  const struct http_server_options options = { .address = "127.0.0.1:0",
                                               .handler = handle,
                                               .idle_ms = IDLE_MS,
                                               .conns_max = CONNS_MAX };
  struct http_server *server = http_server_new (&options, &err);
  CU_ASSERT_PTR_NOT_NULL_FATAL (server);
  handled = 0;
  body_bytes = BODY_BYTES;
  return server;
}

/* Sends HEAD, then PIECE every STEP_MS until the connection ends. The server
   must answer with STATUS (0: with nothing) and end it in time.  */
static void
expect_end (const char *head, const char *piece, guint status)
{
  struct http_server *server = start ();
  struct proxy_test_client *client
      = proxy_test_open_client_port (http_server_port (server));
  gint64 end = g_get_monotonic_time () + (IDLE_MS + MARGIN_MS) * CLK_MS;
  proxy_test_send_text (client, head);
  while (!client->ended && g_get_monotonic_time () < end)
    {
      proxy_test_send_text (client, piece);
      proxy_test_wait_until (proxy_test_has_ended, client, STEP_MS);
    }
  CU_ASSERT_TRUE (client->ended);
  struct proxy_test_response response = proxy_test_parse_response (client);
  CU_ASSERT_EQUAL (response.status, status);
  CU_ASSERT_EQUAL (handled, 0);
  proxy_test_response_clear (&response);
  proxy_test_close_client (client);
  http_server_free (server);
}

static void
test_head_byte_by_byte (void)
{
  expect_end ("GET /dump HTTP/1.1\r\nX-Long: ", "x", 408);
}

static void
test_blank_lines (void)
{
  expect_end ("\r\n", "\r\n", 0);
}

static void
test_head_without_end (void)
{
  char *piece = g_strnfill (4000, 'x');
  expect_end ("GET /dump HTTP/1.1\r\nX-Long: ", piece, 431);
  g_free (piece);
}

static void
test_body_without_end (void)
{
  char *piece = g_strnfill (4000, 'x');
  char *chunk = g_strdup_printf ("fa0\r\n%s\r\n", piece);
  expect_end ("POST /dump HTTP/1.1\r\nHost: a\r\n"
              "Content-Length: 1000000000000\r\n\r\n",
              piece, 413);
  expect_end ("POST /dump HTTP/1.1\r\nHost: a\r\n"
              "Transfer-Encoding: chunked\r\n\r\n",
              chunk, 413);
  g_free (chunk);
  g_free (piece);
}

static void
test_body_byte_by_byte (void)
{
  expect_end ("POST /dump HTTP/1.1\r\nHost: a\r\nContent-Length: 8000\r\n\r\n",
              "x", 408);
}

/* A request, its short body and the next request are served.  */
static void
test_requests_in_turn (void)
{
  struct http_server *server = start ();
  struct proxy_test_client *client
      = proxy_test_open_client_port (http_server_port (server));
  for (guint i = 0; i < 3; i++)
    {
      proxy_test_send_text (client, "POST /dump HTTP/1.1\r\nHost: a\r\n"
                                    "Content-Length: 4\r\n\r\nbody");
      struct proxy_test_response response = proxy_test_wait_response (client);
      CU_ASSERT_EQUAL (response.status, 200);
      CU_ASSERT_TRUE (response.complete);
      CU_ASSERT_FALSE (response.closes);
      CU_ASSERT_EQUAL (response.body->len, BODY_BYTES);
      proxy_test_response_clear (&response);
    }
  CU_ASSERT_EQUAL (handled, 3);
  proxy_test_close_client (client);
  http_server_free (server);
}

/* Pipelined requests must not make the process compute and keep a response to
   each: the first is answered, then the connection ends.  */
static void
test_pipelined (void)
{
  struct http_server *server = start ();
  struct proxy_test_client *client
      = proxy_test_open_client_port (http_server_port (server));
  GString *text = g_string_new (NULL);
  for (guint i = 0; i < REQUESTS; i++)
    g_string_append (text, REQUEST);
  proxy_test_send_text (client, text->str);
  struct proxy_test_response response = proxy_test_wait_response (client);
  CU_ASSERT_EQUAL (response.status, 200);
  CU_ASSERT_TRUE (response.complete);
  CU_ASSERT_TRUE (response.closes);
  CU_ASSERT_TRUE (
      proxy_test_wait_until (proxy_test_has_ended, client, PROXY_TEST_WAIT_MS));
  CU_ASSERT_EQUAL (handled, 1);
  proxy_test_response_clear (&response);
  proxy_test_close_client (client);
  g_string_free (text, TRUE);
  http_server_free (server);
}

/* The same with requests that arrive one by one while nothing is read.  */
static void
test_responses_not_read (void)
{
  struct http_server *server = start ();
  struct proxy_test_client *client
      = proxy_test_open_client_port (http_server_port (server));
  proxy_test_run_for (STEP_MS);
  tcp_conn_pause (client->tcp_conn, TRUE);
  for (guint i = 0; i < REQUESTS; i++)
    {
      proxy_test_send_text (client, REQUEST);
      for (guint k = 0; k < 4; k++)
        g_main_context_iteration (NULL, FALSE);
    }
  CU_ASSERT_TRUE (handled < RESPONSES_MAX);
  proxy_test_close_client (client);
  http_server_free (server);
}

static gboolean
all_handled (void *ctx)
{
  return handled == *(const guint *)ctx;
}

/* Responses that wait for clients which do not read, on connections that are
   being closed, are kept for CONNS_MAX of them; the oldest lose theirs.  */
static void
test_responses_kept (void)
{
  struct http_server *server = start ();
  struct proxy_test_client *clients[CLIENTS];
  guint complete = 0;
  body_bytes = LONG_BYTES;
  for (guint i = 0; i < CLIENTS; i++)
    {
      guint n = i + 1;
      clients[i] = proxy_test_open_client_port (http_server_port (server));
      tcp_conn_pause (clients[i]->tcp_conn, TRUE);
      proxy_test_send_text (clients[i], "GET /dump HTTP/1.1\r\nHost: a\r\n"
                                        "Connection: close\r\n\r\n");
      CU_ASSERT_TRUE_FATAL (
          proxy_test_wait_until (all_handled, &n, PROXY_TEST_WAIT_MS));
    }
  for (guint i = 0; i < CLIENTS; i++)
    {
      tcp_conn_pause (clients[i]->tcp_conn, FALSE);
      CU_ASSERT_TRUE (proxy_test_wait_until (proxy_test_has_ended, clients[i],
                                             PROXY_TEST_WAIT_MS));
      struct proxy_test_response response
          = proxy_test_parse_response (clients[i]);
      CU_ASSERT_EQUAL (response.complete, i >= CLIENTS - CONNS_MAX);
      complete += response.complete;
      proxy_test_response_clear (&response);
      proxy_test_close_client (clients[i]);
    }
  CU_ASSERT_EQUAL (complete, CONNS_MAX);
  http_server_free (server);
}

static CU_TestInfo tests[] = {
  { "a head byte by byte", test_head_byte_by_byte },
  { "blank lines without end", test_blank_lines },
  { "a head without end", test_head_without_end },
  { "a body without end", test_body_without_end },
  { "a body byte by byte", test_body_byte_by_byte },
  { "requests in turn", test_requests_in_turn },
  { "pipelined requests", test_pipelined },
  { "responses not read", test_responses_not_read },
  { "responses kept on connections being closed", test_responses_kept },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "listeners and clients that send without end", NULL, NULL, NULL, NULL,
    tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)

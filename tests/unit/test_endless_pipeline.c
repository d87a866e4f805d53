/* Clients that pipeline requests without end: what is kept for them is bounded,
   and each request that is read gets its response.  */
#include "unit/proxy_fixture.h"

#define UNREAD_REQUESTS 300000 /* of a client that reads nothing */
#define LATE_REQUESTS 20000    /* of a client that reads later */
#define LATE_MS 1000           /* until it reads, and for the last responses */
/* Bytes that the kernel and the proxy may take from a client that reads
   nothing. */
#define TAKEN_MAX (12 * 1024 * 1024)
/* A request without a key, which the proxy rejects itself. */
#define REQUEST                                                                \
  "GET /once/x HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: p\r\n\r\n"

static void
start (void)
{
  proxy_test_start (1);
  proxy_test_set_table (1, PROXY_TEST_KEY);
}

static GString *
pipeline (guint n)
{
  GString *text = g_string_new (NULL);
  for (guint i = 0; i < n; i++)
    g_string_append (text, REQUEST);
  return text;
}

static gboolean
is_taken (void *ctx)
{
  const struct proxy_test_client *client = ctx;
  return tcp_conn_sent (client->tcp_conn) > TAKEN_MAX;
}

/* A client that pipelines requests and does not read the responses must not
   fill the memory with them.  */
static void
test_pipelined_unread (void)
{
  start ();
  struct proxy_test_client *client = proxy_test_open_stalled_client ();
  GString *text = pipeline (UNREAD_REQUESTS);
  CU_ASSERT_TRUE (text->len > TAKEN_MAX);
  tcp_conn_write (client->tcp_conn, text->str, text->len);
  CU_ASSERT_FALSE (
      proxy_test_wait_until (is_taken, client, PROXY_TEST_WAIT_MS));
  g_string_free (text, TRUE);
  proxy_test_close_client (client);
  proxy_test_stop ();
}

static gboolean
has_last_response (void *ctx)
{
  const struct proxy_test_client *client = ctx;
  return client->ended
         || proxy_test.counter_set.v[COUNTER_REQUESTS] == LATE_REQUESTS;
}

/* A client that reads late gets each response.  */
static void
test_pipelined_read_late (void)
{
  start ();
  struct proxy_test_client *client = proxy_test_open_stalled_client ();
  GString *text = pipeline (LATE_REQUESTS);
  tcp_conn_write (client->tcp_conn, text->str, text->len);
  proxy_test_run_for (LATE_MS);
  tcp_conn_pause (client->tcp_conn, FALSE);
  CU_ASSERT_TRUE (proxy_test_wait_until (has_last_response, client,
                                         4 * PROXY_TEST_WAIT_MS));
  proxy_test_run_for (LATE_MS);
  guint n = 0;
  for (const char *at = client->in->str;
       (at = strstr (at, "HTTP/1.1 401")) != NULL; at++)
    n++;
  CU_ASSERT_EQUAL (n, LATE_REQUESTS);
  CU_ASSERT_FALSE (client->ended);
  g_string_free (text, TRUE);
  proxy_test_close_client (client);
  proxy_test_stop ();
}

static CU_TestInfo tests[] = {
  { "responses not read", test_pipelined_unread },
  { "responses read late", test_pipelined_read_late },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "clients that pipeline requests", NULL, NULL, NULL, NULL, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)

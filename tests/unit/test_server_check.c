/* A server that is ending may accept connections for a moment longer than it
   keeps those that it has. If the check of a server that has broken off a
   response took that for life, its crash would count for nothing.  */
#include "unit/proxy_fixture.h"

#define ENDING_MS 20 /* from the first connection closed to the last */

static struct counter_set counter_set;

static void
start (proxy_test_script script)
{
  const struct suspects_options options
      = { .seed = 1, .counter_set = &counter_set };
  proxy_test_suspects = suspects_new (&options);
  proxy_test_start (1);
  proxy_test_set_table (1, PROXY_TEST_KEY);
  proxy_test_script_all (script);
}

static void
stop (void)
{
  proxy_test_stop ();
  g_clear_pointer (&proxy_test_suspects, suspects_free);
}

static gboolean
on_ended (gpointer data)
{
  struct proxy_test_server *server = data;
  g_clear_pointer (&server->listener, tcp_listener_free);
  g_ptr_array_set_size (server->links, 0);
  return G_SOURCE_REMOVE;
}

static void
end_slowly (struct proxy_test_link *link, struct proxy_test_request *request)
{
  g_timeout_add (ENDING_MS, on_ended, link->server);
  proxy_test_reset_link (link, request);
}

static gboolean
has_crash (void *ctx)
{
  (void)ctx;
  return suspects_n_changes (proxy_test_suspects) > 0;
}

static void
test_ends_slowly (void)
{
  start (end_slowly);
  struct proxy_test_client *client = proxy_test_open_client ();
  proxy_test_send_request (client, "/once/x", "X-Prompt-Parts: a:9,b:9\r\n");
  CU_ASSERT_TRUE (proxy_test_wait_until (has_crash, NULL, PROXY_TEST_WAIT_MS));
  proxy_test_close_client (client);
  stop ();
}

/* Ends the server as soon as the connection of the check waits to be accepted:
   then it is reset instead of refused.  */
static gboolean
on_idle (gpointer data)
{
  return suspects_is_active (proxy_test_suspects) ? on_ended (data)
                                                  : G_SOURCE_CONTINUE;
}

static void
end_when_checked (struct proxy_test_link *link,
                  struct proxy_test_request *request)
{
  g_idle_add_full (G_PRIORITY_DEFAULT, on_idle, link->server, NULL);
  proxy_test_reset_link (link, request);
}

static void
test_ends_when_checked (void)
{
  start (end_when_checked);
  struct proxy_test_client *client = proxy_test_open_client ();
  proxy_test_send_request (client, "/once/x", "X-Prompt-Parts: a:9,b:9\r\n");
  CU_ASSERT_TRUE (proxy_test_wait_until (has_crash, NULL, PROXY_TEST_WAIT_MS));
  proxy_test_close_client (client);
  stop ();
}

static void
test_lives (void)
{
  start (proxy_test_reset_link);
  struct proxy_test_client *client = proxy_test_open_client ();
  proxy_test_send_request (client, "/once/x", "X-Prompt-Parts: a:9,b:9\r\n");
  proxy_test_run_for (500);
  CU_ASSERT_FALSE (has_crash (NULL));
  CU_ASSERT_EQUAL (proxy_test.servers[0].connections, 2);
  proxy_test_close_client (client);
  stop ();
}

static CU_TestInfo tests[] = {
  { "a server that ends slowly", test_ends_slowly },
  { "a server that ends when it is checked", test_ends_when_checked },
  { "a server that lives", test_lives },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "server check", NULL, NULL, NULL, NULL, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)

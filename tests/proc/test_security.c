/* Authentication and secrets. Peers without the shared key, malformed frames
   and wrong tokens are rejected, keys and ids of clients appear in no log and
   in no response of the administration API, and the process keeps serving.  */
#include "proc/testbed.h"

#include <sys/socket.h>

/* Length prefix of a frame that is over the limit.  */
#define OVERSIZED_LENGTH "\x7f\xff\xff\xff"
#define SECRET_IDEMPOTENCY_KEY "an-idempotency-key-of-this-test"
#define PEER_KEY "a shared key of the test's instances"

static const struct deployment_options options = {
  .domains = { { "kgn-1", "kgn", 2, 1, 1 } },
};

static int
start (void)
{
  return testbed_start (&options);
}

struct counter
{
  const char *name;
  gint64 at_least;
};

static gboolean
has_reached (void *ctx)
{
  const struct counter *counter = ctx;
  return testbed_sum_counters (counter->name) >= counter->at_least;
}

/* Waits until the sum of counter NAME over all instances is at least AT_LEAST.
   Returns FALSE on time-out.  */
static gboolean
counters_reach (const char *name, gint64 at_least)
{
  struct counter counter = { name, at_least };
  return harness_wait_until (has_reached, &counter, HARNESS_TIMEOUT_MS);
}

/* Sends N bytes to the peer port of instance 0. Returns whether the instance
   closes the connection within the time limit.  */
static gboolean
closes_after (const char *bytes, gsize n)
{
  GSocketClient *client = g_socket_client_new ();
  GSocketConnection *connection = g_socket_client_connect_to_host (
      client, "127.0.0.1", (guint16)deployment->instances[0].peer_port, NULL,
      NULL);
  char buffer[512];
  gssize got;
  CU_ASSERT_PTR_NOT_NULL_FATAL (connection);
  g_socket_set_timeout (g_socket_connection_get_socket (connection),
                        HARNESS_TIMEOUT_MS / 1000);
  GIOStream *io = G_IO_STREAM (connection);
  g_output_stream_write_all (g_io_stream_get_output_stream (io), bytes, n, NULL,
                             NULL, NULL);
  GError *error = NULL;
  do
    got = g_input_stream_read (g_io_stream_get_input_stream (io), buffer,
                               sizeof buffer, NULL, &error);
  while (got > 0);
  gboolean closed
      = got == 0 || !g_error_matches (error, G_IO_ERROR, G_IO_ERROR_TIMED_OUT);
  g_clear_error (&error);
  g_object_unref (connection);
  g_object_unref (client);
  return closed;
}

static void
test_malformed_frames (void)
{
  static const struct
  {
    const char *bytes;
    gsize n;
  } cases[] = {
    { "GET / HTTP/1.1\r\n\r\n", 18 },
    { OVERSIZED_LENGTH "x", 5 },
    { "\0\0\0\4\x94\xc1\xc1\xc1", 8 },
    { "\0\0\0\0", 4 },
  };
  gint64 rejected = deployment_counter (deployment, 0, "peer_rejected");
  gint64 bad = deployment_counter (deployment, 0, "frame_bad");
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    CU_ASSERT_TRUE (closes_after (cases[i].bytes, cases[i].n));
  CU_ASSERT_TRUE (deployment_counter (deployment, 0, "peer_rejected")
                      + deployment_counter (deployment, 0, "frame_bad")
                  >= rejected + bad + (gint64)G_N_ELEMENTS (cases));
}

/* An instance with another shared key is not admitted to the mesh.  */
static void
test_wrong_peer_key (void)
{
  char *from = g_build_filename (harness_dir (harness), "kgn-1-b.ini", NULL);
  char *settings
      = g_build_filename (harness_dir (harness), "intruder.ini", NULL);
  char *key = g_build_filename (harness_dir (harness), "intruder.key", NULL);
  char *text = NULL;
  gint64 rejected = deployment_counter (deployment, 0, "peer_rejected");
  g_file_get_contents (from, &text, NULL, NULL);
  GString *ini = g_string_new (text);
  char *own_peers = g_strdup_printf ("peers=127.0.0.1:%d",
                                     deployment->instances[1].peer_port);
  g_string_replace (ini, "id=kgn-1-b", "id=intruder", 0);
  g_string_replace (ini, own_peers, "peers=127.0.0.1:0", 0);
  g_string_replace (ini, "peer.key", "intruder.key", 0);
  g_file_set_contents (key, "a key that the others do not share", -1, NULL);
  g_file_set_contents (settings, ini->str, -1, NULL);
  const char *const argv[]
      = { "packages/jacinthward/jacinthward", "--settings", settings, NULL };
  struct harness_process *intruder = harness_start (harness, "intruder", argv);
  CU_ASSERT_TRUE (intruder != NULL && harness_wait_ready (intruder));
  CU_ASSERT_TRUE (counters_reach ("peer_rejected", rejected + 4));
  struct harness_response *reply
      = testbed_admin (0, NULL, "/instances", NULL, NULL);
  CU_ASSERT_EQUAL (reply->status, 200);
  CU_ASSERT_PTR_NULL (strstr (reply->body->str, "intruder"));
  harness_response_free (reply);
  harness_signal (intruder, SIGKILL);
  harness_reap (intruder, HARNESS_TIMEOUT_MS);
  g_string_free (ini, TRUE);
  g_free (own_peers);
  g_free (text);
  g_free (key);
  g_free (settings);
  g_free (from);
}

static void
test_wrong_tokens (void)
{
  static const struct
  {
    const char *method;
    const char *path;
  } calls[] = {
    { "GET", "/dump" },   { "GET", "/config" }, { "GET", "/stats" },
    { "PUT", "/preset" }, { "PUT", "/config" }, { "PUT", "/backends/x/drain" },
  };
  static const char *const bearers[]
      = { "Bearer wrong", "Bearer " DEPLOYMENT_TEAM_KEY, "Basic eDp4", NULL };
  gint64 denied = deployment_counter (deployment, 0, "admin_denied");
  gint64 n = 0;
  for (guint i = 0; i < G_N_ELEMENTS (calls); i++)
    for (guint b = 0; b < G_N_ELEMENTS (bearers); b++)
      {
        const char *const headers[]
            = { "If-Match", "\"1\"", bearers[b] ? "Authorization" : NULL,
                bearers[b], NULL };
        const struct harness_request call
            = { .method = calls[i].method,
                .port = deployment->instances[0].proc->admin_port,
                .path = calls[i].path,
                .headers = headers,
                .body = strcmp (calls[i].method, "PUT") == 0
                            ? "{\"preset\":\"peak\"}"
                            : NULL };
        struct harness_response *reply = harness_request (&call);
        CU_ASSERT_EQUAL (reply->status, 401);
        harness_response_free (reply);
        n++;
      }
  CU_ASSERT_EQUAL (deployment_counter (deployment, 0, "admin_denied"),
                   denied + n);
}

static const char *const secrets[]
    = { DEPLOYMENT_TEAM_KEY, DEPLOYMENT_OPERATOR_TOKEN, PEER_KEY,
        SECRET_IDEMPOTENCY_KEY, "secret-id" };

/* Returns how many of the secrets occur in TEXT, which may be NULL.  */
static guint
count_secrets (const char *text)
{
  guint n = 0;
  for (guint i = 0; i < G_N_ELEMENTS (secrets); i++)
    n += text != NULL && strstr (text, secrets[i]) != NULL;
  return n;
}

/* Checks that the administration API of instance I shows no secret.  */
static void
check_admin_responses (guint i)
{
  static const char *const paths[]
      = { "/dump", "/stats", "/metrics", "/config", "/teams", "/instances" };
  for (guint p = 0; p < G_N_ELEMENTS (paths); p++)
    {
      struct harness_response *reply
          = testbed_admin (i, NULL, paths[p], NULL, NULL);
      CU_ASSERT_EQUAL (reply->status, 200);
      CU_ASSERT_TRUE (reply->body->len > 0);
      CU_ASSERT_EQUAL (count_secrets (reply->body->str), 0);
      harness_response_free (reply);
    }
}

/* Checks that the output of process NAME contains no secret; SUFFIX of the file
   is "out" or "err". Returns the file's text, valid until the next call.  */
static const char *
check_output_file (const char *name, const char *suffix)
{
  static char *text;
  char *path
      = g_strdup_printf ("%s/%s.%s", harness_dir (harness), name, suffix);
  g_clear_pointer (&text, g_free);
  CU_ASSERT_TRUE (g_file_get_contents (path, &text, NULL, NULL));
  g_free (path);
  if (text == NULL)
    return "";
  CU_ASSERT_EQUAL (count_secrets (text), 0);
  return text;
}

/* Secrets of calls in progress and of calls that failed must not be shown
   either.  */
static void
test_secrets_are_not_shown (void)
{
  const struct workload_clients streams = { .kind = WORKLOAD_STREAM,
                                            .threads = 3,
                                            .tokens = 200,
                                            .instance = WORKLOAD_ANY,
                                            .prefix = "secret-id" };
  harness_set_faults (deployment->services[0].proc->port, "{\"drop_after\":1}");
  testbed_call (WORKLOAD_KEYED, 0, "secret-id-key", SECRET_IDEMPOTENCY_KEY, 0);
  testbed_call (WORKLOAD_KEYED, 1, "secret-id-key", SECRET_IDEMPOTENCY_KEY, 0);
  workload_start (workload, &streams);
  for (guint i = 0; i < deployment->n_instances; i++)
    check_admin_responses (i);
  workload_stop (workload);
  for (guint i = 0; i < deployment->n_instances; i++)
    {
      CU_ASSERT_TRUE (
          strstr (check_output_file (deployment->instances[i].name, "out"),
                  "config.applied")
          != NULL);
      check_output_file (deployment->instances[i].name, "err");
    }
  CU_ASSERT_TRUE (workload_check (workload));
}

static CU_TestInfo tests[] = {
  { "malformed frames", test_malformed_frames },
  { "a peer with another shared key", test_wrong_peer_key },
  { "wrong operator tokens", test_wrong_tokens },
  { "secrets are in no log and no dump", test_secrets_are_not_shown },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "security", start, testbed_stop, NULL, NULL, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)

/* Well-behaved and misbehaving clients of real processes. Each gets a complete
   response, an error response or a closed connection, and failures are counted.
   If a client disconnects, its request is cancelled on the engine.  */
#include "harness/deployment.h"
#include "unit/unit.h"

#include <string.h>

static const char *const slow_engine_args[] = { "--base-us", "20000", NULL };

static const struct deployment_options options = {
  .domains = {
    { "kgn-1", "kgn", 2, 1, 1 },
    { "kgn-2", "kgn", 1, 1, 0 },
  },
  .engine_args = slow_engine_args,
  .limits = "shutdown_grace_ms=300\nmax_body_bytes=65536\n"
            "max_header_bytes=4096\nheader_timeout_ms=600\n"
            "caller_stall_ms=600\n",
};

static struct harness *harness;
static struct deployment *deployment;

static int
start (void)
{
  harness = harness_new ();
  deployment = deployment_start (harness, &options);
  return deployment == NULL;
}

static int
stop (void)
{
  if (CU_get_number_of_failure_records () > 0)
    harness_explain (harness);
  deployment_free (deployment);
  harness_free (harness);
  return 0;
}

struct counter
{
  guint instance;
  const char *name;
  gint64 at_least;
};

static gboolean
has_reached (void *ctx)
{
  const struct counter *counter = ctx;
  return deployment_counter (deployment, counter->instance, counter->name)
         >= counter->at_least;
}

/* Waits until counter NAME of INSTANCE is at least AT_LEAST. Returns FALSE on
   time-out.  */
static gboolean
counter_reaches (guint instance, const char *name, gint64 at_least)
{
  struct counter counter = { instance, name, at_least };
  return harness_wait_until (has_reached, &counter, HARNESS_TIMEOUT_MS);
}

static gint64
cancelled_on_engines (void)
{
  gint64 n = 0;
  for (guint i = 0; i < deployment->n_engines; i++)
    n += harness_get_int (deployment->engines[i].proc->port, "/counts",
                          "cancelled");
  return n;
}

static gboolean
has_cancelled (void *ctx)
{
  return cancelled_on_engines () >= *(gint64 *)ctx;
}

static void
test_responses_are_complete (void)
{
  for (guint i = 0; i < deployment->n_instances; i++)
    for (guint streamed = 0; streamed < 2; streamed++)
      {
        char *prompt = g_strdup_printf ("report %u %u [len=15]", i, streamed);
        struct harness_response *reply
            = deployment_chat (deployment, i, NULL, prompt, streamed);
        char *text = harness_completion_text (reply->body->str);
        char *expected = harness_expected_text (prompt, 0);
        CU_ASSERT_EQUAL (reply->status, 200);
        CU_ASSERT_TRUE (reply->complete);
        CU_ASSERT_TRUE (g_strcmp0 (text, expected) == 0);
        g_free (expected);
        g_free (text);
        harness_response_free (reply);
        g_free (prompt);
      }
}

/* Sends a request through instance 0, which must answer with an error response
   that says that the request has not run. Returns its status; *CODE, freed by
   g_free, is the error's code or NULL.  */
static guint
send_rejected_request (const char *method, const char *path, const char *key,
                       const char *class_name, const char *body, char **code)
{
  char *bearer = g_strconcat ("Bearer ", key, NULL);
  const char *const headers[]
      = { "Authorization", bearer, "Jacinthward-Class", class_name, NULL };
  const struct harness_request call
      = { .method = method,
          .port = deployment->instances[0].proc->http_port,
          .path = path,
          .headers = headers,
          .body = body };
  struct harness_response *reply = harness_request (&call);
  guint status = reply->status;
  *code = deployment_error (reply, "code");
  char *ran = deployment_error (reply, "ran");
  CU_ASSERT_TRUE (g_strcmp0 (ran, "no") == 0);
  g_free (ran);
  harness_response_free (reply);
  g_free (bearer);
  return status;
}

static void
test_bad_requests_are_rejected (void)
{
  static const struct
  {
    const char *path;
    const char *key;
    const char *class_name;
    const char *body;
    guint status;
    const char *code;
  } cases[] = {
    { "/v1/chat/completions", DEPLOYMENT_TEAM_KEY, "urgent", "{\"model\":", 400,
      "bad_request" },
    { "/v1/chat/completions", DEPLOYMENT_TEAM_KEY, "urgent", "[1,2]", 400,
      "bad_request" },
    { "/v1/chat/completions", DEPLOYMENT_TEAM_KEY, "urgent", "\xff\xfe{}", 400,
      "bad_request" },
    { "/v1/chat/completions", DEPLOYMENT_TEAM_KEY, "urgent",
      "{\"model\":\"assistant\",\"messages\":[]}", 400, "bad_request" },
    { "/v1/completions", DEPLOYMENT_TEAM_KEY, "urgent",
      "{\"model\":\"assistant\",\"prompt\":\"x\",\"max_tokens\":-1}", 400,
      "bad_request" },
    { "/v1/completions", DEPLOYMENT_TEAM_KEY, "urgent",
      "{\"model\":\"no-such\",\"prompt\":\"x\"}", 404, "unknown_model" },
    { "/v1/completions", "other-key", "urgent",
      "{\"model\":\"assistant\",\"prompt\":\"x\"}", 401, "bad_key" },
    { "/v1/completions", DEPLOYMENT_TEAM_KEY, "no-such",
      "{\"model\":\"assistant\",\"prompt\":\"x\"}", 403, "class_not_allowed" },
    { "/v1/nothing", DEPLOYMENT_TEAM_KEY, "urgent", "{}", 404, "unknown_path" },
    { "/services/no-such/x", DEPLOYMENT_TEAM_KEY, "urgent", "{}", 404,
      "unknown_service" },
  };
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      char *code;
      CU_ASSERT_EQUAL (send_rejected_request ("POST", cases[i].path,
                                              cases[i].key, cases[i].class_name,
                                              cases[i].body, &code),
                       cases[i].status);
      CU_ASSERT_TRUE (g_strcmp0 (code, cases[i].code) == 0);
      g_free (code);
    }
  CU_ASSERT_TRUE (counter_reaches (0, "bad_key", 1));
  CU_ASSERT_TRUE (counter_reaches (0, "bad_request", 8));
}

static void
test_size_limits (void)
{
  char *code;
  char *body = g_strnfill (70000, 'x');
  CU_ASSERT_EQUAL (send_rejected_request ("POST", "/v1/completions",
                                          DEPLOYMENT_TEAM_KEY, "urgent", body,
                                          &code),
                   413);
  g_free (code);
  g_free (body);
  char *name = g_strnfill (5000, 'x');
  CU_ASSERT_EQUAL (send_rejected_request ("POST", "/v1/completions",
                                          DEPLOYMENT_TEAM_KEY, name, "{}",
                                          &code),
                   431);
  g_free (code);
  g_free (name);
  CU_ASSERT_TRUE (counter_reaches (0, "too_large", 2));
}

/* Returns a connection to INSTANCE for hand-written requests, freed by
   g_object_unref.  */
static GSocketConnection *
connect_raw (guint instance)
{
  GSocketClient *client = g_socket_client_new ();
  GSocketConnection *connection = g_socket_client_connect_to_host (
      client, "127.0.0.1",
      (guint16)deployment->instances[instance].proc->http_port, NULL, NULL);
  g_object_unref (client);
  return connection;
}

static void
send_raw (GSocketConnection *connection, const char *text)
{
  GOutputStream *out = g_io_stream_get_output_stream (G_IO_STREAM (connection));
  g_output_stream_write_all (out, text, strlen (text), NULL, NULL, NULL);
}

/* Returns the peak resident memory of an instance's process in mebibytes.  */
static gint64
peak_mb (guint instance)
{
  char *path = g_strdup_printf (
      "/proc/%d/status", harness_pid (deployment->instances[instance].proc));
  char *text = NULL;
  g_file_get_contents (path, &text, NULL, NULL);
  const char *line = text ? strstr (text, "VmHWM:") : NULL;
  gint64 kb = line ? g_ascii_strtoll (line + 6, NULL, 10) : 0;
  g_free (text);
  g_free (path);
  return kb / 1024;
}

/* A body over the limit must neither be read to its end nor be buffered.  */
static void
test_rejected_body_is_not_buffered (void)
{
  GSocketConnection *connection = connect_raw (0);
  GOutputStream *out = g_io_stream_get_output_stream (G_IO_STREAM (connection));
  char *block = g_strnfill (1024 * 1024, 'x');
  guint sent = 0;
  send_raw (connection, "POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
                        "Content-Length: 300000000\r\n\r\n");
  while (
      sent < 100
      && g_output_stream_write_all (out, block, 1024 * 1024, NULL, NULL, NULL))
    sent++;
  CU_ASSERT_TRUE (sent < 100);
  CU_ASSERT_TRUE (peak_mb (0) < 64);
  g_free (block);
  g_object_unref (connection);
}

/* The request's head is not complete within header_timeout_ms.  */
static void
test_slow_sender_is_disconnected (void)
{
  gint64 before = deployment_counter (deployment, 0, "caller_slow");
  GSocketConnection *connection = connect_raw (0);
  GInputStream *in = g_io_stream_get_input_stream (G_IO_STREAM (connection));
  char byte;
  send_raw (connection, "POST /v1/completions HTTP/1.1\r\nHos");
  CU_ASSERT_TRUE (g_input_stream_read (in, &byte, 1, NULL, NULL) <= 0);
  CU_ASSERT_TRUE (counter_reaches (0, "caller_slow", before + 1));
  g_object_unref (connection);
}

/* Returns a request for a stream of TOKENS tokens whose prompt has FILLER extra
   bytes, freed by g_free.  */
static char *
raw_stream_request (guint tokens, guint filler)
{
  char *padding = g_strnfill (filler, 'p');
  char *body = g_strdup_printf ("{\"model\":\"assistant\",\"stream\":true,"
                                "\"prompt\":\"go [len=%u] %s\"}",
                                tokens, padding);
  char *text = g_strdup_printf ("POST /v1/completions HTTP/1.1\r\n"
                                "Host: x\r\nAuthorization: %s\r\n"
                                "Content-Length: %" G_GSIZE_FORMAT "\r\n\r\n%s",
                                DEPLOYMENT_TEAM_BEARER, strlen (body), body);
  g_free (padding);
  g_free (body);
  return text;
}

static void
test_disconnect_cancels_engine_request (void)
{
  gint64 goal = cancelled_on_engines () + 1;
  GSocketConnection *connection = connect_raw (0);
  GInputStream *in = g_io_stream_get_input_stream (G_IO_STREAM (connection));
  char *request = raw_stream_request (2000, 0);
  char buffer[512];
  send_raw (connection, request);
  CU_ASSERT_TRUE (g_input_stream_read (in, buffer, sizeof buffer, NULL, NULL)
                  > 0);
  g_io_stream_close (G_IO_STREAM (connection), NULL, NULL);
  CU_ASSERT_TRUE (
      harness_wait_until (has_cancelled, &goal, HARNESS_TIMEOUT_MS));
  CU_ASSERT_TRUE (counter_reaches (0, "caller_gone", 1));
  g_object_unref (connection);
  g_free (request);
}

/* Returns the number of open file descriptors of an instance's process.  */
static guint
open_files (guint instance)
{
  char *path = g_strdup_printf (
      "/proc/%d/fd", harness_pid (deployment->instances[instance].proc));
  GDir *dir = g_dir_open (path, 0, NULL);
  guint n = 0;
  while (dir != NULL && g_dir_read_name (dir) != NULL)
    n++;
  g_clear_pointer (&dir, g_dir_close);
  g_free (path);
  return n;
}

static gboolean
has_closed (void *ctx)
{
  return open_files (0) <= *(guint *)ctx;
}

/* Half of the clients disconnect before the first byte of the response, half
   after it.  */
static void
test_disconnects_leak_nothing (void)
{
  guint bound = open_files (0) + 4; /* pooled connections to engines */
  for (guint i = 0; i < 20; i++)
    {
      GSocketConnection *connection = connect_raw (0);
      char *request = raw_stream_request (2000, 0);
      send_raw (connection, request);
      if (i % 2 == 0)
        g_input_stream_read (
            g_io_stream_get_input_stream (G_IO_STREAM (connection)), request, 1,
            NULL, NULL);
      g_object_unref (connection);
      g_free (request);
    }
  CU_ASSERT_TRUE (harness_wait_until (has_closed, &bound, HARNESS_TIMEOUT_MS));
}

static void
test_instance_still_serves (void)
{
  struct harness_response *reply
      = deployment_chat (deployment, 0, NULL, "still? [len=3]", TRUE);
  CU_ASSERT_EQUAL (reply->status, 200);
  CU_ASSERT_TRUE (reply->complete);
  harness_response_free (reply);
}

static CU_TestInfo tests[] = {
  { "responses of each instance are complete", test_responses_are_complete },
  { "bad requests are rejected with a code", test_bad_requests_are_rejected },
  { "size limits of headers and bodies", test_size_limits },
  { "a rejected body is not buffered", test_rejected_body_is_not_buffered },
  { "a slow sender is disconnected", test_slow_sender_is_disconnected },
  { "a disconnect cancels the engine request",
    test_disconnect_cancels_engine_request },
  { "disconnects leak no connection", test_disconnects_leak_nothing },
  { "the instance still serves", test_instance_still_serves },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "callers", start, stop, NULL, NULL, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)

/* The administration API over HTTP, with a fake instance behind it.  */
#include "unit/unit.h"

#include "unit/fake_admin_server.h"

#include <libsoup/soup.h>

#define WAIT_US (20 * CLK_S) /* time limit of exchange_raw; fails the test */

static SoupSession *session;

static int
open_session (void)
{
  session = soup_session_new ();
  soup_session_set_proxy_resolver (session, NULL);
  return 0;
}

static int
close_session (void)
{
  g_clear_object (&session);
  return 0;
}

struct response
{
  guint status;
  char *body; /* NUL-terminated */
  char *etag;
  gboolean ended;
};

static void
on_response (GObject *source, GAsyncResult *result, gpointer data)
{
  struct response *response = data;
  g_autoptr (GBytes) bytes
      = soup_session_send_and_read_finish (SOUP_SESSION (source), result, NULL);
  response->ended = TRUE;
  if (bytes != NULL)
    response->body
        = g_strndup (g_bytes_get_data (bytes, NULL), g_bytes_get_size (bytes));
}

/* Sends one request and waits for its response, to be freed by
   response_clear.  */
static struct response
send_request (struct fake *fake, const char *method, const char *path,
              const char *token, const char *if_match, const char *body)
{
  struct response response = { 0 };
  g_autofree char *uri = g_strdup_printf (
      "http://127.0.0.1:%u%s", admin_server_port (fake->admin_server), path);
  g_autoptr (SoupMessage) message = soup_message_new (method, uri);
  SoupMessageHeaders *headers = soup_message_get_request_headers (message);
  g_autofree char *bearer = g_strdup_printf ("Bearer %s", token);
  if (token != NULL)
    soup_message_headers_append (headers, "Authorization", bearer);
  if (if_match != NULL)
    soup_message_headers_append (headers, "If-Match", if_match);
  if (body != NULL)
    {
      g_autoptr (GBytes) bytes = g_bytes_new (body, strlen (body));
      soup_message_set_request_body_from_bytes (message, "text/plain", bytes);
    }
  soup_message_add_flags (message, SOUP_MESSAGE_NO_REDIRECT);
  soup_session_send_and_read_async (session, message, G_PRIORITY_DEFAULT, NULL,
                                    on_response, &response);
  while (!response.ended)
    g_main_context_iteration (NULL, TRUE);
  response.status = soup_message_get_status (message);
  response.etag = g_strdup (soup_message_headers_get_one (
      soup_message_get_response_headers (message), "ETag"));
  if (response.body == NULL)
    response.body = g_strdup ("");
  return response;
}

static void
response_clear (struct response *response)
{
  g_free (response->body);
  g_free (response->etag);
}

/* Sends a request and checks the status of the response and that its body
   contains SUBSTRING.  */
static void
expect_response (struct fake *fake, const char *method, const char *path,
                 const char *token, const char *body, guint status,
                 const char *substring)
{
  struct response response
      = send_request (fake, method, path, token, "\"7\"", body);
  CU_ASSERT_EQUAL (response.status, status);
  CU_ASSERT_PTR_NOT_NULL (strstr (response.body, substring));
  if (response.status != status || strstr (response.body, substring) == NULL)
    g_print ("%s %s: %u %s\n", method, path, response.status, response.body);
  response_clear (&response);
}

static void
test_requests_without_token (void)
{
  struct fake fake;
  fake_open (&fake, 0);
  expect_response (&fake, "GET", "/healthz", NULL, NULL, 200, "ok");
  expect_response (&fake, "GET", "/readyz", NULL, NULL, 200, "ready");
  fake.ready = FALSE;
  expect_response (&fake, "GET", "/readyz", NULL, NULL, 503, "not ready");
  expect_response (&fake, "GET", "/metrics", NULL, NULL, 200, "admin_requests");
  CU_ASSERT_EQUAL (fake.counter_set.v[COUNTER_ADMIN_REQUESTS], 4);
  fake_close (&fake);
}

static void
test_tokens (void)
{
  struct fake fake;
  char long_token[ADMIN_TOKEN_MAX + 2];
  memset (long_token, 'x', sizeof long_token - 1);
  long_token[sizeof long_token - 1] = '\0';
  fake_open (&fake, 0);
  expect_response (&fake, "GET", "/dump", NULL, NULL, 401, "\"bad_token\"");
  expect_response (&fake, "GET", "/dump", "wrong", NULL, 401, "\"bad_token\"");
  expect_response (&fake, "GET", "/dump", "", NULL, 401, "\"bad_token\"");
  expect_response (&fake, "GET", "/dump", long_token, NULL, 401,
                   "\"bad_token\"");
  expect_response (&fake, "GET", "/dump", READER_TOKEN, NULL, 200, "dumped");
  expect_response (&fake, "PUT", "/config", READER_TOKEN, "x", 403,
                   "\"read_only\"");
  CU_ASSERT_EQUAL (fake.counter_set.v[COUNTER_ADMIN_DENIED], 5);
  CU_ASSERT_EQUAL (fake.n_updates, 0);
  cluster_unref (g_steal_pointer (&fake.cfg));
  expect_response (&fake, "GET", "/dump", READER_TOKEN, NULL, 503,
                   "\"no_config\"");
  fake_close (&fake);
}

static void
test_lists (void)
{
  static const char *const paths[]
      = { "/classes",   "/teams",         "/backends", "/presets",
          "/instances", "/config/status", "/stats" };
  static const char *const substrings[]
      = { "\"urgent\"",          "\"crew\"",
          "\"kgn-1:account:0\"", "{\"name\":\"ordinary\",\"in_force\":true}",
          "\"kgn-1-a\"",         "\"version\":6",
          "\"admin_requests\"" };
  struct fake fake;
  fake_open (&fake, 0);
  for (guint i = 0; i < G_N_ELEMENTS (paths); i++)
    {
      struct response response
          = send_request (&fake, "GET", paths[i], WRITER_TOKEN, NULL, NULL);
      CU_ASSERT_EQUAL (response.status, 200);
      CU_ASSERT_PTR_NOT_NULL (strstr (response.body, substrings[i]));
      CU_ASSERT_PTR_NULL (
          strstr (response.body, fake.cfg->teams[0].key_sha256));
      CU_ASSERT_PTR_NULL (strstr (response.body, WRITER_TOKEN));
      response_clear (&response);
    }
  struct response response
      = send_request (&fake, "GET", "/config", WRITER_TOKEN, NULL, NULL);
  g_autofree char *text = example_text ();
  CU_ASSERT_STRING_EQUAL (response.body, text);
  CU_ASSERT_STRING_EQUAL (response.etag, "\"7\"");
  response_clear (&response);
  fake_close (&fake);
}

static void
test_update_outcomes (void)
{
  struct fake fake;
  fake_open (&fake, 0);
  g_autofree char *text = example_text ();
  expect_response (&fake, "PUT", "/config", WRITER_TOKEN, text, 200,
                   "{\"version\":8}");
  CU_ASSERT_EQUAL (fake.expected, 7);
  CU_ASSERT_EQUAL (g_bytes_get_size (fake.body), strlen (text));

  fake.result.outcome = FOLLOWER_CONFLICT;
  fake.result.version = 9;
  expect_response (&fake, "PUT", "/config", WRITER_TOKEN, text, 409,
                   "\"version\":9");
  fake.result.outcome = FOLLOWER_REJECTED;
  err_set (&fake.result.err, ERR_UNAVAILABLE, "config.put", "platform", "x");
  expect_response (&fake, "PUT", "/config", WRITER_TOKEN, text, 503,
                   "\"peer\":\"platform\"");
  fake.result.outcome = FOLLOWER_UNKNOWN;
  expect_response (&fake, "PUT", "/config", WRITER_TOKEN, text, 504,
                   "\"outcome_unknown\"");
  fake.update_code = ERR_LIMIT;
  expect_response (&fake, "PUT", "/config", WRITER_TOKEN, text, 503,
                   "\"config.update\"");

  struct response response
      = send_request (&fake, "PUT", "/config", WRITER_TOKEN, NULL, text);
  CU_ASSERT_EQUAL (response.status, 428);
  response_clear (&response);
  CU_ASSERT_EQUAL (fake.n_updates, 5);
  fake_close (&fake);
}

static void
test_invalid_config_is_rejected (void)
{
  struct fake fake;
  fake_open (&fake, 0);
  g_autofree char *text = example_text ();
  g_autofree char *bad
      = g_strconcat (text, "[zone:a]\n[model:b]\nsize=4\n", NULL);
  struct response response
      = send_request (&fake, "PUT", "/config", WRITER_TOKEN, "\"7\"", bad);
  CU_ASSERT_EQUAL (response.status, 422);
  CU_ASSERT_PTR_NOT_NULL (strstr (response.body, "group [zone:a]"));
  CU_ASSERT_PTR_NOT_NULL (strstr (response.body, "group [model:b], key size"));
  response_clear (&response);
  GString *read_only = g_string_new (text);
  g_string_replace (read_only, "write=yes", "write=no", 0);
  expect_response (&fake, "PUT", "/config", WRITER_TOKEN, read_only->str, 422,
                   "nobody may write");
  g_string_free (read_only, TRUE);
  CU_ASSERT_EQUAL (fake.n_updates, 0);
  fake_close (&fake);
}

static gboolean
update_contains (const struct fake *fake, const char *substring)
{
  if (fake->body == NULL)
    return FALSE;
  g_autofree char *text = g_strndup (g_bytes_get_data (fake->body, NULL),
                                     g_bytes_get_size (fake->body));
  return strstr (text, substring) != NULL;
}

static void
test_preset_and_drain_edit_config (void)
{
  struct fake fake;
  fake_open (&fake, 0);
  expect_response (&fake, "PUT", "/preset", WRITER_TOKEN,
                   "{\"preset\":\"peak\"}", 200, "8");
  CU_ASSERT_TRUE (update_contains (&fake, "\npreset=peak\n"));
  CU_ASSERT_EQUAL (fake.expected, 7);
  expect_response (&fake, "PUT", "/backends/kgn-1-engine-1/drain", WRITER_TOKEN,
                   "", 200, "8");
  CU_ASSERT_TRUE (update_contains (&fake, "\ndrain=yes\n"));
  expect_response (&fake, "PUT", "/backends/kgn-1-engine-1/undrain",
                   WRITER_TOKEN, "", 200, "8");
  CU_ASSERT_TRUE (update_contains (&fake, "\ndrain=no\n"));
  CU_ASSERT_EQUAL (fake.n_updates, 3);
  expect_response (&fake, "PUT", "/preset", WRITER_TOKEN,
                   "{\"preset\":\"night\"}", 404, "preset:night");
  expect_response (&fake, "PUT", "/preset", WRITER_TOKEN, "{\"preset\":3}", 400,
                   "expected");
  expect_response (&fake, "PUT", "/preset", WRITER_TOKEN, "nonsense", 400,
                   "expected");
  expect_response (&fake, "PUT", "/backends/none/drain", WRITER_TOKEN, "", 404,
                   "backend:none");
  struct response response = send_request (
      &fake, "PUT", "/preset", WRITER_TOKEN, "\"8\"", "{\"preset\":\"peak\"}");
  CU_ASSERT_EQUAL (response.status, 409);
  CU_ASSERT_PTR_NOT_NULL (strstr (response.body, "\"version\":7"));
  response_clear (&response);
  CU_ASSERT_EQUAL (fake.n_updates, 3);
  fake_close (&fake);
}

static void
test_unknown_paths (void)
{
  struct fake fake;
  fake_open (&fake, 0);
  expect_response (&fake, "GET", "/none", WRITER_TOKEN, NULL, 404,
                   "\"unknown_path\"");
  expect_response (&fake, "GET", "/backends//drain", WRITER_TOKEN, NULL, 404,
                   "unknown_path");
  expect_response (&fake, "DELETE", "/config", WRITER_TOKEN, NULL, 405,
                   "\"wrong_method\"");
  expect_response (&fake, "GET", "/preset", WRITER_TOKEN, NULL, 405,
                   "\"wrong_method\"");
  fake_close (&fake);
}

static GSocket *
connect_client (struct fake *fake)
{
  GSocket *socket = g_socket_new (G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
                                  G_SOCKET_PROTOCOL_TCP, NULL);
  g_autoptr (GSocketAddress) to = g_inet_socket_address_new_from_string (
      "127.0.0.1", admin_server_port (fake->admin_server));
  CU_ASSERT_TRUE (g_socket_connect (socket, to, NULL, NULL));
  g_socket_set_blocking (socket, FALSE);
  return socket;
}

/* Sends what remains of TEXT after *SENT bytes, as far as the socket takes it.
   Returns FALSE if the connection is broken.  */
static gboolean
send_remaining (GSocket *socket, const char *text, gsize *sent)
{
  g_autoptr (GError) error = NULL;
  gsize n = strlen (text + *sent);
  if (n == 0)
    return TRUE;
  gssize sent_now = g_socket_send (socket, text + *sent, n, NULL, &error);
  if (sent_now > 0)
    *sent += (gsize)sent_now;
  return sent_now > 0
         || g_error_matches (error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK);
}

/* Sends TEXT on a new connection. Returns what it receives until the server
   closes the connection or the response headers are complete, to be freed with
   g_free.  */
static char *
exchange_raw (struct fake *fake, const char *text)
{
  g_autoptr (GSocket) socket = connect_client (fake);
  GString *received = g_string_new (NULL);
  char buffer[4096];
  gsize sent = 0;
  gint64 end = g_get_monotonic_time () + WAIT_US;
  while (g_get_monotonic_time () < end
         && strstr (received->str, "\r\n\r\n") == NULL)
    {
      g_autoptr (GError) error = NULL;
      g_main_context_iteration (NULL, FALSE);
      gboolean send_ok = send_remaining (socket, text, &sent);
      gssize n = g_socket_receive (socket, buffer, sizeof buffer, NULL, &error);
      if (n > 0)
        g_string_append_len (received, buffer, n);
      else if (n == 0 || !send_ok
               || !g_error_matches (error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK))
        break;
    }
  CU_ASSERT_TRUE (g_get_monotonic_time () < end);
  return g_string_free (received, FALSE);
}

/* Sends a request of HEAD and N bytes of body. The response must start with
   EXPECTED_START; NULL: the connection must end without a response.  */
static void
expect_raw_response (struct fake *fake, const char *head, gsize n,
                     const char *expected_start)
{
  g_autofree char *body = g_strnfill (n, 'x');
  g_autofree char *text = g_strconcat (head, "Host: a\r\n\r\n", body, NULL);
  g_autofree char *received = exchange_raw (fake, text);
  if (expected_start != NULL)
    CU_ASSERT_TRUE (g_str_has_prefix (received, expected_start));
  if (expected_start == NULL)
    CU_ASSERT_STRING_EQUAL (received, "");
}

#define PUT_CONFIG                                                             \
  "PUT /config HTTP/1.1\r\nAuthorization: Bearer " WRITER_TOKEN "\r\n"
#define PUT_PRESET                                                             \
  "PUT /preset HTTP/1.1\r\nAuthorization: Bearer " WRITER_TOKEN "\r\n"

/* A rejected body is read and discarded up to ADMIN_DISCARD_MAX, and the
   connection is closed above it.  */
static void
test_large_bodies_are_rejected (void)
{
  struct fake fake;
  fake_open (&fake, 0);
  expect_raw_response (&fake, PUT_CONFIG "Content-Length: 1048577\r\n", 1048577,
                       "HTTP/1.1 413 ");
  expect_raw_response (&fake, PUT_PRESET "Content-Length: 4097\r\n", 4097,
                       "HTTP/1.1 413 ");
  expect_raw_response (&fake, PUT_PRESET "Content-Length: 4096\r\n", 4096,
                       "HTTP/1.1 400 ");
  expect_raw_response (&fake, PUT_CONFIG "Content-Length: 100000000\r\n",
                       8000000, NULL);
  expect_raw_response (&fake,
                       "PUT /config HTTP/1.1\r\nContent-Length: 100000000\r\n",
                       8000000, NULL);
  CU_ASSERT_EQUAL (fake.counter_set.v[COUNTER_TOO_LARGE], 3);
  g_autofree char *chunked = exchange_raw (
      &fake, PUT_CONFIG "Host: a\r\nTransfer-Encoding: chunked\r\n\r\n"
                        "3\r\nabc\r\n0\r\n\r\n");
  CU_ASSERT_TRUE (g_str_has_prefix (chunked, "HTTP/1.1 411 "));
  fake_close (&fake);
}

/* A connection without a request and one with an incomplete request line are
   both closed after the idle time.  */
static void
test_idle_connections_are_closed (void)
{
  struct fake fake;
  fake_open (&fake, 300 * CLK_MS);
  g_autofree char *none = exchange_raw (&fake, "");
  CU_ASSERT_STRING_EQUAL (none, "");
  g_autofree char *half = exchange_raw (&fake, "GET /healthz HT");
  CU_ASSERT_PTR_NULL (strstr (half, "200"));
  fake_close (&fake);
}

/* The server is freed while a request waits for its update. The end of the
   update must not use the freed server.  */
static void
test_update_continues_after_free (void)
{
  struct fake fake;
  fake_open (&fake, 0);
  fake.keep_open = TRUE;
  struct response response = { 0 };
  g_autofree char *uri = g_strdup_printf (
      "http://127.0.0.1:%u/preset", admin_server_port (fake.admin_server));
  g_autoptr (SoupMessage) message = soup_message_new ("PUT", uri);
  g_autoptr (GBytes) bytes = g_bytes_new_static ("{\"preset\":\"peak\"}", 17);
  soup_message_headers_append (soup_message_get_request_headers (message),
                               "Authorization", "Bearer " WRITER_TOKEN);
  soup_message_set_request_body_from_bytes (message, "text/plain", bytes);
  soup_session_send_and_read_async (session, message, G_PRIORITY_DEFAULT, NULL,
                                    on_response, &response);
  while (fake.n_updates == 0)
    g_main_context_iteration (NULL, TRUE);
  admin_server_free (g_steal_pointer (&fake.admin_server));
  finish_update (&fake);
  while (!response.ended)
    g_main_context_iteration (NULL, TRUE);
  CU_ASSERT_NOT_EQUAL (soup_message_get_status (message), 200);
  response_clear (&response);
  fake_close (&fake);
}

static void
test_invalid_listen_address (void)
{
  struct admin_server_options o = { .listen = "localhost:1", .self = "a" };
  struct admin_server *admin_server = NULL;
  struct err err = { 0 };
  CU_ASSERT_EQUAL (admin_server_new (&o, &admin_server, &err), ERR_INVALID);
  CU_ASSERT_STRING_EQUAL (err.step, "admin.listen");
  CU_ASSERT_STRING_EQUAL (err.peer, "localhost:1");
  CU_ASSERT_PTR_NULL (admin_server);
}

static CU_TestInfo tests[] = {
  { "health checks and metrics need no token", test_requests_without_token },
  { "tokens give the access of their operator", test_tokens },
  { "lists contain names and no secrets", test_lists },
  { "each outcome of an update has its response", test_update_outcomes },
  { "an invalid configuration is rejected", test_invalid_config_is_rejected },
  { "preset and drain edit the configuration in force",
    test_preset_and_drain_edit_config },
  { "unknown paths and methods", test_unknown_paths },
  { "large bodies are rejected", test_large_bodies_are_rejected },
  { "idle connections are closed", test_idle_connections_are_closed },
  { "an update continues after the server is freed",
    test_update_continues_after_free },
  { "an invalid listen address is an error with step and peer",
    test_invalid_listen_address },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "admin", open_session, close_session, NULL, NULL, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)

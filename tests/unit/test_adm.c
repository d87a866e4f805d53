#include "unit/unit.h"

#include "unit/adm_fake.h"

#include <libsoup/soup.h>

#define WAIT_US (20 * CLK_S) /* gives up on an answer; never reached */

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

struct reply
{
  guint status;
  char *body; /* NUL-terminated */
  char *etag;
  gboolean ended;
};

static void
on_reply (GObject *source, GAsyncResult *result, gpointer data)
{
  struct reply *reply = data;
  g_autoptr (GBytes) bytes
      = soup_session_send_and_read_finish (SOUP_SESSION (source), result, NULL);
  reply->ended = TRUE;
  if (bytes != NULL)
    reply->body
        = g_strndup (g_bytes_get_data (bytes, NULL), g_bytes_get_size (bytes));
}

/* Makes one request and waits for its answer, which reply_clear frees.  */
static struct reply
ask (struct fake *fake, const char *method, const char *path, const char *token,
     const char *if_match, const char *body)
{
  struct reply reply = { 0 };
  g_autofree char *uri
      = g_strdup_printf ("http://127.0.0.1:%u%s", adm_port (fake->adm), path);
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
                                    on_reply, &reply);
  while (!reply.ended)
    g_main_context_iteration (NULL, TRUE);
  reply.status = soup_message_get_status (message);
  reply.etag = g_strdup (soup_message_headers_get_one (
      soup_message_get_response_headers (message), "ETag"));
  if (reply.body == NULL)
    reply.body = g_strdup ("");
  return reply;
}

static void
reply_clear (struct reply *reply)
{
  g_free (reply->body);
  g_free (reply->etag);
}

/* Makes a request of which only STATUS and a PART of the body matter.  */
static void
expect (struct fake *fake, const char *method, const char *path,
        const char *token, const char *body, guint status, const char *part)
{
  struct reply reply = ask (fake, method, path, token, "\"7\"", body);
  CU_ASSERT_EQUAL (reply.status, status);
  CU_ASSERT_PTR_NOT_NULL (strstr (reply.body, part));
  if (reply.status != status || strstr (reply.body, part) == NULL)
    g_print ("%s %s: %u %s\n", method, path, reply.status, reply.body);
  reply_clear (&reply);
}

static void
test_open_requests (void)
{
  struct fake fake;
  fake_open (&fake, 0);
  expect (&fake, "GET", "/healthz", NULL, NULL, 200, "ok");
  expect (&fake, "GET", "/readyz", NULL, NULL, 200, "ready");
  fake.ready = FALSE;
  expect (&fake, "GET", "/readyz", NULL, NULL, 503, "not ready");
  expect (&fake, "GET", "/metrics", NULL, NULL, 200, "admin_requests");
  CU_ASSERT_EQUAL (fake.ctr.v[CTR_ADMIN_REQUESTS], 4);
  fake_close (&fake);
}

static void
test_tokens (void)
{
  struct fake fake;
  char long_token[ADM_TOKEN_MAX + 2];
  memset (long_token, 'x', sizeof long_token - 1);
  long_token[sizeof long_token - 1] = '\0';
  fake_open (&fake, 0);
  expect (&fake, "GET", "/dump", NULL, NULL, 401, "\"bad_token\"");
  expect (&fake, "GET", "/dump", "wrong", NULL, 401, "\"bad_token\"");
  expect (&fake, "GET", "/dump", "", NULL, 401, "\"bad_token\"");
  expect (&fake, "GET", "/dump", long_token, NULL, 401, "\"bad_token\"");
  expect (&fake, "GET", "/dump", WATCH, NULL, 200, "dumped");
  expect (&fake, "PUT", "/config", WATCH, "x", 403, "\"read_only\"");
  CU_ASSERT_EQUAL (fake.ctr.v[CTR_ADMIN_DENIED], 5);
  CU_ASSERT_EQUAL (fake.n_updates, 0);
  cluster_unref (g_steal_pointer (&fake.cfg));
  expect (&fake, "GET", "/dump", WATCH, NULL, 503, "\"no_config\"");
  fake_close (&fake);
}

static void
test_lists (void)
{
  static const char *const paths[]
      = { "/classes",   "/teams",         "/backends", "/presets",
          "/instances", "/config/status", "/stats" };
  static const char *const parts[]
      = { "\"urgent\"",          "\"crew\"",
          "\"kgn-1:account:0\"", "{\"name\":\"ordinary\",\"in_force\":true}",
          "\"kgn-1-a\"",         "\"version\":6",
          "\"admin_requests\"" };
  struct fake fake;
  fake_open (&fake, 0);
  for (guint i = 0; i < G_N_ELEMENTS (paths); i++)
    {
      struct reply reply = ask (&fake, "GET", paths[i], OPS, NULL, NULL);
      CU_ASSERT_EQUAL (reply.status, 200);
      CU_ASSERT_PTR_NOT_NULL (strstr (reply.body, parts[i]));
      CU_ASSERT_PTR_NULL (strstr (reply.body, fake.cfg->teams[0].key_sha256));
      CU_ASSERT_PTR_NULL (strstr (reply.body, OPS));
      reply_clear (&reply);
    }
  struct reply reply = ask (&fake, "GET", "/config", OPS, NULL, NULL);
  g_autofree char *text = example_text ();
  CU_ASSERT_STRING_EQUAL (reply.body, text);
  CU_ASSERT_STRING_EQUAL (reply.etag, "\"7\"");
  reply_clear (&reply);
  fake_close (&fake);
}

static void
test_apply (void)
{
  struct fake fake;
  fake_open (&fake, 0);
  g_autofree char *text = example_text ();
  expect (&fake, "PUT", "/config", OPS, text, 200, "{\"version\":8}");
  CU_ASSERT_EQUAL (fake.expected, 7);
  CU_ASSERT_EQUAL (g_bytes_get_size (fake.body), strlen (text));

  fake.result.outcome = FOLLOWER_CONFLICT;
  fake.result.version = 9;
  expect (&fake, "PUT", "/config", OPS, text, 409, "\"version\":9");
  fake.result.outcome = FOLLOWER_REJECTED;
  err_set (&fake.result.err, ERR_UNAVAILABLE, "config.put", "platform", "x");
  expect (&fake, "PUT", "/config", OPS, text, 503, "\"peer\":\"platform\"");
  fake.result.outcome = FOLLOWER_UNKNOWN;
  expect (&fake, "PUT", "/config", OPS, text, 504, "\"outcome_unknown\"");
  fake.start_code = ERR_LIMIT;
  expect (&fake, "PUT", "/config", OPS, text, 503, "\"config.update\"");

  struct reply reply = ask (&fake, "PUT", "/config", OPS, NULL, text);
  CU_ASSERT_EQUAL (reply.status, 428);
  reply_clear (&reply);
  CU_ASSERT_EQUAL (fake.n_updates, 5);
  fake_close (&fake);
}

static void
test_a_bad_configuration_changes_nothing (void)
{
  struct fake fake;
  fake_open (&fake, 0);
  g_autofree char *text = example_text ();
  g_autofree char *bad
      = g_strconcat (text, "[zone:a]\n[model:b]\nsize=4\n", NULL);
  struct reply reply = ask (&fake, "PUT", "/config", OPS, "\"7\"", bad);
  CU_ASSERT_EQUAL (reply.status, 422);
  CU_ASSERT_PTR_NOT_NULL (strstr (reply.body, "group [zone:a]"));
  CU_ASSERT_PTR_NOT_NULL (strstr (reply.body, "group [model:b], key size"));
  reply_clear (&reply);
  GString *mute = g_string_new (text);
  g_string_replace (mute, "write=yes", "write=no", 0);
  expect (&fake, "PUT", "/config", OPS, mute->str, 422, "nobody may write");
  g_string_free (mute, TRUE);
  CU_ASSERT_EQUAL (fake.n_updates, 0);
  fake_close (&fake);
}

static gboolean
update_has (const struct fake *fake, const char *part)
{
  if (fake->body == NULL)
    return FALSE;
  g_autofree char *text = g_strndup (g_bytes_get_data (fake->body, NULL),
                                     g_bytes_get_size (fake->body));
  return strstr (text, part) != NULL;
}

static void
test_preset_and_drain (void)
{
  struct fake fake;
  fake_open (&fake, 0);
  expect (&fake, "PUT", "/preset", OPS, "{\"preset\":\"peak\"}", 200, "8");
  CU_ASSERT_TRUE (update_has (&fake, "\npreset=peak\n"));
  CU_ASSERT_EQUAL (fake.expected, 7);
  expect (&fake, "PUT", "/backends/kgn-1-engine-1/drain", OPS, "", 200, "8");
  CU_ASSERT_TRUE (update_has (&fake, "\ndrain=yes\n"));
  expect (&fake, "PUT", "/backends/kgn-1-engine-1/undrain", OPS, "", 200, "8");
  CU_ASSERT_TRUE (update_has (&fake, "\ndrain=no\n"));
  CU_ASSERT_EQUAL (fake.n_updates, 3);
  expect (&fake, "PUT", "/preset", OPS, "{\"preset\":\"night\"}", 404,
          "preset:night");
  expect (&fake, "PUT", "/preset", OPS, "{\"preset\":3}", 400, "expected");
  expect (&fake, "PUT", "/preset", OPS, "nonsense", 400, "expected");
  expect (&fake, "PUT", "/backends/none/drain", OPS, "", 404, "backend:none");
  struct reply reply
      = ask (&fake, "PUT", "/preset", OPS, "\"8\"", "{\"preset\":\"peak\"}");
  CU_ASSERT_EQUAL (reply.status, 409);
  CU_ASSERT_PTR_NOT_NULL (strstr (reply.body, "\"version\":7"));
  reply_clear (&reply);
  CU_ASSERT_EQUAL (fake.n_updates, 3);
  fake_close (&fake);
}

static void
test_unknown_paths (void)
{
  struct fake fake;
  fake_open (&fake, 0);
  expect (&fake, "GET", "/none", OPS, NULL, 404, "\"unknown_path\"");
  expect (&fake, "GET", "/backends//drain", OPS, NULL, 404, "unknown_path");
  expect (&fake, "DELETE", "/config", OPS, NULL, 405, "\"wrong_method\"");
  expect (&fake, "GET", "/preset", OPS, NULL, 405, "\"wrong_method\"");
  fake_close (&fake);
}

static GSocket *
dial (struct fake *fake)
{
  GSocket *socket = g_socket_new (G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
                                  G_SOCKET_PROTOCOL_TCP, NULL);
  g_autoptr (GSocketAddress) to = g_inet_socket_address_new_from_string (
      "127.0.0.1", adm_port (fake->adm));
  CU_ASSERT_TRUE (g_socket_connect (socket, to, NULL, NULL));
  g_socket_set_blocking (socket, FALSE);
  return socket;
}

/* Sends what is left of TEXT. Returns FALSE once the connection is broken.  */
static gboolean
send_rest (GSocket *socket, const char *text, gsize *sent)
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

/* Sends TEXT on a connection of its own and returns what comes back until the
   other side closes or the head of an answer has come; g_free.  */
static char *
raw (struct fake *fake, const char *text)
{
  g_autoptr (GSocket) socket = dial (fake);
  GString *got = g_string_new (NULL);
  char buffer[4096];
  gsize sent = 0;
  gint64 end = g_get_monotonic_time () + WAIT_US;
  while (g_get_monotonic_time () < end && strstr (got->str, "\r\n\r\n") == NULL)
    {
      g_autoptr (GError) error = NULL;
      g_main_context_iteration (NULL, FALSE);
      gboolean whole = send_rest (socket, text, &sent);
      gssize n = g_socket_receive (socket, buffer, sizeof buffer, NULL, &error);
      if (n > 0)
        g_string_append_len (got, buffer, n);
      else if (n == 0 || !whole
               || !g_error_matches (error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK))
        break;
    }
  CU_ASSERT_TRUE (g_get_monotonic_time () < end);
  return g_string_free (got, FALSE);
}

/* Makes a request of HEAD and N bytes of body. Its answer starts with WANTED;
   NULL: the connection ends without one.  */
static void
expect_raw (struct fake *fake, const char *head, gsize n, const char *wanted)
{
  g_autofree char *body = g_strnfill (n, 'x');
  g_autofree char *text = g_strconcat (head, "Host: a\r\n\r\n", body, NULL);
  g_autofree char *got = raw (fake, text);
  if (wanted != NULL)
    CU_ASSERT_TRUE (g_str_has_prefix (got, wanted));
  if (wanted == NULL)
    CU_ASSERT_STRING_EQUAL (got, "");
}

#define PUT_CONFIG "PUT /config HTTP/1.1\r\nAuthorization: Bearer " OPS "\r\n"
#define PUT_PRESET "PUT /preset HTTP/1.1\r\nAuthorization: Bearer " OPS "\r\n"

static void
test_large_bodies_are_refused (void)
{
  struct fake fake;
  fake_open (&fake, 0);
  expect_raw (&fake, PUT_CONFIG "Content-Length: 1048577\r\n", 1048577,
              "HTTP/1.1 413 ");
  expect_raw (&fake, PUT_PRESET "Content-Length: 4097\r\n", 4097,
              "HTTP/1.1 413 ");
  expect_raw (&fake, PUT_PRESET "Content-Length: 4096\r\n", 4096,
              "HTTP/1.1 400 ");
  expect_raw (&fake, PUT_CONFIG "Content-Length: 100000000\r\n", 8000000, NULL);
  expect_raw (&fake, "PUT /config HTTP/1.1\r\nContent-Length: 100000000\r\n",
              8000000, NULL);
  CU_ASSERT_EQUAL (fake.ctr.v[CTR_TOO_LARGE], 3);
  g_autofree char *chunked
      = raw (&fake, PUT_CONFIG "Host: a\r\nTransfer-Encoding: chunked\r\n\r\n"
                               "3\r\nabc\r\n0\r\n\r\n");
  CU_ASSERT_TRUE (g_str_has_prefix (chunked, "HTTP/1.1 411 "));
  fake_close (&fake);
}

static void
test_silent_connections_are_closed (void)
{
  struct fake fake;
  fake_open (&fake, 300 * CLK_MS);
  g_autofree char *none = raw (&fake, "");
  CU_ASSERT_STRING_EQUAL (none, "");
  g_autofree char *half = raw (&fake, "GET /healthz HT");
  CU_ASSERT_PTR_NULL (strstr (half, "200"));
  fake_close (&fake);
}

static void
test_an_update_outlives_the_listener (void)
{
  struct fake fake;
  fake_open (&fake, 0);
  fake.hold = TRUE;
  struct reply reply = { 0 };
  g_autofree char *uri
      = g_strdup_printf ("http://127.0.0.1:%u/preset", adm_port (fake.adm));
  g_autoptr (SoupMessage) message = soup_message_new ("PUT", uri);
  g_autoptr (GBytes) bytes = g_bytes_new_static ("{\"preset\":\"peak\"}", 17);
  soup_message_headers_append (soup_message_get_request_headers (message),
                               "Authorization", "Bearer " OPS);
  soup_message_set_request_body_from_bytes (message, "text/plain", bytes);
  soup_session_send_and_read_async (session, message, G_PRIORITY_DEFAULT, NULL,
                                    on_reply, &reply);
  while (fake.n_updates == 0)
    g_main_context_iteration (NULL, TRUE);
  adm_free (g_steal_pointer (&fake.adm));
  end_update (&fake);
  while (!reply.ended)
    g_main_context_iteration (NULL, TRUE);
  CU_ASSERT_NOT_EQUAL (soup_message_get_status (message), 200);
  reply_clear (&reply);
  fake_close (&fake);
}

static void
test_bad_listen_address (void)
{
  struct adm_options o = { .listen = "localhost:1", .self = "a" };
  struct adm *adm = NULL;
  struct err err = { 0 };
  CU_ASSERT_EQUAL (adm_new (&o, &adm, &err), ERR_INVALID);
  CU_ASSERT_STRING_EQUAL (err.step, "admin.listen");
  CU_ASSERT_STRING_EQUAL (err.peer, "localhost:1");
  CU_ASSERT_PTR_NULL (adm);
}

static CU_TestInfo tests[] = {
  { "open requests need no token", test_open_requests },
  { "tokens open what their operator may do", test_tokens },
  { "lists hold names and no secrets", test_lists },
  { "an update's outcome is told as it is", test_apply },
  { "a bad configuration changes nothing",
    test_a_bad_configuration_changes_nothing },
  { "presets and drains edit the text in force", test_preset_and_drain },
  { "unknown paths and methods", test_unknown_paths },
  { "large bodies are refused", test_large_bodies_are_refused },
  { "silent connections are closed", test_silent_connections_are_closed },
  { "an update outlives the listener", test_an_update_outlives_the_listener },
  { "a bad address is an error with step and peer", test_bad_listen_address },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "adm", open_session, close_session, NULL, NULL, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)

/* The client of the product's own objects against a small store in this
   process.  */
#include "unit/unit.h"

#include "platform/pob.h"

#include <libsoup/soup.h>
#include <string.h>

#define LONG_US (30 * CLK_S)   /* a limit that no test reaches */
#define SHORT_US (50 * CLK_MS) /* a limit that a silent platform overruns */

/* What the platform does with the next requests. */
enum mode
{
  SERVE,
  SILENT,   /* never answers */
  HANG_UP,  /* takes effect, then closes the connection */
  REDIRECT, /* to the same path */
  STATUS,   /* answers with fake.status */
  GONE      /* the history of watches is gone, objects are there */
};

struct fake
{
  SoupServer *server;
  char address[32];
  enum mode mode;
  guint status;
  guint requests;
  guint64 version; /* of the one object; 0: not there */
  char value[64];
  char first_query[128]; /* that is not empty */
  char last_query[128];
  char last_auth[64];
  SoupServerMessage *held; /* a request without an answer */
};

struct seen
{
  guint answers;
  int code;
  guint64 version;
  gint64 retry_after_us;
  char body[64];
};

static struct fake fake;
static struct counter_set counter_set;

static void
send_object (SoupServerMessage *msg, guint status)
{
  char *text = g_strdup_printf ("{\"metadata\":{\"name\":\"ledger.07.head\","
                                "\"revision\":%" G_GUINT64_FORMAT
                                "},\"spec\":{\"text\":\"%s\"}}",
                                fake.version, fake.value);
  soup_server_message_set_response (msg, "application/json", SOUP_MEMORY_COPY,
                                    text, strlen (text));
  soup_server_message_set_status (msg, status, NULL);
  g_free (text);
}

static void
send_text (SoupServerMessage *msg, guint status, const char *text)
{
  soup_server_message_set_response (msg, "application/json", SOUP_MEMORY_COPY,
                                    text, strlen (text));
  soup_server_message_set_status (msg, status, NULL);
}

/* A POST creates; a PUT needs the revision.  */
static void
serve_write (SoupServerMessage *msg, gboolean creates)
{
  SoupMessageBody *body = soup_server_message_get_request_body (msg);
  char *text = g_strndup (body->data, (gsize)body->length);
  JsonNode *root = json_from_string (text, NULL);
  JsonObject *object = json_node_get_object (root);
  JsonObject *metadata = json_object_get_object_member (object, "metadata");
  CU_ASSERT_STRING_EQUAL (json_object_get_string_member (metadata, "name"),
                          "ledger.07.head");
  gboolean ok = creates
                    ? fake.version == 0
                    : (guint64)json_object_get_int_member (metadata, "revision")
                          == fake.version;
  if (ok)
    {
      fake.version += 5;
      g_strlcpy (fake.value,
                 json_object_get_string_member (
                     json_object_get_object_member (object, "spec"), "text"),
                 sizeof fake.value);
    }
  send_object (msg, ok ? 200 : 409);
  json_node_unref (root);
  g_free (text);
}

static void
serve (SoupServerMessage *msg)
{
  const char *method = soup_server_message_get_method (msg);
  if (strcmp (method, "GET") != 0)
    serve_write (msg, strcmp (method, "POST") == 0);
  else if (strstr (fake.last_query, "watch="))
    send_text (msg, 200, "{\"events\":[],\"at\":7}");
  else if (fake.version)
    send_object (msg, 200);
  else
    send_text (msg, 404, "{}");
}

static void
on_request (SoupServer *server, SoupServerMessage *msg, const char *path,
            GHashTable *query, gpointer data)
{
  (void)server;
  (void)query;
  (void)data;
  SoupMessageHeaders *out = soup_server_message_get_response_headers (msg);
  const char *auth = soup_message_headers_get_one (
      soup_server_message_get_request_headers (msg), "Authorization");
  const char *text = g_uri_get_query (soup_server_message_get_uri (msg));
  fake.requests++;
  g_strlcpy (fake.last_query, text ? text : "", sizeof fake.last_query);
  if (fake.first_query[0] == '\0')
    g_strlcpy (fake.first_query, fake.last_query, sizeof fake.first_query);
  g_strlcpy (fake.last_auth, auth ? auth : "", sizeof fake.last_auth);
  switch (fake.mode)
    {
    case SERVE:
      serve (msg);
      break;
    case SILENT:
      fake.held = g_object_ref (msg);
      soup_server_message_pause (msg);
      break;
    case HANG_UP:
      serve (msg);
      g_socket_close (soup_server_message_get_socket (msg), NULL);
      break;
    case GONE:
      if (strstr (fake.last_query, "watch="))
        send_text (msg, 410, "{}");
      else
        serve (msg);
      break;
    case REDIRECT:
      soup_server_message_set_redirect (msg, 307, path);
      break;
    case STATUS:
      soup_message_headers_replace (out, "Retry-After", "3");
      soup_message_headers_replace (out, "WWW-Authenticate",
                                    "Basic realm=\"x\"");
      soup_server_message_set_status (msg, fake.status, NULL);
      break;
    }
}

static void
fake_start (void)
{
  memset (&fake, 0, sizeof fake);
  memset (&counter_set, 0, sizeof counter_set);
  fake.server = soup_server_new (NULL, NULL);
  soup_server_add_handler (fake.server, "/-/objects/jacinthward", on_request,
                           NULL, NULL);
  soup_server_listen_local (fake.server, 0, SOUP_SERVER_LISTEN_IPV4_ONLY, NULL);
  GSList *uris = soup_server_get_uris (fake.server);
  g_snprintf (fake.address, sizeof fake.address, "127.0.0.1:%d",
              g_uri_get_port (uris->data));
  g_slist_free_full (uris, (GDestroyNotify)g_uri_unref);
}

/* Lets everything that is due run, cancelled calls too. */
static void
drain (void)
{
  for (guint i = 0; i < 200; i++)
    g_main_context_iteration (NULL, FALSE);
}

static void
fake_stop (void)
{
  g_clear_object (&fake.held);
  soup_server_disconnect (fake.server);
  g_clear_object (&fake.server);
  drain ();
}

static struct pob *
client_new (void)
{
  return pob_new (&(struct pob_options){
      .address = fake.address, .token = "t0", .counter_set = &counter_set });
}

static void
on_done (void *ctx, const struct sto_answer *answer)
{
  struct seen *seen = ctx;
  gsize n = 0;
  const char *p = answer->body ? g_bytes_get_data (answer->body, &n) : NULL;
  seen->answers++;
  seen->code = answer->code;
  seen->version = answer->version;
  seen->retry_after_us = answer->retry_after_us;
  g_snprintf (seen->body, sizeof seen->body, "%.*s", (int)n, p ? p : "");
}

static struct sto_call
call_of (enum sto_op op, guint64 expected, gint64 timeout_us)
{
  struct sto_call call
      = { .op = op, .expected = expected, .timeout_us = timeout_us };
  g_strlcpy (call.name, "ledger/07/head", sizeof call.name);
  return call;
}

/* Runs one call to its answer. */
static struct seen
run (struct pob *pob, enum sto_op op, guint64 expected, const char *value,
     gint64 timeout_us)
{
  struct seen seen = { 0 };
  struct sto_call call = call_of (op, expected, timeout_us);
  if (value)
    call.body = g_bytes_new (value, strlen (value));
  pob_start (pob, &call, on_done, &seen);
  if (call.body)
    g_bytes_unref (call.body);
  CU_ASSERT_EQUAL (seen.answers, 0);
  while (seen.answers == 0)
    g_main_context_iteration (NULL, TRUE);
  drain ();
  CU_ASSERT_EQUAL (seen.answers, 1);
  return seen;
}

static void
test_get_and_put (void)
{
  fake_start ();
  struct pob *pob = client_new ();
  struct seen seen = run (pob, STO_GET, 0, NULL, LONG_US);
  CU_ASSERT_EQUAL (seen.code, ERR_NOT_FOUND);
  seen = run (pob, STO_PUT, 0, "one", LONG_US);
  CU_ASSERT_EQUAL (seen.code, 0);
  CU_ASSERT_EQUAL (seen.version, 5);
  seen = run (pob, STO_PUT, 0, "two", LONG_US);
  CU_ASSERT_EQUAL (seen.code, ERR_CONFLICT);
  CU_ASSERT_EQUAL (seen.version, 5);
  seen = run (pob, STO_PUT, 5, "three", LONG_US);
  CU_ASSERT_EQUAL (seen.version, 10);
  seen = run (pob, STO_GET, 0, NULL, LONG_US);
  CU_ASSERT_EQUAL (seen.code, 0);
  CU_ASSERT_EQUAL (seen.version, 10);
  CU_ASSERT_STRING_EQUAL (seen.body, "three");
  CU_ASSERT_STRING_EQUAL (fake.last_auth, "Bearer t0");
  CU_ASSERT_EQUAL (counter_set.v[COUNTER_PLATFORM_READS], 2);
  CU_ASSERT_EQUAL (counter_set.v[COUNTER_PLATFORM_WRITES], 3);
  CU_ASSERT_EQUAL (counter_set.v[COUNTER_PLATFORM_ERRORS], 0);
  pob_free (pob);
  fake_stop ();
}

static void
test_watch (void)
{
  fake_start ();
  struct pob *pob = client_new ();
  struct seen seen = run (pob, STO_WATCH, 7, NULL, 2500 * CLK_MS);
  CU_ASSERT_EQUAL (seen.code, ERR_TIMEOUT);
  CU_ASSERT_TRUE (g_str_has_prefix (fake.first_query, "watch=7&wait_ms="));
  int wait = atoi (fake.first_query + strlen ("watch=7&wait_ms="));
  CU_ASSERT_TRUE (wait > 2400 && wait <= 2500);
  /* This store does not wait; it is not asked as fast as it answers. */
  CU_ASSERT_TRUE (fake.requests <= 3);
  CU_ASSERT_EQUAL (counter_set.v[COUNTER_PLATFORM_WATCHES], 1);
  CU_ASSERT_EQUAL (counter_set.v[COUNTER_PLATFORM_ERRORS], 0);
  pob_free (pob);
  fake_stop ();
}

/* Without its history the store still has the object, which is read instead. */
static void
test_watch_without_history (void)
{
  fake_start ();
  struct pob *pob = client_new ();
  (void)run (pob, STO_PUT, 0, "one", LONG_US);
  fake.mode = GONE;
  struct seen seen = run (pob, STO_WATCH, 3, NULL, 2500 * CLK_MS);
  CU_ASSERT_EQUAL (seen.code, 0);
  CU_ASSERT_EQUAL (seen.version, 5);
  CU_ASSERT_STRING_EQUAL (seen.body, "one");
  seen = run (pob, STO_WATCH, 5, NULL, 300 * CLK_MS);
  CU_ASSERT_EQUAL (seen.code, ERR_TIMEOUT);
  pob_free (pob);
  fake_stop ();
}

static void
test_status_codes (void)
{
  static const struct
  {
    guint status;
    int code;
  } rows[]
      = { { 429, ERR_LIMIT },   { 503, ERR_UNAVAILABLE }, { 401, ERR_AUTH },
          { 400, ERR_INVALID }, { 413, ERR_TOO_LARGE },   { 500, ERR_IO },
          { 504, ERR_IO },      { 204, ERR_IO },          { 200, ERR_IO } };
  fake_start ();
  struct pob *pob = client_new ();
  fake.mode = STATUS;
  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      fake.status = rows[i].status;
      struct seen seen = run (pob, STO_PUT, 3, "x", LONG_US);
      CU_ASSERT_EQUAL (seen.code, rows[i].code);
      CU_ASSERT_EQUAL (seen.retry_after_us, 3 * CLK_S);
      CU_ASSERT_EQUAL (fake.requests, i + 1);
    }
  CU_ASSERT_EQUAL (counter_set.v[COUNTER_PLATFORM_ERRORS], G_N_ELEMENTS (rows));
  pob_free (pob);
  fake_stop ();
}

static void
test_lost_answers (void)
{
  fake_start ();
  struct pob *pob = client_new ();
  (void)run (pob, STO_GET, 0, NULL, LONG_US); /* leaves a kept connection */
  fake.mode = HANG_UP;
  fake.requests = 0;
  struct seen seen = run (pob, STO_PUT, 0, "one", LONG_US);
  CU_ASSERT_EQUAL (seen.code, ERR_IO);
  CU_ASSERT_EQUAL (fake.requests, 1);
  CU_ASSERT_EQUAL (fake.version, 5);
  fake.mode = SILENT;
  seen = run (pob, STO_PUT, 5, "two", SHORT_US);
  CU_ASSERT_EQUAL (seen.code, ERR_TIMEOUT);
  pob_free (pob);
  fake_stop ();
}

static void
test_follows_no_redirect (void)
{
  fake_start ();
  struct pob *pob = client_new ();
  fake.mode = REDIRECT;
  struct seen seen = run (pob, STO_GET, 0, NULL, LONG_US);
  CU_ASSERT_EQUAL (seen.code, ERR_IO);
  CU_ASSERT_EQUAL (fake.requests, 1);
  pob_free (pob);
  fake_stop ();
}

static void
test_refused_connection (void)
{
  fake_start ();
  struct pob *pob = client_new ();
  fake_stop ();
  struct seen seen = run (pob, STO_PUT, 0, "one", LONG_US);
  CU_ASSERT_EQUAL (seen.code, ERR_UNAVAILABLE);
  pob_free (pob);
  drain ();
}

static void
test_invalid_calls (void)
{
  fake_start ();
  struct pob *pob = client_new ();
  CU_ASSERT_EQUAL (run (pob, STO_PUT, 0, NULL, LONG_US).code, ERR_INVALID);
  char *big = g_strnfill (STO_OBJECT_MAX + 1, 'x');
  CU_ASSERT_EQUAL (run (pob, STO_PUT, 0, big, LONG_US).code, ERR_TOO_LARGE);
  g_free (big);
  CU_ASSERT_EQUAL (fake.requests, 0);
  pob_free (pob);
  fake_stop ();
}

static void
test_no_answer_after_free (void)
{
  fake_start ();
  struct pob *pob = client_new ();
  struct seen seen = { 0 };
  struct sto_call call = call_of (STO_GET, 0, SHORT_US);
  fake.mode = SILENT;
  pob_start (pob, &call, on_done, &seen);
  while (fake.requests == 0)
    g_main_context_iteration (NULL, TRUE);
  call.name[0] = '\0';
  pob_start (pob, &call, on_done, &seen);
  pob_free (pob);
  drain ();
  CU_ASSERT_EQUAL (seen.answers, 0);
  fake_stop ();
}

static CU_TestInfo tests[] = {
  { "reads and conditional writes", test_get_and_put },
  { "a watch without news", test_watch },
  { "a watch without history", test_watch_without_history },
  { "statuses become codes, sent once", test_status_codes },
  { "a write's lost answer is open", test_lost_answers },
  { "redirects are not followed", test_follows_no_redirect },
  { "a refused connection changed nothing", test_refused_connection },
  { "invalid calls are not sent", test_invalid_calls },
  { "no answer after free", test_no_answer_after_free },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "pob", NULL, NULL, NULL, NULL, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)

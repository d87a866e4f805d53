/* Tests of the object client against a small object store in this process.  */
#include "unit/unit.h"

#include "platform/object_client.h"

#include <libsoup/soup.h>
#include <string.h>

#define LONG_US (30 * CLK_S) /* a limit that no test reaches */
#define SHORT_US                                                               \
  (50 * CLK_MS) /* a limit that expires when the store does not respond */

/* How the store handles the next requests. */
enum store_mode
{
  MODE_SERVE,
  MODE_SILENT,      /* never responds */
  MODE_HANG_UP,     /* handles the request, then closes the connection without a
                       response */
  MODE_REDIRECT,    /* to the same path */
  MODE_STATUS,      /* responds with fake_store.status */
  MODE_HISTORY_LOST /* watches fail because the history was discarded; reads
                       work */
};

struct fake_store
{
  SoupServer *server;
  char address[32];
  enum store_mode mode;
  guint status;
  gboolean lists; /* reads are of the list of all objects */
  guint requests;
  guint64 version; /* of the only object; 0: it does not exist */
  char value[64];
  char first_query[128]; /* the first query that is not empty */
  char last_query[128];
  char last_auth[64];
  SoupServerMessage *unanswered; /* a request that gets no response */
};

struct outcome
{
  guint completions;
  int code;
  guint64 version;
  gint64 retry_after_us;
  char body[64];
  guint listed;
  char names[64]; /* of the listed objects, joined */
};

static struct fake_store fake_store;
static struct counter_set counter_set;

static void
send_object (SoupServerMessage *msg, guint status)
{
  char *text = g_strdup_printf ("{\"metadata\":{\"name\":\"ledger.07.head\","
                                "\"revision\":%" G_GUINT64_FORMAT
                                "},\"spec\":{\"text\":\"%s\"}}",
                                fake_store.version, fake_store.value);
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

/* Handles a POST, which creates the object, or a PUT, which needs its current
   revision.  */
static void
handle_write (SoupServerMessage *msg, gboolean creates)
{
  SoupMessageBody *body = soup_server_message_get_request_body (msg);
  char *text = g_strndup (body->data, (gsize)body->length);
  JsonNode *root = json_from_string (text, NULL);
  JsonObject *object = json_node_get_object (root);
  JsonObject *metadata = json_object_get_object_member (object, "metadata");
  CU_ASSERT_STRING_EQUAL (json_object_get_string_member (metadata, "name"),
                          "ledger.07.head");
  gboolean ok = creates
                    ? fake_store.version == 0
                    : (guint64)json_object_get_int_member (metadata, "revision")
                          == fake_store.version;
  if (ok)
    {
      fake_store.version += 5;
      g_strlcpy (fake_store.value,
                 json_object_get_string_member (
                     json_object_get_object_member (object, "spec"), "text"),
                 sizeof fake_store.value);
    }
  send_object (msg, ok ? 200 : 409);
  json_node_unref (root);
  g_free (text);
}

/* Sends the first page of a list, or the last one after object "b".  */
static void
send_page (SoupServerMessage *msg)
{
  gboolean is_last = strstr (fake_store.last_query, "after_rev=b") != NULL;
  send_text (msg, 200,
             is_last ? "{\"items\":[{\"metadata\":{\"name\":\"c\","
                       "\"revision\":9},\"spec\":{\"text\":\"3\"}}],"
                       "\"has_more\":false,\"at\":9}"
                     : "{\"items\":[{\"metadata\":{\"name\":\"a\","
                       "\"revision\":2},\"spec\":{\"text\":\"1\"}},"
                       "{\"metadata\":{\"name\":\"x\"},\"spec\":null},17,"
                       "{\"metadata\":{\"name\":\"b\",\"revision\":4},"
                       "\"spec\":{\"base64\":\"Mg==\"}}],"
                       "\"has_more\":true,\"at\":9}");
}

static void
handle_request (SoupServerMessage *msg)
{
  const char *method = soup_server_message_get_method (msg);
  if (strcmp (method, "GET") != 0)
    handle_write (msg, strcmp (method, "POST") == 0);
  else if (strstr (fake_store.last_query, "watch="))
    send_text (msg, 200, "{\"events\":[],\"at\":7}");
  else if (fake_store.lists)
    send_page (msg);
  else if (fake_store.version)
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
  fake_store.requests++;
  g_strlcpy (fake_store.last_query, text ? text : "",
             sizeof fake_store.last_query);
  if (fake_store.first_query[0] == '\0')
    g_strlcpy (fake_store.first_query, fake_store.last_query,
               sizeof fake_store.first_query);
  g_strlcpy (fake_store.last_auth, auth ? auth : "",
             sizeof fake_store.last_auth);
  switch (fake_store.mode)
    {
    case MODE_SERVE:
      handle_request (msg);
      break;
    case MODE_SILENT:
      fake_store.unanswered = g_object_ref (msg);
      soup_server_message_pause (msg);
      break;
    case MODE_HANG_UP:
      handle_request (msg);
      g_socket_close (soup_server_message_get_socket (msg), NULL);
      break;
    case MODE_HISTORY_LOST:
      if (strstr (fake_store.last_query, "watch="))
        send_text (msg, 410, "{}");
      else
        handle_request (msg);
      break;
    case MODE_REDIRECT:
      soup_server_message_set_redirect (msg, 307, path);
      break;
    case MODE_STATUS:
      soup_message_headers_replace (out, "Retry-After", "3");
      soup_message_headers_replace (out, "WWW-Authenticate",
                                    "Basic realm=\"x\"");
      soup_server_message_set_status (msg, fake_store.status, NULL);
      break;
    }
}

static void
start_fake_store (void)
{
  memset (&fake_store, 0, sizeof fake_store);
  memset (&counter_set, 0, sizeof counter_set);
  fake_store.server = soup_server_new (NULL, NULL);
  soup_server_add_handler (fake_store.server, "/-/objects/jacinthward",
                           on_request, NULL, NULL);
  soup_server_listen_local (fake_store.server, 0, SOUP_SERVER_LISTEN_IPV4_ONLY,
                            NULL);
  GSList *uris = soup_server_get_uris (fake_store.server);
  g_snprintf (fake_store.address, sizeof fake_store.address, "127.0.0.1:%d",
              g_uri_get_port (uris->data));
  g_slist_free_full (uris, (GDestroyNotify)g_uri_unref);
}

/* Runs all events that are due, including those of cancelled calls. */
static void
run_pending_events (void)
{
  for (guint i = 0; i < 200; i++)
    g_main_context_iteration (NULL, FALSE);
}

static void
stop_fake_store (void)
{
  g_clear_object (&fake_store.unanswered);
  soup_server_disconnect (fake_store.server);
  g_clear_object (&fake_store.server);
  run_pending_events ();
}

static struct object_client *
new_client (void)
{
  return object_client_new (
      &(struct object_client_options){ .address = fake_store.address,
                                       .token = "t0",
                                       .counter_set = &counter_set });
}

static void
on_done (void *ctx, const struct storage_response *response)
{
  struct outcome *outcome = ctx;
  gsize n = 0;
  const char *p = response->body ? g_bytes_get_data (response->body, &n) : NULL;
  outcome->completions++;
  outcome->listed = response->n_objects;
  for (guint i = 0; i < response->n_objects; i++)
    g_strlcat (outcome->names, response->objects[i].name,
               sizeof outcome->names);
  outcome->code = response->code;
  outcome->version = response->version;
  outcome->retry_after_us = response->retry_after_us;
  g_snprintf (outcome->body, sizeof outcome->body, "%.*s", (int)n, p ? p : "");
}

static struct storage_request
call_of (enum storage_op op, guint64 expected, gint64 timeout_us)
{
  struct storage_request call
      = { .op = op, .expected = expected, .timeout_us = timeout_us };
  g_strlcpy (call.name, "ledger/07/head", sizeof call.name);
  return call;
}

/* Runs one call to completion. */
static struct outcome
run (struct object_client *client, enum storage_op op, guint64 expected,
     const char *value, gint64 timeout_us)
{
  struct outcome outcome = { 0 };
  struct storage_request call = call_of (op, expected, timeout_us);
  if (value)
    call.body = g_bytes_new (value, strlen (value));
  object_client_start (client, &call, on_done, &outcome);
  if (call.body)
    g_bytes_unref (call.body);
  CU_ASSERT_EQUAL (outcome.completions, 0);
  while (outcome.completions == 0)
    g_main_context_iteration (NULL, TRUE);
  run_pending_events ();
  CU_ASSERT_EQUAL (outcome.completions, 1);
  return outcome;
}

static void
test_get_and_put (void)
{
  start_fake_store ();
  struct object_client *client = new_client ();
  struct outcome outcome = run (client, STORAGE_GET, 0, NULL, LONG_US);
  CU_ASSERT_EQUAL (outcome.code, ERR_NOT_FOUND);
  outcome = run (client, STORAGE_PUT, 0, "one", LONG_US);
  CU_ASSERT_EQUAL (outcome.code, 0);
  CU_ASSERT_EQUAL (outcome.version, 5);
  outcome = run (client, STORAGE_PUT, 0, "two", LONG_US);
  CU_ASSERT_EQUAL (outcome.code, ERR_CONFLICT);
  CU_ASSERT_EQUAL (outcome.version, 5);
  outcome = run (client, STORAGE_PUT, 5, "three", LONG_US);
  CU_ASSERT_EQUAL (outcome.version, 10);
  outcome = run (client, STORAGE_GET, 0, NULL, LONG_US);
  CU_ASSERT_EQUAL (outcome.code, 0);
  CU_ASSERT_EQUAL (outcome.version, 10);
  CU_ASSERT_STRING_EQUAL (outcome.body, "three");
  CU_ASSERT_STRING_EQUAL (fake_store.last_auth, "Bearer t0");
  CU_ASSERT_EQUAL (counter_set.v[COUNTER_PLATFORM_READS], 2);
  CU_ASSERT_EQUAL (counter_set.v[COUNTER_PLATFORM_WRITES], 3);
  CU_ASSERT_EQUAL (counter_set.v[COUNTER_PLATFORM_ERRORS], 0);
  object_client_free (client);
  stop_fake_store ();
}

static void
test_watch (void)
{
  start_fake_store ();
  struct object_client *client = new_client ();
  struct outcome outcome = run (client, STORAGE_WATCH, 7, NULL, 2500 * CLK_MS);
  CU_ASSERT_EQUAL (outcome.code, ERR_TIMEOUT);
  CU_ASSERT_TRUE (
      g_str_has_prefix (fake_store.first_query, "watch=7&wait_ms="));
  int wait = atoi (fake_store.first_query + strlen ("watch=7&wait_ms="));
  CU_ASSERT_TRUE (wait > 2400 && wait <= 2500);
  /* This store responds to watches at once; the client must not send requests
     as fast as it gets responses. */
  CU_ASSERT_TRUE (fake_store.requests <= 3);
  CU_ASSERT_EQUAL (counter_set.v[COUNTER_PLATFORM_WATCHES], 1);
  CU_ASSERT_EQUAL (counter_set.v[COUNTER_PLATFORM_ERRORS], 0);
  object_client_free (client);
  stop_fake_store ();
}

/* When the store has discarded the history, the client reads the object instead
   of watching it. */
static void
test_watch_without_history (void)
{
  start_fake_store ();
  struct object_client *client = new_client ();
  (void)run (client, STORAGE_PUT, 0, "one", LONG_US);
  fake_store.mode = MODE_HISTORY_LOST;
  struct outcome outcome = run (client, STORAGE_WATCH, 3, NULL, 2500 * CLK_MS);
  CU_ASSERT_EQUAL (outcome.code, 0);
  CU_ASSERT_EQUAL (outcome.version, 5);
  CU_ASSERT_STRING_EQUAL (outcome.body, "one");
  outcome = run (client, STORAGE_WATCH, 5, NULL, 300 * CLK_MS);
  CU_ASSERT_EQUAL (outcome.code, ERR_TIMEOUT);
  object_client_free (client);
  stop_fake_store ();
}

/* A store that answers 410 to reads too must not get requests as fast as it
   answers.  */
static void
test_watch_gone_for_good (void)
{
  start_fake_store ();
  struct object_client *client = new_client ();
  fake_store.mode = MODE_STATUS;
  fake_store.status = 410;
  struct outcome outcome = run (client, STORAGE_WATCH, 3, NULL, 1500 * CLK_MS);
  CU_ASSERT_EQUAL (outcome.code, ERR_TIMEOUT);
  CU_ASSERT_TRUE (fake_store.requests <= 4);
  object_client_free (client);
  stop_fake_store ();
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
  start_fake_store ();
  struct object_client *client = new_client ();
  fake_store.mode = MODE_STATUS;
  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      fake_store.status = rows[i].status;
      struct outcome outcome = run (client, STORAGE_PUT, 3, "x", LONG_US);
      CU_ASSERT_EQUAL (outcome.code, rows[i].code);
      CU_ASSERT_EQUAL (outcome.retry_after_us, 3 * CLK_S);
      CU_ASSERT_EQUAL (fake_store.requests, i + 1);
    }
  CU_ASSERT_EQUAL (counter_set.v[COUNTER_PLATFORM_ERRORS], G_N_ELEMENTS (rows));
  object_client_free (client);
  stop_fake_store ();
}

static void
test_lost_responses (void)
{
  start_fake_store ();
  struct object_client *client = new_client ();
  (void)run (client, STORAGE_GET, 0, NULL,
             LONG_US); /* leaves an idle connection */
  fake_store.mode = MODE_HANG_UP;
  fake_store.requests = 0;
  struct outcome outcome = run (client, STORAGE_PUT, 0, "one", LONG_US);
  CU_ASSERT_EQUAL (outcome.code, ERR_IO);
  CU_ASSERT_EQUAL (fake_store.requests, 1);
  CU_ASSERT_EQUAL (fake_store.version, 5);
  fake_store.mode = MODE_SILENT;
  outcome = run (client, STORAGE_PUT, 5, "two", SHORT_US);
  CU_ASSERT_EQUAL (outcome.code, ERR_TIMEOUT);
  object_client_free (client);
  stop_fake_store ();
}

static void
test_follows_no_redirect (void)
{
  start_fake_store ();
  struct object_client *client = new_client ();
  fake_store.mode = MODE_REDIRECT;
  struct outcome outcome = run (client, STORAGE_GET, 0, NULL, LONG_US);
  CU_ASSERT_EQUAL (outcome.code, ERR_IO);
  CU_ASSERT_EQUAL (fake_store.requests, 1);
  object_client_free (client);
  stop_fake_store ();
}

static void
test_refused_connection (void)
{
  start_fake_store ();
  struct object_client *client = new_client ();
  stop_fake_store ();
  struct outcome outcome = run (client, STORAGE_PUT, 0, "one", LONG_US);
  CU_ASSERT_EQUAL (outcome.code, ERR_UNAVAILABLE);
  object_client_free (client);
  run_pending_events ();
}

static void
test_invalid_calls (void)
{
  start_fake_store ();
  struct object_client *client = new_client ();
  CU_ASSERT_EQUAL (run (client, STORAGE_PUT, 0, NULL, LONG_US).code,
                   ERR_INVALID);
  char *big = g_strnfill (STORAGE_OBJECT_MAX + 1, 'x');
  CU_ASSERT_EQUAL (run (client, STORAGE_PUT, 0, big, LONG_US).code,
                   ERR_TOO_LARGE);
  g_free (big);
  CU_ASSERT_EQUAL (fake_store.requests, 0);
  object_client_free (client);
  stop_fake_store ();
}

static void
test_no_completion_after_free (void)
{
  start_fake_store ();
  struct object_client *client = new_client ();
  struct outcome outcome = { 0 };
  struct storage_request call = call_of (STORAGE_GET, 0, SHORT_US);
  fake_store.mode = MODE_SILENT;
  object_client_start (client, &call, on_done, &outcome);
  while (fake_store.requests == 0)
    g_main_context_iteration (NULL, TRUE);
  call.name[0] = '\0';
  object_client_start (client, &call, on_done, &outcome);
  object_client_free (client);
  run_pending_events ();
  CU_ASSERT_EQUAL (outcome.completions, 0);
  stop_fake_store ();
}

/* Objects of another writer are left out of a list.  */
static void
test_list (void)
{
  start_fake_store ();
  fake_store.lists = TRUE;
  struct object_client *client = new_client ();
  struct outcome outcome = run (client, STORAGE_LIST, 0, NULL, LONG_US);
  CU_ASSERT_EQUAL (outcome.code, 0);
  CU_ASSERT_EQUAL (outcome.listed, 3);
  CU_ASSERT_STRING_EQUAL (outcome.names, "abc");
  CU_ASSERT_EQUAL (fake_store.requests, 2);
  fake_store.lists = FALSE;
  outcome = run (client, STORAGE_LIST, 0, NULL, LONG_US);
  CU_ASSERT_EQUAL (outcome.code, ERR_NOT_FOUND);
  fake_store.mode = MODE_STATUS;
  fake_store.status = 429;
  outcome = run (client, STORAGE_LIST, 0, NULL, LONG_US);
  CU_ASSERT_EQUAL (outcome.code, ERR_LIMIT);
  object_client_free (client);
  stop_fake_store ();
}

static CU_TestInfo tests[] = {
  { "reads and conditional writes", test_get_and_put },
  { "a list of several pages", test_list },
  { "a watch without changes", test_watch },
  { "a watch without history", test_watch_without_history },
  { "a watch and reads without history", test_watch_gone_for_good },
  { "statuses map to codes, without retries", test_status_codes },
  { "after a lost response a write's outcome is unknown", test_lost_responses },
  { "redirects are not followed", test_follows_no_redirect },
  { "a refused connection changed nothing", test_refused_connection },
  { "invalid calls are not sent", test_invalid_calls },
  { "no completion after free", test_no_completion_after_free },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "object_client", NULL, NULL, NULL, NULL, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)

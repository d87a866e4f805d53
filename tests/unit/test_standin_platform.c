#include "harness/harness.h"
#include "standin/datastore.h"
#include "unit/unit.h"

#include <string.h>

#define PLATFORM "emulator/standin/standin_platform"
#define SERVICE "emulator/standin/standin_service"

static enum datastore_result
put (struct datastore *store, const char *name, guint64 expected)
{
  GBytes *value = g_bytes_new_static ("v", 1);
  enum datastore_result result
      = datastore_put (store, name, expected, value, 0);
  g_bytes_unref (value);
  return result;
}

static void
test_conditional_update (void)
{
  struct datastore *store = datastore_new ();
  CU_ASSERT_EQUAL (put (store, "a", 1), DATASTORE_CONFLICT);
  CU_ASSERT_EQUAL (put (store, "a", 0), DATASTORE_OK);
  CU_ASSERT_EQUAL (put (store, "a", 0), DATASTORE_CONFLICT);
  guint64 first = datastore_get (store, "a")->version;
  CU_ASSERT_EQUAL (put (store, "a", first), DATASTORE_OK);
  CU_ASSERT_EQUAL (put (store, "a", first), DATASTORE_CONFLICT);
  guint64 second = datastore_get (store, "a")->version;
  CU_ASSERT_TRUE (second > first);
  CU_ASSERT_EQUAL (datastore_delete (store, "a", first, 0), DATASTORE_CONFLICT);
  CU_ASSERT_EQUAL (datastore_delete (store, "a", second, 0), DATASTORE_OK);
  CU_ASSERT_EQUAL (put (store, "a", 0), DATASTORE_OK);
  CU_ASSERT_TRUE (datastore_get (store, "a")->version > second);
  datastore_free (store);
}

/* Versions that were given after the moment to which the store returns are
   given again.  */
static void
test_go_back (void)
{
  struct datastore *store = datastore_new ();
  GBytes *old = g_bytes_new_static ("old", 3);
  GBytes *new = g_bytes_new_static ("new", 3);
  datastore_put (store, "kept", 0, old, 1000);
  datastore_put (store, "removed", 0, old, 1000);
  datastore_put (store, "kept", 1, new, 2001);
  datastore_put (store, "added", 0, new, 3000);
  datastore_delete (store, "removed", 2, 3000);
  datastore_put (store, "removed", 0, new, 3000);
  CU_ASSERT_EQUAL (datastore_go_back (store, 2000), 4);
  CU_ASSERT_EQUAL (datastore_last_version (store), 2);
  CU_ASSERT_EQUAL (datastore_get (store, "kept")->version, 1);
  CU_ASSERT_TRUE (g_bytes_equal (datastore_get (store, "kept")->value, old));
  CU_ASSERT_EQUAL (datastore_get (store, "removed")->version, 2);
  CU_ASSERT_TRUE (g_bytes_equal (datastore_get (store, "removed")->value, old));
  CU_ASSERT_PTR_NULL (datastore_get (store, "added"));
  CU_ASSERT_EQUAL (datastore_put (store, "kept", 1, new, 4000), DATASTORE_OK);
  CU_ASSERT_EQUAL (datastore_get (store, "kept")->version, 3);
  CU_ASSERT_EQUAL (datastore_go_back (store, 4000), 0);
  g_bytes_unref (old);
  g_bytes_unref (new);
  datastore_free (store);
}

static void
test_list_by_prefix (void)
{
  struct datastore *store = datastore_new ();
  put (store, "ledger/2", 0);
  put (store, "config", 0);
  put (store, "ledger/1", 0);
  GPtrArray *found = datastore_list (store, "ledger/");
  CU_ASSERT_EQUAL_FATAL (found->len, 2);
  CU_ASSERT_STRING_EQUAL (((struct datastore_object *)found->pdata[0])->name,
                          "ledger/1");
  g_ptr_array_unref (found);
  datastore_free (store);
}

static void
test_bucket_limits_rate (void)
{
  struct datastore_bucket bucket = { .per_s = 10 };
  int taken = 0;
  for (int i = 0; i < 50; i++)
    taken += datastore_bucket_take (&bucket, 1000000);
  CU_ASSERT_EQUAL (taken, 10);
  CU_ASSERT_TRUE (datastore_bucket_take (&bucket, 1100000));
  CU_ASSERT_FALSE (datastore_bucket_take (&bucket, 1100000));
}

static struct harness_process *
start (struct harness *harness, const char *program)
{
  const char *argv[] = { program, "--history", "/dev/null", NULL };
  struct harness_process *proc = harness_start (harness, "standin", argv);
  return proc != NULL && harness_wait_ready (proc) ? proc : NULL;
}

/* Sends a request with one header (NULL: none) and checks the status and,
   unless it is NULL, the ETag.  */
static void
expect_response (int port, const char *method, const char *path,
                 const char *header, const char *value, guint status,
                 const char *etag)
{
  const char *headers[] = { header, value, NULL };
  struct harness_request call
      = { .method = method,
          .port = port,
          .path = path,
          .headers = header != NULL ? headers : NULL,
          .body = strcmp (method, "PUT") == 0 ? "v" : NULL };
  struct harness_response *response = harness_request (&call);
  CU_ASSERT_EQUAL (response->status, status);
  const char *got = g_hash_table_lookup (response->headers, "etag");
  if (etag != NULL)
    CU_ASSERT_STRING_EQUAL (got != NULL ? got : "", etag);
  harness_response_free (response);
}

static void
test_objects_over_http (void)
{
  static const char a[] = "/objects/lease/a";
  struct harness *harness = harness_new ();
  struct harness_process *proc = start (harness, PLATFORM);
  CU_ASSERT_PTR_NOT_NULL_FATAL (proc);
  int port = proc->port;
  expect_response (port, "GET", a, NULL, NULL, 404, NULL);
  expect_response (port, "PUT", a, NULL, NULL, 400, NULL);
  expect_response (port, "PUT", a, "If-None-Match", "*", 200, "\"1\"");
  expect_response (port, "PUT", a, "If-None-Match", "*", 412, "\"1\"");
  expect_response (port, "PUT", a, "If-Match", "\"1\"", 200, "\"2\"");
  expect_response (port, "PUT", a, "If-Match", "\"1\"", 412, "\"2\"");
  expect_response (port, "GET", "/objects/lease/a?watch=1&timeout_ms=9000",
                   NULL, NULL, 200, "\"2\"");
  expect_response (port, "GET", "/objects/lease/a?watch=2&timeout_ms=1", NULL,
                   NULL, 204, NULL);
  expect_response (port, "DELETE", a, "If-Match", "\"2\"", 200, NULL);
  expect_response (port, "PUT", a, "If-None-Match", "*", 200, "\"3\"");
  CU_ASSERT_EQUAL (harness_get_int (port, "/counts", "watch"), 2);
  harness_free (harness);
}

/* Sends a request to the published API and checks the status and, unless it is
   NULL, that the body contains SUBSTRING.  */
static void
expect_published (int port, const char *method, const char *path,
                  const char *body, guint status, const char *substring)
{
  struct harness_request call
      = { .method = method, .port = port, .path = path, .body = body };
  struct harness_response *response = harness_request (&call);
  CU_ASSERT_EQUAL (response->status, status);
  if (substring != NULL)
    CU_ASSERT_PTR_NOT_NULL (strstr (response->body->str, substring));
  harness_response_free (response);
}

static void
test_published_api (void)
{
  static const char kind[] = "/-/objects/servers";
  static const char one[] = "/-/objects/servers/i-1";
  struct harness *harness = harness_new ();
  struct harness_process *proc = start (harness, PLATFORM);
  CU_ASSERT_PTR_NOT_NULL_FATAL (proc);
  int port = proc->port;
  expect_published (port, "GET", one, NULL, 404, NULL);
  expect_published (port, "POST", kind, "no json", 400, NULL);
  expect_published (port, "POST", kind,
                    "{\"metadata\":{\"name\":\"i-1\"},\"spec\":{\"a\":1}}", 200,
                    "\"revision\":1");
  expect_published (port, "POST", kind,
                    "{\"metadata\":{\"name\":\"i-1\"},\"spec\":{}}", 409,
                    "\"a\":1");
  expect_published (port, "PUT", one,
                    "{\"metadata\":{\"revision\":1},\"spec\":{\"a\":2}}", 200,
                    "\"revision\":2");
  expect_published (port, "PUT", one,
                    "{\"metadata\":{\"revision\":1},\"spec\":{\"a\":3}}", 409,
                    "\"a\":2");
  expect_published (port, "GET", one, NULL, 200, "\"a\":2");
  expect_published (port, "GET", kind, NULL, 200, "\"at\":2");
  expect_published (port, "GET", "/-/objects/other", NULL, 200, "[]");
  expect_published (port, "GET", "/-/objects/servers?watch=1&wait_ms=9000",
                    NULL, 200, "\"a\":2");
  expect_published (port, "GET", "/-/objects/servers?watch=2&wait_ms=1", NULL,
                    200, "\"events\":[]");
  CU_ASSERT_TRUE (harness_set_faults (port, "{\"forgotten\": true}"));
  expect_published (port, "GET", "/-/objects/servers?watch=2&wait_ms=1", NULL,
                    410, NULL);
  harness_free (harness);
}

static void
test_lost_responses (void)
{
  static const char a[] = "/objects/a";
  struct harness *harness = harness_new ();
  struct harness_process *proc = start (harness, PLATFORM);
  CU_ASSERT_PTR_NOT_NULL_FATAL (proc);
  int port = proc->port;
  CU_ASSERT_TRUE (harness_set_faults (port, "{\"lose_before_put\": 1}"));
  expect_response (port, "PUT", a, "If-None-Match", "*", 0, NULL);
  expect_response (port, "GET", a, NULL, NULL, 404, NULL);
  CU_ASSERT_TRUE (harness_set_faults (port, "{\"lose_answer_after_put\": 1}"));
  expect_response (port, "PUT", a, "If-None-Match", "*", 0, NULL);
  expect_response (port, "GET", a, NULL, NULL, 200, "\"1\"");
  CU_ASSERT_TRUE (harness_set_faults (port, "{\"down\": true}"));
  expect_response (port, "GET", a, NULL, NULL, 503, NULL);
  harness_free (harness);
}

static void *
watch_thread (void *ctx)
{
  struct harness_process *proc = ctx;
  struct harness_request call
      = { .port = proc->port, .path = "/objects/a?watch=0&timeout_ms=15000" };
  struct harness_response *response = harness_request (&call);
  guint status = response->status;
  harness_response_free (response);
  return GUINT_TO_POINTER (status);
}

static gboolean
is_watched (void *ctx)
{
  struct harness_process *proc = ctx;
  return harness_get_int (proc->port, "/counts", "watch") == 1;
}

static void
test_watch_sees_change (void)
{
  struct harness *harness = harness_new ();
  struct harness_process *proc = start (harness, PLATFORM);
  CU_ASSERT_PTR_NOT_NULL_FATAL (proc);
  GThread *thread = g_thread_new ("watch", watch_thread, proc);
  CU_ASSERT_TRUE (harness_wait_until (is_watched, proc, HARNESS_TIMEOUT_MS));
  expect_response (proc->port, "PUT", "/objects/a", "If-None-Match", "*", 200,
                   NULL);
  CU_ASSERT_EQUAL (GPOINTER_TO_UINT (g_thread_join (thread)), 200);
  harness_free (harness);
}

/* Returns the status of a GET and checks the era of the store.  */
static guint
get_in_era (int port, const char *path, const char *era)
{
  struct harness_request call = { .port = port, .path = path };
  struct harness_response *response = harness_request (&call);
  const char *got = g_hash_table_lookup (response->headers, "store-era");
  guint status = response->status;
  CU_ASSERT_STRING_EQUAL (got != NULL ? got : "", era);
  harness_response_free (response);
  return status;
}

static void
test_store_goes_back (void)
{
  static const char kind[] = "/-/objects/servers";
  static const char one[] = "/-/objects/servers/i-1";
  struct harness *harness = harness_new ();
  struct harness_process *proc = start (harness, PLATFORM);
  CU_ASSERT_PTR_NOT_NULL_FATAL (proc);
  int port = proc->port;
  CU_ASSERT_EQUAL (get_in_era (port, one, "1"), 404);
  expect_published (port, "POST", kind,
                    "{\"metadata\":{\"name\":\"i-1\"},\"spec\":{}}", 200,
                    "\"revision\":1");
  CU_ASSERT_TRUE (harness_set_faults (port, "{\"go_back_ms\": 60000}"));
  CU_ASSERT_EQUAL (get_in_era (port, one, "2"), 404);
  expect_published (port, "GET", "/-/objects/servers?watch=1&wait_ms=9000",
                    NULL, 410, NULL);
  expect_published (port, "POST", kind,
                    "{\"metadata\":{\"name\":\"i-1\"},\"spec\":{}}", 200,
                    "\"revision\":1");
  CU_ASSERT_TRUE (harness_set_faults (port, "{\"down\": true}"));
  CU_ASSERT_EQUAL (get_in_era (port, one, "2"), 503);
  harness_free (harness);
}

static void
test_going_back_drops_watches (void)
{
  struct harness *harness = harness_new ();
  struct harness_process *proc = start (harness, PLATFORM);
  CU_ASSERT_PTR_NOT_NULL_FATAL (proc);
  GThread *thread = g_thread_new ("watch", watch_thread, proc);
  CU_ASSERT_TRUE (harness_wait_until (is_watched, proc, HARNESS_TIMEOUT_MS));
  CU_ASSERT_TRUE (harness_set_faults (proc->port, "{\"go_back_ms\": 1}"));
  CU_ASSERT_EQUAL (GPOINTER_TO_UINT (g_thread_join (thread)), 0);
  harness_free (harness);
}

static guint
activate (int port)
{
  struct harness_request call
      = { .port = port, .path = "/activate", .body = "{\"id\": \"x\"}" };
  struct harness_response *response = harness_request (&call);
  guint status = response->status;
  harness_response_free (response);
  return status;
}

static void
test_service_counts_executions (void)
{
  struct harness *harness = harness_new ();
  struct harness_process *proc = start (harness, SERVICE);
  CU_ASSERT_PTR_NOT_NULL_FATAL (proc);
  CU_ASSERT_EQUAL (activate (proc->port), 200);
  CU_ASSERT_TRUE (harness_set_faults (proc->port, "{\"drop_before\": 1}"));
  CU_ASSERT_EQUAL (activate (proc->port), 0);
  CU_ASSERT_EQUAL (harness_get_int (proc->port, "/counts", "total"), 1);
  CU_ASSERT_TRUE (harness_set_faults (proc->port, "{\"drop_after\": 1}"));
  CU_ASSERT_EQUAL (activate (proc->port), 0);
  CU_ASSERT_EQUAL (harness_get_int (proc->port, "/counts", "total"), 2);
  harness_free (harness);
}

static CU_TestInfo store_tests[] = {
  { "an update needs the current version", test_conditional_update },
  { "the store goes back", test_go_back },
  { "objects are listed by prefix", test_list_by_prefix },
  { "a bucket limits the rate", test_bucket_limits_rate },
  CU_TEST_INFO_NULL,
};

static CU_TestInfo http_tests[] = {
  { "conditional updates over HTTP", test_objects_over_http },
  { "the published API", test_published_api },
  { "requests and responses are lost", test_lost_responses },
  { "a watch sees a change", test_watch_sees_change },
  { "the store goes back over HTTP", test_store_goes_back },
  { "going back drops the watches", test_going_back_drops_watches },
  { "the service counts executions", test_service_counts_executions },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "standin_objects", NULL, NULL, NULL, NULL, store_tests },
  { "standin_http", NULL, NULL, NULL, NULL, http_tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)

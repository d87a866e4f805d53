#include "harness/harness.h"
#include "standin/batcher.h"
#include "standin/faketext.h"
#include "unit/unit.h"

#include <signal.h>
#include <string.h>

#define ENGINE "emulator/standin/standin_engine"

static guint tokens;       /* calls of count_token */
static guint cache_events; /* calls of count_cache */

static void
count_token (struct batcher_seq *seq)
{
  (void)seq;
  tokens++;
}

static void
count_cache (void *ctx, guint64 prefix_hash, gboolean cached)
{
  (void)ctx;
  (void)prefix_hash;
  (void)cached;
  cache_events++;
}

static struct batcher *
make_batcher (gint64 kv_tokens, int max_batch)
{
  struct batcher_options options = { .base_us = 1000,
                                     .seq_us = 100,
                                     .prefill_per_s = 1000000,
                                     .max_batch = max_batch,
                                     .max_waiting = 8,
                                     .kv_tokens = kv_tokens };
  tokens = 0;
  cache_events = 0;
  return batcher_new (&options, count_cache, NULL);
}

static struct batcher_seq *
add (struct batcher *batcher, guint priority, guint prompt, guint total)
{
  struct batcher_request request = { .priority = priority,
                                     .prefix_hash = prompt,
                                     .prefix_tokens = prompt / 2,
                                     .prompt_tokens = prompt,
                                     .response_tokens = total };
  return batcher_add (batcher, &request);
}

static void
test_step_grows_with_batch (void)
{
  struct batcher *batcher = make_batcher (10000, 4);
  CU_ASSERT_EQUAL (batcher_begin_step (batcher), 0);
  add (batcher, 0, 10, 3);
  CU_ASSERT_EQUAL (batcher_begin_step (batcher), 1000 + 100 + 10);
  batcher_end_step (batcher, count_token);
  add (batcher, 0, 20, 3);
  CU_ASSERT_EQUAL (batcher_begin_step (batcher), 1000 + 200 + 20);
  batcher_end_step (batcher, count_token);
  CU_ASSERT_EQUAL (batcher_begin_step (batcher), 1000 + 200);
  batcher_end_step (batcher, count_token);
  CU_ASSERT_EQUAL (tokens, 5);
  CU_ASSERT_EQUAL (batcher_running (batcher), 1);
  batcher_free (batcher);
}

static void
test_prefix_cache_saves_prefill (void)
{
  struct batcher *batcher = make_batcher (10000, 4);
  add (batcher, 0, 100, 1);
  CU_ASSERT_EQUAL (batcher_begin_step (batcher), 1000 + 100 + 100);
  batcher_end_step (batcher, count_token);
  add (batcher, 0, 100, 1);
  CU_ASSERT_EQUAL (batcher_begin_step (batcher), 1000 + 100 + 50);
  CU_ASSERT_EQUAL (cache_events, 1);
  batcher_free (batcher);
}

static void
test_cache_evicted_for_sequences (void)
{
  struct batcher *batcher = make_batcher (160, 4);
  add (batcher, 0, 100, 1);
  batcher_begin_step (batcher);
  batcher_end_step (batcher, count_token);
  CU_ASSERT_EQUAL (batcher_kv_used (batcher), 50);
  add (batcher, 0, 120, 2);
  batcher_begin_step (batcher);
  CU_ASSERT_TRUE (batcher_kv_used (batcher) <= 160);
  CU_ASSERT_TRUE (cache_events >= 3);
  batcher_free (batcher);
}

static void
test_priority_then_arrival (void)
{
  struct batcher *batcher = make_batcher (10000, 1);
  struct batcher_seq *low = add (batcher, 3, 10, 1);
  struct batcher_seq *high = add (batcher, 1, 10, 1);
  struct batcher_seq *later = add (batcher, 1, 10, 1);
  batcher_begin_step (batcher);
  CU_ASSERT_EQUAL (high->state, BATCHER_RUNNING);
  batcher_end_step (batcher, count_token);
  batcher_begin_step (batcher);
  CU_ASSERT_EQUAL (later->state, BATCHER_RUNNING);
  CU_ASSERT_EQUAL (low->state, BATCHER_WAITING);
  batcher_free (batcher);
}

static void
test_memory_limits_batch (void)
{
  struct batcher *batcher = make_batcher (100, 4);
  struct batcher_seq *first = add (batcher, 0, 45, 20);
  struct batcher_seq *second = add (batcher, 1, 45, 20);
  struct batcher_seq *third = add (batcher, 2, 45, 20);
  batcher_begin_step (batcher);
  CU_ASSERT_EQUAL (second->state, BATCHER_RUNNING);
  CU_ASSERT_EQUAL (third->state, BATCHER_WAITING);
  for (int i = 0; i < 6; i++)
    {
      batcher_end_step (batcher, count_token);
      batcher_begin_step (batcher);
    }
  CU_ASSERT_EQUAL (first->state, BATCHER_RUNNING);
  CU_ASSERT_EQUAL (second->state, BATCHER_WAITING);
  CU_ASSERT_EQUAL (second->generated, 6);
  CU_ASSERT_TRUE (batcher_kv_used (batcher) <= 100);
  batcher_free (batcher);
}

static void
test_cancel_frees_memory (void)
{
  struct batcher *batcher = make_batcher (100, 4);
  struct batcher_seq *running = add (batcher, 0, 60, 20);
  struct batcher_seq *waiting = add (batcher, 0, 60, 20);
  batcher_begin_step (batcher);
  batcher_cancel (batcher, running);
  batcher_end_step (batcher, count_token);
  CU_ASSERT_EQUAL (tokens, 0);
  batcher_begin_step (batcher);
  CU_ASSERT_EQUAL (waiting->state, BATCHER_RUNNING);
  batcher_cancel (batcher, waiting);
  CU_ASSERT_EQUAL (batcher_running (batcher) + batcher_waiting (batcher), 0);
  batcher_free (batcher);
}

static void
test_full_queue_rejects (void)
{
  struct batcher *batcher = make_batcher (100, 4);
  for (int i = 0; i < 8; i++)
    CU_ASSERT_PTR_NOT_NULL (add (batcher, 0, 10, 1));
  CU_ASSERT_PTR_NULL (add (batcher, 0, 10, 1));
  batcher_free (batcher);
}

static struct harness_process *
start_engine (struct harness *harness)
{
  const char *argv[]
      = { ENGINE, "--base-us", "1000", "--history", "/dev/null", NULL };
  struct harness_process *proc = harness_start (harness, "engine", argv);
  return proc != NULL && harness_wait_ready (proc) ? proc : NULL;
}

/* Posts a text completion request and checks the status and, unless it is
   NULL, the complete text.  */
static void
expect_response (int port, const char *body, guint status, const char *text)
{
  struct harness_request call
      = { .port = port, .path = "/v1/completions", .body = body };
  struct harness_response *response = harness_request (&call);
  CU_ASSERT_EQUAL (response->status, status);
  if (text != NULL)
    {
      CU_ASSERT_TRUE (response->complete);
      char *got = harness_completion_text (response->body->str);
      CU_ASSERT_STRING_EQUAL (got, text);
      g_free (got);
    }
  harness_response_free (response);
}

static void
test_responses_over_http (void)
{
  struct harness *harness = harness_new ();
  struct harness_process *proc = start_engine (harness);
  CU_ASSERT_PTR_NOT_NULL_FATAL (proc);
  char *text = harness_expected_text ("p [len=9]", 0);
  char *truncated = harness_expected_text ("p [len=9]", 4);
  expect_response (proc->port, "{\"model\":\"m\",\"prompt\":\"p [len=9]\"}",
                   200, text);
  expect_response (proc->port,
                   "{\"model\":\"m\",\"prompt\":\"p [len=9]\",\"stream\":true}",
                   200, text);
  expect_response (
      proc->port, "{\"model\":\"m\",\"prompt\":\"p [len=9]\",\"max_tokens\":4}",
      200, truncated);
  expect_response (proc->port, "{}", 400, NULL);
  CU_ASSERT_TRUE (harness_set_faults (proc->port, "{\"leaving\": true}"));
  expect_response (proc->port, "{\"model\":\"m\",\"prompt\":\"p\"}", 503, NULL);
  CU_ASSERT_FALSE (
      harness_set_faults (proc->port, "{\"no_such_fault\": true}"));
  g_free (text);
  g_free (truncated);
  harness_free (harness);
}

static void
test_long_prompt (void)
{
  struct harness *harness = harness_new ();
  struct harness_process *proc = start_engine (harness);
  CU_ASSERT_PTR_NOT_NULL_FATAL (proc);
  char *prompt = g_strdup_printf ("%0512d [len=7]", 0);
  char *text = harness_expected_text (prompt, 0);
  char *body = g_strdup_printf ("{\"model\":\"m\",\"prompt\":\"%s\"}", prompt);
  expect_response (proc->port, body, 200, text);
  g_free (body);
  g_free (text);
  g_free (prompt);
  harness_free (harness);
}

static void
test_repeated_and_late_chunks (void)
{
  static const char body[]
      = "{\"model\":\"m\",\"prompt\":\"p [len=9]\",\"stream\":true}";
  struct harness *harness = harness_new ();
  struct harness_process *proc = start_engine (harness);
  CU_ASSERT_PTR_NOT_NULL_FATAL (proc);
  CU_ASSERT_TRUE (harness_set_faults (proc->port, "{\"late_chunk_ms\": 20}"));
  char *text = harness_expected_text ("p [len=9]", 0);
  expect_response (proc->port, body, 200, text);
  CU_ASSERT_TRUE (harness_set_faults (proc->port, "{\"repeat_chunk\": true}"));
  char *head = harness_expected_text ("p [len=9]", 8);
  char *seventh = harness_expected_text ("p [len=9]", 7);
  char *repeated
      = g_strconcat (head, head + strlen (seventh), text + strlen (head), NULL);
  expect_response (proc->port, body, 200, repeated);
  g_free (repeated);
  g_free (seventh);
  g_free (head);
  g_free (text);
  harness_free (harness);
}

static void
test_crash_and_resume (void)
{
  const char *body
      = "{\"model\":\"m\",\"prompt\":\"p [len=9]\",\"stream\":true}";
  struct harness *harness = harness_new ();
  struct harness_process *proc = start_engine (harness);
  CU_ASSERT_PTR_NOT_NULL_FATAL (proc);
  CU_ASSERT_TRUE (
      harness_set_faults (proc->port, "{\"crash_after_tokens\": 4}"));
  struct harness_request call
      = { .port = proc->port, .path = "/v1/completions", .body = body };
  struct harness_response *interrupted = harness_request (&call);
  CU_ASSERT_EQUAL (interrupted->status, 200);
  CU_ASSERT_FALSE (interrupted->complete);
  harness_response_free (interrupted);

  char *received = harness_expected_text ("p [len=9]", 3);
  char *all = harness_expected_text ("p [len=9]", 0);
  char *resumed = g_strdup_printf (
      "{\"jacinthward_resume\":{\"tokens\":3,\"text\":\"%s\"},%s", received,
      body + 1);
  call.body = resumed;
  struct harness_response *response = harness_request (&call);
  char *rest = harness_completion_text (response->body->str);
  CU_ASSERT_STRING_EQUAL (rest, all + strlen (received));
  harness_response_free (response);
  g_free (rest);
  g_free (resumed);
  g_free (all);
  g_free (received);
  harness_free (harness);
}

static gboolean
is_idle (void *ctx)
{
  struct harness_process *proc = ctx;
  return harness_get_int (proc->port, "/counts", "running") == 0
         && harness_get_int (proc->port, "/counts", "cancelled") == 1;
}

static void
test_disconnect_cancels (void)
{
  struct harness *harness = harness_new ();
  struct harness_process *proc = start_engine (harness);
  CU_ASSERT_PTR_NOT_NULL_FATAL (proc);
  struct harness_request call
      = { .port = proc->port,
          .path = "/v1/completions",
          .body
          = "{\"model\":\"m\",\"prompt\":\"p [len=90000]\",\"stream\":true}" };
  guint status;
  struct harness_stream *stream = harness_open_stream (&call, &status);
  char *event = harness_next_event (stream);
  CU_ASSERT_EQUAL (status, 200);
  CU_ASSERT_PTR_NOT_NULL (event);
  g_free (event);
  harness_close_stream (stream);
  CU_ASSERT_TRUE (harness_wait_until (is_idle, proc, HARNESS_TIMEOUT_MS));
  harness_free (harness);
}

static void
test_exit_fault_ends_process (void)
{
  struct harness *harness = harness_new ();
  struct harness_process *proc = start_engine (harness);
  CU_ASSERT_PTR_NOT_NULL_FATAL (proc);
  CU_ASSERT_TRUE (
      harness_set_faults (proc->port, "{\"exit_after_tokens\": 2}"));
  expect_response (proc->port, "{\"model\":\"m\",\"prompt\":\"p [len=9]\"}", 0,
                   NULL);
  CU_ASSERT_EQUAL (harness_reap (proc, HARNESS_TIMEOUT_MS), 70);
  harness_free (harness);
}

static guint
post_order (int port, const char *body)
{
  struct harness_request call
      = { .port = port, .path = "/orders", .body = body };
  struct harness_response *response = harness_request (&call);
  guint status = response->status;
  harness_response_free (response);
  return status;
}

static void
test_orders_are_fenced (void)
{
  static const char newer[] = "{\"fence\": 7, \"id\": \"a\", "
                              "\"kind\": \"load_model\", \"name\": \"m\"}";
  static const char older[] = "{\"fence\": 6, \"id\": \"b\", "
                              "\"kind\": \"set_role\", \"name\": \"r\"}";
  struct harness *harness = harness_new ();
  struct harness_process *proc = start_engine (harness);
  CU_ASSERT_PTR_NOT_NULL_FATAL (proc);
  CU_ASSERT_EQUAL (post_order (proc->port, newer), 200);
  CU_ASSERT_EQUAL (post_order (proc->port, older), 409);
  CU_ASSERT_EQUAL (harness_get_int (proc->port, "/orders", "fence"), 7);
  harness_free (harness);
}

static CU_TestInfo batch_tests[] = {
  { "a step takes longer with a larger batch", test_step_grows_with_batch },
  { "a cached prefix saves prefill", test_prefix_cache_saves_prefill },
  { "prefixes are evicted for sequences", test_cache_evicted_for_sequences },
  { "the queue is by priority, then arrival", test_priority_then_arrival },
  { "memory limits the batch", test_memory_limits_batch },
  { "a cancel frees memory", test_cancel_frees_memory },
  { "a full queue rejects", test_full_queue_rejects },
  CU_TEST_INFO_NULL,
};

static CU_TestInfo http_tests[] = {
  { "responses have the expected text", test_responses_over_http },
  { "a long prompt keeps its marker", test_long_prompt },
  { "chunks are late or repeated", test_repeated_and_late_chunks },
  { "an interrupted stream is resumed", test_crash_and_resume },
  { "a client that disconnects cancels", test_disconnect_cancels },
  { "the exit fault ends the process", test_exit_fault_ends_process },
  { "an old fencing number is rejected", test_orders_are_fenced },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "standin_engine_batch", NULL, NULL, NULL, NULL, batch_tests },
  { "standin_engine_http", NULL, NULL, NULL, NULL, http_tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)

#include "jacinthward/store_caller.h"

#include "base/log.h"
#include "platform/object_client.h"

#define TIMEOUT_US (800 * CLK_MS)
/* Between two tries, doubled with each failure in a row. */
#define RETRY_US (100 * CLK_MS)
#define RETRY_DOUBLINGS 4

void
store_caller_init (struct store_caller *caller,
                   const struct store_caller_options *options)
{
  const struct object_client_options client_options
      = { .address = options->address,
          .kind = options->kind,
          .counter_set = options->counter_set };
  *caller
      = (struct store_caller){ .options = *options,
                               .client = object_client_new (&client_options) };
}

void
store_caller_clear (struct store_caller *caller)
{
  g_clear_pointer (&caller->client, object_client_free);
}

/* Starts a call for the object NAME, under the condition of its version if it
   is a write. DONE has to call store_caller_failed or store_caller_succeeded.
 */
void
store_caller_start (struct store_caller *caller, enum storage_op op,
                    const char *name, GBytes *body, storage_callback done,
                    void *ctx)
{
  struct storage_request request = { .op = op,
                                     .expected = caller->version,
                                     .body = body,
                                     .timeout_us = TIMEOUT_US };
  g_strlcpy (request.name, name, sizeof request.name);
  caller->busy = TRUE;
  caller->started_at = clk_now (caller->options.clk);
  object_client_start (caller->client, &request, done, ctx);
}

/* The call has ended, and what it was for, WHAT, has failed.  */
void
store_caller_failed (struct store_caller *caller, const char *what,
                     const struct storage_response *response)
{
  gint64 delay = RETRY_US << MIN (caller->failures, RETRY_DOUBLINGS);
  if (response->retry_after_us > 0)
    delay = response->retry_after_us;
  caller->busy = FALSE;
  counter_add (caller->options.counter_set, COUNTER_STREAMS_UNSAVED, 1);
  if (caller->failures++ == 0)
    log_event (LOG_WARN, "versions.store_failed",
               "what=%s cause=%s retry_ms=%" G_GINT64_FORMAT, what,
               err_name (response->code), delay / CLK_MS);
  caller->not_before = clk_now (caller->options.clk) + delay;
}

/* The call has ended, and the store has answered as it should.  */
void
store_caller_succeeded (struct store_caller *caller)
{
  caller->busy = FALSE;
  if (caller->failures > 0)
    log_event (LOG_INFO, "versions.store_regained", "failures=%u",
               caller->failures);
  caller->failures = 0;
}

/* Returns the text of the object in RESPONSE, borrowed; empty if there is
   none.  */
struct str
store_caller_text (const struct storage_response *response)
{
  gsize n = 0;
  const char *text
      = response->body != NULL ? g_bytes_get_data (response->body, &n) : "";
  return (struct str){ text, n };
}

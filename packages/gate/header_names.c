#include "gate/header_names.h"

#include <stddef.h>

static const char *const own_reserved[]
    = { "X-Team", "X-Priority", "X-Expect-Server", "X-Fetch-From", NULL };

/* Returns the dialect of jacinthward itself.  */
const struct header_names *
header_names_default (void)
{
  static const struct header_names own = {
    .request_id = "X-Request-Id",       /* echoed by the server */
    .deadline_ms = "X-Deadline-Ms",     /* time that is left, milliseconds */
    .team = "X-Team",                   /* of the caller's key */
    .priority = "X-Priority",           /* at an engine; 0 goes first */
    .expect_server = "X-Expect-Server", /* another server answers 421 */
    .server_id = "X-Server-Id",         /* who answers 421 */
    .not_run = "X-Not-Run",             /* the request surely did not run */
    .signature = "X-Signature",         /* of a server's answer */
    .last_event = "Last-Event-ID",      /* a stream goes on after it */
    .model = "X-Model",
    .token_counts = "X-Tokens",       /* prompt, most output */
    .prompt_parts = "X-Prompt-Parts", /* id:tokens, ... in order */
    .length_hint = "X-Length-Hint",   /* guessed output tokens */
    .fetch_from = "X-Fetch-From",     /* a server that holds more of it */
    .key_scheme = "Bearer",
    .ready_path = "/readyz",
    .reserved = own_reserved,
  };
  return &own;
}

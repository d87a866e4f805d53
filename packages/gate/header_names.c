#include "gate/header_names.h"

#include <stddef.h>

static const char *const default_reserved[] = {
  "X-Team",     "X-Priority", "X-Expect-Server", "X-Fetch-From", "X-Relayed",
  "X-Software", NULL
};

/* Returns the default header names. The result is static.  */
const struct header_names *
header_names_default (void)
{
  static const struct header_names default_names = {
    /* Echoed by the server. */
    .request_id = "X-Request-Id",
    /* Time until the deadline, milliseconds. */
    .deadline_ms = "X-Deadline-Ms",
    /* Name of the team that the client's key belongs to. */
    .team = "X-Team",
    /* In the queue of an engine; 0 is the most urgent. */
    .priority = "X-Priority",
    /* Id of the server that is meant; another one responds 421. */
    .expect_server = "X-Expect-Server",
    /* Id of a server that responds 421. */
    .server_id = "X-Server-Id",
    /* Present if the request was not executed. */
    .not_run = "X-Not-Run",
    /* Present in genuine responses of a server. */
    .signature = "X-Signature",
    /* 1 in responses of a server that is leaving. */
    .leaving = "X-Leaving",
    /* Requests a second that the server takes from all instances together. */
    .limit = "X-Limit",
    /* Rejections a second, to all instances together, that the server bears. */
    .brittle = "X-Brittle",
    /* Attempts that another instance has made of a request before it has passed
       it on. */
    .relayed = "X-Relayed",
    /* Version of the software at which a stream has begun, between instances.
     */
    .software = "X-Software",
    /* Id of the event after which a stream is resumed. */
    .last_event = "Last-Event-ID",
    /* Id of the request with which the client got the stream's first event. */
    .resumes = "X-Resumes",
    .model = "X-Model",
    /* Prompt tokens, maximum of output tokens. */
    .token_counts = "X-Tokens",
    /* Prefix blocks of the prompt in order: id:tokens, ... */
    .prefix_blocks = "X-Prompt-Parts",
    /* Estimated output tokens. */
    .length_hint = "X-Length-Hint",
    /* Address of a server with more of the prompt in its prefix cache. */
    .fetch_from = "X-Fetch-From",
    .key_scheme = "Bearer",
    .ready_path = "/readyz",
    .reserved = default_reserved,
  };
  return &default_names;
}

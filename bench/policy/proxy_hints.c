/* What an instance does with what a response says of its server, as
   packages/gate does it.  */
#include "policy/proxy_model.h"

/* As in gate/response_hints.c. */
#define BACKOFF_SPREAD 0.2

const char proxy_hints_name[] = "hints";

void
proxy_hints_set_up (struct registry *registry)
{
  registry_set_drain_time (registry, PROXY_DRAIN_US);
}

/* Records the start of an attempt. Returns whether it is the server's only
   one after a backoff.  */
gboolean
proxy_hints_start (struct registry_server *server)
{
  gboolean is_trial = server->backoff.trial;
  server->backoff.trials += is_trial;
  return is_trial;
}

void
proxy_hints_end (struct registry_server *server, gboolean is_trial)
{
  server->backoff.trials -= is_trial;
}

void
proxy_hints_record (struct registry *registry, struct registry_server *server,
                    const struct proxy_answer *answer, GRand *rand, gint64 now)
{
  if (answer->leaving)
    registry_mark_leaving (registry, server, now);
  if (answer->backoff_us == 0)
    {
      registry_mark_serving (server);
      return;
    }
  double spread = g_rand_double_range (rand, 0, BACKOFF_SPREAD);
  registry_back_off (server, now,
                     (gint64)((double)answer->backoff_us * (1 + spread)));
}

gint64
proxy_hints_retry_after (struct scheduler *scheduler,
                         struct scheduler_entry *entry, gint64 now)
{
  return scheduler_retry_after_us (scheduler, entry, now);
}

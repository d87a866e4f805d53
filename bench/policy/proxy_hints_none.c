/* For versions that take no notice of what a response says of its server.  */
#include "policy/proxy_model.h"

const char proxy_hints_name[] = "no_hints";

void
proxy_hints_set_up (struct registry *registry)
{
  (void)registry;
}

gboolean
proxy_hints_start (struct registry_server *server)
{
  (void)server;
  return FALSE;
}

void
proxy_hints_end (struct registry_server *server, gboolean is_trial)
{
  (void)server;
  (void)is_trial;
}

void
proxy_hints_record (struct registry *registry, struct registry_server *server,
                    const struct proxy_answer *answer, GRand *rand, gint64 now)
{
  (void)registry;
  (void)server;
  (void)answer;
  (void)rand;
  (void)now;
}

gint64
proxy_hints_retry_after (struct scheduler *scheduler,
                         struct scheduler_entry *entry, gint64 now)
{
  (void)scheduler;
  (void)entry;
  (void)now;
  return 0;
}

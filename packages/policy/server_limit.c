#include "policy/server_limit.h"

/* Addresses this load pattern: a server in need names a limit while requests
   are in progress at many instances. Their responses cross, and so do the
   messages in which the instances tell each other, so the last one to arrive
   need not be the last one that the server has written.  */

static const char *const source_names[] = {
#define SERVER_LIMIT_NAME(id, name) name,
  SERVER_LIMIT_SOURCES (SERVER_LIMIT_NAME)
#undef SERVER_LIMIT_NAME
};

const char *
server_limit_source_name (enum server_limit_source source)
{
  return source_names[source];
}

/* Returns PER_S in millionths of a request a second, as instances tell it each
   other.  */
guint64
server_limit_to_micro (double per_s)
{
  return (guint64)(per_s * 1e6 + 0.5);
}

double
server_limit_of_micro (guint64 micro)
{
  return (double)micro / 1e6;
}

/* Returns whether A allows less than B.  */
static gboolean
is_stricter (const struct server_limit_report *a,
             const struct server_limit_report *b)
{
  return a->per_s > 0 && (b->per_s == 0 || a->per_s < b->per_s);
}

/* Takes note of REPORT. One that is certainly newer than the one known replaces
   it, and one that is certainly older is ignored. If the order is unknown, the
   stricter one counts. Returns whether the limit has changed.  */
gboolean
server_limit_update (struct server_limit *limit,
                     const struct server_limit_report *report, gint64 now)
{
  struct server_limit_report *known = &limit->report;
  double before = known->per_s;
  if (report->before <= known->after)
    return FALSE;
  if (report->per_s == known->per_s)
    {
      if (known->source == SERVER_LIMIT_OWN && known->before != 0
          && report->source != SERVER_LIMIT_OWN)
        return FALSE; /* or two instances would renew it at each other */
      known->after = MAX (known->after, report->after);
      known->before = MAX (known->before, report->before);
      known->source = report->source;
      return FALSE;
    }
  if (report->after < known->before && !is_stricter (report, known))
    return FALSE;
  *known = *report;
  if (before > 0 && report->per_s == 0)
    limit->ended_at = now;
  return TRUE;
}

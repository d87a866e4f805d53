#include "fleet/registry.h"

#include "base/log.h"

/* Takes note of REPORT, what a response of SERVER says of its limit, and logs a
   change. REQUEST_ID is that of the response; NULL: a peer has had it. Returns
   whether the limit has changed.  */
gboolean
registry_report_limit (struct registry_server *server,
                       const struct server_limit_report *report,
                       const char *request_id, gint64 now)
{
  double before = server->limit.report.per_s;
  if (!server_limit_update (&server->limit, report, now))
    return FALSE;
  log_write (&(struct log_entry){ .level = LOG_INFO,
                                  .event = "server.limit",
                                  .request_id = request_id,
                                  .peer = server->entry.id },
             "per_s=%g before=%g source=%s", report->per_s, before,
             server_limit_source_name (report->source));
  return TRUE;
}

/* Takes note of REPORT, whether a response of SERVER says that it is brittle,
   and logs a change. REQUEST_ID is that of the response; NULL: a peer has had
   it.  */
void
registry_report_brittle (struct registry_server *server,
                         const struct server_limit_report *report,
                         const char *request_id, gint64 now)
{
  double before = server->brittle.report.per_s;
  if (!server_limit_update (&server->brittle, report, now))
    return;
  if (report->per_s == 0)
    server->brittle_share = (struct brittle_share){ 0 };
  log_write (&(struct log_entry){ .level = LOG_INFO,
                                  .event = "server.brittle",
                                  .request_id = request_id,
                                  .peer = server->entry.id },
             "rejections_per_s=%g before=%g source=%s", report->per_s - 1,
             before - 1, server_limit_source_name (report->source));
}

/* SERVER, which is brittle, has turned away a request of this instance, or with
   OWN FALSE of another one, while ROOM requests were in progress there as far
   as known.  */
void
registry_brittle_full (struct registry_server *server, guint room, gboolean own,
                       gint64 at)
{
  brittle_share_begin (&server->brittle_share, server->entry.slots, at);
  guint before = server->brittle_share.room;
  brittle_share_full (&server->brittle_share, room, at);
  if (!own && server->brittle_share.room == before)
    return;
  log_write (&(struct log_entry){ .level = LOG_INFO,
                                  .event = "server.brittle_full",
                                  .peer = server->entry.id },
             "in_progress=%u room=%u before=%u own=%s", room,
             server->brittle_share.room, before, own ? "yes" : "no");
}

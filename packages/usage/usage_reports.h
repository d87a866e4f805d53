/* Which usage reports are due, and what they say. What is sent for a window is
   fixed by a conditional write to the store before the first send, and repeated
   unchanged by every later holder of the duty. Times are true time. No I/O.  */
#ifndef USAGE_REPORTS_H
#define USAGE_REPORTS_H

#include <json-glib/json-glib.h>

#include "base/counter.h"
#include "usage/usage_account.h"

struct usage_reports;

struct usage_reports_options
{
  gint64 window_us;
  gint64 late_us; /* after the end of a window, its report is due */
  struct usage_account *account;   /* borrowed */
  struct counter_set *counter_set; /* borrowed; NULL: nothing is counted */
};

/* A report that is to be sent. */
struct usage_call
{
  guint64 window;
  const struct usage_count *counts; /* borrowed until usage_reports_done, but
                                       for 10 s at most */
  guint n;
};

struct usage_reports *
usage_reports_new (const struct usage_reports_options *options);
void usage_reports_free (struct usage_reports *reports);
/* ERA_CHANGED: the record is of an earlier era than the store. The caller keeps
   the era of the record until it writes a section that usage_reports_prepare
   has given after this; otherwise a holder that is lost in between leaves a
   record to the next one that does not tell which windows may have been
   reported. */
void usage_reports_load (struct usage_reports *reports, struct str section,
                         gboolean era_changed, gint64 true_now);
gboolean usage_reports_prepare (struct usage_reports *reports, gint64 true_now,
                                GString *section);
void usage_reports_stored (struct usage_reports *reports, gint64 true_now);
gboolean usage_reports_next (struct usage_reports *reports, gint64 true_now,
                             struct usage_call *call);
void usage_reports_done (struct usage_reports *reports,
                         const struct usage_call *call, int code,
                         gint64 true_now);
void usage_reports_dump (const struct usage_reports *reports,
                         JsonBuilder *json);

#endif

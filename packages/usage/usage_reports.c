#include "usage/usage_reports.h"

struct usage_reports
{
  struct usage_reports_options options;
};

struct usage_reports *
usage_reports_new (const struct usage_reports_options *options)
{
  struct usage_reports *reports = g_new0 (struct usage_reports, 1);
  reports->options = *options;
  return reports;
}

void
usage_reports_free (struct usage_reports *reports)
{
  g_free (reports);
}

void
usage_reports_load (struct usage_reports *reports, struct str section,
                    gboolean era_changed, gint64 true_now)
{
  (void)reports, (void)section, (void)era_changed, (void)true_now;
}

gboolean
usage_reports_prepare (struct usage_reports *reports, gint64 true_now,
                       GString *section)
{
  (void)reports, (void)true_now, (void)section;
  return FALSE;
}

void
usage_reports_stored (struct usage_reports *reports, gint64 true_now)
{
  (void)reports, (void)true_now;
}

gboolean
usage_reports_next (struct usage_reports *reports, gint64 true_now,
                    struct usage_call *call)
{
  (void)reports, (void)true_now, (void)call;
  return FALSE;
}

void
usage_reports_done (struct usage_reports *reports,
                    const struct usage_call *call, int code, gint64 true_now)
{
  (void)reports, (void)call, (void)code, (void)true_now;
}

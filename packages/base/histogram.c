#include "base/histogram.h"

#define FIRST_BOUND_US 1000 /* upper bound of the first bucket */

static const struct
{
  const char *name;
  const char *help;
} infos[HISTOGRAM_N] = {
#define HISTOGRAM_INFO(id, name, help) { name, help },
  HISTOGRAM_LIST (HISTOGRAM_INFO)
#undef HISTOGRAM_INFO
};

/* Records a latency of US microseconds; a negative one counts as 0.  */
void
histogram_add (struct histogram_set *histograms, enum histogram_id id,
               gint64 us)
{
  struct histogram *histogram = &histograms->items[id];
  guint bucket = 0;
  us = MAX (us, 0);
  while (bucket + 1 < HISTOGRAM_BUCKETS
         && us > ((gint64)FIRST_BOUND_US << bucket))
    bucket++;
  histogram->buckets[bucket]++;
  histogram->count++;
  histogram->sum_us += us;
}

/* Appends all histograms to OUT in the Prometheus text format. The bounds and
   sums there are in seconds.  */
void
histogram_set_prometheus (const struct histogram_set *histograms, GString *out)
{
  for (guint i = 0; i < HISTOGRAM_N; i++)
    {
      const struct histogram *histogram = &histograms->items[i];
      const char *name = infos[i].name;
      guint64 cumulative = 0;
      g_string_append_printf (out,
                              "# HELP jacinthward_%s_seconds time %s\n"
                              "# TYPE jacinthward_%s_seconds histogram\n",
                              name, infos[i].help, name);
      for (guint b = 0; b + 1 < HISTOGRAM_BUCKETS; b++)
        {
          cumulative += histogram->buckets[b];
          g_string_append_printf (
              out,
              "jacinthward_%s_seconds_bucket{le=\"%.3f\"} %" G_GUINT64_FORMAT
              "\n",
              name, (double)((gint64)FIRST_BOUND_US << b) / 1e6, cumulative);
        }
      g_string_append_printf (
          out,
          "jacinthward_%s_seconds_bucket{le=\"+Inf\"} %" G_GUINT64_FORMAT
          "\njacinthward_%s_seconds_sum %.6f\n"
          "jacinthward_%s_seconds_count %" G_GUINT64_FORMAT "\n",
          name, histogram->count, name, (double)histogram->sum_us / 1e6, name,
          histogram->count);
    }
}

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

/* Counts a latency of US microseconds.  */
void
histogram_add (struct histogram_set *histogram_set, enum histogram_id id,
               gint64 us)
{
  struct histogram *one = &histogram_set->one[id];
  guint bucket = 0;
  us = MAX (us, 0);
  while (bucket + 1 < HISTOGRAM_BUCKETS
         && us > ((gint64)FIRST_BOUND_US << bucket))
    bucket++;
  one->buckets[bucket]++;
  one->n++;
  one->sum_us += us;
}

/* Appends all histograms to OUT in the Prometheus text format, in seconds.  */
void
histogram_set_prometheus (const struct histogram_set *histogram_set,
                          GString *out)
{
  for (guint i = 0; i < HISTOGRAM_N; i++)
    {
      const struct histogram *one = &histogram_set->one[i];
      const char *name = infos[i].name;
      guint64 below = 0;
      g_string_append_printf (out,
                              "# HELP jacinthward_%s_seconds time %s\n"
                              "# TYPE jacinthward_%s_seconds histogram\n",
                              name, infos[i].help, name);
      for (guint b = 0; b + 1 < HISTOGRAM_BUCKETS; b++)
        {
          below += one->buckets[b];
          g_string_append_printf (
              out,
              "jacinthward_%s_seconds_bucket{le=\"%.3f\"} %" G_GUINT64_FORMAT
              "\n",
              name, (double)((gint64)FIRST_BOUND_US << b) / 1e6, below);
        }
      g_string_append_printf (
          out,
          "jacinthward_%s_seconds_bucket{le=\"+Inf\"} %" G_GUINT64_FORMAT
          "\njacinthward_%s_seconds_sum %.6f\n"
          "jacinthward_%s_seconds_count %" G_GUINT64_FORMAT "\n",
          name, one->n, name, (double)one->sum_us / 1e6, name, one->n);
    }
}

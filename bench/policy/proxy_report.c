/* Measures of the trials of the model: one line for each trial, and the means
   over the seeds.  */
#include "policy/proxy_model.h"

static const char *const scenario_names[] = {
#define PROXY_SCENARIO_NAME(id, name) name,
  PROXY_SCENARIOS (PROXY_SCENARIO_NAME)
#undef PROXY_SCENARIO_NAME
};

/* Returns whether the client got what its class asks for, counted from its
   first try.  */
static gboolean
is_in_time (const struct proxy_request *request)
{
  const struct routing_route *route = &request->proxy_class->route;
  return request->outcome == PROXY_ANSWERED
         && request->first_event_at - request->first_arrival <= route->target_us
         && (route->event_gap_us == 0
             || request->longest_gap_us <= route->event_gap_us);
}

static double
ratio (double part, double whole)
{
  return whole > 0 ? part / whole : 0;
}

/* Fills RESULT with the measures of a trial. Those of requests count arrivals
   since the fault.  */
void
proxy_report_measure (const struct proxy_world *world,
                      struct proxy_result *result)
{
  const struct proxy_counts *counts = &world->counts;
  gint64 fault_at = CLK_S + PROXY_WARM_UP_US + PROXY_FAULT_US;
  guint n[G_N_ELEMENTS (result->in_time)] = { 0 };
  guint all = 0;
  guint returns = 0;
  guint answered = 0;
  guint refusals = 0;
  guint refused_again = 0;
  *result = (struct proxy_result){ 0 };
  for (guint i = 0; i < world->requests->len; i++)
    {
      const struct proxy_request *request
          = g_ptr_array_index (world->requests, i);
      if (request->first_arrival < fault_at)
        continue;
      all++;
      n[request->class_index]++;
      result->in_time[request->class_index] += is_in_time (request);
      result->all_in_time += is_in_time (request);
      answered += request->outcome == PROXY_ANSWERED;
      returns += request->tries - 1;
      refusals += request->refusals;
      refused_again += MAX (request->refusals, 1) - 1;
    }
  for (guint i = 0; i < proxy_n_classes; i++)
    result->in_time[i] = ratio (result->in_time[i], n[i]);
  result->all_in_time = ratio (result->all_in_time, all);
  result->answered = ratio (answered, all);
  result->refused = ratio (refusals, all);
  result->refused_again = ratio (refused_again, returns);
  result->attempts = ratio (counts->attempts, world->requests->len);
  result->early = ratio (counts->early, world->fleet->instances);
  result->windows = counts->windows;
  result->broken_windows = counts->broken_windows;
  result->leaving_attempts
      = ratio (counts->leaving_attempts, world->fleet->instances);
  result->drain_broken = counts->drain_broken;
  result->lost = counts->lost;
}

/* Columns of the table: X (HEADER, MEMBER, DIGITS) */
#define COLUMNS(X)                                                             \
  X ("in_time", all_in_time, 4)                                                \
  X ("answered", answered, 4)                                                  \
  X ("refused", refused, 4)                                                    \
  X ("ref_again", refused_again, 4)                                            \
  X ("attempts", attempts, 3)                                                  \
  X ("early/inst", early, 2)                                                   \
  X ("windows", windows, 0)                                                    \
  X (">2 early", broken_windows, 0)                                            \
  X ("leav/inst", leaving_attempts, 2)                                         \
  X (">drain", drain_broken, 0)                                                \
  X ("lost", lost, 0)

void
proxy_report_header (void)
{
  g_print ("%-14s %4s %-8s %4s", "scenario", "inst", "version", "seed");
  for (guint i = 0; i < proxy_n_classes; i++)
    g_print (" %8s", proxy_classes[i].route.name);
#define COLUMN_HEADER(header, member, digits) g_print (" %9s", header);
  COLUMNS (COLUMN_HEADER)
#undef COLUMN_HEADER
  g_print ("\n");
}

/* Prints the measures of the trial with SEED.  */
void
proxy_report_print (enum proxy_scenario scenario,
                    const struct proxy_fleet *fleet, const char *seed,
                    const struct proxy_result *result)
{
  g_print ("%-14s %4u %-8s %4s", scenario_names[scenario], fleet->instances,
           proxy_hints_name, seed);
  for (guint i = 0; i < proxy_n_classes; i++)
    g_print (" %8.4f", result->in_time[i]);
#define COLUMN_VALUE(header, member, digits)                                   \
  g_print (" %9.*f", digits, result->member);
  COLUMNS (COLUMN_VALUE)
#undef COLUMN_VALUE
  g_print ("\n");
}

/* Prints the means of N trials with different seeds.  */
void
proxy_report_print_mean (enum proxy_scenario scenario,
                         const struct proxy_fleet *fleet,
                         const struct proxy_result *results, guint n)
{
  struct proxy_result mean = { 0 };
  for (guint k = 0; k < n; k++)
    {
      for (guint i = 0; i < proxy_n_classes; i++)
        mean.in_time[i] += results[k].in_time[i] / n;
#define COLUMN_ADD(header, member, digits) mean.member += results[k].member / n;
      COLUMNS (COLUMN_ADD)
#undef COLUMN_ADD
    }
  proxy_report_print (scenario, fleet, "mean", &mean);
}

/* Health of backend servers by comparison with their peers of the cell: time
   between tokens, time to first token and failures, as entries saw them.
   Outliers are ejected for a while, then probed back with a few requests.
   A server's own load report has no say.  */
#ifndef HEA_H
#define HEA_H

#include "base/clock.h"

/* X (NAME, "name") */
#define HEA_STATES(X)                                                          \
  X (OK, "ok")                                                                 \
  X (SUSPECT, "suspect") /* an outlier, but too many are ejected */            \
  X (EJECTED, "ejected") /* gets nothing */                                    \
  X (PROBING, "probing") /* gets a few requests */

enum hea_state
{
#define HEA_ENUM(id, name) HEA_##id,
  HEA_STATES (HEA_ENUM)
#undef HEA_ENUM
};

#define HEA_PROBE_SLOTS 2               /* requests in flight of a probe */
#define HEA_PROBE_GAP_US (250 * CLK_MS) /* between starts of probes */
#define HEA_PROBE_URGENT_US                                                    \
  (2000 * CLK_MS) /* the same for the highest tier                             \
                   */

/* An exponentially weighted mean. */
struct hea_mean
{
  double value;
  guint n; /* samples */
};

struct hea
{
  enum hea_state state;
  struct hea_mean tbt;       /* microseconds */
  struct hea_mean ttft;      /* microseconds, for a prompt of common length */
  struct hea_mean in_flight; /* when tbt was sampled */
  struct hea_mean errors;    /* share of results */
  guint failed_in_row;
  guint unreachable_in_row; /* connecting failed */
  guint passed;             /* results without failure since the reset */
  gboolean stalled;         /* work in flight, but no tokens */
  gint64 since;             /* clock time of the last change of state */
  gint64 until;             /* end of the ejection, clock time */
  gint64 probed;            /* clock time of the last start of a probe */
  guint ejections;          /* in short succession */
};

enum hea_result
{
  HEA_PASSED,
  HEA_FAILED,
  HEA_UNREACHABLE
};

void hea_mean_add (struct hea_mean *mean, double value, double weight);
void hea_init (struct hea *hea, gint64 now);
void hea_tbt (struct hea *hea, gint64 tbt_us, guint in_flight);
void hea_ttft (struct hea *hea, gint64 ttft_us, guint prompt_tokens);
void hea_result (struct hea *hea, enum hea_result result);
guint hea_review (struct hea *const *peers, guint n, gint64 now, GRand *rand);
guint hea_slots (const struct hea *hea, guint limit);
gboolean hea_wants_probe (const struct hea *hea, gint64 now, gboolean urgent);
void hea_probe (struct hea *hea, gint64 now);
const char *hea_state_name (enum hea_state state);

#endif

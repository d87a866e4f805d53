/* Health of backend servers by comparison with their peers of the cell: time
   between tokens, time to first token and failures, as entries saw them.
   Outliers are ejected for a while, then probed back with a few requests.
   A server's own load report has no say.  */
#ifndef SERVER_HEALTH_H
#define SERVER_HEALTH_H

#include "base/clk.h"

/* X (NAME, "name") */
#define SERVER_HEALTH_STATES(X)                                                \
  X (OK, "ok")                                                                 \
  X (SUSPECT, "suspect") /* an outlier, but too many are ejected */            \
  X (EJECTED, "ejected") /* gets nothing */                                    \
  X (PROBING, "probing") /* gets a few requests */

enum server_health_state
{
#define SERVER_HEALTH_ENUM(id, name) SERVER_HEALTH_##id,
  SERVER_HEALTH_STATES (SERVER_HEALTH_ENUM)
#undef SERVER_HEALTH_ENUM
};

#define SERVER_HEALTH_PROBE_SLOTS 2 /* requests in flight of a probe */
#define SERVER_HEALTH_PROBE_INTERVAL_US                                        \
  (250 * CLK_MS) /* between starts of probes */
#define SERVER_HEALTH_URGENT_PROBE_INTERVAL_US                                 \
  (2000 * CLK_MS) /* the same for the highest tier                             \
                   */

/* An exponentially weighted mean. */
struct server_health_mean
{
  double value;
  guint n; /* samples */
};

struct server_health
{
  enum server_health_state state;
  struct server_health_mean tbt; /* microseconds */
  struct server_health_mean
      ttft; /* microseconds, for a prompt of common length */
  struct server_health_mean in_flight;  /* when tbt was sampled */
  struct server_health_mean error_rate; /* share of results */
  guint consecutive_failures;
  guint consecutive_connect_failures; /* connecting failed */
  guint successes;      /* results without failure since the reset */
  gboolean stalled;     /* work in flight, but no tokens */
  gint64 state_since;   /* clock time of the last change of state */
  gint64 ejected_until; /* end of the ejection, clock time */
  gint64 last_probe;    /* clock time of the last start of a probe */
  guint ejections;      /* in short succession */
};

enum server_health_result
{
  SERVER_HEALTH_SUCCESS,
  SERVER_HEALTH_FAILURE,
  SERVER_HEALTH_UNREACHABLE
};

void server_health_mean_add (struct server_health_mean *mean, double value,
                             double weight);
void server_health_init (struct server_health *server_health, gint64 now);
void server_health_add_tbt (struct server_health *server_health, gint64 tbt_us,
                            guint in_flight);
void server_health_add_ttft (struct server_health *server_health,
                             gint64 ttft_us, guint prompt_tokens);
void server_health_add_result (struct server_health *server_health,
                               enum server_health_result result);
guint server_health_review (struct server_health *const *peers, guint n,
                            gint64 now, GRand *rand);
guint server_health_slots (const struct server_health *server_health,
                           guint limit);
gboolean server_health_probe_due (const struct server_health *server_health,
                                  gint64 now, gboolean urgent);
void server_health_probe_started (struct server_health *server_health,
                                  gint64 now);
const char *server_health_state_name (enum server_health_state state);

#endif

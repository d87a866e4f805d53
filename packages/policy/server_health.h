/* Outlier detection for backend servers. Compares the time between tokens
   (tbt), the time to first token (ttft) and the failures of a server, as
   measured by the ingress, with those of its peers, the other servers of the
   group under review. An outlier is ejected for some time and then probed with
   a few requests. Load reports of the servers themselves are not used.  */
#ifndef SERVER_HEALTH_H
#define SERVER_HEALTH_H

#include "base/clock.h"

/* X (NAME, "name"); the name stands in dumps */
#define SERVER_HEALTH_STATES(X)                                                \
  X (OK, "ok")                                                                 \
  X (SUSPECT, "suspect") /* an outlier, but too many are ejected already */    \
  X (EJECTED, "ejected") /* gets no requests */                                \
  X (PROBING, "probing") /* gets a few requests */

enum server_health_state
{
#define SERVER_HEALTH_ENUM(id, name) SERVER_HEALTH_##id,
  SERVER_HEALTH_STATES (SERVER_HEALTH_ENUM)
#undef SERVER_HEALTH_ENUM
};

/* Requests in flight at a server that is being probed.  */
#define SERVER_HEALTH_PROBE_SLOTS 2

/* Time between the starts of two probes of a server. Requests of the highest
   tier serve as probes only after the longer time, if no others came.  */
#define SERVER_HEALTH_PROBE_INTERVAL_US (250 * CLK_MS)
#define SERVER_HEALTH_URGENT_PROBE_INTERVAL_US (2000 * CLK_MS)

/* An exponentially weighted moving average. */
struct server_health_mean
{
  double value;
  guint n; /* samples */
};

struct server_health
{
  enum server_health_state state;
  struct server_health_mean tbt;  /* microseconds */
  struct server_health_mean ttft; /* microseconds, for a reference prompt */
  struct server_health_mean in_flight;  /* at the samples of tbt */
  struct server_health_mean error_rate; /* share of failed results */
  guint consecutive_failures;
  guint consecutive_connect_failures;
  guint successes;      /* since the last change of state */
  gboolean stalled;     /* requests in flight, but no tokens arrive */
  gint64 state_since;   /* clock time */
  gint64 ejected_until; /* clock time */
  gint64 last_probe;    /* clock time at which the last probe started */
  guint ejections;      /* since the back-off was reset */
};

enum server_health_result
{
  SERVER_HEALTH_SUCCESS,
  SERVER_HEALTH_FAILURE,
  SERVER_HEALTH_UNREACHABLE /* connecting failed */
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

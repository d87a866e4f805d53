/* Load generator: many clients on one main loop send completion requests to
   instances or engines and check the responses. The loop is closed (each client
   sends its next request after the response) or open (requests arrive as a
   Poisson process).  */
#ifndef TRAFFIC_H
#define TRAFFIC_H

#include <glib.h>

struct traffic_options
{
  const char *const *targets; /* "IP:PORT", ..., NULL; used round-robin */
  const char *key;            /* of the team; NULL: none */
  const char *model;
  const char *const *classes; /* "NAME=SHARE", ..., NULL; NULL: none */
  double rate_per_s;          /* open loop; 0: closed */
  guint clients;              /* open loop: the most busy at once */
  gint64 think_us;   /* closed loop: mean time from a response to a request */
  gboolean stream;   /* server-sent events */
  guint tokens;      /* of each response; 0: derived from the prompt */
  guint spread;      /* responses have up to this many tokens more or less */
  guint prompt_size; /* approximate, bytes */
  guint prefixes;    /* number of different prompt prefixes */
  guint64 seed;
  gint64 warmup_us; /* before the measurement */
  gint64 duration_us;
  gboolean abort_at_end; /* instead of waiting for responses */
};

struct traffic_result
{
  double seconds;   /* measured */
  guint64 requests; /* with a complete and correct response */
  guint64 tokens;
  guint64 aborted;    /* disconnected at the end or after the drain time-out */
  guint64 dropped;    /* open loop: arrivals that found no idle client */
  GArray *ttft_us;    /* gint64; time to first token */
  GArray *tbt_us;     /* gint64; time between tokens */
  GArray *total_us;   /* gint64; to the end of the response */
  GHashTable *errors; /* code -> number of requests as GSIZE_TO_POINTER */
};

void traffic_run (const struct traffic_options *options,
                  struct traffic_result *result);
void traffic_result_clear (struct traffic_result *result);
gint64 traffic_percentile (GArray *values, double share);
guint64 traffic_errors (const struct traffic_result *result);
void traffic_print (const struct traffic_result *result, const char *prefix);

#endif

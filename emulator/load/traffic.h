/* Load of many callers on one loop: closed (each caller sends its next request
   after the answer) or open (arrivals as a Poisson process).  */
#ifndef TRAFFIC_H
#define TRAFFIC_H

#include <glib.h>

struct traffic_options
{
  const char *const *targets; /* "IP:PORT", ..., NULL; used in turn */
  const char *key;            /* of the team; NULL: none */
  const char *model;
  const char *const *classes; /* "NAME=SHARE", ..., NULL; NULL: none */
  double rate_per_s;          /* open loop; 0: closed */
  guint clients;              /* closed loop: callers; open: most at once */
  gint64 think_us;   /* closed loop: mean time from an answer to a request */
  gboolean stream;   /* server-sent events */
  guint tokens;      /* of each answer; 0: as the prompt has it */
  guint spread;      /* answers have up to so many tokens more or less */
  guint prompt_size; /* bytes, about */
  guint prefixes;    /* number of different prefixes of prompts */
  guint64 seed;
  gint64 warmup_us; /* not measured */
  gint64 duration_us;
  gboolean abort_at_end; /* at the end: hang up, instead of waiting for the
                            answers */
};

struct traffic_result
{
  double seconds;   /* measured */
  guint64 requests; /* answered right and whole */
  guint64 tokens;
  guint64 aborted;    /* hung up at the end */
  guint64 dropped;    /* open loop: arrivals that found no caller free */
  GArray *ttft_us;    /* gint64; to the first byte of text */
  GArray *tbt_us;     /* gint64; between tokens */
  GArray *total_us;   /* gint64; to the end of the answer */
  GHashTable *errors; /* code: number, GSIZE_TO_POINTER */
};

void traffic_run (const struct traffic_options *options,
                  struct traffic_result *result);
void traffic_result_clear (struct traffic_result *result);
gint64 traffic_percentile (GArray *values, double share);
guint64 traffic_errors (const struct traffic_result *result);
void traffic_print (const struct traffic_result *result, const char *prefix);

#endif

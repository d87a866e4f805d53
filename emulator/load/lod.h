/* Load of many callers on one loop: closed (each caller sends its next request
   after the answer) or open (arrivals as a Poisson process).  */
#ifndef LOD_H
#define LOD_H

#include <glib.h>

struct lod_options
{
  const char *const *targets; /* "IP:PORT", ..., NULL; used in turn */
  const char *key;            /* of the team; NULL: none */
  const char *model;
  const char *const *classes; /* "NAME=SHARE", ..., NULL; NULL: none */
  double rate_per_s;          /* open loop; 0: closed */
  guint callers;              /* closed loop: callers; open: most at once */
  gint64 think_us;   /* closed loop: mean time from an answer to a request */
  gboolean stream;   /* server-sent events */
  guint tokens;      /* of each answer; 0: as the prompt has it */
  guint spread;      /* answers have up to so many tokens more or less */
  guint prompt_size; /* bytes, about */
  guint prefixes;    /* number of different prefixes of prompts */
  guint64 seed;
  gint64 warmup_us; /* not measured */
  gint64 duration_us;
  gboolean cut; /* at the end: hang up, instead of waiting for the answers */
};

struct lod_result
{
  double seconds;   /* measured */
  guint64 requests; /* answered right and whole */
  guint64 tokens;
  guint64 cut;        /* hung up at the end */
  guint64 dropped;    /* open loop: arrivals that found no caller free */
  GArray *ttft_us;    /* gint64; to the first byte of text */
  GArray *tbt_us;     /* gint64; between tokens */
  GArray *total_us;   /* gint64; to the end of the answer */
  GHashTable *errors; /* code: number, GSIZE_TO_POINTER */
};

void lod_run (const struct lod_options *options, struct lod_result *result);
void lod_result_clear (struct lod_result *result);
gint64 lod_percentile (GArray *values, double share);
guint64 lod_errors (const struct lod_result *result);
void lod_print (const struct lod_result *result, const char *prefix);

#endif

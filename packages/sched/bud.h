/* Budget of attempts beyond the first, over a sliding window, for one service
   and shared by all instances: each takes the part that its own requests earn
   and its share of the allowance that all have together.  */
#ifndef BUD_H
#define BUD_H

#include "base/clock.h"

#define BUD_BUCKETS 10

struct bud_options
{
  double ratio;     /* attempts beyond the first for each request */
  guint slack;      /* further attempts of all instances in a window */
  gint64 window_us; /* length of the window */
};

struct bud_bucket
{
  guint requests;
  guint repeats;
};

struct bud
{
  struct bud_options options;
  struct bud_bucket buckets[BUD_BUCKETS];
  guint current;
  gint64 current_start; /* clock time */
};

void bud_init (struct bud *bud, const struct bud_options *options, gint64 now);
void bud_request (struct bud *bud, gint64 now);
gboolean bud_allows (struct bud *bud, guint instances, gint64 now);
void bud_repeat (struct bud *bud, gint64 now);

#endif

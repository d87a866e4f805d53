/* Holds back large requests while more urgent ones are rejected for overload,
   here or at another instance of the failure domain. Does no I/O.  */
#ifndef OVERLOAD_HOLD_H
#define OVERLOAD_HOLD_H

#include <glib.h>

#include "base/clock.h"

#define OVERLOAD_HOLD_TIERS 10

/* The rejections of one tier for overload.  */
struct overload_hold_tier
{
  gint64 rejected_at; /* clock time of the last one; 0: none */
  double tokens;      /* mean prompt length of the recent ones */
};

/* The rejections of one service, by tier.  */
struct overload_hold
{
  struct overload_hold_tier tiers[OVERLOAD_HOLD_TIERS];
};

/* A rejection as instances tell each other about it.  */
struct overload_rejection
{
  guint32 service_key; /* overload_hold_service_key */
  guint tier;
  guint tokens; /* mean prompt length of the recent ones */
  gint64 at;    /* clock time of the last one */
};

guint32 overload_hold_service_key (const char *service);
void overload_hold_record (struct overload_hold *hold, guint tier, guint tokens,
                           gint64 at);
gboolean overload_hold_applies (const struct overload_hold *hold, guint tier,
                                guint tokens, gint64 now);
gboolean overload_hold_is_recent (const struct overload_hold *hold, guint tier,
                                  gint64 now);

#endif

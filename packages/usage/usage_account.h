/* Counts the requests of each team by windows of true time, at this instance
   and as other instances have reported. Tables are merged by maximum, so a
   report may be lost, repeated or reordered. No I/O.  */
#ifndef USAGE_ACCOUNT_H
#define USAGE_ACCOUNT_H

#include "base/clock.h"
#include "base/str.h"

/* Requests of one team in one window. */
struct usage_count
{
  const char *team; /* borrowed */
  guint64 requests;
};

/* What a service was asked for since the start of an instance. */
struct usage_totals
{
  guint64 requests;        /* whose first token or response has come */
  guint64 uncached_tokens; /* of their prompts */
  guint64 output_tokens;
  guint64 rejections; /* for overload, by this instance */
};

/* What all instances together need of a service. */
struct usage_demand
{
  double requests_per_s;
  double uncached_tokens_per_s;
  double output_tokens_per_s;
  double rejections_per_s;
};

struct usage_account;

struct usage_account *usage_account_new (gint64 window_us, const char *instance,
                                         guint32 incarnation);
void usage_account_free (struct usage_account *account);
/* A server has produced the first token of a request of TEAM at TRUE_NOW. */
void usage_account_add_request (struct usage_account *account, struct str team,
                                gint64 true_now);
void usage_account_add_totals (struct usage_account *account,
                               const char *service, const char *domain,
                               const struct usage_totals *more);
/* Returns the demand for SERVICE that comes from DOMAIN (NULL: all). */
struct usage_demand usage_account_demand (const struct usage_account *account,
                                          const char *service,
                                          const char *domain, gint64 true_now);

#endif

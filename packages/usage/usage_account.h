/* Counts the requests of each team by windows of true time, at this instance
   and as other instances have reported. Tables are merged by maximum, so a
   report may be lost, repeated or reordered. Times are true time, in
   microseconds since 1970. No I/O.  */
#ifndef USAGE_ACCOUNT_H
#define USAGE_ACCOUNT_H

#include "base/clock.h"
#include "base/str.h"
#include "usage/usage_message.h"

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

/* What is known of a window. */
struct usage_window_state
{
  /* Some instance has counted it that was there before it ended. If not, all
     that counted it have lost what they had. */
  gboolean is_known;
  /* Instances that may have counted more in it than has arrived. */
  guint n_missing;
  char missing[48]; /* address of one of them */
};

struct usage_account;

struct usage_account *usage_account_new (gint64 window_us, const char *instance,
                                         guint32 incarnation);
void usage_account_free (struct usage_account *account);
/* Sets the time; called regularly, and before the functions without one. */
void usage_account_tick (struct usage_account *account, gint64 true_now);
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

gboolean usage_account_fill (struct usage_account *account, guint64 since,
                             gboolean is_settled, gint64 true_now,
                             struct usage_message *message);
guint64 usage_account_merge (struct usage_account *account, guint32 ip,
                             const struct usage_message *message,
                             gint64 true_now);
void usage_account_member (struct usage_account *account, guint32 ip,
                           const char *domain, gint64 alive_at);
void usage_account_set_interval (struct usage_account *account,
                                 gint64 interval_us);
struct usage_window_state
usage_account_window_state (struct usage_account *account, guint64 window,
                            gint64 true_now);
void usage_account_sum (struct usage_account *account, guint64 window,
                        gint64 true_now, GArray *counts);
guint usage_account_n_peers (const struct usage_account *account);
gsize usage_account_bytes (const struct usage_account *account);
guint64 usage_account_lost (const struct usage_account *account);

#endif

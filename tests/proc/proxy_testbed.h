/* What the test programs with a proxy site have in common.  */
#ifndef PROXY_TESTBED_H
#define PROXY_TESTBED_H

#include "harness/proxy_site.h"
#include "unit/unit.h"

#include <signal.h>

#define PROXY_TESTBED_SETTLE_MS 8000   /* normally all requests end sooner */
#define PROXY_TESTBED_TIMEOUT_MS 25000 /* of routes, if it does not matter */
#define PROXY_TESTBED_IDLE_MS 30000    /* of idle connections, likewise */
#define PROXY_TESTBED_KEY_LIMIT_MS 2500
/* After SIGTERM connections are accepted and requests read for 2.5 s. */
#define PROXY_TESTBED_LATEST_SEND_MS 2400

/* Not every test program uses every function. */
#pragma GCC diagnostic ignored "-Wunused-function"

static struct proxy_site *site;

static const struct proxy_site_config proxy_testbed_config
    = { .timeout_ms = PROXY_TESTBED_TIMEOUT_MS,
        .idle_ms = PROXY_TESTBED_IDLE_MS };

/* Creates a site without instances. SLOTS: requests that a server takes at
   once; 0: any number. OUTLASTS_GRACE: as in the options.  */
static void
proxy_testbed_start (const struct proxy_site_config *config, guint slots,
                     gboolean outlasts_grace)
{
  const struct proxy_site_options options
      = { .config = *config,
          .key_limit_ms = PROXY_TESTBED_KEY_LIMIT_MS,
          .slots = slots,
          .outlasts_grace = outlasts_grace };
  site = proxy_site_new (&options);
}

static struct proxy_site_instance *
proxy_testbed_add (void)
{
  struct proxy_site_instance *instance = proxy_site_add (site);
  CU_ASSERT_PTR_NOT_NULL_FATAL (instance);
  return instance;
}

/* Waits for the end of the process, which must come with status 0 and within
   the grace time, counted from the sending of the signal.  */
static void
proxy_testbed_check_stopped (struct proxy_site_instance *instance)
{
  CU_ASSERT_EQUAL (proxy_site_wait_ended (instance, 2 * instance->grace_ms), 0);
  gint64 us = instance->ended_at - instance->terminated_at;
  g_print ("%s ended %.3f s after SIGTERM\n", instance->proc->name,
           (double)us / 1e6);
  CU_ASSERT_TRUE (us < (gint64)instance->grace_ms * 1000);
}

/* Waits for the end of all requests and checks them.  */
static struct proxy_site_counts
proxy_testbed_finish (void)
{
  CU_ASSERT_TRUE (proxy_site_settle (site, PROXY_TESTBED_SETTLE_MS));
  struct proxy_site_counts counts = proxy_site_check (site);
  CU_ASSERT_EQUAL (counts.violations, 0);
  return counts;
}

/* Returns a call whose route, response and way of sending depend on NUMBER.  */
static struct proxy_site_call
proxy_testbed_call (guint number, guint respond_ms)
{
  static const struct
  {
    const char *path;
    const char *key;
    enum proxy_site_response response;
  } kinds[] = {
    { "/open/x", NULL, PROXY_SITE_PLAIN },
    { "/once/x", PROXY_SITE_KEY, PROXY_SITE_PLAIN },
    { "/openfeed/x", NULL, PROXY_SITE_STREAM },
    { "/feed/x", PROXY_SITE_KEY, PROXY_SITE_STREAM },
    { "/again/x", PROXY_SITE_KEY, PROXY_SITE_LONG },
  };
  guint kind = number % G_N_ELEMENTS (kinds);
  guint pieces = number / G_N_ELEMENTS (kinds) % PROXY_SITE_PIECES_N;
  return (struct proxy_site_call){ .path = kinds[kind].path,
                                   .key = kinds[kind].key,
                                   .response = kinds[kind].response,
                                   .respond_ms = respond_ms,
                                   .pieces = (enum proxy_site_pieces)pieces,
                                   .piece_ms = number % 20 };
}

#endif

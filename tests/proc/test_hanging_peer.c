/* An instance that announces newer data and never sends it. The others fetched
   from it, one time-out after the other, and learned of servers that leave
   later than the drain time.  */
#include "harness/fleet_clients.h"
#include "net/tcp_listener.h"
#include "net/udp.h"
#include "peer/gossip.h"
#include "unit/unit.h"

#include <signal.h>
#include <string.h>
#include <unistd.h>

#define SERVERS 6 /* that leave one after the other */
#define SETTLED_MS 3000
#define HANG_MS 2000 /* from the first announcement to the first leaving */
#define TICK_MS 20
#define DRAIN_MS 3000   /* the users' bound, from the store's acknowledgement */
#define HANGING_HOST 60 /* last number of its address */

struct testbed
{
  struct proxy_fleet *fleet;
  struct gossip *gossip;
  struct udp *udp;
  struct tcp_listener *listener;
  struct registry *registry;
  struct server_load_table *loads;
  guint peer_port;
  guint64 digest;
  gint64 last_tick;
  guint fetches; /* connections to the hanging instance */
};

static void
ignore_change (void *ctx, const struct registry_change *change)
{
  (void)ctx;
  (void)change;
}

/* Leaves the connection open, and never answers.  */
static void
on_fetch (void *ctx, int fd, const char *peer)
{
  struct testbed *testbed = ctx;
  (void)peer;
  (void)fd;
  testbed->fetches++;
}

static void
on_datagram (void *ctx, guint32 ip, struct str bytes)
{
  struct testbed *testbed = ctx;
  struct gossip_update update;
  struct prefix_directory *directory = NULL;
  struct err err = { 0 };
  gossip_receive (testbed->gossip, ip, bytes, clk_now (clk_boottime ()),
                  testbed->registry, testbed->loads, directory, &update, &err);
}

static void
send_datagram (void *ctx, guint32 ip, struct str bytes)
{
  struct testbed *testbed = ctx;
  udp_send (testbed->udp, ip, testbed->peer_port, bytes);
}

/* Announces a list of servers that is newer than all others.  */
static void
announce (struct testbed *testbed)
{
  gint64 now = clk_now (clk_boottime ());
  if (now - testbed->last_tick < TICK_MS * CLK_MS)
    return;
  testbed->last_tick = now;
  const struct gossip_local_state state
      = { .config_version = 1,
          .config_age_us = GOSSIP_AGE_UNKNOWN,
          .server_list_digest = ++testbed->digest,
          .server_list_age_us = 0 };
  gossip_tick (testbed->gossip, &state, testbed->registry, testbed->loads, now,
               send_datagram, testbed);
}

static void
run_for (struct testbed *testbed, guint ms)
{
  gint64 end = g_get_monotonic_time () + ms * CLK_MS;
  while (g_get_monotonic_time () < end)
    {
      announce (testbed);
      if (!g_main_context_iteration (NULL, FALSE))
        g_usleep (500);
    }
}

/* Starts the hanging instance, in the network of the FLEET.  */
static void
start_hanging (struct testbed *testbed)
{
  struct err err = { 0 };
  guint32 seeds[PROXY_FLEET_INSTANCES];
  const char *first = testbed->fleet->instances[0].address;
  gsize net = (gsize)(strrchr (first, '.') - first);
  /* The instances take requests, readiness checks and peers on three ports in
     this order. */
  testbed->peer_port = (guint)atoi (strchr (first, ':') + 1) + 2;
  g_autofree char *address = g_strdup_printf ("%.*s.%u:%u", (int)net, first,
                                              HANGING_HOST, testbed->peer_port);
  for (guint i = 0; i < PROXY_FLEET_INSTANCES; i++)
    CU_ASSERT_TRUE (
        udp_ip_parse (testbed->fleet->instances[i].address, &seeds[i]));
  guint32 ip;
  CU_ASSERT_TRUE (udp_ip_parse (address, &ip));
  const struct gossip_options options = { .id = "hanging",
                                          .domain = "d0",
                                          .ip = ip,
                                          .incarnation = 7,
                                          .seeds = seeds,
                                          .n_seeds = G_N_ELEMENTS (seeds) };
  testbed->gossip = gossip_new (&options, clk_now (clk_boottime ()));
  testbed->registry = registry_new (ignore_change, NULL);
  testbed->loads = server_load_table_new ();
  testbed->udp = udp_new (address, on_datagram, testbed, &err);
  testbed->listener = tcp_listener_new (address, on_fetch, testbed, &err);
  CU_ASSERT_PTR_NOT_NULL_FATAL (testbed->udp);
  CU_ASSERT_PTR_NOT_NULL_FATAL (testbed->listener);
}

/* Writes that server NUMBER is leaving.  */
static void
leave (struct testbed *testbed, guint number)
{
  g_autofree char *path = g_strdup_printf ("/objects/servers/s-%u-0", number);
  struct harness_request request
      = { .port = testbed->fleet->store->port, .path = path };
  struct harness_response *before = harness_request (&request);
  GString *entry = g_string_new (before->body->str);
  CU_ASSERT_EQUAL (g_string_replace (entry, "\"ready\"", "\"draining\"", 1), 1);
  const char *headers[]
      = { "If-Match", g_hash_table_lookup (before->headers, "etag"), NULL };
  request.method = "PUT";
  request.headers = headers;
  request.body = entry->str;
  struct harness_response *response = harness_request (&request);
  CU_ASSERT_EQUAL (response->status, 200);
  harness_response_free (response);
  harness_response_free (before);
  g_string_free (entry, TRUE);
}

/* Runs until N notices of leaving servers were logged, and returns the time
   that takes, which is limited.  */
static gint64
wait_for_notices (struct testbed *testbed, guint n)
{
  gint64 start = g_get_monotonic_time ();
  while (proxy_fleet_count_logged (testbed->fleet, "server.leaving") < n
         && g_get_monotonic_time () - start < 2 * DRAIN_MS * CLK_MS)
    run_for (testbed, TICK_MS);
  return g_get_monotonic_time () - start;
}

/* The designated reader stands still from the moment in which each server
   leaves.  */
static void
test_leaving_servers (void)
{
  struct testbed testbed = { .digest = 1 };
  guint failures = CU_get_number_of_failures ();
  gint64 slowest = 0;
  testbed.fleet
      = proxy_fleet_new (JW_SOURCE_DIR "/platform/test_crash_config.json");
  for (guint i = 0; i < SERVERS; i++)
    proxy_fleet_list_server (testbed.fleet, i, 0, 1 + i);
  proxy_fleet_launch (testbed.fleet);
  proxy_fleet_run_for (SETTLED_MS);
  start_hanging (&testbed);
  run_for (&testbed, HANG_MS);
  for (guint i = 0; i < SERVERS; i++)
    {
      guint others = (i + 1) * PROXY_FLEET_INSTANCES - 1;
      harness_signal (testbed.fleet->instances[0].proc, SIGSTOP);
      leave (&testbed, i);
      gint64 took = wait_for_notices (&testbed, others);
      slowest = MAX (slowest, took);
      harness_signal (testbed.fleet->instances[0].proc, SIGCONT);
      wait_for_notices (&testbed, others + 1);
      run_for (&testbed, HANG_MS);
    }
  g_print ("slowest notice: %" G_GINT64_FORMAT " ms; %u fetches from the"
           " hanging instance\n",
           slowest / CLK_MS, testbed.fetches);
  CU_ASSERT_TRUE (testbed.fetches > 0);
  CU_ASSERT_TRUE (slowest <= DRAIN_MS * CLK_MS);
  if (CU_get_number_of_failures () > failures)
    harness_explain (testbed.fleet->harness);
  tcp_listener_free (testbed.listener);
  udp_free (testbed.udp);
  gossip_free (testbed.gossip);
  server_load_table_free (testbed.loads);
  registry_free (testbed.registry);
  proxy_fleet_free (testbed.fleet);
}

static CU_TestInfo tests[] = {
  { "servers leave, the reader stops, and an instance hangs",
    test_leaving_servers },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "hanging_peer", NULL, NULL, NULL, NULL, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)

/* Runs one case.  */
#include "explore/explore_world.h"

#include <dirent.h>

#define SETTLE_MS 10 /* after the client is done */

struct explore_world explore_world;

gboolean
explore_is_stream (enum explore_route route)
{
  return route >= EXPLORE_ROUTE_STREAM;
}

gboolean
explore_may_repeat (enum explore_route route)
{
  return route == EXPLORE_ROUTE_AGAIN || route == EXPLORE_ROUTE_RESUME
         || route == EXPLORE_ROUTE_RESUME3;
}

guint
explore_attempts (enum explore_route route)
{
  switch (route)
    {
    case EXPLORE_ROUTE_ONCE:
    case EXPLORE_ROUTE_STREAM:
      return 1;
    case EXPLORE_ROUTE_RESUME3:
      return 3;
    case EXPLORE_ROUTE_AGAIN:
    case EXPLORE_ROUTE_ONCE2:
    case EXPLORE_ROUTE_RESUME:
    case EXPLORE_ROUTE_N:
      break;
    }
  return 2;
}

const char *
explore_path (enum explore_route route)
{
#define X(id, word) "/" word "/x/y",
  static const char *const paths[] = { EXPLORE_ROUTES (X) };
#undef X
  return paths[route];
}

gboolean
explore_server_ends (enum explore_server server)
{
  return server == EXPLORE_SERVER_NOTHING_END
         || server == EXPLORE_SERVER_HEAD_END;
}

static gboolean
a_server_ends (void)
{
  for (guint i = 0; i < EXPLORE_ATTEMPTS; i++)
    if (explore_server_ends (explore_world.c.servers[i]))
      return TRUE;
  return FALSE;
}

/* Returns the time-out of the routes of the case, in milliseconds.  */
guint
explore_timeout_ms (void)
{
  return a_server_ends () ? EXPLORE_TRIAL_TIMEOUT_MS : EXPLORE_TIMEOUT_MS;
}

/* Returns the deadline of a client that asks for a shorter one.  */
guint
explore_short_ms (void)
{
  return a_server_ends () ? EXPLORE_TRIAL_SHORT_MS : EXPLORE_SHORT_MS;
}

/* Returns whether servers of several versions of the software serve in cases
   with EVENT.  */
gboolean
explore_has_versions (enum explore_event event)
{
  return event == EXPLORE_EVENT_VERSIONS || event == EXPLORE_EVENT_RELEASE;
}

/* Sets up servers of two versions, or of one that others replace later.  */
static void
set_up_versions (void)
{
  const struct stream_versions_options options = { .ctx = NULL };
  gboolean has_versions = explore_has_versions (explore_world.c.event);
  proxy_test_stream_versions
      = has_versions ? stream_versions_new (&options, proxy_test_now (NULL))
                     : NULL;
  for (guint i = 0; i < PROXY_TEST_SERVERS; i++)
    proxy_test_versions[i]
        = !has_versions                                              ? NULL
          : explore_world.c.event == EXPLORE_EVENT_VERSIONS && i > 1 ? "v2"
                                                                     : "v1";
  if (has_versions)
    version_table_read (stream_versions_table (proxy_test_stream_versions),
                        STR_LIT ("versions 1 1 0\npool ?\n"), 0,
                        proxy_test_now (NULL));
}

static guint
count_descriptors (void)
{
  guint n = 0;
  DIR *dir = opendir ("/proc/self/fd");
  while (dir != NULL && readdir (dir) != NULL)
    n++;
  if (dir != NULL)
    closedir (dir);
  return n;
}

static void
request_free (gpointer data)
{
  struct explore_request *request = data;
  g_string_free (request->body, TRUE);
  g_free (request);
}

static void
arrival_free (gpointer data)
{
  struct explore_arrival *arrival = data;
  g_string_free (arrival->body, TRUE);
  g_free (arrival->position);
  g_free (arrival);
}

static void
set_up (void)
{
  static struct counter_set counter_set;
  const struct suspects_options suspects_options
      = { .seed = 1, .counter_set = &counter_set };
  proxy_test_suspects = suspects_new (&suspects_options);
  set_up_versions ();
  proxy_test_timeout_us = explore_timeout_ms () * CLK_MS;
  /* With one server the next request gets the connection of the one before. */
  proxy_test_start (
      explore_world.c.client == EXPLORE_CLIENT_NEXT ? 1 : PROXY_TEST_SERVERS);
  struct routing_table *routing_table = proxy_test_table (1, PROXY_TEST_KEY);
  proxy_test_add_route (routing_table, "resume3", ROUTING_STREAM, TRUE, 3,
                        FALSE);
  proxy_set_table (proxy_test.reverse_proxy, routing_table);
  proxy_confirm_version (proxy_test.reverse_proxy, 1, proxy_test_now (NULL));
  routing_table_unref (routing_table);
  proxy_test_script_all (explore_serve);
}

/* Checks that the requests have left nothing in the scheduler, and no attempt
   as a trial of its parts.  */
static void
check_remains (struct explore_result *result)
{
  struct suspects_trial trials[SUSPECTS_TRIALS_MAX];
  suspects_expire (proxy_test_suspects, proxy_test_now (NULL) + CLK_S);
  if (suspects_trials (proxy_test_suspects, trials, SUSPECTS_TRIALS_MAX,
                       proxy_test_now (NULL))
      > 0)
    explore_break (result, EXPLORE_RULE_REMAINS, "a part is still tried");
  if (scheduler_n_waiting (proxy_test.scheduler) > 0)
    explore_break (result, EXPLORE_RULE_REMAINS, "a request is still queued");
  guint n;
  struct registry_server *const *servers
      = registry_servers (proxy_test.registry, &n);
  for (guint i = 0; i < n; i++)
    if (server_load_own (scheduler_loads (proxy_test.scheduler),
                         servers[i]->number)
            ->requests
        > 0)
      explore_break (result, EXPLORE_RULE_REMAINS,
                     "a place at %s is still taken", servers[i]->entry.id);
}

void
explore_run (const struct explore_case *c, struct explore_result *result)
{
  guint descriptors = count_descriptors ();
  explore_world = (struct explore_world){ .c = *c, .result = result };
  explore_world.requests = g_ptr_array_new_with_free_func (request_free);
  explore_world.arrivals = g_ptr_array_new_with_free_func (arrival_free);
  explore_world.surplus = g_string_new (NULL);
  set_up ();
  explore_play_client ();
  proxy_test_run_for (SETTLE_MS);
  explore_check ();
  check_remains (result);
  proxy_test_stop ();
  g_clear_pointer (&proxy_test_suspects, suspects_free);
  g_clear_pointer (&proxy_test_stream_versions, stream_versions_free);
  if (count_descriptors () > descriptors)
    explore_break (result, EXPLORE_RULE_REMAINS, "%u descriptors more",
                   count_descriptors () - descriptors);
  g_ptr_array_unref (explore_world.requests);
  g_ptr_array_unref (explore_world.arrivals);
  g_string_free (explore_world.surplus, TRUE);
}

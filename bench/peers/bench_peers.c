/* Traffic of the gossip between instances at the size that users aim for: 390
   instances in 11 failure domains, 680 backend servers. Each instance has 4
   requests at each server of its failure domain and places 5 long prompts per
   second. Time and network are simulated.

   Then servers crash, ten a second, each under a request with a part that only
   it has and one that requests at all instances have: the instances tell each
   other at once of crashes, trials and what is cleared.

   Prints the bytes per second that an instance sends, and in how many instances
   the load of a busy server is missing. Exits with 1 if a message could not be
   decoded or an instance misses the load.  */
#include "unit/gossip_world.h"

#define INSTANCES 390
#define DOMAINS 11
#define SERVERS 680
#define SEED 9
#define MEASURE_S 4
#define PLACEMENTS_PER_S 5 /* of each instance */
#define PLACEMENT_INTERVAL_US (200 * CLK_MS)

#define POPULAR_PART 7 /* key */
#define CRASH_INTERVAL_US (100 * CLK_MS)
#define CRASHES_S 10

/* What an instance knows of crashes.  */
struct watcher
{
  struct suspects *suspects;
  struct suspects_attempt attempt; /* a trial */
  struct prompt_parts parts;
  gboolean changed;
  gboolean own; /* here */
};

static struct watcher watchers[INSTANCES];
static struct suspects *suspects[INSTANCES];
static struct counter_set counter_set;

static void
on_suspects_changed (void *ctx, gboolean own)
{
  struct watcher *watcher = ctx;
  watcher->changed = TRUE;
  watcher->own |= own;
}

static void
open_watchers (void)
{
  for (guint i = 0; i < INSTANCES; i++)
    {
      const struct suspects_options options = { .seed = SEED + i,
                                                .counter_set = &counter_set,
                                                .changed = on_suspects_changed,
                                                .ctx = &watchers[i] };
      watchers[i].suspects = suspects[i] = suspects_new (&options);
      watchers[i].parts
          = (struct prompt_parts){ .keys = { POPULAR_PART }, .n = 1 };
    }
  net.suspects = suspects;
}

static void
crash (guint i, guint number)
{
  const struct prompt_parts parts
      = { .keys = { POPULAR_PART, 1000 + number }, .n = 2 };
  struct suspects_attempt attempt = { 0 };
  guint64 server = 1 + number;
  suspects_begin (suspects[i], &attempt, &parts, server, net.now);
  suspects_broke (suspects[i], &attempt, SUSPECTS_HEAD, net.now);
  suspects_server_checked (suspects[i], server, SUSPECTS_SERVER_ENDED, net.now);
}

/* A request with the popular part arrives at each instance; a trial that is in
   progress gets its event. Returns the number of trials.  */
static guint
request_popular_part (void)
{
  guint trials = 0;
  for (guint i = 0; i < INSTANCES; i++)
    {
      struct watcher *watcher = &watchers[i];
      suspects_wrote (watcher->suspects, &watcher->attempt, net.now);
      suspects_expire (watcher->suspects, net.now);
      if (suspects_check (watcher->suspects, &watcher->parts, 0, net.now)
          != SUSPECTS_TRIAL)
        continue;
      suspects_begin (watcher->suspects, &watcher->attempt, &watcher->parts, 1,
                      net.now);
      trials++;
    }
  return trials;
}

/* Lets servers crash for CRASHES_S. Returns the number of trials.  */
static guint
run_crashes (void)
{
  guint trials = 0;
  gint64 end = net.now + CRASHES_S * CLK_S;
  for (guint steps = 0; net.now < end; steps++)
    {
      if (steps % (CRASH_INTERVAL_US / STEP_US) == 0)
        crash ((guint)g_rand_int_range (net.rand, 0, INSTANCES), steps);
      trials += request_popular_part ();
      for (guint i = 0; i < INSTANCES; i++)
        {
          struct watcher *watcher = &watchers[i];
          if (watcher->changed)
            gossip_hurry (net.nodes[i].gossip, watcher->own, net.now);
          watcher->changed = watcher->own = FALSE;
        }
      step (STEP_US);
    }
  return trials;
}

static void
print_bytes (const char *what, guint seconds)
{
  guint64 busiest = 0;
  guint64 total = 0;
  for (guint i = 0; i < INSTANCES; i++)
    {
      busiest = MAX (busiest, net.nodes[i].bytes);
      total += net.nodes[i].bytes;
      net.nodes[i].bytes = 0;
    }
  g_print ("%s_mean %" G_GUINT64_FORMAT " B/s\n", what,
           total / INSTANCES / seconds);
  g_print ("%s_busiest %" G_GUINT64_FORMAT " B/s\n", what, busiest / seconds);
}

int
main (void)
{
  open_watchers ();
  start (INSTANCES, DOMAINS, SEED);
  net.servers = SERVERS;
  for (guint i = 0; i < INSTANCES; i++)
    {
      list_servers (&net.nodes[i]);
      for (guint k = i % DOMAINS; k < SERVERS; k += DOMAINS)
        {
          char id[16];
          g_snprintf (id, sizeof id, "e-%u", k);
          guint number = registry_find (net.nodes[i].registry, id)->number;
          *server_load_own (net.nodes[i].server_load_table, number)
              = (struct server_load){ 4, 1, 1, 9000, 40000 };
        }
    }
  step (6 * CLK_S);
  for (guint i = 0; i < INSTANCES; i++)
    net.nodes[i].bytes = 0;
  for (guint s = 0; s < MEASURE_S * PLACEMENTS_PER_S; s++)
    {
      for (guint i = 0; i < INSTANCES; i++)
        {
          struct prefix_prompt prompt
              = { .blocks = { { i * 100 + s, 6000 }, { 6, 10 } }, .n = 2 };
          gossip_add_placement (net.nodes[i].gossip,
                                registry_find (net.nodes[i].registry, "e-7"),
                                &prompt, FALSE);
        }
      step (PLACEMENT_INTERVAL_US);
    }
  guint missing = 0;
  for (guint i = 0; i < INSTANCES; i++)
    {
      struct node *node = &net.nodes[i];
      guint number = registry_find (node->registry, "e-7")->number;
      missing
          += server_load_total (node->server_load_table, number).requests == 0;
    }
  print_bytes ("peer_bytes_out", MEASURE_S);
  guint trials = run_crashes ();
  print_bytes ("peer_crash_bytes_out", CRASHES_S);
  g_print ("peer_crash_trials %u\n", trials);
  g_print ("peer_messages_unread %u\n", net.undecodable);
  g_print ("peer_load_missing %u\n", missing);
  gboolean failed = net.undecodable > 0 || missing > 0;
  stop ();
  for (guint i = 0; i < INSTANCES; i++)
    suspects_free (suspects[i]);
  return failed;
}

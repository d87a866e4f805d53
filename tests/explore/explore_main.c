/* explore_exchange [--case FILE] [--seconds N] [--seed N] [--jobs N]

   Without options plays all pairs of servers, of client and server, and of
   event and server, then each planted fault until a rule breaks. With --seconds
   it goes on with random cases. Prints "cases N", "planted N", "planted_found
   N" and a script for each broken rule. Exit status 0: no rule was broken and
   all planted faults were found; 1: not so; 2: wrong input.  */
#include "explore/explore.h"

#include <stdio.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#define JOBS_DEFAULT 6  /* most of the time is spent in waiting */
#define REPORTS_MAX 100 /* broken cases that a process prints */
#define PLANT_CASES_MAX 1000

static gint jobs = JOBS_DEFAULT;
static gint seconds;
static gint seed = 1;
static char *case_file;

static const GOptionEntry options[]
    = { { "case", 0, 0, G_OPTION_ARG_FILENAME, &case_file,
          "plays the cases of FILE", "FILE" },
        { "seconds", 0, 0, G_OPTION_ARG_INT, &seconds,
          "plays random cases for so long", "N" },
        { "seed", 0, 0, G_OPTION_ARG_INT, &seed, "of the random cases", "N" },
        { "jobs", 0, 0, G_OPTION_ARG_INT, &jobs, "processes", "N" },
        { NULL } };

/* Counts of a process, sent to its parent.  */
struct counts
{
  guint cases;
  guint broken;
};

static void
add_case (GArray *cases, enum explore_route route, enum explore_client client,
          enum explore_server first, enum explore_server second,
          enum explore_event event)
{
  const struct explore_case c = { route, client, { first, second }, event };
  g_array_append_val (cases, c);
}

/* Returns the cases of the exhaustive part.  */
static GArray *
all_cases (void)
{
  static const enum explore_route pair_routes[]
      = { EXPLORE_ROUTE_RESUME, EXPLORE_ROUTE_RESUME3, EXPLORE_ROUTE_AGAIN,
          EXPLORE_ROUTE_ONCE2 };
  GArray *cases = g_array_new (FALSE, FALSE, sizeof (struct explore_case));
  for (guint r = 0; r < G_N_ELEMENTS (pair_routes); r++)
    for (guint a = 0; a < EXPLORE_SERVER_N; a++)
      for (guint b = 0; b < EXPLORE_SERVER_N; b++)
        add_case (cases, pair_routes[r],
                  r == 0 ? EXPLORE_CLIENT_AFTER : EXPLORE_CLIENT_READ, a, b,
                  EXPLORE_EVENT_NONE);
  for (guint r = 0; r < EXPLORE_ROUTE_N; r++)
    for (guint a = 0; a < EXPLORE_SERVER_N; a++)
      {
        for (guint c = 0; c < EXPLORE_CLIENT_N; c++)
          add_case (cases, r, c, a, EXPLORE_SERVER_COMPLETE,
                    EXPLORE_EVENT_NONE);
        for (guint e = 1; e < EXPLORE_EVENT_N; e++)
          {
            add_case (cases, r, EXPLORE_CLIENT_READ, a, EXPLORE_SERVER_COMPLETE,
                      e);
            if (explore_has_versions (e))
              add_case (cases, r, EXPLORE_CLIENT_BACK, a,
                        EXPLORE_SERVER_EVENTS_CLOSE, e);
          }
      }
  return cases;
}

static struct explore_case
random_case (GRand *rand)
{
  struct explore_case c = { 0 };
  c.route = (enum explore_route)g_rand_int_range (rand, 0, EXPLORE_ROUTE_N);
  c.client = (enum explore_client)g_rand_int_range (rand, 0, EXPLORE_CLIENT_N);
  for (guint i = 0; i < G_N_ELEMENTS (c.servers); i++)
    c.servers[i]
        = (enum explore_server)g_rand_int_range (rand, 0, EXPLORE_SERVER_N);
  c.event = (enum explore_event)g_rand_int_range (rand, 0, EXPLORE_EVENT_N);
  return c;
}

/* Returns the rules that C breaks.  */
static guint
broken_rules (const struct explore_case *c)
{
  struct explore_result result;
  explore_result_init (&result);
  explore_run (c, &result);
  guint broken = result.broken;
  explore_result_clear (&result);
  return broken;
}

/* Replaces words of C by simpler ones as long as a rule of BROKEN breaks.  */
static void
simplify (struct explore_case *c, guint broken)
{
  struct explore_case simpler = *c;
  simpler.event = EXPLORE_EVENT_NONE;
  if (broken_rules (&simpler) & broken)
    *c = simpler;
  simpler = *c;
  simpler.client = EXPLORE_CLIENT_READ;
  if (broken_rules (&simpler) & broken)
    *c = simpler;
  for (guint i = EXPLORE_ATTEMPTS; i-- > 0;)
    {
      simpler = *c;
      simpler.servers[i] = EXPLORE_SERVER_COMPLETE;
      if (broken_rules (&simpler) & broken)
        *c = simpler;
    }
}

static void
play (const struct explore_case *c, struct counts *counts)
{
  struct explore_result result;
  explore_result_init (&result);
  explore_run (c, &result);
  counts->cases++;
  if (result.broken != 0 && counts->broken++ < REPORTS_MAX)
    {
      struct explore_case smaller = *c;
      simplify (&smaller, result.broken);
      char *text = explore_case_text (c);
      char *small = explore_case_text (&smaller);
      printf ("broken: %s\n%s  smaller: %s\n", text, result.why->str, small);
      g_free (small);
      g_free (text);
    }
  explore_result_clear (&result);
}

/* Plays each JOBS-th case from NUMBER on, then random ones.  */
static struct counts
play_share (const GArray *cases, guint number)
{
  struct counts counts = { 0 };
  for (guint i = number; i < cases->len; i += (guint)jobs)
    play (&g_array_index (cases, struct explore_case, i), &counts);
  GRand *rand = g_rand_new_with_seed ((guint32)seed * 1000 + number);
  gint64 end = g_get_monotonic_time () + seconds * G_TIME_SPAN_SECOND;
  while (seconds > 0 && g_get_monotonic_time () < end)
    {
      struct explore_case c = random_case (rand);
      play (&c, &counts);
    }
  g_rand_free (rand);
  return counts;
}

/* Returns whether C has what planted fault PLANT takes; a case that has not may
   show it too, but few do.  */
static gboolean
is_likely (const struct explore_case *c, guint plant)
{
  switch (plant)
    {
    case 4:
      return c->servers[1] == EXPLORE_SERVER_NO_CONTENT
             || c->servers[1] == EXPLORE_SERVER_OTHER_TYPE;
    case 12:
      return c->servers[0] == EXPLORE_SERVER_SPLIT;
    case 16:
      return c->servers[0] == EXPLORE_SERVER_PART_CLOSE;
    case 17:
      return c->client == EXPLORE_CLIENT_NEXT;
    case 18:
      return c->route == EXPLORE_ROUTE_RESUME3
             && c->servers[0] == EXPLORE_SERVER_NOTHING_END
             && c->servers[1] == EXPLORE_SERVER_NOTHING_END;
    case 19:
      return c->servers[0] == EXPLORE_SERVER_HEAD_END;
    case 23:
    case 24:
      return explore_has_versions (c->event)
             && c->servers[0] == EXPLORE_SERVER_EVENTS_CLOSE;
    case 21:
      return c->servers[1] == EXPLORE_SERVER_FAILS_STREAM;
    default:
      return TRUE;
    }
}

/* Plays cases with planted fault PLANT until one breaks a rule.  */
static struct counts
play_plant (const GArray *cases, guint plant)
{
  struct counts counts = { 0 };
  GRand *rand = g_rand_new_with_seed (plant);
  explore_plant = plant;
  while (counts.broken == 0 && counts.cases < PLANT_CASES_MAX)
    {
      guint i = (guint)g_rand_int_range (rand, 0, (gint)cases->len);
      const struct explore_case *c
          = &g_array_index (cases, struct explore_case, i);
      if (!is_likely (c, plant))
        continue;
      counts.broken += broken_rules (c) != 0;
      counts.cases++;
    }
  g_rand_free (rand);
  return counts;
}

/* Runs a share of the cases or, if PLANT isn't 0, a planted fault in a process
   of its own. Returns the descriptor from which its counts are read.  */
static int
start_process (const GArray *cases, guint number, guint plant)
{
  int fds[2];
  fflush (stdout);
  if (pipe (fds) < 0)
    g_error ("pipe failed");
  pid_t pid = fork ();
  if (pid < 0)
    g_error ("fork failed");
  if (pid > 0)
    {
      close (fds[1]);
      return fds[0];
    }
  struct counts counts
      = plant > 0 ? play_plant (cases, plant) : play_share (cases, number);
  fflush (stdout);
  gssize n = write (fds[1], &counts, sizeof counts);
  _exit (n == sizeof counts ? 0 : 1);
}

/* Returns the counts of a process. One that ended without them has broken a
   rule.  */
static struct counts
read_counts (int fd)
{
  struct counts counts;
  if (read (fd, &counts, sizeof counts) != sizeof counts)
    {
      printf ("broken: a process ended in the middle of a case\n");
      counts = (struct counts){ .broken = 1 };
    }
  close (fd);
  while (waitpid (-1, NULL, WNOHANG) > 0)
    ;
  return counts;
}

static struct counts
play_cases (const GArray *cases)
{
  struct counts sum = { 0 };
  int *fds = g_new0 (int, jobs);
  for (gint i = 0; i < jobs; i++)
    fds[i] = start_process (cases, (guint)i, 0);
  for (gint i = 0; i < jobs; i++)
    {
      struct counts counts = read_counts (fds[i]);
      sum.cases += counts.cases;
      sum.broken += counts.broken;
    }
  g_free (fds);
  return sum;
}

/* Returns the number of planted faults that were found.  */
static guint
play_plants (const GArray *cases)
{
  guint found = 0;
  int fds[EXPLORE_PLANT_N + 1];
  for (guint from = 1; from <= EXPLORE_PLANT_N; from += (guint)jobs)
    {
      guint to = MIN (from + (guint)jobs - 1, EXPLORE_PLANT_N);
      for (guint plant = from; plant <= to; plant++)
        fds[plant] = start_process (cases, 0, plant);
      for (guint plant = from; plant <= to; plant++)
        {
          struct counts counts = read_counts (fds[plant]);
          found += counts.broken > 0;
          printf ("plant %u %s after %u cases: %s\n", plant,
                  counts.broken > 0 ? "found" : "NOT FOUND", counts.cases,
                  explore_plant_name (plant));
        }
    }
  return found;
}

/* Plays the cases of case_file, one a line; '#' begins a comment. Returns the
   exit status.  */
static int
play_file (void)
{
  char *text;
  GError *error = NULL;
  struct counts counts = { 0 };
  int status = 0;
  if (!g_file_get_contents (case_file, &text, NULL, &error))
    {
      fprintf (stderr, "%s\n", error->message);
      g_error_free (error);
      return 2;
    }
  char **lines = g_strsplit (text, "\n", -1);
  for (guint i = 0; status == 0 && lines[i] != NULL; i++)
    {
      struct explore_case c;
      const char *wrong = "";
      char *end = strchr (lines[i], '#');
      if (end != NULL)
        *end = '\0';
      if (*g_strstrip (lines[i]) == '\0')
        continue;
      if (explore_case_parse (lines[i], &c, &wrong))
        play (&c, &counts);
      else
        {
          fprintf (stderr, "%s:%u: unknown word \"%s\"\n", case_file, i + 1,
                   wrong);
          status = 2;
        }
    }
  g_strfreev (lines);
  g_free (text);
  printf ("cases %u\nbroken %u\n", counts.cases, counts.broken);
  return status != 0 ? status : counts.broken > 0;
}

int
main (int argc, char **argv)
{
  GError *error = NULL;
  GOptionContext *context = g_option_context_new (NULL);
  g_option_context_add_main_entries (context, options, NULL);
  if (!g_option_context_parse (context, &argc, &argv, &error) || argc > 1
      || jobs < 1)
    {
      fprintf (stderr, "%s\n",
               error ? error->message : "unexpected argument; see --help");
      return 2;
    }
  g_option_context_free (context);
  /* The first case opens descriptors that GLib keeps. */
  const struct explore_case plain = { 0 };
  broken_rules (&plain);
  if (case_file != NULL)
    return play_file ();
  gint64 started = g_get_monotonic_time ();
  GArray *cases = all_cases ();
  struct counts counts = play_cases (cases);
  gint64 elapsed = g_get_monotonic_time () - started;
  guint found = play_plants (cases);
  printf ("seed %d\ncases %u\ncases_per_s %.0f\nbroken %u\nplanted %u\n"
          "planted_found %u\n",
          seed, counts.cases,
          counts.cases / ((double)elapsed / G_TIME_SPAN_SECOND), counts.broken,
          EXPLORE_PLANT_N, found);
  g_array_unref (cases);
  return counts.broken > 0 || found < EXPLORE_PLANT_N;
}

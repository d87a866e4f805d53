#include "fleet/read_schedule.h"

/* Addresses this load pattern: a store with paid and limited calls that
   hundreds of instances depend on. One instance, the designated reader, reads
   for all, and its peers get the data from each other. The next ones in rank
   take over, one after the other, if the data has not been confirmed for a
   while. All further instances follow at random times that keep the rate of
   their reads together constant, however many there are: they matter only if
   the store serves few instances and none of the first ones.

   The same holds when all instances start at once. Only the seeds read then;
   the others hear from them, or read after a random delay if they do not.  */

#define DESIGNATED_READ_US                                                     \
  (900 * CLK_MS) /* the designated reader reads at this age */
#define TAKE_OVER_US (1500 * CLK_MS)     /* age at which others take over */
#define TAKE_OVER_STEP_US (150 * CLK_MS) /* each further rank waits longer */
#define TAKE_OVER_RANK_MAX 6
/* The instances beyond TAKE_OVER_RANK_MAX together make about two reads in
   this time. */
#define FLEET_READ_US (100 * CLK_MS)
/* The same when peers have newer data that could not be fetched from them. */
#define FLEET_NEWER_US (2 * CLK_MS)
/* An instance that starts and is not a seed waits for its peers: at least so
   long, and longer by a random time of at most this spread. */
#define START_WAIT_US (1200 * CLK_MS)
#define START_SPREAD_US (2000 * CLK_MS)
/* Age of the own confirmation above which fresh ones at peers mean that they do
   not reach this instance. */
#define UNCONFIRMED_US (3500 * CLK_MS)
#define RETRY_US (150 * CLK_MS) /* after a failure, doubling */
#define RETRY_DOUBLINGS 2

/* Returns a number from 0 to 1 that changes with each read.  */
static double
random_share (const struct read_schedule *schedule)
{
  return (schedule->random >> 8) / (double)(1 << 24);
}

/* Draws the next number of a linear congruential generator.  */
static void
draw (struct read_schedule *schedule)
{
  schedule->random = schedule->random * 1664525u + 1013904223u;
}

void
read_schedule_init (struct read_schedule *schedule,
                    const struct read_schedule_options *options)
{
  *schedule
      = (struct read_schedule){ .options = *options, .random = options->seed };
  draw (schedule);
}

/* Returns a random time from 0 to INTERVAL microseconds for each of INSTANCES
   instances.  */
static gint64
fleet_delay (const struct read_schedule *schedule, guint instances,
             gint64 interval)
{
  return (gint64)(random_share (schedule) * (double)instances
                  * (double)interval);
}

/* Returns whether data of this AGE is old enough for this instance to read.  */
static gboolean
is_old (const struct read_schedule *schedule, gint64 now, gint64 age,
        const struct read_schedule_peers *peers)
{
  if (peers->rank == 0)
    return age >= DESIGNATED_READ_US;
  gint64 limit = TAKE_OVER_US
                 + TAKE_OVER_STEP_US * MIN (peers->rank, TAKE_OVER_RANK_MAX);
  if (peers->rank <= TAKE_OVER_RANK_MAX)
    return age >= limit;
  gint64 delay = fleet_delay (schedule, peers->instances, FLEET_READ_US);
  return age >= limit + delay
         && (schedule->failed_at == 0 || now - schedule->failed_at >= delay);
}

/* Returns whether a read is due. AGE is the time since the data was last
   confirmed to be the newest; G_MAXINT64: never.  */
gboolean
read_schedule_is_due (const struct read_schedule *schedule, gint64 now,
                      gint64 age, const struct read_schedule_peers *peers)
{
  gint64 uptime = now - schedule->options.now;
  if (schedule->started_at != 0 || now < schedule->not_before)
    return FALSE;
  if (schedule->newer_at != 0
      && now - schedule->newer_at
             >= fleet_delay (schedule, peers->instances, FLEET_NEWER_US))
    return TRUE;
  if (age <= uptime)
    return is_old (schedule, now, age, peers);
  if (schedule->options.is_seed)
    return TRUE;
  if (!peers->heard)
    return uptime >= START_WAIT_US
                         + (gint64)(random_share (schedule) * START_SPREAD_US);
  return is_old (schedule, now, uptime, peers);
}

/* Returns whether peers have fresh confirmations that do not reach this
   instance, as when one direction is cut. A configuration that has just arrived
   from a peer is not confirmed before the next message.  */
gboolean
read_schedule_is_cut_off (const struct read_schedule_confirmation *confirmation)
{
  return confirmation->peer_age <= READ_SCHEDULE_FRESH_US
         && MIN (confirmation->age, confirmation->known_for) > UNCONFIRMED_US;
}

/* Records that peers have newer data, which could not be fetched from them.  */
void
read_schedule_peers_failed (struct read_schedule *schedule, gint64 now)
{
  if (schedule->newer_at == 0)
    schedule->newer_at = now;
}

/* Records the start of a read.  */
void
read_schedule_started (struct read_schedule *schedule, gint64 now)
{
  schedule->started_at = now;
  schedule->newer_at = 0;
}

/* Records the end of the read, OK if the store answered.  */
void
read_schedule_done (struct read_schedule *schedule, gint64 now, gboolean ok)
{
  schedule->started_at = 0;
  schedule->failures = ok ? 0 : schedule->failures + 1;
  schedule->failed_at = ok ? 0 : now;
  schedule->not_before = now;
  draw (schedule);
  if (!ok)
    schedule->not_before += RETRY_US
                            << MIN (schedule->failures - 1, RETRY_DOUBLINGS);
}

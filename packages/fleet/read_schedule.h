/* Decides when to read from the store: which instance reads for the others, how
   an instance gets its first data, and how long to wait after a failure. It
   does no I/O.  */
#ifndef READ_SCHEDULE_H
#define READ_SCHEDULE_H

#include "base/clock.h"

struct read_schedule_options
{
  gint64 now;       /* clock time of the start */
  guint32 seed;     /* of the random delays */
  gboolean is_seed; /* other instances contact this one first */
};

/* The other instances, as far as this one knows them. */
struct read_schedule_peers
{
  guint rank;      /* instances that take precedence in reading */
  guint instances; /* all of them, including this one */
  gboolean heard;  /* a message from another instance has arrived */
};

/* A peer's confirmation of the configuration is fresh up to this age. */
#define READ_SCHEDULE_FRESH_US (1000 * CLK_MS)

/* What is known of confirmations that the configuration is the newest.  */
struct read_schedule_confirmation
{
  gint64 age;       /* of the own one; G_MAXINT64: none */
  gint64 known_for; /* time since the configuration arrived */
  gint64 peer_age;  /* time since a peer told that it has a fresh one;
                       G_MAXINT64: none has */
};

struct read_schedule
{
  struct read_schedule_options options;
  gint64 not_before; /* clock time before which no read starts */
  gint64 started_at; /* clock time; 0: no read in progress */
  guint failures;    /* consecutive failures */
  gint64 failed_at; /* clock time of the last one; 0: the last read succeeded */
  gint64 newer_at;  /* clock time since which peers have newer data that could
                       not be fetched from them; 0: none */
  guint32 random;   /* state of the random numbers */
};

void read_schedule_init (struct read_schedule *schedule,
                         const struct read_schedule_options *options);
gboolean read_schedule_is_due (const struct read_schedule *schedule, gint64 now,
                               gint64 age,
                               const struct read_schedule_peers *peers);
gboolean read_schedule_is_cut_off (
    const struct read_schedule_confirmation *confirmation);
void read_schedule_peers_failed (struct read_schedule *schedule, gint64 now);
void read_schedule_started (struct read_schedule *schedule, gint64 now);
void read_schedule_done (struct read_schedule *schedule, gint64 now,
                         gboolean ok);

#endif

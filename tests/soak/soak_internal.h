/* What the parts of the soak share: the state of a run (soak.c) and the random
   faults (soak_faults.c).  */
#ifndef SOAK_INTERNAL_H
#define SOAK_INTERNAL_H

#include "harness/harness.h"
#include "soak/fault_proxy.h"
#include "soak/soak_instance.h"
#include "soak/soak_traffic.h"

#define SOAK_KEYS 3
#define SOAK_SUPERVISE_INTERVAL_MS 20
/* Longest time-out of the routes.  */
#define SOAK_ROUTE_TIMEOUT_MAX_MS 7000

struct soak
{
  struct harness *harness;
  struct harness_process *store;
  struct soak_traffic *traffic;
  /* Between the instances and each server.  */
  struct fault_proxy *server_proxies[SOAK_SERVERS];
  struct soak_instance *instances[SOAK_INSTANCES_MAX];
  guint n_instances;
  GRand *rand;                   /* for the schedule */
  GRand *send_rand;              /* for the requests and for restarts */
  GRand *stream_rand;            /* for the servers that break off streams */
  GString *schedule;             /* log of faults, with their times */
  gint64 started_at;             /* monotonic microseconds */
  guint64 config_version;        /* newest one */
  gboolean key_valid[SOAK_KEYS]; /* in the configuration */
  gboolean server_down[SOAK_SERVERS];
  gboolean store_paused;
  gboolean store_ended;
  guint timeout_ms;    /* of the routes, in the newest configuration */
  guint pending_steps; /* scheduled ones */
  guint supervisor;    /* GLib source */
  gboolean verbose;
};

extern struct soak soak;

/* Adds a line with the time to the schedule.  */
void soak_record_step (const char *format, ...) G_GNUC_PRINTF (1, 2);
/* Writes a configuration with the keys that are valid now.  */
void soak_put_config (gboolean create);
/* Writes the entry of server I. One that is not leaving begins a new life of
   the server.  */
void soak_put_server (guint i, gboolean leaving, gboolean create);
/* Lets requests with key number WHICH run again.  */
void soak_restore_key (guint which);
/* Sends a request to a random instance or, if that refuses connections, to the
   next one that does not.  */
void soak_send_one (void);
/* Runs the main loop for MS milliseconds.  */
void soak_run_for (guint ms);
/* Sends requests and starts random faults for SECONDS, and until those that
   they have scheduled are over.  */
void soak_inject_faults (guint seconds);

#endif

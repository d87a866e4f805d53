/* Several real reverse proxies in three failure domains before one stand-in
   store, as processes. Clients and servers run on the main loop of the test. */
#ifndef PROXY_FLEET_H
#define PROXY_FLEET_H

#include "base/err.h"
#include "harness/harness.h"

#define PROXY_FLEET_INSTANCES 7
#define PROXY_FLEET_DOMAINS 3

struct proxy_fleet_instance
{
  struct harness_process *proc;
  char *settings; /* path */
  char *log;      /* path, of the present process */
  char address[ERR_PEER_MAX];
};

/* A write that servers go on trying while the store is down.  */
struct proxy_fleet_write
{
  char *name;
  char *body; /* NULL: delete */
};

struct proxy_fleet
{
  struct harness *harness;
  struct harness_process *store;
  struct proxy_fleet_instance instances[PROXY_FLEET_INSTANCES];
  guint slots;         /* of servers listed from now on; 0: 64 */
  const char *service; /* of servers listed from now on; NULL: pool */
  const char *version; /* of their software; NULL: v1 */
  guint memory_mb;     /* setting of the instances; 0: the default */
  guint n_killed;      /* instances */
  guint n_frozen;      /* instances, now and before */
  gboolean store_is_down;
  GPtrArray *unwritten; /* of struct proxy_fleet_write, until it is back */
};

/* Starts the store, with the configuration of the file CONFIG.  */
struct proxy_fleet *proxy_fleet_new (const char *config);
void proxy_fleet_free (struct proxy_fleet *fleet);
/* Starts the instances. Does not wait until they are ready.  */
void proxy_fleet_launch (struct proxy_fleet *fleet);
/* Kills the next instance and starts it again.  */
void proxy_fleet_kill_instance (struct proxy_fleet *fleet);
/* Kills all instances at once.  */
void proxy_fleet_end_all (struct proxy_fleet *fleet);
/* Starts all instances again.  */
void proxy_fleet_start_all (struct proxy_fleet *fleet);
/* The store responds to no call, or does so again.  */
void proxy_fleet_set_store_down (struct proxy_fleet *fleet, gboolean down);
/* Resumes the instance that is frozen, if one is, and freezes the next one.  */
void proxy_fleet_freeze_next (struct proxy_fleet *fleet);
/* Resumes the instance that is frozen, if one is.  */
void proxy_fleet_resume (struct proxy_fleet *fleet);
/* Writes the entry of a server of service pool, listening on PORT.  */
void proxy_fleet_list_server (const struct proxy_fleet *fleet, guint number,
                              guint life, guint port);
void proxy_fleet_unlist_server (const struct proxy_fleet *fleet, guint number,
                                guint life);
/* Returns how many times the instances have logged EVENT.  */
guint proxy_fleet_count_logged (const struct proxy_fleet *fleet,
                                const char *event);
/* Returns what the present process of instance NUMBER has logged; owned by the
   caller.  */
char *proxy_fleet_log (const struct proxy_fleet *fleet, guint number);
/* Runs the main loop for MS.  */
void proxy_fleet_run_for (guint ms);

#endif

/* The entry: callers' HTTP requests in, attempts on backend servers out. It
   turns both into events of the node and carries out the node's actions.  */
#ifndef ENT_H
#define ENT_H

#include <gio/gio.h>

#include "backend/backend_client.h"
#include "base/counter.h"
#include "base/err.h"
#include "node/core.h"

struct ent;

struct ent_limits
{
  gsize body_bytes;        /* of a request */
  gsize header_bytes;      /* of a request */
  guint requests;          /* in progress */
  gint64 arrival_us;       /* for a whole request to arrive */
  gint64 caller_stall_us;  /* a caller that reads nothing is cut after this */
  gint64 backend_stall_us; /* an engine that sends nothing is left */
};

struct ent_options
{
  const char *listen; /* IP:PORT; port 0: chosen by the kernel */
  struct str_id self;
  struct core *core;                     /* borrowed */
  struct backend_client *backend_client; /* borrowed */
  struct counter_set *counter_set;       /* borrowed */
  struct ent_limits limits;
};

int ent_new (const struct ent_options *options, struct ent **result,
             struct err *err);
void ent_free (struct ent *ent);
guint ent_port (const struct ent *ent);
/* Takes no new connections. */
void ent_stop_listening (struct ent *ent);
/* Carries out OPEN, CANCEL, FAIL, REPLAY and FINISH. */
void ent_act (struct ent *ent, const struct core_action *action);
/* Connections that have not got their whole answer yet. */
guint ent_unfinished (const struct ent *ent);

#endif

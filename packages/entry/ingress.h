/* The entry: callers' HTTP requests in, attempts on backend servers out. It
   turns both into events of the node and carries out the node's actions.  */
#ifndef INGRESS_H
#define INGRESS_H

#include <gio/gio.h>

#include "backend/bkd.h"
#include "base/counter.h"
#include "base/err.h"
#include "node/core.h"

struct ingress;

struct ingress_limits
{
  gsize body_bytes;        /* of a request */
  gsize header_bytes;      /* of a request */
  guint requests;          /* in progress */
  gint64 arrival_us;       /* for a whole request to arrive */
  gint64 client_stall_us;  /* a caller that reads nothing is cut after this */
  gint64 backend_stall_us; /* an engine that sends nothing is left */
};

struct ingress_options
{
  const char *listen; /* IP:PORT; port 0: chosen by the kernel */
  struct str_id self;
  struct core *core;               /* borrowed */
  struct bkd *bkd;                 /* borrowed */
  struct counter_set *counter_set; /* borrowed */
  struct ingress_limits limits;
};

int ingress_new (const struct ingress_options *options, struct ingress **result,
                 struct err *err);
void ingress_free (struct ingress *ingress);
guint ingress_port (const struct ingress *ingress);
/* Takes no new connections. */
void ingress_stop_listening (struct ingress *ingress);
/* Carries out OPEN, CANCEL, FAIL, REPLAY and FINISH. */
void ingress_execute (struct ingress *ingress,
                      const struct core_action *action);
/* Connections that have not got their whole answer yet. */
guint ingress_unfinished (const struct ingress *ingress);

#endif

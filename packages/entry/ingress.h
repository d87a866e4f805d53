/* HTTP ingress: accepts requests of clients and sends them to backend servers.
   It turns both sides into events of the core and carries out the core's
   actions.  */
#ifndef INGRESS_H
#define INGRESS_H

#include <gio/gio.h>

#include "backend/backend_client.h"
#include "base/counter.h"
#include "base/err.h"
#include "node/core.h"

struct ingress;

struct ingress_limits
{
  gsize body_bytes;        /* of a request body */
  gsize header_bytes;      /* of a request's headers */
  guint requests;          /* in progress at the same time */
  gint64 arrival_us;       /* for a complete request to arrive */
  gint64 client_stall_us;  /* a client that reads nothing for this long is
                              disconnected */
  gint64 backend_stall_us; /* an attempt on an engine that sends nothing for
                              this long fails */
};

struct ingress_options
{
  const char *listen; /* IP:PORT; port 0: chosen by the kernel */
  struct str_id self; /* this instance */
  struct core *core;  /* borrowed */
  struct backend_client *backend_client; /* borrowed */
  struct counter_set *counter_set;       /* borrowed */
  struct ingress_limits limits;
};

int ingress_new (const struct ingress_options *options, struct ingress **result,
                 struct err *err);
void ingress_free (struct ingress *ingress);
guint ingress_port (const struct ingress *ingress);
gboolean ingress_stop_listening (struct ingress *ingress);
void ingress_close_listener (struct ingress *ingress);
void ingress_execute (struct ingress *ingress,
                      const struct core_action *action);
guint ingress_unfinished (const struct ingress *ingress);

#endif

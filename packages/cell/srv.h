/* The backend servers of one cell as its owner knows them.  */
#ifndef SRV_H
#define SRV_H

#include "cell/tkt.h"
#include "config/cfg.h"

struct srv
{
  struct cfg_backend cfg; /* copy of the configuration's entry */
  gboolean gone;          /* left the configuration; drops when idle */
  gboolean leaving;       /* by the list of servers or its own word */
  GQueue in_flight;       /* of struct tkt, granted or running */
};

struct srv *srv_new (const struct cfg_backend *cfg);
void srv_free (struct srv *srv);
gboolean srv_takes_work (const struct srv *srv);
guint srv_limit (const struct srv *srv);
guint srv_free_slots (const struct srv *srv);
void srv_take (struct srv *srv, struct tkt *tkt);
void srv_drop (struct srv *srv, struct tkt *tkt);

#endif

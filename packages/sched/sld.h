/* Load of backend servers: what this instance has sent there, exactly, and
   what its peers say that they have.  */
#ifndef SLD_H
#define SLD_H

#include "base/clock.h"

struct sld_load
{
  guint requests; /* sent and not ended */
  guint tight;    /* of these, streams that bear hardly a pause */
  guint paced;    /* of these, streams that bear short pauses */
  guint64 unread; /* prompt tokens sent whose first event has not come */
  guint64 memory; /* tokens that the requests take of a server's memory */
};

struct sld;

struct sld *sld_new (void);
void sld_free (struct sld *sld);
struct sld_load *sld_own (struct sld *sld, guint server);
void sld_peer (struct sld *sld, guint32 peer, guint server,
               const struct sld_load *load);
void sld_peer_begin (struct sld *sld, guint32 peer, gboolean summary,
                     gint64 now);
void sld_tick (struct sld *sld, gint64 now);
struct sld_load sld_total (const struct sld *sld, guint server);
struct sld_load sld_direct (const struct sld *sld, guint server);
void sld_forget (struct sld *sld, guint server);

#endif

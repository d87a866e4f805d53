/* When to read from the store: who reads for the others of its failure domain,
   and how long to wait after a failure. Without I/O.  */
#ifndef RDR_H
#define RDR_H

#include "base/clock.h"

struct rdr
{
  gint64 next;     /* clock time before which no read starts */
  gint64 started;  /* clock time of the read under way; 0: none */
  guint failures;  /* in a row */
  gboolean wanted; /* a peer knows something newer */
};

gboolean rdr_due (const struct rdr *rdr, gint64 now, gint64 known_age,
                  guint rank);
void rdr_started (struct rdr *rdr, gint64 now);
void rdr_done (struct rdr *rdr, gint64 now, gboolean ok);

#endif

/* Compares the backend servers of each service with each other and ejects
   outliers.  */
#ifndef HEALTH_REVIEW_H
#define HEALTH_REVIEW_H

#include "fleet/registry.h"

/* Called for each service of which servers were ejected: EJECTED of the
   REVIEWED ready ones. */
typedef void (*health_review_ejected) (void *ctx, const char *service,
                                       guint ejected, guint reviewed);

void health_review (struct registry *registry, gint64 now, GRand *rand,
                    health_review_ejected ejected, void *ctx);

#endif

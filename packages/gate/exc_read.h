/* Reading what a request says of itself.  */
#ifndef EXC_READ_H
#define EXC_READ_H

#include "gate/dia.h"
#include "http/htm.h"
#include "route/routing_table.h"
#include "sched/spl.h"

gboolean exr_key (const struct htm_head *head, const struct dia *dia,
                  struct str *key);
void exr_prompt (const struct htm_head *head, const struct dia *dia,
                 const struct routing_route *route,
                 struct spl_request *request);

#endif

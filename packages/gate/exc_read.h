/* Reading what a request says of itself.  */
#ifndef EXC_READ_H
#define EXC_READ_H

#include "gate/dia.h"
#include "http/head.h"
#include "route/rtb.h"
#include "sched/spl.h"

gboolean exr_key (const struct http_head *head, const struct dia *dia,
                  struct str *key);
void exr_prompt (const struct http_head *head, const struct dia *dia,
                 const struct rtb_route *route, struct spl_request *request);

#endif

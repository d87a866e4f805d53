/* What a scheduler knows of its own and the other domains, as the inputs of
   domain_exit_update.  */
#ifndef EXIT_INPUTS_H
#define EXIT_INPUTS_H

#include "sched/domain_exit.h"
#include "sched/placement.h"

void exit_inputs_collect (const struct placement_view *view,
                          gint64 queue_wait_us,
                          struct domain_exit_inputs *inputs);

#endif

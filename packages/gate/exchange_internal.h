/* Shared by the files of a request's life only.  */
#ifndef EXC_INT_H
#define EXC_INT_H

#include "gate/reverse_proxy_internal.h"

gint64 exc_now (const struct exc *exc);
/* Follows the chart; an event that it does not allow is a fault of ours. */
void exc_move (struct exc *exc, enum exc_event event);
void exc_log_end (const struct exc *exc, const char *outcome);
void exc_end_attempt (struct exc *exc);

#endif

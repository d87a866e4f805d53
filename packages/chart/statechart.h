/* Finite state machines that are loaded from the files in charts/. A file
   defines the transitions; code defines the states and events by a binding and
   runs the actions. A file is validated when it is loaded.  */
#ifndef STATECHART_H
#define STATECHART_H

#include "base/err.h"

struct statechart;

#define STATECHART_NONE (-1) /* no state */

/* The names of the states and events in the order of the code's enums. The
   arrays are borrowed.  */
struct statechart_binding
{
  const char *const *states;
  guint n_states;
  const char *const *events;
  guint n_events;
};

int statechart_load (const char *path, const struct statechart_binding *binding,
                     struct statechart **chart, struct err *err);
void statechart_free (struct statechart *chart);
int statechart_initial (const struct statechart *chart);
int statechart_next (const struct statechart *chart, int state, int event);
gboolean statechart_is_final (const struct statechart *chart, int state);
const char *statechart_state_name (const struct statechart *chart, int state);

#endif

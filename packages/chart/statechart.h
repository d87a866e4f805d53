/* State charts: life cycles kept in files under charts/, checked when loaded
   and interpreted by the code that binds to them.  */
#ifndef STATECHART_H
#define STATECHART_H

#include "base/err.h"

struct statechart;

#define STATECHART_NONE (-1)

/* Names the code knows, in the order of its enums; both arrays borrowed.  */
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

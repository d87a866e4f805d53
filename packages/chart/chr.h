/* State charts: life cycles kept in files under charts/, checked when loaded
   and interpreted by the code that binds to them.  */
#ifndef CHR_H
#define CHR_H

#include "base/err.h"

struct chr;

#define CHR_NONE (-1)

/* Names the code knows, in the order of its enums; both arrays borrowed.  */
struct chr_binding
{
  const char *const *states;
  guint n_states;
  const char *const *events;
  guint n_events;
};

int chr_load (const char *path, const struct chr_binding *binding,
              struct chr **chart, struct err *err);
void chr_free (struct chr *chart);
int chr_initial (const struct chr *chart);
int chr_next (const struct chr *chart, int state, int event);
gboolean chr_is_final (const struct chr *chart, int state);
const char *chr_state_name (const struct chr *chart, int state);

#endif

/* Checks a configuration file: errors, entries that can never match, limits
   that contradict each other.  */
#ifndef CONFIG_CHECK_H
#define CONFIG_CHECK_H

#include "base/str.h"

/* Checks TEXT: a cluster configuration (INI) or, if it begins with a brace, a
   routing configuration (JSON). Adds to FINDINGS one newly allocated string for
   each finding, "PLACE: TEXT". Returns FALSE if TEXT is neither.  */
gboolean config_check (struct str text, GPtrArray *findings);

#endif

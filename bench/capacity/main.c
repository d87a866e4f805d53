/* make bench-capacity: the costs of a node against the sizes of the
   deployment, with fitted slopes and the values at the target size.  */
#include "capacity/cap.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

static const struct
{
  const char *name;
  void (*run) (void);
} parts[] = {
  { "control", control_run }, { "work", work_run },
  { "object", object_run },   { "faults", faults_run },
  { "ledger", ledger_run },   { "procs", procs_run },
};

/* Arguments: names of parts; without them everything runs.  */
int
main (int argc, char **argv)
{
  setvbuf (stdout, NULL, _IOLBF, 0);
  for (guint i = 0; i < G_N_ELEMENTS (parts); i++)
    {
      gboolean wanted = argc < 2;
      for (int k = 1; k < argc; k++)
        wanted |= strcmp (argv[k], parts[i].name) == 0;
      if (wanted)
        parts[i].run ();
    }
  return 0;
}

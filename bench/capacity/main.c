/* make bench-capacity: measures the costs of a node as the deployment grows,
   fits a line to them and computes the value at the target size.  */
#include "capacity/benchmarks.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

static const struct
{
  const char *name;
  void (*run) (void);
} parts[] = {
  { "control", idle_control_run },  { "work", requests_run },
  { "object", config_object_run },  { "faults", faults_run },
  { "ledger", keyed_requests_run }, { "procs", processes_run },
};

/* Arguments: names of the benchmarks to run; without any, all run.  */
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

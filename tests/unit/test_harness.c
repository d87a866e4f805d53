/* The processes of a test: their ports and their session.  */
#include "harness/harness.h"
#include "unit/unit.h"

#include <stdio.h>
#include <unistd.h>

#define PLATFORM "emulator/standin/standin_platform"
#define PORTS 300 /* each keeps a socket open */

static void
test_distinct_ports (void)
{
  GHashTable *seen = g_hash_table_new (NULL, NULL);
  for (guint i = 0; i < PORTS; i++)
    g_hash_table_add (seen, GINT_TO_POINTER (harness_free_port ()));
  CU_ASSERT_FALSE (g_hash_table_contains (seen, GINT_TO_POINTER (0)));
  CU_ASSERT_EQUAL (g_hash_table_size (seen), PORTS);
  g_hash_table_unref (seen);
}

/* The kernel must not pick a port for another socket before the process that
   it was handed out for listens.  */
static void
test_not_ephemeral (void)
{
  char *range = NULL;
  int first = 0;
  CU_ASSERT_TRUE_FATAL (g_file_get_contents (
      "/proc/sys/net/ipv4/ip_local_port_range", &range, NULL, NULL));
  CU_ASSERT_EQUAL (sscanf (range, "%d", &first), 1);
  g_free (range);
  CU_ASSERT_TRUE (harness_free_port () < first);
}

/* The kernel sends SIGHUP to stopped processes of a session whose shell ends,
   so the processes of a test, which it stops, are not in the test's session. */
static void
test_own_session (void)
{
  const char *argv[] = { PLATFORM, "--history", "/dev/null", NULL };
  struct harness *harness = harness_new ();
  struct harness_process *proc = harness_start (harness, "standin", argv);
  CU_ASSERT_PTR_NOT_NULL_FATAL (proc);
  CU_ASSERT_TRUE (harness_wait_ready (proc));
  CU_ASSERT_EQUAL (getsid (harness_pid (proc)), harness_pid (proc));
  harness_free (harness);
}

static CU_TestInfo tests[] = {
  { "ports are distinct", test_distinct_ports },
  { "ports are not ephemeral", test_not_ephemeral },
  { "processes have a session of their own", test_own_session },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "harness", NULL, NULL, NULL, NULL, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)

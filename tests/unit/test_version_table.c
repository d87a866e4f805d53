/* A table that names one version of a service while streams of another one go
   on would have them resumed at the wrong one; one that never does makes every
   instance save every stream for ever.  */
#include "unit/unit.h"

#include "streams/version_table.h"

#include <string.h>

#define SETTLE_US (20 * CLK_S)

struct world
{
  struct registry *registry;
  struct version_table *table;
  gint64 now;
};

static void
on_changed (void *ctx, const struct registry_change *change)
{
  (void)ctx;
  (void)change;
}

static struct world
world_new (void)
{
  return (struct world){ .registry = registry_new (on_changed, NULL),
                         .table = version_table_new (),
                         .now = 100 * CLK_S };
}

static void
world_free (struct world *world)
{
  registry_free (world->registry);
  version_table_free (world->table);
}

/* Lists servers of service pool, one of each of VERSIONS, which commas
   separate, and lets US pass.  */
static void
list (struct world *world, const char *versions, gint64 us)
{
  struct registry_entry entries[8];
  g_auto (GStrv) names = g_strsplit (versions, ",", -1);
  guint n = g_strv_length (names);
  memset (entries, 0, sizeof entries);
  for (guint i = 0; i < n; i++)
    {
      g_snprintf (entries[i].id, sizeof entries[i].id, "s-%s", names[i]);
      g_strlcpy (entries[i].service, "pool", sizeof entries[i].service);
      g_strlcpy (entries[i].address, "127.0.0.1:1", sizeof entries[i].address);
      g_strlcpy (entries[i].version, names[i], sizeof entries[i].version);
      entries[i].slots = 1;
      entries[i].start_time_ms = 1;
    }
  for (gint64 end = world->now + us; world->now <= end; world->now += CLK_S)
    {
      registry_update (world->registry, entries, n, world->now);
      version_table_observe (world->table, world->registry, world->now);
    }
}

/* Writes the table if it has to change, for a store in ERA. Returns whether it
   had to.  */
static gboolean
write_due (struct world *world, guint64 era)
{
  if (!version_table_is_due (world->table, SETTLE_US, world->now))
    return FALSE;
  GBytes *text = version_table_propose (world->table,
                                        version_table_number (world->table) + 1,
                                        era, SETTLE_US, world->now);
  gsize n;
  const char *bytes = g_bytes_get_data (text, &n);
  CU_ASSERT_EQUAL (version_table_read (world->table, (struct str){ bytes, n },
                                       era, world->now),
                   0);
  g_bytes_unref (text);
  return TRUE;
}

static void
check_rule (const struct world *world, enum version_rule rule,
            const char *version)
{
  const char *found;
  CU_ASSERT_EQUAL (version_table_rule (world->table, "pool", &found), rule);
  CU_ASSERT_STRING_EQUAL (found, version);
}

static void
test_release (void)
{
  struct world world = world_new ();
  check_rule (&world, VERSION_RULE_UNKNOWN, "");
  list (&world, "v1", 0);
  CU_ASSERT_TRUE (write_due (&world, 0));
  check_rule (&world, VERSION_RULE_ONE, "v1");
  CU_ASSERT_FALSE (version_table_has_several (world.table, "pool"));
  list (&world, "v1,v2", 0);
  CU_ASSERT_TRUE (version_table_has_several (world.table, "pool"));
  check_rule (&world, VERSION_RULE_ONE, "v1");
  CU_ASSERT_TRUE (write_due (&world, 0));
  check_rule (&world, VERSION_RULE_ANY, "");
  list (&world, "v1,v2", 3 * SETTLE_US);
  CU_ASSERT_FALSE (write_due (&world, 0));
  list (&world, "v2", SETTLE_US / 2);
  CU_ASSERT_FALSE (write_due (&world, 0));
  list (&world, "v1,v2", 0);
  list (&world, "v2", SETTLE_US / 2);
  CU_ASSERT_FALSE (write_due (&world, 0));
  list (&world, "v2", SETTLE_US);
  CU_ASSERT_TRUE (write_due (&world, 0));
  check_rule (&world, VERSION_RULE_ONE, "v2");
  world_free (&world);
}

/* After the rule has changed, streams go on to begin at the version before for
   a while, so that an instance with the table of before is not wrong yet; but
   only if a server of it may get them.  */
static void
test_hold (void)
{
  struct world world = world_new ();
  const char *version = "";
  list (&world, "v1", 0);
  write_due (&world, 0);
  list (&world, "v1,v2", 0);
  CU_ASSERT_FALSE (
      version_table_holds (world.table, "pool", world.now, &version));
  write_due (&world, 0);
  gint64 changed_at = world.now;
  CU_ASSERT_TRUE (
      version_table_holds (world.table, "pool", changed_at, &version));
  CU_ASSERT_STRING_EQUAL (version, "v1");
  CU_ASSERT_TRUE (version_table_holds (
      world.table, "pool", changed_at + VERSION_TABLE_HOLD_US - 1, &version));
  CU_ASSERT_FALSE (version_table_holds (
      world.table, "pool", changed_at + VERSION_TABLE_HOLD_US, &version));
  list (&world, "v2", 0);
  CU_ASSERT_FALSE (
      version_table_holds (world.table, "pool", changed_at, &version));
  world_free (&world);
}

/* All servers are replaced between two reads of the list.  */
static void
test_replaced_at_once (void)
{
  struct world world = world_new ();
  list (&world, "v1", 0);
  write_due (&world, 0);
  list (&world, "v2", 0);
  CU_ASSERT_TRUE (version_table_has_several (world.table, "pool"));
  CU_ASSERT_TRUE (write_due (&world, 0));
  check_rule (&world, VERSION_RULE_ANY, "");
  world_free (&world);
}

/* An instance that has just started has not seen for how long one version has
   served alone.  */
static void
test_started (void)
{
  struct world world = world_new ();
  CU_ASSERT_EQUAL (version_table_read (world.table,
                                       STR_LIT ("versions 1 7 0\npool ?\n"), 0,
                                       world.now),
                   0);
  list (&world, "v2", SETTLE_US / 2);
  CU_ASSERT_FALSE (version_table_is_due (world.table, SETTLE_US, world.now));
  list (&world, "v2", SETTLE_US);
  CU_ASSERT_TRUE (write_due (&world, 0));
  check_rule (&world, VERSION_RULE_ONE, "v2");
  world_free (&world);
}

/* The object has no text at all.  */
static void
test_empty (void)
{
  struct version_table *table = version_table_new ();
  const struct str none = { NULL, 0 };
  CU_ASSERT_EQUAL (version_table_read (table, none, 0, 0), ERR_PROTOCOL);
  version_table_free (table);
}

/* A store that is back from an older copy may have a table from before a
   release.  */
static void
test_older_copy (void)
{
  struct world world = world_new ();
  CU_ASSERT_EQUAL (version_table_read (world.table,
                                       STR_LIT ("versions 1 7 1\npool v1\n"), 2,
                                       world.now),
                   0);
  check_rule (&world, VERSION_RULE_ANY, "");
  CU_ASSERT_EQUAL (version_table_read (world.table,
                                       STR_LIT ("versions 1 6 1\npool v1\n"), 2,
                                       world.now),
                   ERR_CONFLICT);
  world_free (&world);
}

static void
test_malformed (void)
{
  static const char *const texts[]
      = { "",
          "versions",
          "versions 2 1 0\npool v1\n",
          "versions 1 0 0\npool v1\n",
          "versions 1 -1 0\npool v1\n",
          "versions 1 18446744073709551615 0\npool v1\n",
          "versions 1 1\npool v1\n",
          "versions 1 1 0\npool\n",
          "versions 1 1 0\npool v1 v2\n",
          "versions 1 1 0\npool \"\n",
          "versions 1 1 0\n/ v1\n" };
  for (guint i = 0; i < G_N_ELEMENTS (texts); i++)
    {
      struct version_table *table = version_table_new ();
      CU_ASSERT_EQUAL (version_table_read (table, str_of (texts[i]), 0, 0),
                       ERR_PROTOCOL);
      CU_ASSERT_EQUAL (version_table_number (table), 0);
      version_table_free (table);
    }
}

static CU_TestInfo tests[] = {
  { "a release", test_release },
  { "streams begin at the version before for a while", test_hold },
  { "all servers replaced at once", test_replaced_at_once },
  { "an instance that has started", test_started },
  { "an older copy of the store", test_older_copy },
  { "malformed tables", test_malformed },
  { "an object without a text", test_empty },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "version_table", NULL, NULL, NULL, NULL, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)

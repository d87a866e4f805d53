#include "unit/unit.h"

#include "config/cluster_config.h"

#include <string.h>

#define DIGEST_A                                                               \
  "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
#define DIGEST_B                                                               \
  "bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb"

/* A small valid configuration; the tests replace parts of it. */
static const char valid_text[]
    = "# first line\n"
      "[jacinthward]\npreset=ordinary\n"
      "[preset:ordinary]\nspill=region\n"
      "[preset:peak]\nspill=anywhere\nclass.low.min_share=0.2\n"
      "class.low.spill=none\n"
      "[preset:maintenance]\nspill=none\nlimit_scale=0.5\n"
      "[domain:d1]\nregion=r1\n"
      "[class:high]\ntier=0\nttft_ms=360\ndeadline_ms=1000\nmin_share=0.5\n"
      "max_waiting=20\nreserved_waiting=5\n"
      "[class:low]\ntier=3\ndeadline_ms=60000\nmin_share=0.1\nmax_waiting=9\n"
      "[team:t1]\nkey_sha256=" DIGEST_A "\nclasses=high;low\n"
      "default_class=low\n"
      "[team:t2]\nkey_sha256=" DIGEST_B "\nclasses=low\ndefault_class=low\n"
      "[model:m]\n[service:s]\n"
      "# the only engine\n"
      "[backend:e1]\naddress=127.0.0.1:9001\npool=m\ndomain=d1\n"
      "max_running=8\nchecks_fence=yes\n"
      "[backend:s1]\naddress=[::1]:9002\npool=s\ndomain=d1\nmax_running=4\n"
      "[operator:ops]\ntoken_sha256=" DIGEST_A "\nwrite=yes\n";

static GPtrArray *
new_problems (void)
{
  return g_ptr_array_new_with_free_func (g_free);
}

static struct cluster_config *
parse_text (const char *text, GPtrArray *problems)
{
  g_autoptr (GBytes) body = g_bytes_new (text, strlen (text));
  return cluster_parse (body, 7, problems);
}

/* Returns TEXT with the first occurrence of OLD replaced by REPLACEMENT; the
   caller frees it.  */
static char *
replace_first (const char *text, const char *old, const char *replacement)
{
  const char *at = strstr (text, old);
  CU_ASSERT_PTR_NOT_NULL (at);
  if (at == NULL)
    return g_strdup (text);
  return g_strdup_printf ("%.*s%s%s", (int)(at - text), text, replacement,
                          at + strlen (old));
}

/* Parses examples/NAME/config.ini and prints its problems.  */
static struct cluster_config *
parse_example (const char *name)
{
  g_autofree char *path
      = g_build_filename (JW_SOURCE_DIR, "examples", name, "config.ini", NULL);
  g_autofree char *text = NULL;
  CU_ASSERT_TRUE (g_file_get_contents (path, &text, NULL, NULL));
  g_autoptr (GPtrArray) problems = new_problems ();
  struct cluster_config *config = parse_text (text ? text : "", problems);
  for (guint i = 0; i < problems->len; i++)
    g_print ("%s\n", (char *)problems->pdata[i]);
  return config;
}

static void
test_examples (void)
{
  static const char *const names[] = { "authority", "cooperative" };
  for (guint i = 0; i < G_N_ELEMENTS (names); i++)
    {
      struct cluster_config *config = parse_example (names[i]);
      CU_ASSERT_PTR_NOT_NULL (config);
      if (config == NULL)
        return;
      CU_ASSERT_EQUAL (config->version, 7);
      CU_ASSERT_EQUAL (config->n_domains, 3);
      CU_ASSERT_EQUAL (config->n_teams, 10);
      CU_ASSERT_EQUAL (config->n_backends, 15);
      CU_ASSERT_EQUAL (config->n_shards, 6);
      cluster_unref (config);
    }
}

static void
test_values (void)
{
  g_autoptr (GPtrArray) problems = new_problems ();
  struct cluster_config *config = parse_text (valid_text, problems);
  CU_ASSERT_EQUAL (problems->len, 0);
  CU_ASSERT_PTR_NOT_NULL (config);
  if (config == NULL)
    return;
  CU_ASSERT_STRING_EQUAL (config->preset.s, "ordinary");
  CU_ASSERT_EQUAL (config->overflow, CLUSTER_OVERFLOW_REGION);
  CU_ASSERT_DOUBLE_EQUAL (config->limit_scale, 1, 0);
  const struct cluster_class *high
      = &config->classes[cluster_find_class (config, STR_LIT ("high"))];
  CU_ASSERT_EQUAL (high->ttft_us, 360000);
  CU_ASSERT_EQUAL (high->tbt_us, 0);
  CU_ASSERT_EQUAL (high->reserved_waiting, 5);
  const struct cluster_team *t1
      = &config->teams[cluster_find_team (config, STR_LIT ("t1"))];
  CU_ASSERT_EQUAL (t1->classes, 3);
  CU_ASSERT_EQUAL (t1->default_class, 1);
  CU_ASSERT_TRUE (config->pools[0].any_method_repeatable);
  CU_ASSERT_FALSE (config->pools[1].any_method_repeatable);
  CU_ASSERT_TRUE (config->backends[0].checks_fence);
  CU_ASSERT_STRING_EQUAL (config->backends[1].address, "[::1]:9002");
  CU_ASSERT_TRUE (config->operators[0].may_write);
  cluster_unref (config);
}

static void
test_preset_overrides (void)
{
  g_autofree char *text
      = replace_first (valid_text, "preset=ordinary", "preset=peak");
  g_autoptr (GPtrArray) problems = new_problems ();
  struct cluster_config *config = parse_text (text, problems);
  CU_ASSERT_PTR_NOT_NULL (config);
  if (config == NULL)
    return;
  int low = cluster_find_class (config, STR_LIT ("low"));
  CU_ASSERT_EQUAL (config->overflow, CLUSTER_OVERFLOW_ANYWHERE);
  CU_ASSERT_DOUBLE_EQUAL (config->classes[low].min_share, 0.2, 0);
  CU_ASSERT_EQUAL (config->classes[low].overflow, CLUSTER_OVERFLOW_NONE);
  CU_ASSERT_EQUAL (config->classes[low].max_waiting, 9);
  cluster_unref (config);
}

static void
test_lookups (void)
{
  g_autofree char *key_sha
      = g_compute_checksum_for_string (G_CHECKSUM_SHA256, "secret", -1);
  g_autofree char *text = replace_first (valid_text, DIGEST_A, key_sha);
  g_autoptr (GPtrArray) problems = new_problems ();
  struct cluster_config *config = parse_text (text, problems);
  CU_ASSERT_PTR_NOT_NULL (config);
  if (config == NULL)
    return;
  CU_ASSERT_EQUAL (cluster_find_team_by_key (config, STR_LIT ("secret")), 0);
  CU_ASSERT_TRUE (cluster_find_team_by_key (config, STR_LIT ("secre")) < 0);
  CU_ASSERT_TRUE (cluster_find_team_by_key (config, STR_LIT ("")) < 0);
  CU_ASSERT_TRUE (cluster_find_operator_by_token (config, STR_LIT ("secret"))
                  < 0);
  CU_ASSERT_EQUAL (cluster_find_pool (config, CLUSTER_SERVICE, STR_LIT ("s")),
                   1);
  CU_ASSERT_TRUE (cluster_find_pool (config, CLUSTER_ENGINE, STR_LIT ("s"))
                  < 0);
  CU_ASSERT_EQUAL (cluster_find_backend (config, STR_LIT ("e1")), 0);
  CU_ASSERT_TRUE (cluster_find_backend (config, STR_LIT ("e1\0x")) < 0);
  CU_ASSERT_EQUAL (cluster_find_shard (config, STR_LIT ("d1:s:0")), 1);
  CU_ASSERT_EQUAL (cluster_find_domain (config, STR_LIT ("d1")), 0);
  CU_ASSERT_TRUE (cluster_find_class (config, STR_LIT ("none")) < 0);
  cluster_unref (config);
}

static void
test_shards (void)
{
  GString *text = g_string_new (valid_text);
  for (guint i = 0; i < 2 * CLUSTER_SHARD_SIZE; i++)
    g_string_append_printf (text,
                            "[backend:x%02u]\naddress=127.0.0.2:%u\npool=m\n"
                            "domain=d1\nmax_running=1\n",
                            i, 1000 + i);
  g_autoptr (GPtrArray) problems = new_problems ();
  struct cluster_config *config = parse_text (text->str, problems);
  g_string_free (text, TRUE);
  CU_ASSERT_PTR_NOT_NULL (config);
  if (config == NULL)
    return;
  guint sizes[8] = { 0 };
  for (guint i = 0; i < config->n_backends; i++)
    sizes[config->backends[i].shard]++;
  CU_ASSERT_EQUAL (config->n_shards, 4);
  CU_ASSERT_EQUAL (sizes[cluster_find_shard (config, STR_LIT ("d1:m:0"))],
                   CLUSTER_SHARD_SIZE);
  CU_ASSERT_EQUAL (sizes[cluster_find_shard (config, STR_LIT ("d1:m:1"))],
                   CLUSTER_SHARD_SIZE);
  CU_ASSERT_EQUAL (sizes[cluster_find_shard (config, STR_LIT ("d1:m:2"))], 1);
  CU_ASSERT_STRING_EQUAL (config->backends[0].name.s, "e1");
  cluster_unref (config);
}

/* A replacement in the valid configuration that makes it invalid, and a part of
   the expected problem. */
struct bad_case
{
  const char *old;
  const char *replacement;
  const char *problem;
};

static const struct bad_case bad_cases[] = {
  { "[domain:d1]", "[zone:d1]\nregion=r1\n[domain:d1]",
    "group [zone:d1]: is unknown; allowed: " },
  { "tier=0", "tier=0\ncolour=red",
    "group [class:high], key colour: is unknown; allowed: tier, " },
  { "tier=0", "tier=8",
    "key tier: \"8\" is wrong; allowed: a whole number "
    "from 0 to 7" },
  { "tier=0", "tier=1x", "key tier: \"1x\" is wrong" },
  { "tier=0", "tier=-1", "key tier: \"-1\" is wrong" },
  { "tier=0\n", "", "group [class:high], key tier: is missing; allowed: " },
  { "min_share=0.5", "min_share=nan", "key min_share: \"nan\" is wrong" },
  { "min_share=0.5", "min_share=0", "key min_share: \"0\" is wrong" },
  { "min_share=0.5", "min_share=0.85",
    "group [preset:peak]: min_share of all classes adds up to 1.05" },
  { "min_share=0.5", "min_share=0.75",
    "group [preset:peak]: min_share of all classes adds up to 0.95" },
  { "reserved_waiting=5", "reserved_waiting=21",
    "class high has reserved_waiting 21 above max_waiting 20" },
  { "class.low.min_share", "class.none.min_share",
    "key class.none.min_share: refers to the undefined class none; allowed: " },
  { "class.low.min_share", "class.low.size",
    "key class.low.size: does not name a key of a class" },
  { "class.low.min_share=0.2", "class.low.min_share=2",
    "group [preset:peak], key class.low.min_share: \"2\" is wrong" },
  { "class.low.spill=none", "class.spill=none",
    "key class.spill: is unknown; allowed: class.NAME.KEY" },
  { "spill=region", "spill=far",
    "key spill: \"far\" is wrong; allowed: none, "
    "region, anywhere" },
  { "preset=ordinary", "preset=night",
    "group [jacinthward], key preset: \"night\" is not defined" },
  { "[preset:maintenance]\nspill=none\nlimit_scale=0.5\n", "",
    "group [preset:maintenance]: is missing" },
  { "classes=high;low", "classes=high;lo",
    "group [team:t1], key classes: refers to the undefined class lo; "
    "allowed: " },
  { "classes=high;low", "classes=high",
    "key default_class: refers to the class low, which the team may not use" },
  { "classes=high;low", "classes=;", "key classes: is empty" },
  { DIGEST_B, DIGEST_A,
    "group [team:t2], key key_sha256: is the key of "
    "another team" },
  { DIGEST_B, "plain-secret",
    "group [team:t2], key key_sha256: is not a digest" },
  { "[service:s]", "[service:m]\n[service:s]",
    "group [service:m]: has the name of a model" },
  { "pool=m", "pool=x", "group [backend:e1], key pool: \"x\" is not defined" },
  { "domain=d1", "domain=d9",
    "group [backend:e1], key domain: \"d9\" is not defined" },
  { "127.0.0.1:9001", "localhost:9001",
    "key address: \"localhost:9001\" is wrong; allowed: IP:PORT" },
  { "127.0.0.1:9001", "127.0.0.1:0", "key address: \"127.0.0.1:0\" is wrong" },
  { "127.0.0.1:9001", "::1:9001", "key address: \"::1:9001\" is wrong" },
  { "127.0.0.1:9001", "[::1]:9002",
    "group [backend:s1], key address: [::1]:9002 is the address of another" },
  { "checks_fence=yes", "checks_fence=true",
    "key checks_fence: \"true\" is wrong; allowed: yes or no" },
  { "checks_fence=yes", "role=prefil",
    "key role: \"prefil\" is wrong; allowed: prefill, decode, both" },
  { "checks_fence=yes", "models=a;b;a",
    "group [backend:e1], key models: lists a twice" },
  { "checks_fence=yes", "adapters=a b",
    "group [backend:e1], key adapters: has the invalid name \"a b\"" },
  { "checks_fence=yes",
    "role=both\nmodels=1;2;3;4;5;6;7;8;9;10;11;12;13;14;15;16;17;18;19;20;21;"
    "22;23;24;25;26;27;28;29;30;31;32",
    "group [backend:e1]: has 33 desired models, adapters, version and role" },
  { "max_running=4", "max_running=4\nversion=v2",
    "group [backend:s1]: belongs to a service, which has no desired state" },
  { "max_running=8", "max_running=8\nmax_running=9",
    "group [backend:e1], key max_running: is defined twice" },
  { "[model:m]", "[model:m]\n[model:m]", "group [model:m]: is defined twice" },
  { "[team:t1]", "[team:t 1]", "group [team:t 1]: has an invalid name" },
  { "tier=0", "tier=0\ntier[de]=2",
    "group [class:high], key tier[de]: is unknown" },
  { "[domain:d1]\nregion=r1\n", "", "group [domain:NAME]: is missing" },
  { "[jacinthward]", "nonsense\n[jacinthward]", "is not valid INI text" },
  { "region=r1", "region=\xff", "is not valid text; allowed: UTF-8" },
};

static void
test_desired_state (void)
{
  g_autofree char *text
      = replace_first (valid_text, "checks_fence=yes",
                       "models=a; b\nadapters=c\nversion=v2\nrole=decode");
  g_autoptr (GPtrArray) problems = new_problems ();
  struct cluster_config *config = parse_text (text, problems);
  CU_ASSERT_PTR_NOT_NULL (config);
  if (config == NULL)
    return;
  const struct cluster_backend *engine = &config->backends[0];
  CU_ASSERT_EQUAL (g_strv_length (engine->models), 2);
  CU_ASSERT_STRING_EQUAL (engine->models[1], "b");
  CU_ASSERT_STRING_EQUAL (engine->adapters[0], "c");
  CU_ASSERT_STRING_EQUAL (engine->version.s, "v2");
  CU_ASSERT_EQUAL (engine->role, CLUSTER_ROLE_DECODE);
  CU_ASSERT_PTR_NULL (config->backends[1].models);
  CU_ASSERT_EQUAL (config->backends[1].role, CLUSTER_ROLE_UNSET);
  cluster_unref (config);
}

static gboolean
has_problem (const GPtrArray *problems, const char *part)
{
  for (guint i = 0; i < problems->len; i++)
    if (strstr (problems->pdata[i], part) != NULL)
      return TRUE;
  return FALSE;
}

static void
test_each_problem_is_named (void)
{
  for (guint i = 0; i < G_N_ELEMENTS (bad_cases); i++)
    {
      const struct bad_case *c = &bad_cases[i];
      g_autofree char *text
          = replace_first (valid_text, c->old, c->replacement);
      g_autoptr (GPtrArray) problems = new_problems ();
      CU_ASSERT_PTR_NULL (parse_text (text, problems));
      gboolean found = has_problem (problems, c->problem);
      CU_ASSERT_TRUE (found);
      if (!found)
        g_print ("missing: %s\n", c->problem);
    }
}

static void
test_all_problems_are_reported (void)
{
  g_autofree char *one = replace_first (valid_text, "tier=0", "tier=9");
  g_autofree char *two = replace_first (one, "pool=m", "pool=x");
  g_autofree char *three = replace_first (two, "region=r1", "region=");
  g_autofree char *four = replace_first (three, "write=yes", "write=maybe");
  g_autoptr (GPtrArray) problems = new_problems ();
  CU_ASSERT_PTR_NULL (parse_text (four, problems));
  CU_ASSERT_EQUAL (problems->len, 4);
}

/* A backend server whose pool is undefined is not checked against another pool,
   which may be a service.  */
static void
test_undefined_pool_has_one_problem (void)
{
  g_autofree char *one = replace_first (valid_text, "[model:m]\n", "");
  g_autofree char *two
      = replace_first (one, "checks_fence=yes", "models=a\nrole=both");
  g_autoptr (GPtrArray) problems = new_problems ();
  CU_ASSERT_PTR_NULL (parse_text (two, problems));
  CU_ASSERT_EQUAL (problems->len, 1);
  CU_ASSERT_TRUE (has_problem (problems, "key pool: \"m\" is not defined"));
}

static void
test_secrets_are_not_reported (void)
{
  g_autofree char *text = replace_first (valid_text, DIGEST_A, "plain-secret");
  g_autoptr (GPtrArray) problems = new_problems ();
  CU_ASSERT_PTR_NULL (parse_text (text, problems));
  CU_ASSERT_FALSE (has_problem (problems, "plain-secret"));
}

static void
test_limits (void)
{
  GString *text = g_string_new (valid_text);
  for (guint i = 0; i < CLUSTER_OPERATORS_MAX; i++)
    g_string_append_printf (text, "[operator:o%u]\ntoken_sha256=%064x\n", i,
                            i + 1);
  g_autoptr (GPtrArray) problems = new_problems ();
  CU_ASSERT_PTR_NULL (parse_text (text->str, problems));
  CU_ASSERT_TRUE (has_problem (
      problems, "exceeds the limit; allowed: at most 64 operator"));
  g_ptr_array_set_size (problems, 0);
  while (text->len <= CLUSTER_BODY_MAX)
    g_string_append (text, "# a comment that fills the object up\n");
  CU_ASSERT_PTR_NULL (parse_text (text->str, problems));
  CU_ASSERT_TRUE (has_problem (problems, "the configuration has "));
  CU_ASSERT_EQUAL (problems->len, 1);
  g_string_free (text, TRUE);
}

static void
test_edits_preserve_text (void)
{
  g_autoptr (GBytes) body
      = g_bytes_new_static (valid_text, strlen (valid_text));
  struct err err = { 0 };
  g_autoptr (GBytes) peak = cluster_with_preset (body, "peak", &err);
  CU_ASSERT_PTR_NOT_NULL (peak);
  g_autoptr (GBytes) drained = cluster_with_drain (peak, "e1", TRUE, &err);
  CU_ASSERT_PTR_NOT_NULL (drained);
  g_autoptr (GPtrArray) problems = new_problems ();
  struct cluster_config *config = cluster_parse (drained, 8, problems);
  CU_ASSERT_PTR_NOT_NULL (config);
  if (config == NULL)
    return;
  CU_ASSERT_STRING_EQUAL (config->preset.s, "peak");
  CU_ASSERT_TRUE (config->backends[0].drain);
  CU_ASSERT_FALSE (config->backends[1].drain);
  g_autofree char *text = g_strndup (g_bytes_get_data (drained, NULL),
                                     g_bytes_get_size (drained));
  g_autofree char *expected_preset
      = replace_first (valid_text, "preset=ordinary", "preset=peak");
  g_autofree char *expected = replace_first (
      expected_preset, "checks_fence=yes\n", "checks_fence=yes\ndrain=yes\n");
  CU_ASSERT_STRING_EQUAL (text, expected);
  g_autoptr (GBytes) undrained
      = cluster_with_drain (drained, "e1", FALSE, &err);
  CU_ASSERT_EQUAL (g_bytes_get_size (undrained),
                   g_bytes_get_size (drained) - 1);
  cluster_unref (config);
  CU_ASSERT_PTR_NULL (cluster_with_preset (body, "night", &err));
  CU_ASSERT_EQUAL (err.code, ERR_NOT_FOUND);
  CU_ASSERT_PTR_NULL (cluster_with_drain (body, "e9", TRUE, &err));
}

/* Selects preset peak by an edit of BODY, which must not crash. If BODY is
   valid, the result must be valid and have peak as its active preset.  */
static void
check_edited (GBytes *body, gboolean is_valid)
{
  GBytes *edited = cluster_with_preset (body, "peak", NULL);
  g_autoptr (GPtrArray) problems = new_problems ();
  struct cluster_config *config
      = edited ? cluster_parse (edited, 2, problems) : NULL;
  if (is_valid)
    CU_ASSERT_TRUE (config != NULL && strcmp (config->preset.s, "peak") == 0);
  cluster_unref (config);
  if (edited != NULL)
    g_bytes_unref (edited);
}

/* Replaces, deletes and inserts bytes of a valid text at random: parsing it
   must give either a configuration or at least one problem, and it must be safe
   to edit.  */
static void
test_random_texts (void)
{
  enum
  {
    ROUNDS = 3000
  };
  static const char bytes[] = "[]=:;.#\n \t\r09az\0\xff";
  g_autoptr (GRand) rand = g_rand_new_with_seed (7);
  guint n_valid = 0;
  for (guint round = 0; round < ROUNDS; round++)
    {
      GString *text = g_string_new (valid_text);
      for (gint changes = g_rand_int_range (rand, 0, 6); changes > 0; changes--)
        {
          gint at = g_rand_int_range (rand, 0, (gint32)text->len);
          gint byte = g_rand_int_range (rand, 0, sizeof bytes - 1);
          if (g_rand_boolean (rand))
            text->str[at] = bytes[byte];
          else if (g_rand_boolean (rand))
            g_string_erase (text, at, MIN (5, (gssize)text->len - at));
          else
            g_string_insert_len (text, at, valid_text, byte * 10);
        }
      g_autoptr (GBytes) body = g_bytes_new (text->str, text->len);
      g_autoptr (GPtrArray) problems = new_problems ();
      struct cluster_config *config = cluster_parse (body, 1, problems);
      CU_ASSERT_EQUAL (config == NULL, problems->len > 0);
      n_valid += config != NULL;
      check_edited (body, config != NULL);
      cluster_unref (config);
      g_string_free (text, TRUE);
    }
  CU_ASSERT_TRUE (n_valid > ROUNDS / 10);
  CU_ASSERT_TRUE (n_valid < ROUNDS);
}

static CU_TestInfo tests[] = {
  { "the examples are valid", test_examples },
  { "values are converted to their units", test_values },
  { "the active preset overrides keys of classes", test_preset_overrides },
  { "look-ups by name and by digest", test_lookups },
  { "shards have up to CLUSTER_SHARD_SIZE servers", test_shards },
  { "desired state of an engine", test_desired_state },
  { "each problem names group, key and what is allowed",
    test_each_problem_is_named },
  { "all problems are reported at once", test_all_problems_are_reported },
  { "an undefined pool has one problem", test_undefined_pool_has_one_problem },
  { "secrets are not reported in problems", test_secrets_are_not_reported },
  { "limits are enforced", test_limits },
  { "random texts are parsed or rejected", test_random_texts },
  { "edits leave all other lines unchanged", test_edits_preserve_text },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "cluster configuration", NULL, NULL, NULL, NULL, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)

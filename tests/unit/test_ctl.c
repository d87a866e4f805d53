/* Runs the program jacinthctl against a fake instance.  */
#include "unit/unit.h"

#include "unit/fake_admin_server.h"

#define RESPONSE_MAX (16 * 1024 * 1024) /* bytes */
#define PROGRAM JW_BUILD_DIR "/packages/jacinthctl/jacinthctl"

struct run_result
{
  int status;
  char *out;
  char *err;
  gboolean ended;
};

static void
on_finished (GObject *source, GAsyncResult *result, gpointer data)
{
  struct run_result *run_result = data;
  GSubprocess *process = G_SUBPROCESS (source);
  g_subprocess_communicate_utf8_finish (process, result, &run_result->out,
                                        &run_result->err, NULL);
  run_result->status = g_subprocess_get_exit_status (process);
  run_result->ended = TRUE;
}

/* Runs jacinthctl with ARGUMENTS, separated by spaces, and INPUT on its
   standard input, and waits for it to exit. The result is freed by
   run_result_clear.  */
static struct run_result
run_program (const struct fake *fake, const char *token, const char *arguments,
             const char *input)
{
  struct run_result run_result = { 0 };
  g_auto (GStrv) words = g_strsplit (arguments, " ", -1);
  g_autoptr (GPtrArray) argv = g_ptr_array_new ();
  g_autofree char *address = g_strdup_printf (
      "127.0.0.1:%u", admin_server_port (fake->admin_server));
  g_autoptr (GSubprocessLauncher) launcher = g_subprocess_launcher_new (
      G_SUBPROCESS_FLAGS_STDIN_PIPE | G_SUBPROCESS_FLAGS_STDOUT_PIPE
      | G_SUBPROCESS_FLAGS_STDERR_PIPE);
  g_subprocess_launcher_setenv (launcher, "JACINTHCTL_ADDRESS", address, TRUE);
  g_subprocess_launcher_setenv (launcher, "JACINTHCTL_TOKEN", token, TRUE);
  g_ptr_array_add (argv, (gpointer)PROGRAM);
  for (guint i = 0; words[i] != NULL; i++)
    g_ptr_array_add (argv, words[i]);
  g_ptr_array_add (argv, NULL);
  g_autoptr (GSubprocess) process = g_subprocess_launcher_spawnv (
      launcher, (const char *const *)argv->pdata, NULL);
  CU_ASSERT_PTR_NOT_NULL (process);
  if (process == NULL)
    return run_result;
  g_subprocess_communicate_utf8_async (process, input, NULL, on_finished,
                                       &run_result);
  while (!run_result.ended)
    g_main_context_iteration (NULL, TRUE);
  return run_result;
}

static void
run_result_clear (struct run_result *run_result)
{
  g_free (run_result->out);
  g_free (run_result->err);
}

/* Runs jacinthctl as an operator with write access and checks its exit code.
   OUT and ERR are substrings of its output and of its error output.  */
static void
expect_run (const struct fake *fake, const char *arguments, const char *input,
            int status, const char *out, const char *err)
{
  struct run_result o = run_program (fake, WRITER_TOKEN, arguments, input);
  gboolean passed = o.status == status && o.out != NULL && o.err != NULL
                    && strstr (o.out, out) != NULL
                    && strstr (o.err, err) != NULL;
  CU_ASSERT_TRUE (passed);
  if (!passed)
    g_print ("%s: status %d\n%.4000s%.4000s\n", arguments, o.status, o.out,
             o.err);
  run_result_clear (&o);
}

static void
test_lists (void)
{
  struct fake fake;
  fake_open (&fake, 0);
  expect_run (&fake, "preset list", NULL, 0, "ordinary     yes\n", "");
  expect_run (&fake, "class list", NULL, 0, "urgent       0", "");
  expect_run (&fake, "team list", NULL, 0, "urgent;account;interactive\n", "");
  expect_run (&fake, "backend list", NULL, 0, "kgn-1:account:0", "");
  expect_run (&fake, "--json backend list", NULL, 0, "{\"backends\":[{", "");
  expect_run (&fake, "instances", NULL, 0, "kgn-1-a", "");
  expect_run (&fake, "dump", NULL, 0, "\"state\" : \"dumped\"", "");
  expect_run (&fake, "stats", NULL, 0, "admin_requests", "");
  expect_run (&fake, "config status", NULL, 0,
              "here: version 7, preset ordinary", "");
  fake_close (&fake);
}

static void
test_config (void)
{
  struct fake fake;
  fake_open (&fake, 0);
  g_autofree char *text = example_text ();
  g_autofree char *edited = g_strconcat (text, "# new\n", NULL);
  g_autofree char *bad = g_strconcat (text, "[zone:a]\n[zone:b]\n", NULL);
  expect_run (&fake, "config get", NULL, 0, "[operator:ops]", "version 7");
  expect_run (&fake, "--json config get", NULL, 0, "{\"version\":7,", "");
  expect_run (&fake, "config diff -", text, 0, "no differences from version 7",
              "");
  expect_run (&fake, "config diff -", edited, 0, ": # new\n", "");
  expect_run (&fake, "config apply -", edited, 0, "accepted: version 8\n", "");
  CU_ASSERT_EQUAL (fake.expected, 7);
  CU_ASSERT_EQUAL (g_bytes_get_size (fake.body), strlen (edited));
  expect_run (&fake, "--expect=5 config apply -", edited, 0, "accepted", "");
  CU_ASSERT_EQUAL (fake.expected, 5);
  CU_ASSERT_EQUAL (fake.n_updates, 2);
  expect_run (&fake, "config apply -", bad, 1, "", "group [zone:b]");
  expect_run (&fake, "config apply -", bad, 1, "",
              "step config.check, peer kgn-1-a");
  expect_run (&fake, "--json config apply -", bad, 1, "\"problems\":[", "");
  CU_ASSERT_EQUAL (fake.n_updates, 2);
  expect_run (&fake, "config apply /nonexistent", NULL, 2, "", "/nonexistent");
  fake_close (&fake);
}

/* Replaces the first OLD in the example configuration by NEW and runs config
   check; OUT is in its output.  */
static void
expect_finding (const struct fake *fake, const char *old, const char *new,
                const char *out)
{
  g_autofree char *text = example_text ();
  g_auto (GStrv) parts = g_strsplit (text, old, 2);
  CU_ASSERT_EQUAL_FATAL (g_strv_length (parts), 2);
  g_autofree char *edited = g_strconcat (parts[0], new, parts[1], NULL);
  expect_run (fake, "config check -", edited, 1, out, "");
}

/* A configuration that is accepted although part of it has no effect, or that
   is rejected only once it is put in force.  */
static void
test_config_check (void)
{
  struct fake fake;
  fake_open (&fake, 0);
  g_autofree char *text = example_text ();
  const char *link = "\nlink_bytes_per_s=150000\nspill=region\n";
  g_auto (GStrv) parts = g_strsplit (text, link, 2);
  g_autofree char *clean = g_strjoinv ("\nspill=region\n", parts);
  expect_run (&fake, "config check -", clean, 0, "-75: link_bytes_per_s", "");
  expect_run (&fake, "config check -", text, 1,
              "line 75, group [class:interactive], key link_bytes_per_s: is "
              "never used",
              "");
  expect_run (&fake, "--json config check -", clean, 0, "{\"findings\":[]", "");
  expect_finding (&fake, "\ntier=0\n", "\ntier=9\n", "key tier: ");
  expect_finding (&fake, "\n[operator:ops]\n",
                  "\n[service:new]\n[operator:ops]\n",
                  "group [service:new]: can never be reached");
  expect_finding (&fake, "\npool=account\ndomain=mbj-1\n",
                  "\npool=assistant\ndomain=mbj-1\n",
                  "group [service:account]: can't be reached by class urgent "
                  "from domain mbj-1: its servers are further than the spill "
                  "(presets: ordinary)");
  expect_finding (&fake, "\nlink_bytes_per_s=400000\n",
                  "\nlink_bytes_per_s=0\n", "key spill: is anywhere, but");
  expect_finding (&fake, "\nttft_ms=", "\nttft_ms=3600000\n#",
                  "key ttft_ms: is above deadline_ms");
  expect_finding (&fake, "\nwrite=yes", "\nwrite=no",
                  "no operator may change the configuration");
  expect_run (&fake, "config check -", "not a configuration", 2, "",
              "neither INI nor JSON");
  expect_run (&fake, "config check -", "{\"spec\":", 2, "",
              "neither INI nor JSON");
  expect_run (&fake, "config check /nonexistent", NULL, 2, "", "/nonexistent");
  expect_run (&fake, "--against=/nonexistent config check -", clean, 2, "",
              "/nonexistent");
  fake_close (&fake);
}

/* The same for routes, which a proxy takes from the platform.  */
static void
test_routing_check (void)
{
  struct fake fake;
  fake_open (&fake, 0);
#define FOLDER JW_SOURCE_DIR "/platform/config-check/"
  const char *check = "--against=" FOLDER "clean.json config check " FOLDER;
  g_autofree char *clean = g_strconcat (check, "clean.json", NULL);
  g_autofree char *findings = g_strconcat (check, "findings.json", NULL);
#undef FOLDER
  expect_run (&fake, clean, NULL, 0, "no differences from /", "");
  expect_run (&fake, findings, NULL, 1,
              "line 2, service idle: can never be reached: no route leads to "
              "it\nline 3, team t: can never match: it has no key, or another "
              "team has the same\nline 6, route r2: can never match: route r1 "
              "has the same host and prefix\nline 6, route r2: its target is "
              "above its timeout: the client has left by then\n-2: ",
              "");
  expect_run (&fake, "config check -", "{\"spec\":{\"version\":1}}", 1,
              "configuration: the list of routes is missing", "");
  fake_close (&fake);
}

static void
test_changes (void)
{
  struct fake fake;
  fake_open (&fake, 0);
  expect_run (&fake, "preset use peak", NULL, 0, "accepted: version 8", "");
  expect_run (&fake, "drain kgn-1-engine-1", NULL, 0, "accepted: version 8",
              "");
  expect_run (&fake, "undrain kgn-1-engine-1", NULL, 0, "accepted: version 8",
              "");
  expect_run (&fake, "preset use night", NULL, 1, "",
              "[preset:night] (unknown_name; step config.edit, peer kgn-1-a)");
  expect_run (&fake, "drain a/b", NULL, 1, "", "");
  CU_ASSERT_EQUAL (fake.n_updates, 3);
  fake.result.outcome = FOLLOWER_CONFLICT;
  err_set (&fake.result.err, ERR_CONFLICT, "config.update", "platform", "9");
  expect_run (&fake, "preset use peak", NULL, 4, "",
              "step config.update, peer platform");
  fake.result.outcome = FOLLOWER_REJECTED;
  expect_run (&fake, "preset use peak", NULL, 1, "", "platform_away");
  fake.result.outcome = FOLLOWER_UNKNOWN;
  expect_run (&fake, "preset use peak", NULL, 6, "", "outcome_unknown");
  fake.keep_open = TRUE;
  guint before = fake.n_updates;
  expect_run (&fake, "--timeout-ms=300 preset use peak", NULL, 6, "",
              "may have been made (step ctl.answer, peer 127.0.0.1:");
  if (fake.n_updates > before)
    finish_update (&fake);
  fake_close (&fake);
}

static void
test_tokens (void)
{
  struct fake fake;
  fake_open (&fake, 0);
  struct run_result o = run_program (&fake, "wrong", "dump", NULL);
  CU_ASSERT_EQUAL (o.status, 5);
  CU_ASSERT_PTR_NULL (strstr (o.err, "wrong"));
  run_result_clear (&o);
  o = run_program (&fake, READER_TOKEN, "preset use peak", NULL);
  CU_ASSERT_EQUAL (o.status, 5);
  run_result_clear (&o);
  o = run_program (&fake, READER_TOKEN, "preset list", NULL);
  CU_ASSERT_EQUAL (o.status, 0);
  run_result_clear (&o);
  fake_close (&fake);
}

static void
test_usage (void)
{
  struct fake fake;
  fake_open (&fake, 0);
  expect_run (&fake, "--version", NULL, 0, "jacinthctl ", "");
  expect_run (&fake, "--help", NULL, 0, "config apply FILE", "");
  expect_run (&fake, "config", NULL, 2, "", "no such command");
  expect_run (&fake, "config get more", NULL, 2, "", "no such command");
  expect_run (&fake, "--colour dump", NULL, 2, "", "--colour");
  expect_run (&fake, "--address=host:1 dump", NULL, 2, "", "allowed: IP:PORT");
  expect_run (&fake, "--timeout-ms=0 dump", NULL, 2, "", "--timeout-ms 0");
  expect_run (&fake, "--token-file=/nonexistent dump", NULL, 2, "",
              "nonexistent");
  fake_close (&fake);
}

/* Returns a socket that is bound to a loopback address but does not listen, so
   that connections to *ADDRESS (to be freed with g_free) are refused.  */
static GSocket *
bind_without_listening (char **address)
{
  GSocket *socket = g_socket_new (G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
                                  G_SOCKET_PROTOCOL_TCP, NULL);
  g_autoptr (GSocketAddress) any
      = g_inet_socket_address_new_from_string ("127.0.0.1", 0);
  CU_ASSERT_TRUE (g_socket_bind (socket, any, FALSE, NULL));
  g_autoptr (GSocketAddress) bound = g_socket_get_local_address (socket, NULL);
  *address = g_strdup_printf (
      "127.0.0.1:%u",
      g_inet_socket_address_get_port (G_INET_SOCKET_ADDRESS (bound)));
  return socket;
}

static void
test_unreachable (void)
{
  struct fake fake;
  g_autofree char *address = NULL;
  g_autoptr (GSocket) unused_socket = bind_without_listening (&address);
  g_autofree char *read = g_strdup_printf ("--address=%s dump", address);
  g_autofree char *write
      = g_strdup_printf ("--address=%s preset use peak", address);
  fake_open (&fake, 0);
  expect_run (&fake, read, NULL, 3, "", "step ctl.connect, peer 127.0.0.1:");
  expect_run (&fake, write, NULL, 3, "", "step ctl.connect");
  fake_close (&fake);
}

/* An instance that sends without an end must not fill the memory of the
   operator's machine.  */
static void
test_response_too_large (void)
{
  struct fake fake;
  fake_open (&fake, 0);
  fake.dump_bytes = RESPONSE_MAX - 1024;
  expect_run (&fake, "dump", NULL, 0, "\"state\" : \"dumped\"", "");
  fake.dump_bytes = RESPONSE_MAX;
  expect_run (&fake, "dump", NULL, 3, "",
              "the response has more than 16777216 bytes (step ctl.answer");
  fake_close (&fake);
}

static CU_TestInfo tests[] = {
  { "lists are printed as tables or JSON", test_lists },
  { "config get, diff and apply", test_config },
  { "config check of a cluster configuration", test_config_check },
  { "config check of routes", test_routing_check },
  { "each outcome of a change has its exit code", test_changes },
  { "tokens without access exit with 5", test_tokens },
  { "an invalid command line exits with 2", test_usage },
  { "an unreachable instance exits with 3", test_unreachable },
  { "a response that is too large exits with 3", test_response_too_large },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "jacinthctl", NULL, NULL, NULL, NULL, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)

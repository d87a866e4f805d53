/* jacinthctl as a process of its own against a fake instance.  */
#include "unit/unit.h"

#include "unit/adm_fake.h"

#define CTL JW_BUILD_DIR "/packages/jacinthctl/jacinthctl"

struct outcome
{
  int status;
  char *out;
  char *err;
  gboolean ended;
};

static void
on_end (GObject *source, GAsyncResult *result, gpointer data)
{
  struct outcome *outcome = data;
  GSubprocess *process = G_SUBPROCESS (source);
  g_subprocess_communicate_utf8_finish (process, result, &outcome->out,
                                        &outcome->err, NULL);
  outcome->status = g_subprocess_get_exit_status (process);
  outcome->ended = TRUE;
}

/* Runs jacinthctl with the words of ARGUMENTS, with INPUT on its standard
   input, and waits for its end; outcome_clear frees the result.  */
static struct outcome
ctl (const struct fake *fake, const char *token, const char *arguments,
     const char *input)
{
  struct outcome outcome = { 0 };
  g_auto (GStrv) words = g_strsplit (arguments, " ", -1);
  g_autoptr (GPtrArray) argv = g_ptr_array_new ();
  g_autofree char *address
      = g_strdup_printf ("127.0.0.1:%u", adm_port (fake->adm));
  g_autoptr (GSubprocessLauncher) launcher = g_subprocess_launcher_new (
      G_SUBPROCESS_FLAGS_STDIN_PIPE | G_SUBPROCESS_FLAGS_STDOUT_PIPE
      | G_SUBPROCESS_FLAGS_STDERR_PIPE);
  g_subprocess_launcher_setenv (launcher, "JACINTHCTL_ADDRESS", address, TRUE);
  g_subprocess_launcher_setenv (launcher, "JACINTHCTL_TOKEN", token, TRUE);
  g_ptr_array_add (argv, (gpointer)CTL);
  for (guint i = 0; words[i] != NULL; i++)
    g_ptr_array_add (argv, words[i]);
  g_ptr_array_add (argv, NULL);
  g_autoptr (GSubprocess) process = g_subprocess_launcher_spawnv (
      launcher, (const char *const *)argv->pdata, NULL);
  CU_ASSERT_PTR_NOT_NULL (process);
  if (process == NULL)
    return outcome;
  g_subprocess_communicate_utf8_async (process, input, NULL, on_end, &outcome);
  while (!outcome.ended)
    g_main_context_iteration (NULL, TRUE);
  return outcome;
}

static void
outcome_clear (struct outcome *outcome)
{
  g_free (outcome->out);
  g_free (outcome->err);
}

/* Runs jacinthctl as an operator who may write. OUT and ERR are parts of what
   it prints.  */
static void
expect (const struct fake *fake, const char *arguments, const char *input,
        int status, const char *out, const char *err)
{
  struct outcome o = ctl (fake, OPS, arguments, input);
  gboolean held = o.status == status && o.out != NULL && o.err != NULL
                  && strstr (o.out, out) != NULL && strstr (o.err, err) != NULL;
  CU_ASSERT_TRUE (held);
  if (!held)
    g_print ("%s: status %d\n%s%s\n", arguments, o.status, o.out, o.err);
  outcome_clear (&o);
}

static void
test_lists (void)
{
  struct fake fake;
  fake_open (&fake, 0);
  expect (&fake, "preset list", NULL, 0, "ordinary     yes\n", "");
  expect (&fake, "class list", NULL, 0, "urgent       0", "");
  expect (&fake, "team list", NULL, 0, "urgent;account;interactive\n", "");
  expect (&fake, "backend list", NULL, 0, "kgn-1:account:0", "");
  expect (&fake, "--json backend list", NULL, 0, "{\"backends\":[{", "");
  expect (&fake, "instances", NULL, 0, "kgn-1-a", "");
  expect (&fake, "dump", NULL, 0, "\"state\" : \"dumped\"", "");
  expect (&fake, "stats", NULL, 0, "admin_requests", "");
  expect (&fake, "config status", NULL, 0, "here: version 7, preset ordinary",
          "");
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
  expect (&fake, "config get", NULL, 0, "[operator:ops]", "version 7");
  expect (&fake, "--json config get", NULL, 0, "{\"version\":7,", "");
  expect (&fake, "config diff -", text, 0, "no differences from version 7", "");
  expect (&fake, "config diff -", edited, 0, ": # new\n", "");
  expect (&fake, "config apply -", edited, 0, "accepted: version 8\n", "");
  CU_ASSERT_EQUAL (fake.expected, 7);
  CU_ASSERT_EQUAL (g_bytes_get_size (fake.body), strlen (edited));
  expect (&fake, "--expect=5 config apply -", edited, 0, "accepted", "");
  CU_ASSERT_EQUAL (fake.expected, 5);
  CU_ASSERT_EQUAL (fake.n_updates, 2);
  expect (&fake, "config apply -", bad, 1, "", "group [zone:b]");
  expect (&fake, "config apply -", bad, 1, "",
          "step config.check, peer kgn-1-a");
  expect (&fake, "--json config apply -", bad, 1, "\"problems\":[", "");
  CU_ASSERT_EQUAL (fake.n_updates, 2);
  expect (&fake, "config apply /nonexistent", NULL, 2, "", "/nonexistent");
  fake_close (&fake);
}

static void
test_changes (void)
{
  struct fake fake;
  fake_open (&fake, 0);
  expect (&fake, "preset use peak", NULL, 0, "accepted: version 8", "");
  expect (&fake, "drain kgn-1-engine-1", NULL, 0, "accepted: version 8", "");
  expect (&fake, "undrain kgn-1-engine-1", NULL, 0, "accepted: version 8", "");
  expect (&fake, "preset use night", NULL, 1, "",
          "[preset:night] (unknown_name; step config.edit, peer kgn-1-a)");
  expect (&fake, "drain a/b", NULL, 1, "", "");
  CU_ASSERT_EQUAL (fake.n_updates, 3);
  fake.result.outcome = FOLLOWER_CONFLICT;
  err_set (&fake.result.err, ERR_CONFLICT, "config.update", "platform", "9");
  expect (&fake, "preset use peak", NULL, 4, "",
          "step config.update, peer platform");
  fake.result.outcome = FOLLOWER_REJECTED;
  expect (&fake, "preset use peak", NULL, 1, "", "platform_away");
  fake.result.outcome = FOLLOWER_UNKNOWN;
  expect (&fake, "preset use peak", NULL, 6, "", "outcome_unknown");
  fake.hold = TRUE;
  guint before = fake.n_updates;
  expect (&fake, "--timeout-ms=300 preset use peak", NULL, 6, "",
          "may have been made (step ctl.answer, peer 127.0.0.1:");
  if (fake.n_updates > before)
    end_update (&fake);
  fake_close (&fake);
}

static void
test_tokens (void)
{
  struct fake fake;
  fake_open (&fake, 0);
  struct outcome o = ctl (&fake, "wrong", "dump", NULL);
  CU_ASSERT_EQUAL (o.status, 5);
  CU_ASSERT_PTR_NULL (strstr (o.err, "wrong"));
  outcome_clear (&o);
  o = ctl (&fake, WATCH, "preset use peak", NULL);
  CU_ASSERT_EQUAL (o.status, 5);
  outcome_clear (&o);
  o = ctl (&fake, WATCH, "preset list", NULL);
  CU_ASSERT_EQUAL (o.status, 0);
  outcome_clear (&o);
  fake_close (&fake);
}

static void
test_usage (void)
{
  struct fake fake;
  fake_open (&fake, 0);
  expect (&fake, "--version", NULL, 0, "jacinthctl ", "");
  expect (&fake, "--help", NULL, 0, "config apply FILE", "");
  expect (&fake, "config", NULL, 2, "", "no such command");
  expect (&fake, "config get more", NULL, 2, "", "no such command");
  expect (&fake, "--colour dump", NULL, 2, "", "--colour");
  expect (&fake, "--address=host:1 dump", NULL, 2, "", "allowed: IP:PORT");
  expect (&fake, "--timeout-ms=0 dump", NULL, 2, "", "--timeout-ms 0");
  expect (&fake, "--token-file=/nonexistent dump", NULL, 2, "", "nonexistent");
  fake_close (&fake);
}

/* Returns a socket that has a loopback address but does not listen.  */
static GSocket *
deaf_socket (char **address)
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
  g_autoptr (GSocket) deaf = deaf_socket (&address);
  g_autofree char *read = g_strdup_printf ("--address=%s dump", address);
  g_autofree char *write
      = g_strdup_printf ("--address=%s preset use peak", address);
  fake_open (&fake, 0);
  expect (&fake, read, NULL, 3, "", "step ctl.connect, peer 127.0.0.1:");
  expect (&fake, write, NULL, 3, "", "step ctl.connect");
  fake_close (&fake);
}

static CU_TestInfo tests[] = {
  { "lists are tables or JSON", test_lists },
  { "config get, diff and apply", test_config },
  { "changes and how they end", test_changes },
  { "tokens", test_tokens },
  { "a wrong command line is status 2", test_usage },
  { "an instance that cannot be reached is status 3", test_unreachable },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "ctl", NULL, NULL, NULL, NULL, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)

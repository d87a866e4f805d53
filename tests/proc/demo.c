/* make demo: runs the Authority's example (examples/authority), seven instances
   in three failure domains, with stand-ins for the engines, the services and
   the platform. Sends requests through different instances and prints each
   response and the state of each instance. Exits 0 only if all checks pass.  */
#include "harness/dep.h"

#include <stdlib.h>
#include <string.h>

#define ATTEMPTS_MAX 10
#define RESPONSE_SHOWN 160 /* bytes printed of a response */

static const struct dep_options options = {
  .domains = {
    { "kgn-1", "kgn", 3, 4, 1 },
    { "kgn-2", "kgn", 2, 4, 1 },
    { "mbj-1", "mbj", 2, 4, 1 },
  },
  .example = "authority",
};

static guint failures;

static void
check (const char *what, gboolean ok)
{
  g_print ("%-58s %s\n", what, ok ? "ok" : "FAILED");
  failures += !ok;
}

static void
send_prompt (struct dep *dep, guint i, const char *prompt, gboolean streamed)
{
  struct har_reply *reply = dep_chat (dep, i, NULL, prompt, streamed);
  char *text = har_answer_text (reply->body->str);
  char *expected = har_expected_text (prompt, 0);
  char *what = g_strdup_printf (
      "%s through %s", streamed ? "stream" : "response", dep->entries[i].name);
  g_print ("\n> %s\n< %u %.*s\n", prompt, reply->status, RESPONSE_SHOWN,
           text ? text : reply->body->str);
  check (what, reply->status == 200 && text != NULL
                   && strcmp (text, expected) == 0
                   && (!streamed || reply->complete));
  g_free (what);
  g_free (expected);
  g_free (text);
  har_reply_free (reply);
}

/* Repeats an activation as long as the response is 409: an earlier attempt with
   the same key is still in progress.  */
static struct har_reply *
activate_with_retries (struct dep *dep, guint i, const char *key)
{
  for (guint attempts = 0;; attempts++)
    {
      struct har_reply *reply
          = dep_activate (dep, i, "{\"id\":\"subscriber-7\"}", key);
      if (reply->status != 409 || attempts == ATTEMPTS_MAX)
        return reply;
      g_print ("< %u %s\n", reply->status, reply->body->str);
      har_reply_free (reply);
      g_usleep (G_USEC_PER_SEC);
    }
}

static void
activate (struct dep *dep, guint i, const char *key)
{
  struct har_reply *reply = activate_with_retries (dep, i, key);
  char *what
      = g_strdup_printf ("activation %s through %s",
                         key ? key : "without a key", dep->entries[i].name);
  g_print ("\n> activate subscriber-7\n< %u %s\n", reply->status,
           reply->body->str);
  check (what, reply->status == 200);
  g_free (what);
  har_reply_free (reply);
}

static void
print_state (struct dep *dep, guint i)
{
  const char *const headers[] = { "Authorization", DEP_OPERATOR_BEARER, NULL };
  const struct har_call call = { .port = dep->entries[i].proc->admin_port,
                                 .path = "/dump",
                                 .headers = headers };
  struct har_reply *reply = har_call (&call);
  g_print ("\nstate of %s:\n%s\n", dep->entries[i].name, reply->body->str);
  check ("state dump", reply->status == 200);
  har_reply_free (reply);
}

int
main (void)
{
  struct har *har = har_new ();
  struct dep *dep = dep_start (har, &options);
  check ("all processes have started", dep != NULL);
  if (dep != NULL)
    {
      send_prompt (dep, 0, "Station health of KGN-04 [len=12]", FALSE);
      send_prompt (dep, 1, "Summarise last night's baseline log [len=20]",
                   TRUE);
      send_prompt (dep, 3, "Is the correction service up? [len=8]", TRUE);
      send_prompt (dep, 5, "Draft the weekly report [len=16]", FALSE);
      activate (dep, 0, NULL);
      activate (dep, 1, "key-1");
      activate (dep, 6, "key-1");
      for (guint i = 0; i < dep->n_entries; i++)
        print_state (dep, i);
      dep_free (dep);
    }
  har_free (har);
  g_print ("\n%u failed\n", failures);
  return failures == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

/* make demo: runs the Authority's example (examples/authority), seven instances
   in three failure domains, with stand-ins for the engines, the services and
   the platform. Sends requests through different instances and prints each
   response and the state of each instance. Exits 0 only if all checks pass.  */
#include "harness/deployment.h"

#include <stdlib.h>
#include <string.h>

#define ATTEMPTS_MAX 10
#define RESPONSE_SHOWN 160 /* bytes printed of a response */

static const struct deployment_options options = {
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
send_prompt (struct deployment *deployment, guint i, const char *prompt,
             gboolean streamed)
{
  struct harness_response *reply
      = deployment_chat (deployment, i, NULL, prompt, streamed);
  char *text = harness_completion_text (reply->body->str);
  char *expected = harness_expected_text (prompt, 0);
  char *what
      = g_strdup_printf ("%s through %s", streamed ? "stream" : "response",
                         deployment->instances[i].name);
  g_print ("\n> %s\n< %u %.*s\n", prompt, reply->status, RESPONSE_SHOWN,
           text ? text : reply->body->str);
  check (what, reply->status == 200 && text != NULL
                   && strcmp (text, expected) == 0
                   && (!streamed || reply->complete));
  g_free (what);
  g_free (expected);
  g_free (text);
  harness_response_free (reply);
}

/* Repeats an activation as long as the response is 409: an earlier attempt with
   the same key is still in progress.  */
static struct harness_response *
activate_with_retries (struct deployment *deployment, guint i, const char *key)
{
  for (guint attempts = 0;; attempts++)
    {
      struct harness_response *reply = deployment_activate (
          deployment, i, "{\"id\":\"subscriber-7\"}", key);
      if (reply->status != 409 || attempts == ATTEMPTS_MAX)
        return reply;
      g_print ("< %u %s\n", reply->status, reply->body->str);
      harness_response_free (reply);
      g_usleep (G_USEC_PER_SEC);
    }
}

static void
activate (struct deployment *deployment, guint i, const char *key)
{
  struct harness_response *reply = activate_with_retries (deployment, i, key);
  char *what = g_strdup_printf ("activation %s through %s",
                                key ? key : "without a key",
                                deployment->instances[i].name);
  g_print ("\n> activate subscriber-7\n< %u %s\n", reply->status,
           reply->body->str);
  check (what, reply->status == 200);
  g_free (what);
  harness_response_free (reply);
}

static void
print_state (struct deployment *deployment, guint i)
{
  const char *const headers[]
      = { "Authorization", DEPLOYMENT_OPERATOR_BEARER, NULL };
  const struct harness_request call
      = { .port = deployment->instances[i].proc->admin_port,
          .path = "/dump",
          .headers = headers };
  struct harness_response *reply = harness_request (&call);
  g_print ("\nstate of %s:\n%s\n", deployment->instances[i].name,
           reply->body->str);
  check ("state dump", reply->status == 200);
  harness_response_free (reply);
}

int
main (void)
{
  struct harness *harness = harness_new ();
  struct deployment *deployment = deployment_start (harness, &options);
  check ("all processes have started", deployment != NULL);
  if (deployment != NULL)
    {
      send_prompt (deployment, 0, "Station health of KGN-04 [len=12]", FALSE);
      send_prompt (deployment, 1,
                   "Summarise last night's baseline log [len=20]", TRUE);
      send_prompt (deployment, 3, "Is the correction service up? [len=8]",
                   TRUE);
      send_prompt (deployment, 5, "Draft the weekly report [len=16]", FALSE);
      activate (deployment, 0, NULL);
      activate (deployment, 1, "key-1");
      activate (deployment, 6, "key-1");
      for (guint i = 0; i < deployment->n_instances; i++)
        print_state (deployment, i);
      deployment_free (deployment);
    }
  harness_free (harness);
  g_print ("\n%u failed\n", failures);
  return failures == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

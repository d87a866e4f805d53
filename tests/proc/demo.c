/* make demo: the Authority's example, seven instances in three failure
   domains, with stand-ins for all that they speak to. Sends requests through
   different instances, prints each answer and the state of every instance, and
   exits 0 only if all were right.  */
#include "harness/deployment.h"

#include <stdlib.h>
#include <string.h>

#define TRIES_MAX 10
#define ANSWER_SHOWN 160 /* bytes */

static const struct deployment_options options = {
  .domains = {
    { "kgn-1", "kgn", 3, 4, 1 },
    { "kgn-2", "kgn", 2, 4, 1 },
    { "mbj-1", "mbj", 2, 4, 1 },
  },
  .example = "authority",
};

static guint wrong;

static void
check (const char *what, gboolean ok)
{
  g_print ("%-58s %s\n", what, ok ? "right" : "WRONG");
  wrong += !ok;
}

static void
ask (struct deployment *deployment, guint i, const char *prompt,
     gboolean streamed)
{
  struct harness_response *reply
      = deployment_chat (deployment, i, NULL, prompt, streamed);
  char *text = harness_completion_text (reply->body->str);
  char *expected = harness_expected_text (prompt, 0);
  char *what = g_strdup_printf ("%s through %s", streamed ? "stream" : "answer",
                                deployment->instances[i].name);
  g_print ("\n> %s\n< %u %.*s\n", prompt, reply->status, ANSWER_SHOWN,
           text ? text : reply->body->str);
  check (what, reply->status == 200 && text != NULL
                   && strcmp (text, expected) == 0
                   && (!streamed || reply->complete));
  g_free (what);
  g_free (expected);
  g_free (text);
  harness_response_free (reply);
}

/* Repeats an activation whose first try is not recorded yet, as it is told
   to.  */
static struct harness_response *
activate_patiently (struct deployment *deployment, guint i, const char *key)
{
  for (guint tries = 0;; tries++)
    {
      struct harness_response *reply = deployment_activate (
          deployment, i, "{\"id\":\"subscriber-7\"}", key);
      if (reply->status != 409 || tries == TRIES_MAX)
        return reply;
      g_print ("< %u %s\n", reply->status, reply->body->str);
      harness_response_free (reply);
      g_usleep (G_USEC_PER_SEC);
    }
}

static void
activate (struct deployment *deployment, guint i, const char *key)
{
  struct harness_response *reply = activate_patiently (deployment, i, key);
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
  check ("all processes are up", deployment != NULL);
  if (deployment != NULL)
    {
      ask (deployment, 0, "Station health of KGN-04 [len=12]", FALSE);
      ask (deployment, 1, "Summarise last night's baseline log [len=20]", TRUE);
      ask (deployment, 3, "Is the correction service up? [len=8]", TRUE);
      ask (deployment, 5, "Draft the weekly report [len=16]", FALSE);
      activate (deployment, 0, NULL);
      activate (deployment, 1, "key-1");
      activate (deployment, 6, "key-1");
      for (guint i = 0; i < deployment->n_instances; i++)
        print_state (deployment, i);
      deployment_free (deployment);
    }
  harness_free (harness);
  g_print ("\n%u wrong\n", wrong);
  return wrong == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

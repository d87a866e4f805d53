#include "harness/workload.h"

#include <string.h>

#define CALL_TIMEOUT_MS 60000 /* for a call */
#define KEY_ATTEMPTS_MAX 30   /* calls of one client with one key */
#define KEY_RETRY_MS 100      /* between these calls */
#define THINK_TIME_MS 10      /* pause of a client between calls of a service */
#define REFUSED_PAUSE_MS 5    /* after a refused connection */

struct target
{
  gboolean live;
  int port;
};

struct workload
{
  struct deployment *deployment;
  struct history *history;
  GMutex lock;
  struct target targets[DEPLOYMENT_PROCESSES_MAX];
  guint next; /* index in TARGETS */
  guint completed;
  gboolean stopping;
  GPtrArray *threads;
};

struct client
{
  struct workload *workload;
  struct workload_clients clients;
  guint number;
};

struct workload *
workload_new (struct deployment *deployment, struct history *history)
{
  struct workload *workload = g_new0 (struct workload, 1);
  workload->deployment = deployment;
  workload->history = history;
  g_mutex_init (&workload->lock);
  workload->threads = g_ptr_array_new ();
  for (guint i = 0; i < deployment->n_instances; i++)
    workload_set_live (workload, i, TRUE);
  return workload;
}

void
workload_free (struct workload *workload)
{
  workload_stop (workload);
  g_ptr_array_unref (workload->threads);
  g_mutex_clear (&workload->lock);
  g_free (workload);
}

void
workload_set_live (struct workload *workload, guint i, gboolean live)
{
  g_mutex_lock (&workload->lock);
  workload->targets[i].live = live;
  workload->targets[i].port
      = workload->deployment->instances[i].proc->http_port;
  g_mutex_unlock (&workload->lock);
}

/* Returns the instance for a call, with WORKLOAD_ANY the next live one
   (instance 0 if none is live), and its PORT.  */
static guint
pick_instance (struct workload *workload, guint instance, int *port)
{
  g_mutex_lock (&workload->lock);
  guint n = workload->deployment->n_instances;
  for (guint i = 0; i < n && instance == WORKLOAD_ANY; i++)
    {
      guint at = workload->next++ % n;
      if (workload->targets[at].live)
        instance = at;
    }
  if (instance == WORKLOAD_ANY)
    instance = 0;
  *port = workload->targets[instance].port;
  g_mutex_unlock (&workload->lock);
  return instance;
}

static gboolean
is_completion (enum workload_kind kind)
{
  return kind == WORKLOAD_STREAM || kind == WORKLOAD_BUFFERED;
}

/* Returns the request body of CALL, and in EXPECTED the text of a correct
   response; both are freed by g_free.  */
static char *
make_body (const struct workload_call *call, char **expected)
{
  if (!is_completion (call->kind))
    {
      *expected = g_strdup_printf ("{\"done\": true, \"n\": 1, \"id\": \"%s\"}",
                                   call->id);
      return g_strdup_printf ("{\"id\": \"%s\"}", call->id);
    }
  char *prompt = g_strdup_printf ("%s [len=%u]", call->id, call->tokens);
  char *body = g_strdup_printf (
      "{\"model\":\"assistant\",\"stream\":%s,\"prompt\":\"%s\"}",
      call->kind == WORKLOAD_STREAM ? "true" : "false", prompt);
  *expected = harness_expected_text (prompt, 0);
  g_free (prompt);
  return body;
}

/* Reads the error in BODY, which may stand at the end of a stream. Returns its
   request id, freed by g_free, or NULL.  */
static char *
read_error (const char *body, struct workload_outcome *outcome)
{
  const char *at = strstr (body, "{\"error\"");
  const char *stop = at ? strchr (at, '\n') : NULL;
  char *text = g_strndup (at ? at : "",
                          stop ? (gsize)(stop - at) : strlen (at ? at : ""));
  JsonNode *node = json_from_string (text, NULL);
  char *request = NULL;
  if (node != NULL && JSON_NODE_HOLDS_OBJECT (node))
    {
      JsonObject *error = json_object_get_object_member (
          json_node_get_object (node), "error");
      g_strlcpy (outcome->code,
                 json_object_get_string_member_with_default (error, "code", ""),
                 sizeof outcome->code);
      g_strlcpy (outcome->ran,
                 json_object_get_string_member_with_default (error, "ran", ""),
                 sizeof outcome->ran);
      request = g_strdup (json_object_get_string_member_with_default (
          error, "request_id", NULL));
    }
  g_clear_pointer (&node, json_node_unref);
  g_free (text);
  return request;
}

static void
record_event (struct workload *workload, const struct workload_call *call,
              guint instance, enum history_kind kind)
{
  const struct history_event event
      = { .kind = kind,
          .process = workload->deployment->instances[instance].name,
          .id = call->id,
          .key = call->key };
  history_add (workload->history, &event);
}

/* Records the outcome of a call and returns it.  */
static struct workload_outcome
record_outcome (struct workload *workload, const struct workload_call *call,
                guint instance, const struct harness_response *response,
                const char *expected)
{
  struct workload_outcome outcome = { .status = response->status };
  char *request = read_error (response->body->str, &outcome);
  if (request == NULL)
    request = g_strdup (
        g_hash_table_lookup (response->headers, "jacinthward-request-id"));
  char *text = is_completion (call->kind)
                   ? harness_completion_text (response->body->str)
                   : g_strdup (response->body->str);
  if (outcome.code[0] != '\0')
    outcome.kind = HISTORY_ERROR;
  else
    outcome.kind = response->complete && response->status == 200
                       ? HISTORY_RESPONSE
                       : HISTORY_CUT;
  const struct history_event event
      = { .kind = outcome.kind,
          .process = workload->deployment->instances[instance].name,
          .id = call->id,
          .key = call->key,
          .request = request,
          .ran = outcome.ran,
          .text = outcome.kind == HISTORY_ERROR ? outcome.code : text,
          .expected = outcome.kind == HISTORY_RESPONSE ? expected : NULL };
  history_add (workload->history, &event);
  g_free (text);
  g_free (request);
  return outcome;
}

/* Sends CALL to INSTANCE once. Returns NULL if the connection was refused.  */
static struct harness_response *
send_call (struct workload *workload, const struct workload_call *call,
           guint instance, int port, const char *body)
{
  const char *const headers[]
      = { "Authorization",
          DEPLOYMENT_TEAM_BEARER,
          "Jacinthward-Class",
          call->class_name ? call->class_name : "urgent",
          call->key ? "Idempotency-Key" : NULL,
          call->key,
          NULL };
  const struct harness_request request
      = { .port = port,
          .path = is_completion (call->kind) ? "/v1/completions"
                                             : "/services/account/activate",
          .headers = headers,
          .body = body,
          .timeout_ms = CALL_TIMEOUT_MS };
  record_event (workload, call, instance, HISTORY_CALL);
  struct harness_response *response = harness_request (&request);
  if (!response->refused)
    return response;
  record_event (workload, call, instance, HISTORY_REFUSED);
  harness_response_free (response);
  return NULL;
}

struct workload_outcome
workload_execute (struct workload *workload, const struct workload_call *call)
{
  struct harness_response *response = NULL;
  char *expected;
  char *body = make_body (call, &expected);
  guint instance;
  int port;
  gint64 start_time = g_get_monotonic_time ();
  while (response == NULL)
    {
      instance = pick_instance (workload, call->instance, &port);
      response = send_call (workload, call, instance, port, body);
      if (response == NULL)
        g_usleep (REFUSED_PAUSE_MS * 1000);
    }
  struct workload_outcome outcome
      = record_outcome (workload, call, instance, response, expected);
  outcome.us = g_get_monotonic_time () - start_time;
  harness_response_free (response);
  g_free (expected);
  g_free (body);
  return outcome;
}

struct workload_outcome
workload_settle (struct workload *workload, const struct workload_call *call)
{
  struct workload_outcome outcome = { 0 };
  for (guint i = 0; i < KEY_ATTEMPTS_MAX; i++)
    {
      outcome = workload_execute (workload, call);
      if (outcome.kind == HISTORY_RESPONSE
          || strcmp (outcome.code, "outcome_unknown") == 0)
        break;
      g_usleep (KEY_RETRY_MS * 1000);
    }
  return outcome;
}

static gboolean
is_stopping (struct workload *workload)
{
  g_mutex_lock (&workload->lock);
  gboolean stopping = workload->stopping;
  g_mutex_unlock (&workload->lock);
  return stopping;
}

static gpointer
run_client (gpointer data)
{
  struct client *client = data;
  struct workload *workload = client->workload;
  const struct workload_clients *clients = &client->clients;
  guint threads_per_key
      = clients->kind == WORKLOAD_KEYED ? MAX (1, clients->threads_per_key) : 1;
  guint group = client->number / threads_per_key;
  GMainContext *context = g_main_context_new ();
  g_main_context_push_thread_default (context);
  for (guint n = 0; !is_stopping (workload); n++)
    {
      char *id = g_strdup_printf ("%s-%u-%u", clients->prefix, group, n);
      struct workload_call call = { .kind = clients->kind,
                                    .instance = clients->instance,
                                    .id = id,
                                    .tokens = clients->tokens };
      if (clients->kind == WORKLOAD_KEYED)
        {
          call.key = id;
          workload_settle (workload, &call);
        }
      else
        workload_execute (workload, &call);
      g_mutex_lock (&workload->lock);
      workload->completed++;
      g_mutex_unlock (&workload->lock);
      g_free (id);
      if (!is_completion (clients->kind))
        g_usleep (THINK_TIME_MS * 1000);
    }
  g_main_context_pop_thread_default (context);
  g_main_context_unref (context);
  g_free (client);
  return NULL;
}

void
workload_start (struct workload *workload,
                const struct workload_clients *clients)
{
  for (guint i = 0; i < clients->threads; i++)
    {
      struct client *client = g_new (struct client, 1);
      *client = (struct client){ workload, *clients, i };
      g_ptr_array_add (workload->threads,
                       g_thread_new (clients->prefix, run_client, client));
    }
}

guint
workload_completed (struct workload *workload)
{
  g_mutex_lock (&workload->lock);
  guint completed = workload->completed;
  g_mutex_unlock (&workload->lock);
  return completed;
}

struct goal
{
  struct workload *workload;
  guint completed;
};

static gboolean
is_goal_reached (void *ctx)
{
  const struct goal *goal = ctx;
  return workload_completed (goal->workload) >= goal->completed;
}

gboolean
workload_wait_completed (struct workload *workload, guint n)
{
  struct goal goal = { workload, workload_completed (workload) + n };
  return harness_wait_until (is_goal_reached, &goal, HARNESS_TIMEOUT_MS);
}

void
workload_stop (struct workload *workload)
{
  g_mutex_lock (&workload->lock);
  workload->stopping = TRUE;
  g_mutex_unlock (&workload->lock);
  for (guint i = 0; i < workload->threads->len; i++)
    g_thread_join (workload->threads->pdata[i]);
  g_ptr_array_set_size (workload->threads, 0);
  workload->stopping = FALSE;
}

gboolean
workload_check (struct workload *workload)
{
  struct history *joined = history_copy (workload->history);
  GString *report = g_string_new (NULL);
  const char *dir = harness_dir (workload->deployment->harness);
  history_read_dir (joined, dir);
  guint violations = history_check (joined, NULL, report);
  if (history_count (joined, HISTORY_CONFIG, NULL) == 0)
    {
      /* The rules on configurations would hold whatever happens.  */
      g_print ("no applied configuration was found in the instances' logs\n");
      violations++;
    }
  if (violations > 0)
    {
      history_explain (joined, dir, report);
      g_print ("%s", report->str);
    }
  g_string_free (report, TRUE);
  history_free (joined);
  return violations == 0;
}

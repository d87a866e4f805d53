#include "harness/workload.h"

#include <string.h>

#define TIMEOUT_MS 60000  /* of a call */
#define KEY_TRIES_MAX 30  /* of one caller with one key */
#define KEY_PAUSE_MS 100  /* between them */
#define THINK_MS 10       /* of a caller of services between calls */
#define TURNED_PAUSE_MS 5 /* after a refused connection */

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
  guint next; /* target */
  guint ends;
  gboolean stopping;
  GPtrArray *threads;
};

struct caller
{
  struct workload *workload;
  struct workload_clients load;
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

/* Returns the instance for a call and its PORT: the live ones by turns.  */
static guint
pick (struct workload *workload, guint instance, int *port)
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
is_model (enum workload_kind kind)
{
  return kind == WORKLOAD_STREAM || kind == WORKLOAD_BUFFERED;
}

static char *
make_body (const struct workload_call *call, char **expected)
{
  if (!is_model (call->kind))
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

/* Reads the error in BODY, also at the end of a stream. Returns its request
   id, freed by the caller, or NULL.  */
static char *
read_error (const char *body, struct workload_outcome *end)
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
      g_strlcpy (end->code,
                 json_object_get_string_member_with_default (error, "code", ""),
                 sizeof end->code);
      g_strlcpy (end->ran,
                 json_object_get_string_member_with_default (error, "ran", ""),
                 sizeof end->ran);
      request = g_strdup (json_object_get_string_member_with_default (
          error, "request_id", NULL));
    }
  g_clear_pointer (&node, json_node_unref);
  g_free (text);
  return request;
}

static void
record (struct workload *workload, const struct workload_call *call,
        guint instance, enum history_kind kind)
{
  const struct history_event event
      = { .kind = kind,
          .process = workload->deployment->instances[instance].name,
          .id = call->id,
          .key = call->key };
  history_add (workload->history, &event);
}

/* Notes how a call ended.  */
static struct workload_outcome
end_of (struct workload *workload, const struct workload_call *call,
        guint instance, const struct harness_response *reply,
        const char *expected)
{
  struct workload_outcome end = { .status = reply->status };
  char *request = read_error (reply->body->str, &end);
  char *text = is_model (call->kind)
                   ? harness_completion_text (reply->body->str)
                   : g_strdup (reply->body->str);
  if (end.code[0] != '\0')
    end.kind = HISTORY_ERROR;
  else
    end.kind = reply->complete && reply->status == 200 ? HISTORY_RESPONSE
                                                       : HISTORY_CUT;
  const struct history_event event
      = { .kind = end.kind,
          .process = workload->deployment->instances[instance].name,
          .id = call->id,
          .key = call->key,
          .request = request,
          .ran = end.ran,
          .text = end.kind == HISTORY_ERROR ? end.code : text,
          .expected = end.kind == HISTORY_RESPONSE ? expected : NULL };
  history_add (workload->history, &event);
  g_free (text);
  g_free (request);
  return end;
}

/* Tries CALL once through ENTRY. Returns NULL if its connection was
   refused.  */
static struct harness_response *
try_call (struct workload *workload, const struct workload_call *call,
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
  const struct harness_request http
      = { .port = port,
          .path = is_model (call->kind) ? "/v1/completions"
                                        : "/services/account/activate",
          .headers = headers,
          .body = body,
          .timeout_ms = TIMEOUT_MS };
  record (workload, call, instance, HISTORY_CALL);
  struct harness_response *reply = harness_request (&http);
  if (!reply->refused)
    return reply;
  record (workload, call, instance, HISTORY_REFUSED);
  harness_response_free (reply);
  return NULL;
}

struct workload_outcome
workload_execute (struct workload *workload, const struct workload_call *call)
{
  struct harness_response *reply = NULL;
  char *expected;
  char *body = make_body (call, &expected);
  guint instance;
  int port;
  gint64 began = g_get_monotonic_time ();
  while (reply == NULL)
    {
      instance = pick (workload, call->instance, &port);
      reply = try_call (workload, call, instance, port, body);
      if (reply == NULL)
        g_usleep (TURNED_PAUSE_MS * 1000);
    }
  struct workload_outcome end
      = end_of (workload, call, instance, reply, expected);
  end.us = g_get_monotonic_time () - began;
  harness_response_free (reply);
  g_free (expected);
  g_free (body);
  return end;
}

struct workload_outcome
workload_settle (struct workload *workload, const struct workload_call *call)
{
  struct workload_outcome end = { 0 };
  for (guint i = 0; i < KEY_TRIES_MAX; i++)
    {
      end = workload_execute (workload, call);
      if (end.kind == HISTORY_RESPONSE
          || strcmp (end.code, "outcome_unknown") == 0)
        break;
      g_usleep (KEY_PAUSE_MS * 1000);
    }
  return end;
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
run_caller (gpointer data)
{
  struct caller *caller = data;
  struct workload *workload = caller->workload;
  const struct workload_clients *load = &caller->load;
  guint threads_per_key
      = load->kind == WORKLOAD_KEYED ? MAX (1, load->threads_per_key) : 1;
  guint group = caller->number / threads_per_key;
  GMainContext *context = g_main_context_new ();
  g_main_context_push_thread_default (context);
  for (guint n = 0; !is_stopping (workload); n++)
    {
      char *id = g_strdup_printf ("%s-%u-%u", load->prefix, group, n);
      struct workload_call call = { .kind = load->kind,
                                    .instance = load->instance,
                                    .id = id,
                                    .tokens = load->tokens };
      if (load->kind == WORKLOAD_KEYED)
        {
          call.key = id;
          workload_settle (workload, &call);
        }
      else
        workload_execute (workload, &call);
      g_mutex_lock (&workload->lock);
      workload->ends++;
      g_mutex_unlock (&workload->lock);
      g_free (id);
      if (!is_model (load->kind))
        g_usleep (THINK_MS * 1000);
    }
  g_main_context_pop_thread_default (context);
  g_main_context_unref (context);
  g_free (caller);
  return NULL;
}

void
workload_start (struct workload *workload, const struct workload_clients *load)
{
  for (guint i = 0; i < load->threads; i++)
    {
      struct caller *caller = g_new (struct caller, 1);
      *caller = (struct caller){ workload, *load, i };
      g_ptr_array_add (workload->threads,
                       g_thread_new (load->prefix, run_caller, caller));
    }
}

guint
workload_completed (struct workload *workload)
{
  g_mutex_lock (&workload->lock);
  guint ends = workload->ends;
  g_mutex_unlock (&workload->lock);
  return ends;
}

struct goal
{
  struct workload *workload;
  guint ends;
};

static gboolean
is_reached (void *ctx)
{
  const struct goal *goal = ctx;
  return workload_completed (goal->workload) >= goal->ends;
}

gboolean
workload_wait_completed (struct workload *workload, guint n)
{
  struct goal goal = { workload, workload_completed (workload) + n };
  return harness_wait_until (is_reached, &goal, HARNESS_TIMEOUT_MS);
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
  history_read_dir (joined, harness_dir (workload->deployment->harness));
  guint broken = history_check (joined, NULL, report);
  if (broken > 0)
    g_print ("%s", report->str);
  g_string_free (report, TRUE);
  history_free (joined);
  return broken == 0;
}

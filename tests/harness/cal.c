#include "harness/cal.h"

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

struct cal
{
  struct dep *dep;
  struct his *his;
  GMutex lock;
  struct target targets[DEP_PROCS_MAX];
  guint next; /* target */
  guint ends;
  gboolean stopping;
  GPtrArray *threads;
};

struct caller
{
  struct cal *cal;
  struct cal_load load;
  guint number;
};

struct cal *
cal_new (struct dep *dep, struct his *his)
{
  struct cal *cal = g_new0 (struct cal, 1);
  cal->dep = dep;
  cal->his = his;
  g_mutex_init (&cal->lock);
  cal->threads = g_ptr_array_new ();
  for (guint i = 0; i < dep->n_entries; i++)
    cal_set_live (cal, i, TRUE);
  return cal;
}

void
cal_free (struct cal *cal)
{
  cal_stop (cal);
  g_ptr_array_unref (cal->threads);
  g_mutex_clear (&cal->lock);
  g_free (cal);
}

void
cal_set_live (struct cal *cal, guint i, gboolean live)
{
  g_mutex_lock (&cal->lock);
  cal->targets[i].live = live;
  cal->targets[i].port = cal->dep->entries[i].proc->http_port;
  g_mutex_unlock (&cal->lock);
}

/* Returns the instance for a call and its PORT: the live ones by turns.  */
static guint
pick (struct cal *cal, guint entry, int *port)
{
  g_mutex_lock (&cal->lock);
  guint n = cal->dep->n_entries;
  for (guint i = 0; i < n && entry == CAL_ANY; i++)
    {
      guint at = cal->next++ % n;
      if (cal->targets[at].live)
        entry = at;
    }
  if (entry == CAL_ANY)
    entry = 0;
  *port = cal->targets[entry].port;
  g_mutex_unlock (&cal->lock);
  return entry;
}

static gboolean
is_model (enum cal_what what)
{
  return what == CAL_STREAM || what == CAL_WHOLE;
}

static char *
make_body (const struct cal_call *call, char **expected)
{
  if (!is_model (call->what))
    {
      *expected = g_strdup_printf ("{\"done\": true, \"n\": 1, \"id\": \"%s\"}",
                                   call->id);
      return g_strdup_printf ("{\"id\": \"%s\"}", call->id);
    }
  char *prompt = g_strdup_printf ("%s [len=%u]", call->id, call->tokens);
  char *body = g_strdup_printf (
      "{\"model\":\"assistant\",\"stream\":%s,\"prompt\":\"%s\"}",
      call->what == CAL_STREAM ? "true" : "false", prompt);
  *expected = har_expected_text (prompt, 0);
  g_free (prompt);
  return body;
}

/* Reads the error in BODY, also at the end of a stream. Returns its request
   id, freed by the caller, or NULL.  */
static char *
read_error (const char *body, struct cal_end *end)
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
record (struct cal *cal, const struct cal_call *call, guint entry,
        enum his_kind kind)
{
  const struct his_event event = { .kind = kind,
                                   .process = cal->dep->entries[entry].name,
                                   .id = call->id,
                                   .key = call->key };
  his_add (cal->his, &event);
}

/* Notes how a call ended.  */
static struct cal_end
end_of (struct cal *cal, const struct cal_call *call, guint entry,
        const struct har_reply *reply, const char *expected)
{
  struct cal_end end = { .status = reply->status };
  char *request = read_error (reply->body->str, &end);
  char *text = is_model (call->what) ? har_answer_text (reply->body->str)
                                     : g_strdup (reply->body->str);
  if (end.code[0] != '\0')
    end.kind = HIS_ERROR;
  else
    end.kind = reply->complete && reply->status == 200 ? HIS_ANSWER : HIS_CUT;
  const struct his_event event
      = { .kind = end.kind,
          .process = cal->dep->entries[entry].name,
          .id = call->id,
          .key = call->key,
          .request = request,
          .ran = end.ran,
          .text = end.kind == HIS_ERROR ? end.code : text,
          .expected = end.kind == HIS_ANSWER ? expected : NULL };
  his_add (cal->his, &event);
  g_free (text);
  g_free (request);
  return end;
}

/* Tries CALL once through ENTRY. Returns NULL if its connection was
   refused.  */
static struct har_reply *
try_call (struct cal *cal, const struct cal_call *call, guint entry, int port,
          const char *body)
{
  const char *const headers[]
      = { "Authorization",
          DEP_TEAM_BEARER,
          "Jacinthward-Class",
          call->class_name ? call->class_name : "urgent",
          call->key ? "Idempotency-Key" : NULL,
          call->key,
          NULL };
  const struct har_call http
      = { .port = port,
          .path = is_model (call->what) ? "/v1/completions"
                                        : "/services/account/activate",
          .headers = headers,
          .body = body,
          .timeout_ms = TIMEOUT_MS };
  record (cal, call, entry, HIS_CALL);
  struct har_reply *reply = har_call (&http);
  if (!reply->refused)
    return reply;
  record (cal, call, entry, HIS_TURNED);
  har_reply_free (reply);
  return NULL;
}

struct cal_end
cal_one (struct cal *cal, const struct cal_call *call)
{
  struct har_reply *reply = NULL;
  char *expected;
  char *body = make_body (call, &expected);
  guint entry;
  int port;
  gint64 began = g_get_monotonic_time ();
  while (reply == NULL)
    {
      entry = pick (cal, call->entry, &port);
      reply = try_call (cal, call, entry, port, body);
      if (reply == NULL)
        g_usleep (TURNED_PAUSE_MS * 1000);
    }
  struct cal_end end = end_of (cal, call, entry, reply, expected);
  end.us = g_get_monotonic_time () - began;
  har_reply_free (reply);
  g_free (expected);
  g_free (body);
  return end;
}

struct cal_end
cal_settle (struct cal *cal, const struct cal_call *call)
{
  struct cal_end end = { 0 };
  for (guint i = 0; i < KEY_TRIES_MAX; i++)
    {
      end = cal_one (cal, call);
      if (end.kind == HIS_ANSWER || strcmp (end.code, "outcome_unknown") == 0)
        break;
      g_usleep (KEY_PAUSE_MS * 1000);
    }
  return end;
}

static gboolean
is_stopping (struct cal *cal)
{
  g_mutex_lock (&cal->lock);
  gboolean stopping = cal->stopping;
  g_mutex_unlock (&cal->lock);
  return stopping;
}

static gpointer
run_caller (gpointer data)
{
  struct caller *caller = data;
  struct cal *cal = caller->cal;
  const struct cal_load *load = &caller->load;
  guint sharing = load->what == CAL_KEYED ? MAX (1, load->sharing) : 1;
  guint group = caller->number / sharing;
  GMainContext *context = g_main_context_new ();
  g_main_context_push_thread_default (context);
  for (guint n = 0; !is_stopping (cal); n++)
    {
      char *id = g_strdup_printf ("%s-%u-%u", load->prefix, group, n);
      struct cal_call call = { .what = load->what,
                               .entry = load->entry,
                               .id = id,
                               .tokens = load->tokens };
      if (load->what == CAL_KEYED)
        {
          call.key = id;
          cal_settle (cal, &call);
        }
      else
        cal_one (cal, &call);
      g_mutex_lock (&cal->lock);
      cal->ends++;
      g_mutex_unlock (&cal->lock);
      g_free (id);
      if (!is_model (load->what))
        g_usleep (THINK_MS * 1000);
    }
  g_main_context_pop_thread_default (context);
  g_main_context_unref (context);
  g_free (caller);
  return NULL;
}

void
cal_start (struct cal *cal, const struct cal_load *load)
{
  for (guint i = 0; i < load->threads; i++)
    {
      struct caller *caller = g_new (struct caller, 1);
      *caller = (struct caller){ cal, *load, i };
      g_ptr_array_add (cal->threads,
                       g_thread_new (load->prefix, run_caller, caller));
    }
}

guint
cal_ends (struct cal *cal)
{
  g_mutex_lock (&cal->lock);
  guint ends = cal->ends;
  g_mutex_unlock (&cal->lock);
  return ends;
}

struct goal
{
  struct cal *cal;
  guint ends;
};

static gboolean
is_reached (void *ctx)
{
  const struct goal *goal = ctx;
  return cal_ends (goal->cal) >= goal->ends;
}

gboolean
cal_wait_ends (struct cal *cal, guint n)
{
  struct goal goal = { cal, cal_ends (cal) + n };
  return har_wait_until (is_reached, &goal, HAR_DEADLINE_MS);
}

void
cal_stop (struct cal *cal)
{
  g_mutex_lock (&cal->lock);
  cal->stopping = TRUE;
  g_mutex_unlock (&cal->lock);
  for (guint i = 0; i < cal->threads->len; i++)
    g_thread_join (cal->threads->pdata[i]);
  g_ptr_array_set_size (cal->threads, 0);
  cal->stopping = FALSE;
}

gboolean
cal_check (struct cal *cal)
{
  struct his *joined = his_copy (cal->his);
  GString *report = g_string_new (NULL);
  his_read_dir (joined, har_dir (cal->dep->har));
  guint broken = his_check (joined, NULL, report);
  if (broken > 0)
    g_print ("%s", report->str);
  g_string_free (report, TRUE);
  his_free (joined);
  return broken == 0;
}

/* Stand-in for a plain HTTP service, such as one that activates subscriptions.
   It counts how often each request was executed.  */
#include "standin/standin.h"

#include <string.h>

struct faults
{
  gint64 drop_before; /* requests dropped before they are executed */
  gint64 drop_after;  /* requests executed without a response */
};

static struct standin_field fields[] = {
  STANDIN_FIELD (drop_before, STANDIN_INT),
  STANDIN_FIELD (drop_after, STANDIN_INT),
};

struct service
{
  struct standin standin; /* first, so that callbacks can cast from it */
  struct faults faults;
  GHashTable *executions; /* id -> number of executions */
  gint64 total;
  gint64 work_ms; /* from the execution to the response */
};

struct response
{
  SoupServerMessage *msg; /* ref */
  char *json;
};

static gboolean
send_response (gpointer ctx)
{
  struct response *response = ctx;
  standin_respond (response->msg, SOUP_STATUS_OK, response->json);
  g_object_unref (response->msg);
  g_free (response->json);
  g_free (response);
  return G_SOURCE_REMOVE;
}

/* Returns the id of the request, freed by the caller: the one in the body,
   else the Idempotency-Key, else the path.  */
static char *
call_id (SoupServerMessage *msg, const char *path)
{
  JsonNode *body = standin_body (msg);
  const char *id = NULL;
  if (body != NULL)
    id = json_object_get_string_member_with_default (
        json_node_get_object (body), "id", NULL);
  if (id == NULL)
    id = standin_header (msg, "Idempotency-Key");
  char *copy = g_strdup (id != NULL ? id : path);
  g_clear_pointer (&body, json_node_unref);
  return copy;
}

static char *
quote (const char *text)
{
  JsonNode *node = json_node_init_string (json_node_alloc (), text);
  char *quoted = json_to_string (node, FALSE);
  json_node_unref (node);
  return quoted;
}

static gint64
execute (struct service *service, const char *id)
{
  gint64 n = GPOINTER_TO_SIZE (g_hash_table_lookup (service->executions, id));
  n++;
  g_hash_table_insert (service->executions, g_strdup (id),
                       GSIZE_TO_POINTER (n));
  service->total++;
  return n;
}

static void
record_event (struct service *service, const char *kind, const char *id,
              SoupServerMessage *msg, gint64 n)
{
  struct standin_event event
      = { .kind = kind,
          .id = id,
          .attempt = standin_header (msg, "Jacinthward-Attempt"),
          .n = n };
  standin_history (&service->standin, &event);
}

static void
respond_executed (struct service *service, SoupServerMessage *msg,
                  const char *id, gint64 n)
{
  char *quoted = quote (id);
  struct response *response = g_new (struct response, 1);
  response->msg = g_object_ref (msg);
  response->json = g_strdup_printf (
      "{\"done\": true, \"n\": %" G_GINT64_FORMAT ", \"id\": %s}", n, quoted);
  g_free (quoted);
  if (service->work_ms > 0)
    g_timeout_add ((guint)service->work_ms, send_response, response);
  else
    send_response (response);
}

static void
handle (struct standin *standin, SoupServerMessage *msg, const char *path,
        GHashTable *query)
{
  (void)query;
  struct service *service = (struct service *)standin;
  struct faults *faults = &service->faults;
  char *id = call_id (msg, path);
  if (faults->drop_before > 0)
    {
      faults->drop_before--;
      record_event (service, "drop_before", id, msg, 0);
      standin_drop (msg);
      g_free (id);
      return;
    }
  gint64 n = execute (service, id);
  record_event (service, "execute", id, msg, n);
  if (faults->drop_after > 0)
    {
      faults->drop_after--;
      record_event (service, "drop_after", id, msg, n);
      standin_drop (msg);
    }
  else
    respond_executed (service, msg, id, n);
  g_free (id);
}

static void
add_count (gpointer id, gpointer n, gpointer ctx)
{
  JsonBuilder *json = ctx;
  json_builder_set_member_name (json, id);
  json_builder_add_int_value (json, (gint64)GPOINTER_TO_SIZE (n));
}

/* Returns the number of executions of each id and their sum.  */
static char *
counts_json (struct standin *standin)
{
  struct service *service = (struct service *)standin;
  JsonBuilder *json = json_builder_new ();
  json_builder_begin_object (json);
  json_builder_set_member_name (json, "total");
  json_builder_add_int_value (json, service->total);
  json_builder_set_member_name (json, "executions");
  json_builder_begin_object (json);
  g_hash_table_foreach (service->executions, add_count, json);
  json_builder_end_object (json);
  json_builder_end_object (json);
  return standin_json_end (json);
}

int
main (int argc, char **argv)
{
  static struct service service;
  service.executions
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  GOptionEntry entries[] = {
    { "work-ms", 0, 0, G_OPTION_ARG_INT64, &service.work_ms,
      "Time from the execution to the response", "MS" },
    G_OPTION_ENTRY_NULL,
  };
  struct standin_options options = { .kind = "service",
                                     .entries = entries,
                                     .handler = handle,
                                     .counts = counts_json,
                                     .faults = &service.faults,
                                     .fields = fields,
                                     .n_fields = G_N_ELEMENTS (fields) };
  return standin_main (&service.standin, &options, argc, argv);
}

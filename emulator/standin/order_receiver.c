#include "standin/order_receiver.h"
#include "standin/standin.h"

#include <string.h>

void
receiver_init (struct receiver *receiver, gboolean checks_fence)
{
  memset (receiver, 0, sizeof *receiver);
  receiver->checks_fence = checks_fence;
  receiver->last_id = g_strdup ("");
  receiver->role = g_strdup ("");
  receiver->models = g_ptr_array_new_with_free_func (g_free);
}

void
receiver_clear (struct receiver *receiver)
{
  g_free (receiver->last_id);
  g_free (receiver->role);
  g_ptr_array_unref (receiver->models);
}

static const char *
string_member (JsonObject *object, const char *name)
{
  return json_object_get_string_member_with_default (object, name, NULL);
}

/* Fills ORDER with strings borrowed from OBJECT. Returns FALSE if a member is
   missing.  */
gboolean
receiver_parse (struct receiver_order *order, JsonObject *object)
{
  gint64 fence = json_object_get_int_member_with_default (object, "fence", -1);
  order->fence = (guint64)fence;
  order->id = string_member (object, "id");
  order->kind = string_member (object, "kind");
  order->name = string_member (object, "name");
  return fence >= 0 && order->id != NULL && order->kind != NULL
         && order->name != NULL;
}

static void
replace_string (char **text, const char *with)
{
  g_free (*text);
  *text = g_strdup (with);
}

static gboolean
is_load (const char *kind)
{
  return strcmp (kind, "load_model") == 0 || strcmp (kind, "load_adapter") == 0
         || strcmp (kind, "load_version") == 0;
}

/* Applies ORDER unless its kind is unknown, its fencing number is old or its
   id is that of the last order applied.  */
enum receiver_result
receiver_apply (struct receiver *receiver, const struct receiver_order *order)
{
  gboolean is_role = strcmp (order->kind, "set_role") == 0;
  if (!is_role && !is_load (order->kind))
    return RECEIVER_INVALID;
  if (receiver->checks_fence && order->fence < receiver->fence)
    return RECEIVER_OLD_FENCE;
  if (strcmp (receiver->last_id, order->id) == 0)
    return RECEIVER_REPEATED;
  receiver->fence = MAX (receiver->fence, order->fence);
  replace_string (&receiver->last_id, order->id);
  if (is_role)
    replace_string (&receiver->role, order->name);
  else if (!g_ptr_array_find_with_equal_func (receiver->models, order->name,
                                              g_str_equal, NULL))
    g_ptr_array_add (receiver->models, g_strdup (order->name));
  return RECEIVER_APPLIED;
}

static void
add_string (JsonBuilder *json, const char *name, const char *value)
{
  json_builder_set_member_name (json, name);
  json_builder_add_string_value (json, value);
}

/* Returns the response to GET /orders, freed by the caller.  */
char *
receiver_to_json (const struct receiver *receiver)
{
  JsonBuilder *json = json_builder_new ();
  json_builder_begin_object (json);
  json_builder_set_member_name (json, "fence");
  json_builder_add_int_value (json, (gint64)receiver->fence);
  add_string (json, "last_id", receiver->last_id);
  json_builder_set_member_name (json, "models");
  json_builder_begin_array (json);
  for (guint i = 0; i < receiver->models->len; i++)
    json_builder_add_string_value (json, receiver->models->pdata[i]);
  json_builder_end_array (json);
  add_string (json, "role", receiver->role);
  json_builder_end_object (json);
  return standin_json_end (json);
}

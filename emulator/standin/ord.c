#include "standin/ord.h"
#include "standin/std.h"

#include <string.h>

void
ord_init (struct ord *ord, gboolean checks_fence)
{
  memset (ord, 0, sizeof *ord);
  ord->checks_fence = checks_fence;
  ord->last_id = g_strdup ("");
  ord->role = g_strdup ("");
  ord->models = g_ptr_array_new_with_free_func (g_free);
}

void
ord_clear (struct ord *ord)
{
  g_free (ord->last_id);
  g_free (ord->role);
  g_ptr_array_unref (ord->models);
}

static const char *
text_of (JsonObject *object, const char *name)
{
  return json_object_get_string_member_with_default (object, name, NULL);
}

/* Fills ORDER with text borrowed from OBJECT. Returns FALSE if a member is
   missing.  */
gboolean
ord_parse (struct ord_order *order, JsonObject *object)
{
  gint64 fence = json_object_get_int_member_with_default (object, "fence", -1);
  order->fence = (guint64)fence;
  order->id = text_of (object, "id");
  order->kind = text_of (object, "kind");
  order->name = text_of (object, "name");
  return fence >= 0 && order->id != NULL && order->kind != NULL
         && order->name != NULL;
}

static void
replace (char **text, const char *with)
{
  g_free (*text);
  *text = g_strdup (with);
}

static gboolean
loads (const char *kind)
{
  return strcmp (kind, "load_model") == 0 || strcmp (kind, "load_adapter") == 0
         || strcmp (kind, "load_version") == 0;
}

enum ord_result
ord_apply (struct ord *ord, const struct ord_order *order)
{
  gboolean is_role = strcmp (order->kind, "set_role") == 0;
  if (!is_role && !loads (order->kind))
    return ORD_INVALID;
  if (ord->checks_fence && order->fence < ord->fence)
    return ORD_OLD_FENCE;
  if (strcmp (ord->last_id, order->id) == 0)
    return ORD_REPEATED;
  ord->fence = MAX (ord->fence, order->fence);
  replace (&ord->last_id, order->id);
  if (is_role)
    replace (&ord->role, order->name);
  else if (!g_ptr_array_find_with_equal_func (ord->models, order->name,
                                              g_str_equal, NULL))
    g_ptr_array_add (ord->models, g_strdup (order->name));
  return ORD_APPLIED;
}

static void
add_text (JsonBuilder *json, const char *name, const char *value)
{
  json_builder_set_member_name (json, name);
  json_builder_add_string_value (json, value);
}

/* Returns the answer to GET /orders, freed by the caller.  */
char *
ord_to_json (const struct ord *ord)
{
  JsonBuilder *json = json_builder_new ();
  json_builder_begin_object (json);
  json_builder_set_member_name (json, "fence");
  json_builder_add_int_value (json, (gint64)ord->fence);
  add_text (json, "last_id", ord->last_id);
  json_builder_set_member_name (json, "models");
  json_builder_begin_array (json);
  for (guint i = 0; i < ord->models->len; i++)
    json_builder_add_string_value (json, ord->models->pdata[i]);
  json_builder_end_array (json);
  add_text (json, "role", ord->role);
  json_builder_end_object (json);
  return std_json_end (json);
}

/* Lists of the configuration in force and of the instances. They never contain
   keys or tokens.  */
#include "admin/admin_internal.h"
#include "base/json_add.h"

/* Begins an object whose member NAME is an array, and leaves both open. The
   result is freed by list_respond.  */
static JsonBuilder *
list_begin (const char *name)
{
  JsonBuilder *json = json_builder_new ();
  json_builder_begin_object (json);
  json_builder_set_member_name (json, name);
  json_builder_begin_array (json);
  return json;
}

/* Ends the array and the object that list_begin began, sends them as the
   response and frees JSON.  */
static void
list_respond (const struct admin_request *request, JsonBuilder *json)
{
  json_builder_end_array (json);
  json_builder_end_object (json);
  admin_respond_json (request->message, SOUP_STATUS_OK, json);
  g_object_unref (json);
}

/* GET /classes: the classes with the values that the preset in force sets.  */
void
admin_get_classes (const struct admin_request *request)
{
  JsonBuilder *json = list_begin ("classes");
  for (guint i = 0; i < request->cfg->n_classes; i++)
    {
      const struct cluster_class *c = &request->cfg->classes[i];
      json_builder_begin_object (json);
      json_add_str (json, "name", c->name.s);
      json_add_int (json, "tier", c->tier);
      json_add_int (json, "ttft_ms", c->ttft_us / CLK_MS);
      json_add_int (json, "tbt_ms", c->tbt_us / CLK_MS);
      json_add_int (json, "deadline_ms", c->deadline_us / CLK_MS);
      json_add_double (json, "min_share", c->min_share);
      json_add_int (json, "max_waiting", c->max_waiting);
      json_add_int (json, "reserved_waiting", c->reserved_waiting);
      json_add_double (json, "retry_share", c->retry_share);
      json_add_int (json, "link_bytes_per_s", (gint64)c->link_bytes_per_s);
      json_add_str (json, "spill", cluster_overflow_name (c->overflow));
      json_builder_end_object (json);
    }
  list_respond (request, json);
}

/* Adds the member "classes": the names of the classes whose bit is set in
   CLASSES.  */
static void
add_class_names (JsonBuilder *json, const struct cluster_config *cfg,
                 guint64 classes)
{
  json_builder_set_member_name (json, "classes");
  json_builder_begin_array (json);
  for (guint i = 0; i < cfg->n_classes; i++)
    if (classes >> i & 1)
      json_builder_add_string_value (json, cfg->classes[i].name.s);
  json_builder_end_array (json);
}

/* GET /teams  */
void
admin_get_teams (const struct admin_request *request)
{
  const struct cluster_config *cfg = request->cfg;
  JsonBuilder *json = list_begin ("teams");
  for (guint i = 0; i < cfg->n_teams; i++)
    {
      const struct cluster_team *team = &cfg->teams[i];
      json_builder_begin_object (json);
      json_add_str (json, "name", team->name.s);
      json_add_double (json, "weight", team->weight);
      json_add_int (json, "max_running", team->max_running);
      add_class_names (json, cfg, team->classes);
      json_add_str (json, "default_class",
                    cfg->classes[team->default_class].name.s);
      json_builder_end_object (json);
    }
  list_respond (request, json);
}

/* GET /backends  */
void
admin_get_backends (const struct admin_request *request)
{
  const struct cluster_config *cfg = request->cfg;
  JsonBuilder *json = list_begin ("backends");
  for (guint i = 0; i < cfg->n_backends; i++)
    {
      const struct cluster_backend *backend = &cfg->backends[i];
      json_builder_begin_object (json);
      json_add_str (json, "name", backend->name.s);
      json_add_str (json, "address", backend->address);
      json_add_str (json, "pool", cfg->pools[backend->pool].name.s);
      json_add_str (json, "kind",
                    cluster_kind_name (cfg->pools[backend->pool].kind));
      json_add_str (json, "domain", cfg->domains[backend->domain].name.s);
      json_add_str (json, "cell", cfg->shards[backend->shard].name.s);
      json_add_int (json, "max_running", backend->max_running);
      json_add_bool (json, "checks_fence", backend->checks_fence);
      json_add_bool (json, "drain", backend->drain);
      json_builder_end_object (json);
    }
  list_respond (request, json);
}

/* GET /presets  */
void
admin_get_presets (const struct admin_request *request)
{
  const struct cluster_config *cfg = request->cfg;
  JsonBuilder *json = list_begin ("presets");
  for (guint i = 0; i < cfg->n_presets; i++)
    {
      json_builder_begin_object (json);
      json_add_str (json, "name", cfg->presets[i].s);
      json_add_bool (json, "in_force",
                     g_str_equal (cfg->presets[i].s, cfg->preset.s));
      json_builder_end_object (json);
    }
  list_respond (request, json);
}

static void
add_instance (void *ctx, const struct member_instance *instance)
{
  JsonBuilder *json = ctx;
  json_builder_begin_object (json);
  json_add_str (json, "id", instance->id.s);
  json_add_str (json, "domain", instance->domain.s);
  json_add_str (json, "region", instance->region.s);
  json_add_str (json, "address", instance->address);
  json_add_bool (json, "live", instance->live);
  json_add_bool (json, "leaving", instance->leaving);
  json_add_int (json, "version", (gint64)instance->config_version);
  json_builder_end_object (json);
}

/* GET /instances  */
void
admin_get_instances (const struct admin_request *request)
{
  const struct admin_server_options *o = &request->admin_server->options;
  JsonBuilder *json = list_begin ("instances");
  o->each_instance (o->ctx, add_instance, json);
  list_respond (request, json);
}

/* GET /config/status: the version in force on this instance and on the other
   ones.  */
void
admin_get_status (const struct admin_request *request)
{
  const struct admin_server_options *o = &request->admin_server->options;
  JsonBuilder *json = json_builder_new ();
  json_builder_begin_object (json);
  json_add_int (json, "version", (gint64)request->cfg->version);
  json_add_str (json, "preset", request->cfg->preset.s);
  json_builder_set_member_name (json, "instances");
  json_builder_begin_array (json);
  o->each_instance (o->ctx, add_instance, json);
  list_respond (request, json);
}

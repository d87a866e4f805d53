/* Lists from the configuration and of the instances. Keys and tokens are in
   none of them.  */
#include "admin/adm_int.h"
#include "base/jsb.h"

/* Opens an object with the list NAME in it.  */
static JsonBuilder *
list_begin (const char *name)
{
  JsonBuilder *json = json_builder_new ();
  json_builder_begin_object (json);
  json_builder_set_member_name (json, name);
  json_builder_begin_array (json);
  return json;
}

static void
list_reply (const struct adm_request *request, JsonBuilder *json)
{
  json_builder_end_array (json);
  json_builder_end_object (json);
  adm_reply_json (request->message, SOUP_STATUS_OK, json);
  g_object_unref (json);
}

/* GET /classes: as the preset in force sets them.  */
void
adm_get_classes (const struct adm_request *request)
{
  JsonBuilder *json = list_begin ("classes");
  for (guint i = 0; i < request->cfg->n_classes; i++)
    {
      const struct cfg_class *c = &request->cfg->classes[i];
      json_builder_begin_object (json);
      jsb_str (json, "name", c->name.s);
      jsb_int (json, "tier", c->tier);
      jsb_int (json, "ttft_ms", c->ttft_us / CLK_MS);
      jsb_int (json, "tbt_ms", c->tbt_us / CLK_MS);
      jsb_int (json, "deadline_ms", c->deadline_us / CLK_MS);
      jsb_double (json, "min_share", c->min_share);
      jsb_int (json, "max_waiting", c->max_waiting);
      jsb_int (json, "reserved_waiting", c->reserved_waiting);
      jsb_double (json, "retry_share", c->retry_share);
      jsb_int (json, "link_bytes_per_s", (gint64)c->link_bytes_per_s);
      jsb_str (json, "spill", cfg_spill_name (c->spill));
      json_builder_end_object (json);
    }
  list_reply (request, json);
}

static void
add_class_names (JsonBuilder *json, const struct cfg *cfg, guint64 classes)
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
adm_get_teams (const struct adm_request *request)
{
  const struct cfg *cfg = request->cfg;
  JsonBuilder *json = list_begin ("teams");
  for (guint i = 0; i < cfg->n_teams; i++)
    {
      const struct cfg_team *team = &cfg->teams[i];
      json_builder_begin_object (json);
      jsb_str (json, "name", team->name.s);
      jsb_double (json, "weight", team->weight);
      jsb_int (json, "max_running", team->max_running);
      add_class_names (json, cfg, team->classes);
      jsb_str (json, "default_class", cfg->classes[team->default_class].name.s);
      json_builder_end_object (json);
    }
  list_reply (request, json);
}

/* GET /backends  */
void
adm_get_backends (const struct adm_request *request)
{
  const struct cfg *cfg = request->cfg;
  JsonBuilder *json = list_begin ("backends");
  for (guint i = 0; i < cfg->n_backends; i++)
    {
      const struct cfg_backend *backend = &cfg->backends[i];
      json_builder_begin_object (json);
      jsb_str (json, "name", backend->name.s);
      jsb_str (json, "address", backend->address);
      jsb_str (json, "pool", cfg->pools[backend->pool].name.s);
      jsb_str (json, "kind", cfg_kind_name (cfg->pools[backend->pool].kind));
      jsb_str (json, "domain", cfg->domains[backend->domain].name.s);
      jsb_str (json, "cell", cfg->cells[backend->cell].name.s);
      jsb_int (json, "max_running", backend->max_running);
      jsb_bool (json, "checks_fence", backend->checks_fence);
      jsb_bool (json, "drain", backend->drain);
      json_builder_end_object (json);
    }
  list_reply (request, json);
}

/* GET /presets  */
void
adm_get_presets (const struct adm_request *request)
{
  const struct cfg *cfg = request->cfg;
  JsonBuilder *json = list_begin ("presets");
  for (guint i = 0; i < cfg->n_presets; i++)
    {
      json_builder_begin_object (json);
      jsb_str (json, "name", cfg->presets[i].s);
      jsb_bool (json, "in_force",
                g_str_equal (cfg->presets[i].s, cfg->preset.s));
      json_builder_end_object (json);
    }
  list_reply (request, json);
}

static void
add_instance (void *ctx, const struct member_instance *instance)
{
  JsonBuilder *json = ctx;
  json_builder_begin_object (json);
  jsb_str (json, "id", instance->id.s);
  jsb_str (json, "domain", instance->domain.s);
  jsb_str (json, "region", instance->region.s);
  jsb_str (json, "address", instance->address);
  jsb_bool (json, "live", instance->live);
  jsb_bool (json, "leaving", instance->leaving);
  jsb_int (json, "version", (gint64)instance->config_version);
  json_builder_end_object (json);
}

/* GET /instances  */
void
adm_get_instances (const struct adm_request *request)
{
  const struct adm_options *o = &request->adm->options;
  JsonBuilder *json = list_begin ("instances");
  o->each_instance (o->ctx, add_instance, json);
  list_reply (request, json);
}

/* GET /config/status: the version in force here and at the others.  */
void
adm_get_status (const struct adm_request *request)
{
  const struct adm_options *o = &request->adm->options;
  JsonBuilder *json = json_builder_new ();
  json_builder_begin_object (json);
  jsb_int (json, "version", (gint64)request->cfg->version);
  jsb_str (json, "preset", request->cfg->preset.s);
  json_builder_set_member_name (json, "instances");
  json_builder_begin_array (json);
  o->each_instance (o->ctx, add_instance, json);
  list_reply (request, json);
}
